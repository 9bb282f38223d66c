// This file owns a start while discovery is silent: the list that the fleet holds. A young one is used; of an older one each server
// is asked before it is listed, few at a time; past a limit nothing of it is. Discovery's first word ends all that. It must
// never list a server that the held list calls draining, nor judge one: who is listed is the module's to choose from.

package balancer

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/discovery"
	"sabletally/internal/fleet"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

const (
	recallAfter = 700 * time.Millisecond // discovery has so long before the fleet is asked
	askAtOnce   = 4                      // candidates that are asked at a time
	askTimes    = 20                     // rounds over those that did not answer
	askPause    = time.Second            // between them
)

// keepList has the fleet hold what discovery said last.
func (l *Loop) keepList(rev uint64) {
	if l.fleet == nil {
		return
	}
	var all discovery.List
	all.Rev, all.Whole = rev, true
	for _, sv := range l.servers {
		if sv.state != policy.Removed {
			all.Servers = append(all.Servers, sv.listedAs)
		}
	}
	l.fleet.SaveEndpointList(rev, discovery.Encode(all))
}

// recall asks the fleet for its list if discovery has not answered by then.
func (l *Loop) recall() {
	if l.fleet == nil {
		return
	}
	l.after(recallAfter, func() {
		if l.listed {
			return
		}
		l.fleet.LoadEndpointList(func() bool { return l.Lists.Load() > 0 }, func(held fleet.EndpointList, age time.Duration) {
			l.post(event{do: func() { l.recalled(held, age) }})
		})
	})
}

// recalled takes it, by its age.
func (l *Loop) recalled(held fleet.EndpointList, age time.Duration) {
	young, old := l.fleet.EndpointListAges()
	list, err := discovery.Decode(json.RawMessage(held.Endpoints))
	say := func(what string) {
		l.log.Warn("fleet: list of before, as discovery is silent", zap.String("is", what), zap.Duration("age", age), zap.Uint64("rev", held.Revision),
			zap.Int("servers", len(list.Servers)), zap.Error(err))
	}
	switch {
	case err != nil:
		say("unreadable")
	case l.listed || l.known.Whole && l.known.Rev >= held.Revision && len(l.known.Servers) > 0:
		say("not needed")
	case age <= young:
		say("used")
		l.list(list, true)
		l.due = true // there is somebody to go to
		l.welcome()
	case age <= old:
		say("asked one by one")
		c := &candidates{l: l}
		for _, s := range list.Servers {
			if s.State == policy.Ready {
				c.wait = append(c.wait, s)
			}
		}
		c.more()
	default:
		say("too old")
	}
}

// candidates are servers of an old list.
type candidates struct {
	l      *Loop
	wait   []discovery.Server // in this round
	again  []discovery.Server // did not answer in it
	out    int
	rounds int
	there  []discovery.Server // answered
}

// more asks the next ones, few at a time.
func (c *candidates) more() {
	for !c.l.listed && c.out < askAtOnce && len(c.wait) > 0 {
		s := c.wait[0]
		c.wait = c.wait[1:]
		c.out++
		c.ask(s)
	}
	if c.l.listed || c.out > 0 || len(c.wait) > 0 || len(c.again) == 0 || c.rounds == askTimes {
		return
	}
	c.rounds++
	c.l.after(askPause, func() {
		c.wait, c.again = c.again, nil
		c.more()
	})
}

// ask asks one whether it is there; who says yes is listed.
func (c *candidates) ask(s discovery.Server) {
	l := c.l
	l.Candidates.Add(1)
	over := false
	var a *called
	end := func(yes bool) {
		if over {
			return
		}
		over = true
		a.cancel()
		c.out--
		if yes && !l.listed {
			c.there = append(c.there, s)
			l.list(discovery.List{Whole: true, Servers: c.there}, true)
			l.due = true // somebody to go to is enough to be ready
			l.welcome()
		} else {
			c.again = append(c.again, s)
		}
		c.more()
	}
	a = l.dial(s.Endpoint, connectMost, nil, func(conn *relay.Conn, err error) {
		if err != nil || conn.Early() != nil || conn.Ask(protocol.PingLine) != nil {
			end(false)
			return
		}
		conn.Listen()
	})
	a.said = func(_ *relay.Conn, ln protocol.Line) { end(ln.Bad == nil && ln.Kind == protocol.Pong) }
	a.gone = func(*relay.Conn, error) { end(false) }
	l.after(connectMost+l.probeWithin(), func() { end(false) })
}
