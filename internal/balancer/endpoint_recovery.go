package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/discovery"
	"sabletally/internal/fleet"
	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file is the start while discovery is silent: the balancer recovers the endpoint list that the fleet keeps. A recent list is
// used. Of an older one only servers that answer a check are listed. One that is too old is not used at all. It never lists a server
// that the recovered list calls draining. Discovery's first list ends all that.

const (
	listRecoveryDelay   = 700 * time.Millisecond // discovery has this long to answer
	maxConcurrentChecks = 4
	maxCheckRounds      = 20 // over the servers that have not answered
	checkRoundInterval  = time.Second
)

// saveList saves the current endpoint list in the fleet.
func (l *Loop) saveList(revision uint64) {
	if l.fleet == nil {
		return
	}
	list := discovery.List{Revision: revision, Complete: true}
	for _, server := range l.servers {
		if server.state != policy.Removed {
			list.Endpoints = append(list.Endpoints, server.listed)
		}
	}
	l.fleet.SaveEndpointList(revision, discovery.Encode(list))
}

// scheduleListRecovery loads the fleet's endpoint list if discovery has not answered by then.
func (l *Loop) scheduleListRecovery() {
	if l.fleet == nil {
		return
	}
	l.after(listRecoveryDelay, func() {
		if l.hasCurrentList {
			return
		}
		isSuperseded := func() bool { return l.Lists.Load() > 0 }
		l.fleet.LoadEndpointList(isSuperseded, func(saved fleet.EndpointList, age time.Duration) {
			l.post(event{run: func() { l.listRecovered(saved, age) }})
		})
	})
}

// listRecovered decides by its age what becomes of the fleet's list.
func (l *Loop) listRecovered(saved fleet.EndpointList, age time.Duration) {
	maxUncheckedAge, maxAge := l.fleet.EndpointListAges()
	list, err := discovery.Decode(saved.Endpoints)
	logUse := func(use string) {
		l.log.Warn("fleet: list of before, as discovery is silent",
			zap.String("is", use),
			zap.Duration("age", age),
			zap.Uint64("rev", saved.Revision),
			zap.Int("servers", len(list.Endpoints)),
			zap.Error(err))
	}
	switch {
	case err != nil:
		logUse("unreadable")
	case l.hasCurrentList || l.hasInitialListSince(saved.Revision):
		logUse("not needed")
	case age <= maxUncheckedAge:
		logUse("used")
		l.useRecoveredList(list)
	case age <= maxAge:
		logUse("asked one by one")
		l.checkCandidates(list)
	default:
		logUse("too old")
	}
}

// hasInitialListSince reports whether the list from before the start is as new as that revision.
func (l *Loop) hasInitialListSince(revision uint64) bool {
	return l.initialList.Complete && l.initialList.Revision >= revision && len(l.initialList.Endpoints) > 0
}

// useRecoveredList lists servers, which is enough to be ready.
func (l *Loop) useRecoveredList(list discovery.List) {
	l.applyList(list, true)
	l.readyDue = true
	l.markReady()
}

// checkCandidates checks the servers of a list one by one.
func (l *Loop) checkCandidates(list discovery.List) {
	c := &candidates{loop: l}
	for _, server := range list.Endpoints {
		if server.State == policy.Ready {
			c.pending = append(c.pending, server)
		}
	}
	c.startNext()
}

// candidates are the servers of an old list.
type candidates struct {
	loop       *Loop
	pending    []discovery.Endpoint // to be checked in this round
	unanswered []discovery.Endpoint // did not answer in this round
	alive      []discovery.Endpoint // answered
	inFlight   int
	rounds     int
}

// startNext starts as many checks as may run at a time, and the next round after an interval.
func (c *candidates) startNext() {
	for !c.loop.hasCurrentList && c.inFlight < maxConcurrentChecks && len(c.pending) > 0 {
		next := c.pending[0]
		c.pending = c.pending[1:]
		c.inFlight++
		c.check(next)
	}
	if c.loop.hasCurrentList || c.inFlight > 0 || len(c.pending) > 0 {
		return
	}
	if len(c.unanswered) == 0 || c.rounds == maxCheckRounds {
		return
	}
	c.rounds++
	c.loop.after(checkRoundInterval, func() {
		c.pending = c.unanswered
		c.unanswered = nil
		c.startNext()
	})
}

// check asks a server whether it answers.
func (c *candidates) check(server discovery.Endpoint) {
	l := c.loop
	l.Candidates.Add(1)
	done := false
	var dial *upstreamDial
	finish := func(answered bool) {
		if done {
			return
		}
		done = true
		dial.cancel()
		c.checked(server, answered)
	}
	dial = l.dial(server.Address, maxConnectTimeout, nil, func(conn *relay.Conn, err error) {
		if err != nil || conn.CheckOpen() != nil || conn.WriteFirst(protocol.PingLine) != nil {
			finish(false)
			return
		}
		conn.AwaitLine()
	})
	dial.onLine = func(_ *relay.Conn, line protocol.Line) { finish(line.Err == nil && line.Kind == protocol.KindPong) }
	dial.onDisconnected = func(*relay.Conn, error) { finish(false) }
	l.after(maxConnectTimeout+l.probeTimeout(), func() { finish(false) })
}

// checked handles the end of a check: a server that has answered is listed.
func (c *candidates) checked(server discovery.Endpoint, answered bool) {
	c.inFlight--
	if answered && !c.loop.hasCurrentList {
		c.alive = append(c.alive, server)
		c.loop.useRecoveredList(discovery.List{Complete: true, Endpoints: c.alive})
	} else {
		c.unanswered = append(c.unanswered, server)
	}
	c.startNext()
}
