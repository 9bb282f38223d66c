package balancer

import (
	"context"
	"runtime"
	"time"

	"github.com/cloudwego/netpoll"

	"sabletally/internal/protocol"
)

const (
	firstLineTimeout = 2500 * time.Millisecond // from the accept, or from the answer to a PING
	expireInterval   = 100 * time.Millisecond
	// evictionReserve is the part of all descriptors, as a divisor, that is kept free of connections without a session.
	evictionReserve = 4
)

// connKey is the context key of a client's *conn.
type connKey struct{}

// Serve accepts clients until the listener fails. A listener that is shared with another process is served only once this process is
// ready; Serve returns nil after Shutdown.
func (l *Loop) Serve(listener *Listener) error {
	if listener.shared {
		<-l.becameReady // until then the old process knows more
	}
	onRequest := func(ctx context.Context, netConn netpoll.Connection) error {
		return ctx.Value(connKey{}).(*conn).onReadable(ctx, netConn)
	}
	onPrepare := func(netConn netpoll.Connection) context.Context {
		c := l.addClient(netConn)
		l.evictIdle(c)
		return context.WithValue(context.Background(), connKey{}, c)
	}
	events, err := netpoll.NewEventLoop(onRequest, netpoll.WithOnPrepare(onPrepare))
	if err != nil {
		return err
	}
	err = events.Serve(listener)
	if listener.stopped.Load() {
		return nil
	}
	return err
}

// addClient counts a client's connection and waits for its first line.
func (l *Loop) addClient(netConn netpoll.Connection) *conn {
	l.Accepted.Add(1)
	l.descriptors.Add(1)
	c := newConn(netConn, l, &l.descriptors)
	c.idle = l.idle
	l.idle.add(c, l.idle.silent)
	return c
}

// evictIdle keeps the descriptors of connections without a session, and of sessions that have ended, within what the others leave, so that
// clients that connect and say nothing can't keep others from being accepted or dialed. c is the connection that was accepted last. It
// runs on netpoll's goroutine.
func (l *Loop) evictIdle(c *conn) {
	for l.descriptors.Load() > l.availableDescriptors()-l.descriptorLimit/evictionReserve {
		if l.relay.CloseLingering() {
			continue
		}
		oldest, silent := l.idle.evict(c)
		if oldest == nil && l.relay.CloseHalfClosed() {
			continue
		}
		if oldest == nil {
			oldest, silent = l.idle.evict(nil)
		}
		if oldest == nil {
			break
		}
		l.Evicted.Add(1)
		if silent {
			oldest.writeUnbuffered(protocol.RejectLine(l.retryAfter()))
		}
		if oldest == c {
			c.close() // at once: netpoll registers it next, and fails on a connection that is closed meanwhile
			continue
		}
		oldest.closeAsync()
		runtime.Gosched() // the poller, which runs this, would accept more before the close
	}
	if l.descriptors.Load() > l.availableDescriptors() { // all the others have sessions
		l.DescriptorShortages.Add(1)
		c.writeUnbuffered(protocol.RejectLine(l.retryAfter()))
		c.close()
	}
}

// expireSilent ends clients that have sent no first line in time, and schedules itself again.
func (l *Loop) expireSilent() {
	l.after(expireInterval, l.expireSilent)
	for _, c := range l.idle.takeSilentSince(time.Now().Add(-firstLineTimeout)) {
		switch {
		case c.session != nil || c.finished:
		case c.unansweredPings > 0: // it waits for this balancer to be ready
			l.idle.add(c, l.idle.silent)
		default:
			l.FirstLineTimeouts.Add(1)
			l.closeWithLine(c, protocol.FailLine)
		}
	}
}

// rejectSilent rejects the clients that have not sent a line.
func (l *Loop) rejectSilent() {
	for _, c := range l.idle.takeSilentSince(time.Now()) {
		if c.session == nil && !c.finished {
			l.closeWithLine(c, protocol.RejectLine(l.retryAfter()))
		}
	}
}

// retryAfter is the Retry-After of a rejection for want of capacity; 0 where clients are given none.
func (l *Loop) retryAfter() time.Duration {
	limits := l.deployment.Policy
	if !limits.CanSendRetryAfter {
		return 0
	}
	return limits.MaxRetryAfter / 2
}
