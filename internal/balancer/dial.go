// This file owns the loop's side of relays: dials, and what relays say, posted to the loop. It must never decide.

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

var errConnectTimeout = errors.New("not up in time")

// isDescriptorShortage tells whether a dial failed for want of a descriptor, which is no fault of its server's.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, relay.ErrDescriptorLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// upstreamDial is one dial: a setup try's, or a probe's.
type upstreamDial struct {
	session        *session // nil for a probe
	onConnected    func(c *relay.Conn, err error)
	onLine         func(c *relay.Conn, ln protocol.Line)
	onDisconnected func(c *relay.Conn, why error)
	conn           atomic.Pointer[relay.Conn]
	cancelled      atomic.Bool // it is not wanted any more
	finished       bool        // the loop's alone: up has been called
}

// cancel ends a dial that is not wanted any more, whether or not it has a connection yet.
func (a *upstreamDial) cancel() {
	a.cancelled.Store(true)
	if c := a.conn.Load(); c != nil {
		c.Close()
	}
}

// dial starts a connection to a server beside the loop, for the connect time limit or a try's time at most. None is begun once it
// is cancelled or its circuit's client has gone.
func (l *Loop) dial(address string, within time.Duration, cir *session, up func(*relay.Conn, error)) *upstreamDial {
	if limit := l.deployment.ConnectTimeout; limit > 0 {
		within = min(within, limit)
	} else {
		within = min(within, maxConnectTimeout)
	}
	a := &upstreamDial{session: cir}
	a.onConnected = func(c *relay.Conn, err error) {
		if a.finished {
			if c != nil {
				c.Close()
			}
			return
		}
		a.finished = true
		if err != nil && c != nil {
			c.Close()
			c = nil
		}
		up(c, err)
	}
	l.after(within, func() {
		if !a.finished {
			a.cancel()
			a.onConnected(nil, errConnectTimeout)
		}
	})
	if cir != nil {
		a.onLine = func(c *relay.Conn, ln protocol.Line) {
			if cir.upstreamConn == c {
				l.handleResponse(cir, ln)
			}
		}
		a.onDisconnected = func(c *relay.Conn, why error) {
			switch {
			case cir.upstreamConn != c:
			case errors.Is(why, relay.ErrLineTooLong):
				l.attemptEnded(cir, policy.Failed, why)
			default:
				l.attemptEnded(cir, policy.Reset, why)
			}
		}
	}
	wanted := func() bool { return !a.cancelled.Load() }
	if cir != nil {
		turn := cir.generation
		wanted = func() bool { return l.clientWaits(cir, turn) && !a.cancelled.Load() }
	}
	// Not less what the other process of an upgrade holds: what is taken in is not given up for what is passed between them.
	most := l.descriptorLimit
	if cir == nil {
		most += probeDescriptors
	}
	go func() {
		c, err := l.relay.Dial(address, most, wanted, a)
		if errors.Is(err, relay.ErrDialCancelled) {
			return
		}
		if err != nil {
			l.post(event{session: cir, run: func() { a.onConnected(nil, err) }})
			return
		}
		if a.conn.Store(c); a.cancelled.Load() {
			c.Close()
		}
	}()
	return a
}

// relayHandler takes what relays say; it posts.
type relayHandler struct{ loop *Loop }

func (r relayHandler) Connected(c *relay.Conn, err error) {
	a := c.Data.(*upstreamDial)
	r.loop.post(event{session: a.session, run: func() { a.onConnected(c, err) }})
}

func (r relayHandler) LineReceived(c *relay.Conn, raw []byte) {
	a := c.Data.(*upstreamDial)
	ln := protocol.Decode(raw)
	r.loop.post(event{session: a.session, run: func() { a.onLine(c, ln) }})
}

func (r relayHandler) Disconnected(c *relay.Conn, _ bool, why error) {
	a := c.Data.(*upstreamDial)
	r.loop.post(event{session: a.session, run: func() { a.onDisconnected(c, why) }})
}

func (r relayHandler) PairEnded(p *relay.Pair, by relay.Side, abrupt bool, why error) {
	cir := p.Data.(*session)
	r.loop.post(event{session: cir, run: func() { r.loop.relayEnded(cir, p, by, abrupt, why) }})
}

func (r relayHandler) LoadsReported(all []relay.LoadLine) {
	r.loop.post(event{run: func() {
		for _, one := range all {
			cir := one.Pair.Data.(*session)
			if ln := protocol.Decode(one.Raw); ln.Bad == nil && r.loop.sessions[cir.id] == cir {
				cir.arrival.Load = ln.Figure
				r.loop.policy.RecordLoad(cir.id, max(cir.attempts-1, 0), ln.Figure)
			}
		}
	}})
}

func (r relayHandler) Panicked(at string, what any, stack []byte) {
	r.loop.Panics.Add(1)
	r.loop.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", stack))
}
