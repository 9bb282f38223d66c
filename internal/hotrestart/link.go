package hotrestart

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxMessageSize = 160 << 10 // bytes; most of it a session's unwritten lines
	sendBufferSize = 512 << 10 // bytes
	maxDescriptors = 2         // of one message

	// maxUnconfirmed bounds the messages with descriptors that are sent and not confirmed: the kernel counts those descriptors too.
	maxUnconfirmed = 16
	// confirmTimeout is how long a write or a confirmation may take before nothing more is sent. Clients' lines may be held for a
	// second in all.
	confirmTimeout = 700 * time.Millisecond
	// silentPeerTimeout is how long after that the other process may still confirm what it was sent, or end.
	silentPeerTimeout = 2 * time.Second
)

var errClosedLocally = errors.New("closed by this process")

// Link is one connection to the other process. Its methods are safe for concurrent use; its handler is called by one goroutine.
type Link struct {
	conn    *net.UnixConn
	handler Handler

	mu           sync.Mutex
	stateChanged *sync.Cond // any of the fields below has changed
	queue        []outbound
	// unconfirmed were sent, oldest first. Their descriptors stay open here until the other process has confirmed them.
	unconfirmed []outbound
	sendClosed  bool
	readDone    bool // no confirmation will arrive any more
	// finalOutcome is the outcome of what is unconfirmed once readDone is set.
	finalOutcome Outcome

	confirmTimer *time.Timer // runs while something is unconfirmed
	closeOnce    sync.Once
}

// outbound is a message that is queued or sent.
type outbound struct {
	payload     []byte
	descriptors []int
	done        func(Outcome)
}

// settle reports the outcome, after it has closed the descriptors that do not return to the caller.
func (o outbound) settle(outcome Outcome) {
	if outcome != Returned {
		closeDescriptors(o.descriptors)
	}
	if o.done != nil {
		o.done(outcome)
	}
}

func newLink(conn *net.UnixConn, handler Handler) *Link {
	l := &Link{conn: conn, handler: handler, finalOutcome: Unconfirmed}
	l.stateChanged = sync.NewCond(&l.mu)
	l.confirmTimer = time.AfterFunc(confirmTimeout, l.onConfirmTimeout)
	l.confirmTimer.Stop()
	return l
}

// Send queues a message. The descriptors that accompany it belong to the link. done, if not nil, is called once with the outcome,
// possibly before Send returns.
func (l *Link) Send(m Message, done func(Outcome), descriptors ...int) {
	m.Version = protocolVersion
	payload, err := json.Marshal(m)
	out := outbound{payload: payload, descriptors: descriptors, done: done}
	l.mu.Lock()
	refused := l.sendClosed || err != nil || len(payload) > maxMessageSize
	if !refused {
		l.queue = append(l.queue, out)
		l.stateChanged.Broadcast()
	}
	l.mu.Unlock()
	if refused {
		out.settle(Returned)
	}
}

// Close closes the link.
func (l *Link) Close() { l.closeWithReason(errClosedLocally) }

// closeWithReason closes the link and reports why, once.
func (l *Link) closeWithReason(why error) {
	l.closeOnce.Do(func() {
		l.closeSend()
		_ = l.conn.Close() // nothing is left to be done with the connection
		l.handler.Closed(l, why)
	})
}

// closeSend stops the sending: what is queued is settled as Returned.
func (l *Link) closeSend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendClosed = true
	l.stateChanged.Broadcast()
}

// isClosedByPeer reports whether an error means that the other process has closed its end.
func isClosedByPeer(err error) bool {
	return errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET)
}

func closeDescriptors(descriptors []int) {
	for _, fd := range descriptors {
		_ = unix.Close(fd) // the descriptor is gone whatever close returns
	}
}
