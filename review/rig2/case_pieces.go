package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pieces"] = playPieces }

const (
	piecesClients  = 200
	piecesUpgrades = 20
	piecesPause    = 4 * time.Millisecond // longest pause between two bytes of a client
	piecesFigures  = 60                   // number of further figures in a line
	piecesLimit    = 1800 * time.Millisecond
	piecesSlack    = 550 * time.Millisecond // half a second after its time a request only earns nothing; 50 ms are the rule's slack
)

var deadlineField = regexp.MustCompile(`,d=\d+`)

// piecesPlay is the clients of one play, which write their lines byte by byte.
type piecesPlay struct {
	run     *run
	address string
	stop    chan struct{}
	wait    sync.WaitGroup
	next    atomic.Int64

	mu      sync.Mutex
	sent    map[string]bool   // lines of all clients, without their deadline
	byID    map[string]string // the same lines by id
	answers map[string]int
	altered []string // lines that reached a server and that no client had sent
	lost    []string // requests that were written whole and got no answer
}

// playPieces upgrades a balancer several times while clients write their lines in pieces. Each request gets one final answer, and servers
// get the lines that clients have sent.
func playPieces(r *run) error {
	p := &piecesPlay{run: r, stop: make(chan struct{}), sent: map[string]bool{}, byID: map[string]string{}, answers: map[string]int{}}
	w := newWorld(r.rec)
	w.quiet = true
	w.onLine = p.received
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
	conf := settings(0, []object{class("album-feed", "read_like", "all", 300, int(piecesLimit.Milliseconds()), 5000)})
	started := 0
	start := func() (*balancer, error) {
		started++
		dir := filepath.Join(r.tmp, fmt.Sprint("process-", started))
		if err := mkdir(dir); err != nil {
			return nil, err
		}
		return startBalancer(r.rec, options{name: "n1", dir: dir, tmp: r.tmp, listen: ln.Addr().String(), admin: freeAddress(), discovery: d.addr,
			known: d.whole(), settings: conf, listener: held})
	}
	old, err := start()
	if err != nil {
		return err
	}
	if err := old.awaitPong(10 * time.Second); err != nil {
		return err
	}
	p.address = old.listen
	p.wait.Add(piecesClients)
	for range piecesClients {
		go p.send()
	}
	for range piecesUpgrades {
		time.Sleep(1500 * time.Millisecond)
		if !r.trouble {
			continue
		}
		next, err := start()
		if err != nil {
			return err
		}
		if err := awaitYes(next, 6*time.Second); err != nil {
			return err
		}
		old.signal(syscall.SIGTERM)
		select {
		case <-old.exited:
		case <-time.After(2500 * time.Millisecond):
			old.signal(syscall.SIGKILL)
		}
		old = next
	}
	time.Sleep(1500 * time.Millisecond)
	close(p.stop)
	p.wait.Wait()
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

// received checks a line that has reached a server.
func (p *piecesPlay) received(s *server, line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sent[deadlineField.ReplaceAllString(line, "")] {
		p.altered = append(p.altered, line)
		p.run.rec.add("server %s received a line that no client has sent: %s", s.uid, strings.TrimSpace(line))
		if o, ok := parseOpen(line); ok && p.byID[o.id] != "" {
			p.run.rec.add("    its client has sent, apart from its deadline:      %s", strings.TrimSpace(p.byID[o.id]))
		}
	}
}

func (p *piecesPlay) send() {
	defer p.wait.Done()
	for {
		select {
		case <-p.stop:
			return
		default:
			p.sendOne()
		}
	}
}

// sendOne sends one request byte by byte and reads its answer.
func (p *piecesPlay) sendOne() {
	id := hex(0x10000000 + int(p.next.Add(1)))
	head := fmt.Sprintf("OPEN %s %s c=album-feed,t=circle-akcay", id, id)
	tail := ""
	for n := range piecesFigures {
		tail += fmt.Sprintf(",f%02d=%d", n, 1000+rand.IntN(9000))
	}
	line := head + fmt.Sprintf(",d=%d", piecesLimit.Milliseconds()) + tail + "\r\n"
	p.mu.Lock()
	p.sent[head+tail+"\r\n"] = true
	p.byID[id] = head + tail
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp4", p.address, time.Second)
	if err != nil {
		p.count("no connection: "+err.Error(), "")
		return
	}
	defer func() { _ = c.Close() }()
	for i := range line {
		if _, err := c.Write([]byte{line[i]}); err != nil {
			p.count("ended while the line was written", "")
			return
		}
		time.Sleep(rand.N(piecesPause))
	}
	_ = c.SetReadDeadline(time.Now().Add(piecesLimit + piecesSlack))
	answer := make([]byte, 128)
	length, err := c.Read(answer)
	text := strings.TrimSpace(string(answer[:length]))
	switch {
	case length == 0:
		p.count("no answer", fmt.Sprintf("id %s, written whole, got no answer within %v: %v", id, piecesLimit+piecesSlack, err))
	case strings.HasPrefix(text, "UP"), strings.HasPrefix(text, "BUSY"):
		p.count(strings.Fields(text)[0], "")
	default:
		p.count(text, "")
	}
}

// count counts an answer, and records a request that was lost.
func (p *piecesPlay) count(answer, lost string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[answer]++
	if lost != "" {
		p.lost = append(p.lost, lost)
		p.run.rec.add("lost: %s", lost)
	}
}

func (p *piecesPlay) verdict() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run.rec.add("sent %d requests, answers %v, %d altered, %d lost", len(p.sent), p.answers, len(p.altered), len(p.lost))
	if len(p.altered)+len(p.lost) > 0 {
		return broken("%d lines reached a server that no client had sent, %d requests got no answer", len(p.altered), len(p.lost))
	}
	if p.answers["UP"] == 0 {
		return fmt.Errorf("nobody was served")
	}
	return nil
}
