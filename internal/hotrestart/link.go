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
	maxMessageSize = 160 << 10 // largest message in bytes; most of it is for the unwritten lines of a session
	sendBufferSize = 512 << 10 // send buffer of the socket in bytes
	maxDescriptors = 2         // most descriptors that accompany one message

	// maxUnconfirmed bounds the messages with descriptors that are sent and not confirmed. The kernel limits the number of descriptors in
	// flight.
	maxUnconfirmed = 16
	// confirmTimeout is how long a write or a confirmation may take before sending stops. Clients' lines may be delayed for one second in
	// total.
	confirmTimeout = 700 * time.Millisecond
	// silentPeerTimeout is how long, after sending has stopped, the other process may still confirm the messages it was sent, or end.
	silentPeerTimeout = 2 * time.Second
)

var errClosedLocally = errors.New("closed by this process")

// Link is one connection to the other process. Its methods are safe for concurrent use. Its handler's Closed may be called while Received is
// still running on another goroutine.
type Link struct {
	conn    *net.UnixConn
	handler Handler

	mu           sync.Mutex
	stateChanged *sync.Cond // signals that any of the fields below has changed
	queue        []outbound // messages to send, oldest first
	// unconfirmed are the messages with descriptors that were sent and not confirmed, oldest first. Their descriptors stay open in this
	// process until the other one confirms them.
	unconfirmed []outbound
	sendClosed  bool // whether sending has stopped
	readDone    bool // whether reading has ended, so that no further confirmation can arrive
	// finalOutcome is the outcome of the messages that are unconfirmed when readDone is set.
	finalOutcome Outcome

	confirmTimer *time.Timer // timer of the oldest unconfirmed message; stopped while there is none
	closeOnce    sync.Once
}

// outbound is a message that is queued or sent.
type outbound struct {
	payload     []byte
	descriptors []int
	done        func(Outcome)
}

// settle reports the outcome of a message. Unless the descriptors return to the caller, it closes them first.
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

// Send queues a message. The link owns the descriptors that accompany it. done, if not nil, is called once with the outcome, possibly
// before Send returns.
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

// closeWithReason closes the link and reports the reason to the handler. Only the first call has an effect.
func (l *Link) closeWithReason(reason error) {
	l.closeOnce.Do(func() {
		l.closeSend()
		_ = l.conn.Close() // an error changes nothing: the connection is not used any more
		l.handler.Closed(l, reason)
	})
}

// closeSend stops sending. Queued messages are settled as Returned.
func (l *Link) closeSend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendClosed = true
	l.stateChanged.Broadcast()
}

// isClosedByPeer reports whether an error means that the other process has closed its end of the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, unix.EPIPE) || errors.Is(err, unix.ECONNRESET)
}

func closeDescriptors(descriptors []int) {
	for _, fd := range descriptors {
		_ = unix.Close(fd) // the descriptor is released even if close returns an error
	}
}
