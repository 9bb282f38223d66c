package balancer

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file dials servers and passes what the relay reports to the loop.

// maxConnectTimeout bounds a dial if the settings give no limit.
const maxConnectTimeout = time.Second

var errConnectTimeout = errors.New("connect timeout")

// isDescriptorShortage reports whether a dial failed because no descriptor was free, which must not count against the server.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, relay.ErrDescriptorLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// upstreamDial is one dial to a server, for an attempt or a probe, and the handlers of its connection's events.
type upstreamDial struct {
	session        *session // session of the attempt, nil for a probe
	onConnected    func(c *relay.Conn, err error)
	onLine         func(c *relay.Conn, line protocol.Line)
	onDisconnected func(c *relay.Conn, cause error)

	conn      atomic.Pointer[relay.Conn] // connection, nil until the relay has started to connect
	cancelled atomic.Bool

	// The fields below are accessed by the loop only.
	finished  bool   // whether onConnected has been called
	stopTimer func() // stops the timer of the connect timeout
}

// cancel cancels a dial and closes its connection, if it has one already.
func (d *upstreamDial) cancel() {
	d.cancelled.Store(true)
	d.stopTimer()
	if c := d.conn.Load(); c != nil {
		c.Close()
	}
}

// finish calls onConnected with the result of the dial, the first time that it is called. A connection that onConnected does not get is
// closed.
func (d *upstreamDial) finish(c *relay.Conn, err error, onConnected func(*relay.Conn, error)) {
	if c != nil && (d.finished || err != nil) {
		c.Close()
		c = nil
	}
	if d.finished {
		return
	}
	d.finished = true
	d.stopTimer()
	onConnected(c, err)
}

// connectTimeout returns the maximum time for connecting to a server.
func (l *Loop) connectTimeout() time.Duration {
	if limit := l.deployment.ConnectTimeout; limit > 0 {
		return limit
	}
	return maxConnectTimeout
}

// dial connects to a server without blocking the loop, within the timeout and the settings' limit. No connection is started once the
// dial is cancelled or the session's client has disconnected. session is nil for a probe.
func (l *Loop) dial(address string, timeout time.Duration, session *session, onConnected func(*relay.Conn, error)) *upstreamDial {
	timeout = min(timeout, l.connectTimeout())
	d := &upstreamDial{session: session}
	d.onConnected = func(c *relay.Conn, err error) { d.finish(c, err, onConnected) }
	timer := l.after(timeout, func() {
		if !d.finished {
			d.cancel()
			d.onConnected(nil, errConnectTimeout)
		}
	})
	d.stopTimer = func() { l.stop(timer) }
	// The descriptors of the other process of a hot restart are not subtracted: an admitted session must not fail because of them.
	limit := l.descriptorLimit
	wanted := func() bool { return !d.cancelled.Load() }
	if session == nil {
		limit += probeDescriptors
	} else {
		l.handleSessionDial(d)
		generation := session.generation
		wanted = func() bool { return l.clientWaits(session, generation) && !d.cancelled.Load() }
	}
	go l.runDial(d, address, limit, wanted)
	return d
}

// handleSessionDial sets the handlers for a dial of a session's attempt.
func (l *Loop) handleSessionDial(d *upstreamDial) {
	session := d.session
	d.onLine = func(c *relay.Conn, line protocol.Line) {
		if session.upstreamConn == c {
			l.handleResponse(session, line)
		}
	}
	d.onDisconnected = func(c *relay.Conn, cause error) {
		switch {
		case session.upstreamConn != c:
		case errors.Is(cause, relay.ErrLineTooLong):
			l.attemptEnded(session, policy.Failed, cause)
		default:
			l.attemptEnded(session, policy.Reset, cause)
		}
	}
}

// runDial starts the connection. The relay reports its result to relayHandler.
func (l *Loop) runDial(d *upstreamDial, address string, descriptorLimit int64, wanted func() bool) {
	c, err := l.relay.Dial(address, descriptorLimit, wanted, d)
	if errors.Is(err, relay.ErrDialCancelled) {
		return
	}
	if err != nil {
		l.post(event{session: d.session, run: func() { d.onConnected(nil, err) }})
		return
	}
	d.conn.Store(c)
	if d.cancelled.Load() {
		c.Close()
	}
}

// relayHandler posts the relay's events to the loop.
type relayHandler struct{ loop *Loop }

func (h relayHandler) Connected(c *relay.Conn, err error) {
	d := c.Data.(*upstreamDial)
	h.loop.post(event{session: d.session, run: func() { d.onConnected(c, err) }})
}

func (h relayHandler) LineReceived(c *relay.Conn, raw []byte) {
	d := c.Data.(*upstreamDial)
	line := protocol.Decode(raw)
	h.loop.post(event{session: d.session, run: func() { d.onLine(c, line) }})
}

func (h relayHandler) Disconnected(c *relay.Conn, _ bool, cause error) {
	d := c.Data.(*upstreamDial)
	h.loop.post(event{session: d.session, run: func() { d.onDisconnected(c, cause) }})
}

func (h relayHandler) PairEnded(end relay.PairEnd) {
	session := end.Pair.Data.(*session)
	h.loop.post(event{session: session, run: func() { h.loop.relayEnded(session, end) }})
}

func (h relayHandler) LoadsReported(loads []relay.LoadLine) {
	h.loop.post(event{run: func() {
		for _, load := range loads {
			session := load.Pair.Data.(*session)
			if line := protocol.Decode(load.Raw); line.Err == nil && h.loop.isCurrent(session) {
				h.loop.recordLoad(session, line.Value)
			}
		}
	}})
}

func (h relayHandler) Panicked(at string, what any, stack []byte) {
	h.loop.Panics.Add(1)
	h.loop.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", stack))
}
