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
	listRecoveryDelay   = 700 * time.Millisecond // discovery has so long before the fleet is asked
	maxConcurrentChecks = 4                      // candidates that are asked at a time
	maxCheckRounds      = 20                     // rounds over those that did not answer
	checkRoundInterval  = time.Second            // between them
)

// saveList has the fleet hold what discovery said last.
func (l *Loop) saveList(rev uint64) {
	if l.fleet == nil {
		return
	}
	var all discovery.List
	all.Rev, all.Whole = rev, true
	for _, sv := range l.servers {
		if sv.state != policy.Removed {
			all.Servers = append(all.Servers, sv.listed)
		}
	}
	l.fleet.SaveEndpointList(rev, discovery.Encode(all))
}

// scheduleListRecovery asks the fleet for its list if discovery has not answered by then.
func (l *Loop) scheduleListRecovery() {
	if l.fleet == nil {
		return
	}
	l.after(listRecoveryDelay, func() {
		if l.hasCurrentList {
			return
		}
		l.fleet.LoadEndpointList(func() bool { return l.Lists.Load() > 0 }, func(held fleet.EndpointList, age time.Duration) {
			l.post(event{run: func() { l.listRecovered(held, age) }})
		})
	})
}

// listRecovered takes it, by its age.
func (l *Loop) listRecovered(held fleet.EndpointList, age time.Duration) {
	young, old := l.fleet.EndpointListAges()
	list, err := discovery.Decode(json.RawMessage(held.Endpoints))
	say := func(what string) {
		l.log.Warn("fleet: list of before, as discovery is silent", zap.String("is", what), zap.Duration("age", age), zap.Uint64("rev", held.Revision),
			zap.Int("servers", len(list.Servers)), zap.Error(err))
	}
	switch {
	case err != nil:
		say("unreadable")
	case l.hasCurrentList || l.initialList.Whole && l.initialList.Rev >= held.Revision && len(l.initialList.Servers) > 0:
		say("not needed")
	case age <= young:
		say("used")
		l.applyList(list, true)
		l.readyDue = true // there is somebody to go to
		l.markReady()
	case age <= old:
		say("asked one by one")
		c := &candidates{loop: l}
		for _, s := range list.Servers {
			if s.State == policy.Ready {
				c.pending = append(c.pending, s)
			}
		}
		c.startNext()
	default:
		say("too old")
	}
}

// candidates are servers of an old list.
type candidates struct {
	loop       *Loop
	pending    []discovery.Server // in this round
	unanswered []discovery.Server // did not answer in it
	inFlight   int
	rounds     int
	alive      []discovery.Server // answered
}

// startNext asks the next ones, few at a time.
func (c *candidates) startNext() {
	for !c.loop.hasCurrentList && c.inFlight < maxConcurrentChecks && len(c.pending) > 0 {
		s := c.pending[0]
		c.pending = c.pending[1:]
		c.inFlight++
		c.check(s)
	}
	if c.loop.hasCurrentList || c.inFlight > 0 || len(c.pending) > 0 || len(c.unanswered) == 0 || c.rounds == maxCheckRounds {
		return
	}
	c.rounds++
	c.loop.after(checkRoundInterval, func() {
		c.pending, c.unanswered = c.unanswered, nil
		c.startNext()
	})
}

// check asks one whether it is there; who says yes is listed.
func (c *candidates) check(s discovery.Server) {
	l := c.loop
	l.Candidates.Add(1)
	over := false
	var a *upstreamDial
	end := func(yes bool) {
		if over {
			return
		}
		over = true
		a.cancel()
		c.inFlight--
		if yes && !l.hasCurrentList {
			c.alive = append(c.alive, s)
			l.applyList(discovery.List{Whole: true, Servers: c.alive}, true)
			l.readyDue = true // somebody to go to is enough to be ready
			l.markReady()
		} else {
			c.unanswered = append(c.unanswered, s)
		}
		c.startNext()
	}
	a = l.dial(s.Endpoint, maxConnectTimeout, nil, func(conn *relay.Conn, err error) {
		if err != nil || conn.CheckOpen() != nil || conn.WriteFirst(protocol.PingLine) != nil {
			end(false)
			return
		}
		conn.AwaitLine()
	})
	a.onLine = func(_ *relay.Conn, ln protocol.Line) { end(ln.Bad == nil && ln.Kind == protocol.Pong) }
	a.onDisconnected = func(*relay.Conn, error) { end(false) }
	l.after(maxConnectTimeout+l.probeTimeout(), func() { end(false) })
}
