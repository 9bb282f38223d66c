// This file emulates network links: a TCP relay with delay, jitter, limited bandwidth, retransmissions, stalls and cuts.

package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	linkChunk         = 4096 // limit of the bytes that are read at a time
	maxChunksInFlight = 64   // limit of the chunks in transit, for each direction of a connection

	retransmitDelay = 200 * time.Millisecond // additional delay for each time that a chunk is retransmitted
)

// Condition is the state of a link. "In" is the direction to the address that the link relays to, "out" the direction back to the
// side that dialed.
type Condition struct {
	Delay           time.Duration // delay of all data, in both directions
	Jitter          time.Duration // longest random additional delay; data stays in order
	Rate            float64       // bytes per second, for each connection and direction; 0: no limit
	ExtraDelayIn    time.Duration // additional delay in direction in
	ExtraDelayOut   time.Duration // additional delay in direction out
	RetransmitShare float64       // probability that a chunk is lost and retransmitted, which adds retransmitDelay each time
	Stall           bool          // whether all data is held back, without loss
	CutOut          bool          // whether data in direction out is held back
	CutIn           bool          // whether data in direction in is held back
}

// Link relays connections to an address.
type Link struct {
	to string       // address that connections are relayed to
	ln net.Listener // nil for a link that connections are passed to

	mu      sync.Mutex
	cond    Condition
	changed chan struct{}     // closed and replaced when cond changes
	conns   map[net.Conn]bool // open connections of both sides
	closed  bool
}

// NewLink starts a link to an address; it listens on a loopback address of its own.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", Loopback())
	if err != nil {
		return nil, fmt.Errorf("listen for a link: %w", err)
	}
	l := newLink(to)
	l.ln = ln
	go l.accept()
	return l, nil
}

// newLink returns a link without a listener; connections are passed to forward.
func newLink(to string) *Link {
	return &Link{to: to, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set changes the link's condition.
func (l *Link) Set(change func(*Condition)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.cond)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open connections.
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

// Close stops the link and resets its connections.
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

// condition returns the current condition, a channel that is closed when it changes, and whether the link is closed.
func (l *Link) condition() (Condition, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cond, l.changed, l.closed
}

// track adds a connection to those that Reset closes, or removes it.
func (l *Link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

// accept forwards each connection until the listener is closed.
func (l *Link) accept() {
	for {
		near, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

// forward dials the link's target and relays a connection in both directions until both have ended.
func (l *Link) forward(near net.Conn) {
	// The connection is tracked before the dial, because the target may accept and a Reset may follow before the dial returns.
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

// chunk is data in transit, or the end of a direction.
type chunk struct {
	text []byte
	due  time.Time // earliest time at which the chunk is delivered
	err  error     // error with which reading from the sender's side ended; nil if it goes on
}

// copyDelayed relays one direction of a connection; an orderly close is relayed as a close, a reset as a reset.
func (l *Link) copyDelayed(from, to net.Conn, in bool) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(inFlight)
		var last time.Time
		for {
			text := make([]byte, linkChunk)
			n, err := from.Read(text)
			cond, _, _ := l.condition()
			due := time.Now().Add(cond.Delay)
			if in {
				due = due.Add(cond.ExtraDelayIn)
			} else {
				due = due.Add(cond.ExtraDelayOut)
			}
			for rand.Float64() < cond.RetransmitShare {
				due = due.Add(retransmitDelay)
			}
			if cond.Jitter > 0 {
				due = due.Add(time.Duration(rand.Float64() * float64(cond.Jitter)))
			}
			if due.Before(last) {
				due = last
			}
			last = due
			inFlight <- chunk{text[:n], due, err}
			if err != nil {
				return
			}
		}
	}()
	for c := range inFlight {
		time.Sleep(time.Until(c.due))
		for {
			cond, changed, closed := l.condition()
			if closed || !cond.Stall && (!in || !cond.CutIn) && (in || !cond.CutOut) {
				if cond.Rate > 0 {
					time.Sleep(time.Duration(float64(len(c.text)) / cond.Rate * float64(time.Second)))
				}
				break
			}
			<-changed // a cut holds data back like a stall, so that data stays in order
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
