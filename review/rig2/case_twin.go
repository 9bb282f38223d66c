package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["twin"] = playTwin }

const (
	twinLimit   = 1800 * time.Millisecond
	twinSetup   = 250 * time.Millisecond // time of a setup, within the latency goal of 300 ms
	usualPause  = 25 * time.Millisecond  // time between two usual clients
	badPause    = 10 * time.Millisecond  // pause of a bad client that was turned away
	badClients  = 4
	openFor     = 60 * time.Millisecond // how long a request has been open before a bad client sends its id
	playedFor   = 1500 * time.Millisecond
	upgradeFrom = 700 * time.Millisecond
)

// playTwin upgrades a balancer while usual clients come and bad clients send the ids of open requests. No bad client may be served, by
// neither process.
func playTwin(r *run) error {
	w := newWorld(r.rec)
	w.setup = twinSetup
	servers, err := w.startServers(4)
	if err != nil {
		return err
	}
	d, err := startDiscovery(servers)
	if err != nil {
		return err
	}
	ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	held, err := ln.File() // the platform holds the clients' listening socket, and accepts nobody itself
	if err != nil {
		return err
	}
	conf := settings(0, []object{class("album-feed", "read_like", "all", 300, int(twinLimit.Milliseconds()), 5000)})
	start := func(which string) (*balancer, error) {
		dir := filepath.Join(r.tmp, which)
		if err := mkdir(dir); err != nil {
			return nil, err
		}
		r.rec.add("starting the %s process", which)
		return startBalancer(r.rec, options{name: "n1", dir: dir, tmp: r.tmp, listen: ln.Addr().String(), admin: freeAddress(), discovery: d.addr,
			known: d.whole(), settings: conf, listener: held})
	}
	old, err := start("old")
	if err != nil {
		return err
	}
	if err := old.awaitPong(10 * time.Second); err != nil {
		return err
	}
	p := &twinPlay{run: r, world: w, address: old.listen, stop: make(chan struct{})}
	p.wait.Add(1 + badClients)
	go p.sendUsual()
	for n := range badClients {
		go p.sendBad(n)
	}
	time.Sleep(upgradeFrom)
	if r.trouble {
		next, err := start("new")
		if err != nil {
			return err
		}
		if err := awaitYes(next, 6*time.Second); err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
	}
	time.Sleep(playedFor)
	close(p.stop)
	p.wait.Wait()
	if r.trouble {
		select {
		case <-old.exited:
			r.rec.add("the old process has ended")
		case <-time.After(2500 * time.Millisecond):
			old.signal(syscall.SIGKILL)
		}
	}
	return p.verdict()
}

// awaitYes waits for the yes of a process's operators' address.
func awaitYes(b *balancer, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if code, _, err := b.call("GET", "/control/ready"); err == nil && code == 200 {
			b.rec.add("the new process says yes")
			return nil
		}
	}
	return fmt.Errorf("no yes within %v", within)
}

// usualClient is a client with an open request or an open connection.
type usualClient struct {
	id     string
	sentAt time.Time
	ended  bool
	moved  bool
	answer string
}

// twinPlay is the clients of one play.
type twinPlay struct {
	run     *run
	world   *world
	address string
	stop    chan struct{}
	wait    sync.WaitGroup

	mu        sync.Mutex
	usual     []*usualClient
	badSent   int
	badServed []string
}

func (p *twinPlay) stopped(after time.Duration) bool {
	select {
	case <-p.stop:
		return true
	case <-time.After(after):
		return false
	}
}

// sendUsual sends usual clients until the end of the play.
func (p *twinPlay) sendUsual() {
	defer p.wait.Done()
	for n := 0; !p.stopped(usualPause); n++ {
		p.wait.Add(1)
		go p.playUsual(hex(0xabc000+n), hex(0x5eed00+n))
	}
}

func (p *twinPlay) playUsual(id, key string) {
	defer p.wait.Done()
	c, err := dialClient(p.run.rec, "usual", p.address)
	if err != nil {
		return
	}
	defer c.close()
	if err := c.open(id, key, "album-feed", twinLimit, ",t=circle-akcay"); err != nil {
		return
	}
	u := &usualClient{id: id, sentAt: time.Now()}
	p.mu.Lock()
	p.usual = append(p.usual, u)
	p.mu.Unlock()
	text, err := c.answer(twinLimit + time.Second)
	p.mu.Lock()
	u.answer = text
	u.ended = err != nil || !strings.HasPrefix(text, "UP")
	p.mu.Unlock()
	for !u.ended {
		err := c.echo(2 * time.Second)
		stopped := p.stopped(100 * time.Millisecond)
		p.mu.Lock()
		if err != nil {
			u.ended = true
			u.moved = strings.Contains(err.Error(), "MOVE")
			p.run.rec.add("usual client %s: %v", id, err)
		}
		p.mu.Unlock()
		if stopped {
			return
		}
	}
}

// openID returns the id of a request that has waited for its answer for a while, "" if there is none.
func (p *twinPlay) openID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []string
	for _, u := range p.usual {
		if u.answer == "" && !u.ended && time.Since(u.sentAt) >= openFor {
			open = append(open, u.id)
		}
	}
	if len(open) == 0 {
		return ""
	}
	return open[rand.IntN(len(open))]
}

// sendBad sends ids of open requests, again as soon as they are turned away.
func (p *twinPlay) sendBad(n int) {
	defer p.wait.Done()
	for !p.stopped(badPause) {
		id := p.openID()
		if id == "" {
			continue
		}
		c, err := net.DialTimeout("tcp4", p.address, time.Second)
		if err != nil {
			continue
		}
		_, _ = fmt.Fprintf(c, "OPEN %s bad%d c=album-feed,t=circle-akcay,d=%d\r\n", id, n, twinLimit.Milliseconds())
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		answer := make([]byte, 128)
		length, _ := c.Read(answer)
		text := strings.TrimSpace(string(answer[:length]))
		p.mu.Lock()
		p.badSent++
		if strings.HasPrefix(text, "UP") {
			p.badServed = append(p.badServed, id)
			p.run.rec.add("bad client %d sent the id %s of an open request and was answered %s", n, id, text)
		}
		p.mu.Unlock()
		_ = c.Close()
	}
}

func (p *twinPlay) verdict() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	served, moved := 0, 0
	for _, u := range p.usual {
		if strings.HasPrefix(u.answer, "UP") {
			served++
		}
		if u.moved {
			moved++
		}
	}
	p.run.rec.add("usual clients: %d, served %d, moved %d; bad clients sent %d ids of open requests, %d were served", len(p.usual), served, moved, p.badSent, len(p.badServed))
	if len(p.badServed) > 0 {
		return broken("%d bad clients were served under the id of another client's open request: %s", len(p.badServed), strings.Join(p.badServed, " "))
	}
	if p.badSent == 0 || served == 0 {
		return fmt.Errorf("%d bad clients sent an id, %d usual clients were served", p.badSent, served)
	}
	return nil
}
