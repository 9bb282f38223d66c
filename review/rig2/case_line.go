package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["line"] = playLine }

const (
	lineClients = 1100
	lineArrive  = 15 * time.Second       // time in which the clients come first
	lineRounds  = 88                     // number of times that a share of the clients drops
	lineRound   = 860 * time.Millisecond // time between two of them
	lineShare   = 0.48                   // share of the clients that drops
	lineEvery   = 2 * time.Second        // time between two lines of a client
	lineLimit   = 2 * time.Second        // time after which a line that has not come back is lost; the rule has one second
	lineSetup   = 1800 * time.Millisecond
)

// linePlay is the clients of one play.
type linePlay struct {
	run      *run
	stop     chan struct{}
	wait     sync.WaitGroup
	sessions atomic.Int64
	lines    atomic.Int64
	lost     atomic.Int64

	mu      sync.Mutex
	answers map[string]int
}

// playLine has clients drop and come again at balancers that run on one core. Each line of an established connection comes back.
func playLine(r *run) error {
	w := newWorld(r.rec)
	w.quiet = true
	servers, err := w.startServers(4)
	if err != nil {
		return err
	}
	d, err := startDiscovery(servers)
	if err != nil {
		return err
	}
	var all []*balancer
	for hall := range halls {
		conf := settings(hall, []object{class("album-feed", "read_like", "all", 300, int(lineSetup.Milliseconds()), 5000)})
		b, err := startBalancer(r.rec, options{name: fmt.Sprint("n", hall+1), dir: r.tmp, tmp: r.tmp, listen: freeAddress(), discovery: d.addr,
			known: d.whole(), settings: conf, oneCore: true})
		if err != nil {
			return err
		}
		all = append(all, b)
	}
	for _, b := range all {
		if err := b.awaitPong(10 * time.Second); err != nil {
			return err
		}
	}
	p := &linePlay{run: r, stop: make(chan struct{}), answers: map[string]int{}}
	drops := make([]chan struct{}, lineClients)
	for n := range drops {
		drops[n] = make(chan struct{}, 1)
		p.wait.Go(func() { p.play(all[n%len(all)].listen, n, drops[n]) })
	}
	time.Sleep(lineArrive)
	r.rec.add("%d clients have come, %d sessions", lineClients, p.sessions.Load())
	w.pushing.Store(true)
	for range lineRounds {
		time.Sleep(lineRound)
		for _, n := range rand.Perm(lineClients)[:int(lineShare*lineClients)] {
			if !r.trouble {
				break
			}
			select {
			case drops[n] <- struct{}{}:
			default: // it has not come again yet
			}
		}
	}
	time.Sleep(lineLimit)
	close(p.stop)
	p.wait.Wait()
	r.rec.add("%d sessions, %d lines, %d of them lost; other answers to requests: %v", p.sessions.Load(), p.lines.Load(), p.lost.Load(), p.answers)
	if lost := p.lost.Load(); lost > 0 {
		return broken("%d lines of established connections did not come back, although balancer, server and connection went on", lost)
	}
	if p.sessions.Load() < lineClients {
		return fmt.Errorf("%d sessions of %d clients", p.sessions.Load(), lineClients)
	}
	return nil
}

func (p *linePlay) stopped(after time.Duration) bool {
	select {
	case <-p.stop:
		return true
	case <-time.After(after):
		return false
	}
}

// play plays one client, which comes again after each end of its connection.
func (p *linePlay) play(address string, n int, drop chan struct{}) {
	if p.stopped(rand.N(lineArrive - time.Second)) {
		return
	}
	for k := 0; ; k++ {
		p.session(address, hex(0x1000000*(k+1)+n), hex(0x5eed00+n), drop)
		if p.stopped(68*time.Millisecond + rand.N(612*time.Millisecond)) {
			return
		}
	}
}

// session plays one connection until the client drops it or it ends.
func (p *linePlay) session(address, id, key string, drop chan struct{}) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "OPEN %s %s c=album-feed,t=circle-akcay,d=%d\r\n", id, key, lineSetup.Milliseconds())
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(lineSetup + time.Second))
	text, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(text, "UP") {
		p.mu.Lock()
		p.answers[strings.Fields(text + " none")[0]]++
		p.mu.Unlock()
		return
	}
	p.sessions.Add(1)
	for line := 1; ; line++ {
		if !p.echo(c, r, id, line) {
			return
		}
		if p.rest(c, r, drop) {
			return
		}
	}
}

// rest reads the server's own lines until the client's next line is due. It returns true if the client drops the connection instead.
func (p *linePlay) rest(c net.Conn, r *bufio.Reader, drop chan struct{}) bool {
	for due := time.Now().Add(lineEvery); time.Now().Before(due); {
		select {
		case <-p.stop:
			return true
		case <-drop:
			return true
		default:
		}
		_ = c.SetReadDeadline(time.Now().Add(pushEvery))
		_, err := r.Peek(1) // a line must not be cut by the deadline
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(lineLimit))
		if _, err := r.ReadString('\n'); err != nil {
			return true
		}
	}
	return false
}

// readOwn reads the next line that is not one of the server's own.
func readOwn(r *bufio.Reader) (string, error) {
	for {
		if text, err := r.ReadString('\n'); err != nil || text != pushedLine {
			return text, err
		}
	}
}

// echo sends a line and reads it back. It returns false once the connection has ended.
func (p *linePlay) echo(c net.Conn, r *bufio.Reader, id string, number int) bool {
	sent := fmt.Sprintf("M %d\r\n", number)
	_, _ = c.Write([]byte(sent))
	p.lines.Add(1)
	_ = c.SetReadDeadline(time.Now().Add(lineLimit))
	text, err := readOwn(r)
	switch {
	case err == nil && text == sent:
		return true
	case err == nil && text == "MOVE\r\n":
		return false
	case err == nil:
		p.run.rec.add("client %s sent line %d and received %q", id, number, text)
		return false
	case !errors.Is(err, os.ErrDeadlineExceeded):
		p.run.rec.add("client %s: its connection ended at line %d: %v", id, number, err)
		return false
	}
	_, _ = c.Write([]byte("M again\r\n"))
	_ = c.SetReadDeadline(time.Now().Add(lineLimit))
	again, err := readOwn(r)
	p.run.rec.add("client %s: line %d did not come back within %v; of its next line it received %q, %v", id, number, lineLimit, again, err)
	if again == "M again\r\n" { // otherwise the line may only be late
		p.lost.Add(1)
	}
	return false
}
