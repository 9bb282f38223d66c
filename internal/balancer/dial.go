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

var errConnect = errors.New("not up in time")

// noRoom tells whether a dial failed for want of a descriptor, which is no fault of its server's.
func noRoom(err error) bool {
	return errors.Is(err, relay.ErrNoRoom) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// called is one dial: a setup try's, or a probe's.
type called struct {
	cir   *circuit // nil for a probe
	up    func(c *relay.Conn, err error)
	said  func(c *relay.Conn, ln protocol.Line)
	gone  func(c *relay.Conn, why error)
	conn  atomic.Pointer[relay.Conn]
	off   atomic.Bool // it is not wanted any more
	ended bool        // the loop's alone: up has been called
}

// cancel ends a dial that is not wanted any more, whether or not it has a connection yet.
func (a *called) cancel() {
	a.off.Store(true)
	if c := a.conn.Load(); c != nil {
		c.Close()
	}
}

// dial starts a connection to a server beside the loop, for the connect time limit or a try's time at most. None is begun once it
// is cancelled or its circuit's client has gone.
func (l *Loop) dial(address string, within time.Duration, cir *circuit, up func(*relay.Conn, error)) *called {
	if limit := l.dep.ConnectTimeout; limit > 0 {
		within = min(within, limit)
	} else {
		within = min(within, connectMost)
	}
	a := &called{cir: cir}
	a.up = func(c *relay.Conn, err error) {
		if a.ended {
			if c != nil {
				c.Close()
			}
			return
		}
		a.ended = true
		if err != nil && c != nil {
			c.Close()
			c = nil
		}
		up(c, err)
	}
	l.after(within, func() {
		if !a.ended {
			a.cancel()
			a.up(nil, errConnect)
		}
	})
	if cir != nil {
		a.said = func(c *relay.Conn, ln protocol.Line) {
			if cir.server == c {
				l.verdict(cir, ln)
			}
		}
		a.gone = func(c *relay.Conn, why error) {
			switch {
			case cir.server != c:
			case errors.Is(why, relay.ErrTooLong):
				l.tryEnded(cir, policy.Failed, why)
			default:
				l.tryEnded(cir, policy.Reset, why)
			}
		}
	}
	wanted := func() bool { return !a.off.Load() }
	if cir != nil {
		turn := cir.turn
		wanted = func() bool { return l.stays(cir, turn) && !a.off.Load() }
	}
	// Not less what the other process of an upgrade holds: what is taken in is not given up for what is passed between them.
	most := l.most
	if cir == nil {
		most += probeFds
	}
	go func() {
		c, err := l.relays.Dial(address, most, wanted, a)
		if errors.Is(err, relay.ErrUnwanted) {
			return
		}
		if err != nil {
			l.post(event{of: cir, do: func() { a.up(nil, err) }})
			return
		}
		if a.conn.Store(c); a.off.Load() {
			c.Close()
		}
	}()
	return a
}

// told takes what relays say; it posts.
type told struct{ l *Loop }

func (r told) Connected(c *relay.Conn, err error) {
	a := c.Data.(*called)
	r.l.post(event{of: a.cir, do: func() { a.up(c, err) }})
}

func (r told) Said(c *relay.Conn, raw []byte) {
	a := c.Data.(*called)
	ln := protocol.Decode(raw)
	r.l.post(event{of: a.cir, do: func() { a.said(c, ln) }})
}

func (r told) Gone(c *relay.Conn, _ bool, why error) {
	a := c.Data.(*called)
	r.l.post(event{of: a.cir, do: func() { a.gone(c, why) }})
}

func (r told) Ended(p *relay.Pair, by relay.Side, abrupt bool, why error) {
	cir := p.Data.(*circuit)
	r.l.post(event{of: cir, do: func() { r.l.pairEnded(cir, p, by, abrupt, why) }})
}

func (r told) Loads(all []relay.Load) {
	r.l.post(event{do: func() {
		for _, one := range all {
			cir := one.Pair.Data.(*circuit)
			if ln := protocol.Decode(one.Raw); ln.Bad == nil && r.l.circuits[cir.id] == cir {
				cir.arrival.Load = ln.Figure
				r.l.bal.RecordLoad(cir.id, max(cir.tries-1, 0), ln.Figure)
			}
		}
	}})
}

func (r told) Panicked(at string, what any, stack []byte) {
	r.l.Panics.Add(1)
	r.l.log.Error("panic", zap.String("at", at), zap.Any("what", what), zap.ByteString("stack", stack))
}
