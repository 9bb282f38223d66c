package balancer

import (
	"context"
	"runtime"
	"time"

	"github.com/cloudwego/netpoll"

	"sabletally/internal/protocol"
)

// This file accepts clients, evicts idle ones when descriptors run short, and ends those that send no first line in time.

const (
	firstLineTimeout = 2500 * time.Millisecond // time for a client's first line after the accept or after its last PING
	expireInterval   = 100 * time.Millisecond  // time between two checks for clients whose first line is late
	// evictionReserveDivisor sets the descriptors that are kept free of connections without a session: 1/4 of all.
	evictionReserveDivisor = 4
)

// connKey is the context key of a client's *conn.
type connKey struct{}

// Serve accepts clients until the listener fails. If the listener is shared with another process, it accepts the first client only once
// this process is ready. It returns nil once Shutdown has stopped the listener, which it does only if the listener is shared.
func (l *Loop) Serve(listener *Listener) error {
	if listener.shared {
		<-l.becameReady // before this process is ready, the predecessor, which knows the servers, accepts the clients
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

// addClient counts a client's connection and adds it to the silent ones, until its first line arrives.
func (l *Loop) addClient(netConn netpoll.Connection) *conn {
	l.Accepted.Add(1)
	l.descriptors.Add(1)
	c := newConn(netConn, l, &l.descriptors)
	c.idleConns = l.idleConns
	l.idleConns.add(c, l.idleConns.silent)
	return c
}

// evictIdle closes connections without a session, and connections of ended sessions, until the reserve of descriptors is free again.
// Thus clients that connect and send nothing can't use up the descriptors for other clients and for dials. c is the connection that was
// accepted last. It runs on netpoll's goroutine.
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
		if oldest == c {
			c.close() // synchronously: netpoll registers c next, and panics if it is closed during that
			continue
		}
		oldest.closeAsync()
		runtime.Gosched() // otherwise the poller, which runs this function, would accept more clients before the close
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
