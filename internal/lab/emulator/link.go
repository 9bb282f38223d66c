// This file owns links: a relay between two parties whose way can be made long, narrow, stalled or cut.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	linkChunk         = 4096
	maxChunksInFlight = 64 // for each direction of a connection

	retransmitDelay = 200 * time.Millisecond
)

// Condition is how a link is now.
type Condition struct {
	Delay   time.Duration // added to everything
	Jitter  time.Duration // and up to so much more; what was sent first still arrives first
	Rate    float64       // bytes a second, each connection and direction; 0: no limit
	LateIn  time.Duration // towards the listener's side so much longer still,
	LateOut time.Duration // and the other way
	Resent  float64       // share of the pieces that are lost once and sent again, which takes resendAfter
	Stall   bool          // nothing passes, nothing is lost
	CutOut  bool          // nothing passes towards the listener's side (from who listens to who dialed)
	CutIn   bool          // nothing passes the other way
}

// Link relays connections to an address.
type Link struct {
	to string
	ln net.Listener

	mu      sync.Mutex
	cond    Condition
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// NewLink makes a link to an address, which listens at one of its own.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", Loopback())
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	l := newLink(to)
	l.ln = ln
	go l.accept()
	return l, nil
}

// newLink makes a link that listens nowhere: connections are handed to it.
func newLink(to string) *Link {
	return &Link{to: to, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set changes how it is.
func (l *Link) Set(change func(*Condition)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.cond)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset breaks all that passes now.
func (l *Link) Reset() {
	l.mu.Lock()
	all := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		reset(c)
	}
}

// Close ends the link and all on it.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	if l.ln != nil {
		_ = l.ln.Close()
	}
	l.Reset()
	l.Set(func(*Condition) {})
}

func (l *Link) condition() (Condition, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cond, l.changed, l.closed
}

func (l *Link) track(c net.Conn, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

// forward takes a connection to its far side and passes what comes, until both have ended.
func (l *Link) forward(near net.Conn) {
	// Before the dial: the far side may have accepted, and a Reset come, before the dial is back.
	l.track(near, true)
	defer l.track(near, false)
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(near)
		return
	}
	l.track(far, true)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.copyDelayed(near, far, true) }()
	go func() { defer both.Done(); l.copyDelayed(far, near, false) }()
	both.Wait()
	_ = near.Close()
	_ = far.Close()
	l.track(far, false)
}

// chunk is a piece on its way; err is how the sender ended.
type chunk struct {
	text []byte
	due  time.Time
	err  error
}

// copyDelayed carries one direction; an end goes on as an end, a reset as a reset.
func (l *Link) copyDelayed(from, to net.Conn, in bool) {
	way := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(way)
		var last time.Time
		for {
			text := make([]byte, linkChunk)
			n, err := from.Read(text)
			cond, _, _ := l.condition()
			due := time.Now().Add(cond.Delay)
			if in {
				due = due.Add(cond.LateIn)
			} else {
				due = due.Add(cond.LateOut)
			}
			for rand.Float64() < cond.Resent {
				due = due.Add(retransmitDelay)
			}
			if cond.Jitter > 0 {
				due = due.Add(time.Duration(rand.Float64() * float64(cond.Jitter)))
			}
			if due.Before(last) {
				due = last
			}
			last = due
			way <- chunk{text[:n], due, err}
			if err != nil {
				return
			}
		}
	}()
	for c := range way {
		time.Sleep(time.Until(c.due))
		for {
			cond, changed, closed := l.condition()
			if closed || !cond.Stall && (!in || !cond.CutIn) && (in || !cond.CutOut) {
				if cond.Rate > 0 {
					time.Sleep(time.Duration(float64(len(c.text)) / cond.Rate * float64(time.Second)))
				}
				break
			}
			<-changed // cut is a stall that ends with the connection: nothing overtakes
		}
		if len(c.text) > 0 {
			if _, err := to.Write(c.text); err != nil {
				reset(from)
			}
		}
		switch {
		case c.err == nil:
		case IsAbruptClose(c.err):
			reset(to)
		default:
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		}
	}
}
