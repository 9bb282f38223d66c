package balancer

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/poller"
	"sabletally/internal/protocol"
)

// This file accepts clients, evicts idle ones when descriptors run short, and ends those that send no first line in time.

const (
	firstLineTimeout = 2500 * time.Millisecond // time for a client's first line after the accept or after its last PING
	expireInterval   = 100 * time.Millisecond  // time between two checks for clients whose first line is late
	// evictionReserveDivisor sets the descriptors that are kept free of connections without a session: 1/4 of all.
	evictionReserveDivisor = 4

	maxAccepts          = 16                     // maximum number of clients that are accepted before other connections are read
	minAcceptRetryDelay = 10 * time.Millisecond  // time without an accept after one has failed
	maxAcceptRetryDelay = 100 * time.Millisecond // the same after several in a row have failed
)

// acceptor accepts the clients of a listener. It implements poller.Handler.
type acceptor struct {
	loop       *Loop
	listener   *Listener
	retryDelay time.Duration // length of the pause after the newest failure, 0 after a success; accessed by the poller's goroutine only
	stopped    chan struct{} // closed when the listener has been stopped
}

// Serve accepts clients until Shutdown has stopped the listener, which it does only if the listener is shared with another process. If the
// listener is shared, it accepts the first client only once this process is ready. An error means that it accepts none.
func (l *Loop) Serve(listener *Listener) error {
	if listener.shared {
		<-l.becameReady // before this process is ready, the predecessor, which knows the servers, accepts the clients
	}
	a := &acceptor{loop: l, listener: listener, stopped: make(chan struct{})}
	if _, err := l.nextPoller().Add(listener.fd, a); err != nil {
		return err
	}
	<-a.stopped
	return nil
}

// OnReadable implements poller.Handler: it accepts the clients that wait.
func (a *acceptor) OnReadable(registration *poller.Registration, _ []byte) {
	for range maxAccepts {
		fd, err := a.listener.accept()
		switch {
		case errors.Is(err, errNoClient):
			return
		case errors.Is(err, net.ErrClosed):
			registration.Remove()
			close(a.stopped)
			return
		case err != nil:
			a.loop.log.Warn("cannot accept a client", zap.Error(err))
			a.retryDelay = min(max(2*a.retryDelay, minAcceptRetryDelay), maxAcceptRetryDelay)
			registration.Pause(a.retryDelay)
			return
		}
		a.retryDelay = 0
		a.loop.clientAccepted(fd)
	}
}

// clientAccepted starts to serve a client's connection that was just accepted.
func (l *Loop) clientAccepted(fd int) {
	c := l.addClient(fd)
	l.evictIdle(c)
	c.startReading(l.nextPoller())
}

// nextPoller returns the poller of the next client's connection.
func (l *Loop) nextPoller() *poller.Poller {
	return l.pollers[int(l.pollerCounter.Add(1))%len(l.pollers)]
}

// addClient counts a client's connection and adds it to the silent ones, until its first line arrives.
func (l *Loop) addClient(fd int) *conn {
	l.Accepted.Add(1)
	l.descriptors.Add(1)
	c := newConn(fd, l, &l.descriptors)
	c.idleConns = l.idleConns
	l.idleConns.add(c, l.idleConns.silent)
	return c
}

// evictIdle closes connections without a session, and connections of ended sessions, until the reserve of descriptors is free again.
// Thus clients that connect and send nothing can't use up the descriptors for other clients and for dials. c is the connection that was
// accepted last, and is not read yet.
func (l *Loop) evictIdle(c *conn) {
	for l.descriptors.Load() > l.availableDescriptors()-l.descriptorLimit/evictionReserveDivisor {
		if l.relay.CloseLingering() {
			continue
		}
		oldest, silent := l.idleConns.evict(c)
		if oldest == nil && l.relay.CloseHalfClosed() {
			continue
		}
		if oldest == nil {
			oldest, silent = l.idleConns.evict(nil)
		}
		if oldest == nil {
			break
		}
		l.Evicted.Add(1)
		if silent {
			oldest.writeUnbuffered(protocol.RejectLine(l.retryAfter()))
		}
		oldest.close()
	}
	if l.descriptors.Load() > l.availableDescriptors() { // all other connections have sessions
		l.DescriptorShortages.Add(1)
		c.writeUnbuffered(protocol.RejectLine(l.retryAfter()))
		c.close()
	}
}

// expireSilentClients ends clients that have not sent their first line in time, and schedules itself again.
func (l *Loop) expireSilentClients() {
	l.after(expireInterval, l.expireSilentClients)
	for _, c := range l.idleConns.takeSilentSince(time.Now().Add(-firstLineTimeout)) {
		switch {
		case c.session != nil || c.finished:
		case c.unansweredPings > 0: // the client waits until this balancer is ready
			l.idleConns.add(c, l.idleConns.silent)
		default:
			l.FirstLineTimeouts.Add(1)
			l.closeWithLine(c, protocol.FailLine)
		}
	}
}

// rejectSilentClients rejects the clients that have not sent a request.
func (l *Loop) rejectSilentClients() {
	for _, c := range l.idleConns.takeSilentSince(time.Now()) {
		if c.session == nil && !c.finished {
			l.closeWithLine(c, protocol.RejectLine(l.retryAfter()))
		}
	}
}

// retryAfter returns the Retry-After for a rejection due to missing capacity, 0 if clients are sent none.
func (l *Loop) retryAfter() time.Duration {
	limits := l.deployment.Policy
	if !limits.CanSendRetryAfter {
		return 0
	}
	return limits.MaxRetryAfter / 2
}
