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

// This file recovers the endpoint list that the fleet stores, for a start while discovery does not answer. A recent list is used as it
// is. Of an older list, only servers that answer a check are used. A list that is too old is not used at all. A server that the stored
// list marks as draining is never checked. The first list from discovery ends the recovery.

const (
	listRecoveryDelay   = 700 * time.Millisecond // time that discovery has to answer before the stored list is loaded
	maxConcurrentChecks = 4
	maxCheckRounds      = 20 // number of times that servers without an answer are checked again
	checkRoundInterval  = time.Second
)

// saveList saves the endpoint list in force in the fleet, under discovery's revision.
func (l *Loop) saveList() {
	if l.fleet == nil {
		return
	}
	list := l.listInForce()
	l.fleet.SaveEndpointList(list.Revision, discovery.Encode(list))
}

// scheduleListRecovery loads the fleet's stored endpoint list if discovery has not answered within listRecoveryDelay.
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

// listRecovered decides by the age of the fleet's stored list whether and how it is used.
func (l *Loop) listRecovered(saved fleet.EndpointList, age time.Duration) {
	maxUncheckedAge, maxAge := l.fleet.EndpointListAges()
	list, err := discovery.Decode(saved.Endpoints)
	logUse := func(use string) {
		l.log.Warn("fleet: stored endpoint list loaded, as discovery does not answer",
			zap.String("is", use),
			zap.Duration("age", age),
			zap.Uint64("rev", saved.Revision),
			zap.Int("servers", len(list.Endpoints)),
			zap.Error(err))
	}
	switch {
	case err != nil:
		logUse("unreadable")
	case l.hasCurrentList || l.hasListSince(saved.Revision):
		logUse("not needed")
	case age <= maxUncheckedAge:
		logUse("used")
		l.listPosition = listPosition{address: l.discoveryAddress, revision: saved.Revision}
		l.useRecoveredList(list)
	case age <= maxAge:
		logUse("asked one by one")
		l.checkCandidates(list)
	default:
		logUse("too old")
	}
}

// hasListSince reports whether the list in force is at least as new as revision. It may be from the configuration file or the predecessor
// of a hot restart.
func (l *Loop) hasListSince(revision uint64) bool {
	return l.listPosition.revision >= revision && len(l.listInForce().Endpoints) > 0
}

// useRecoveredList applies a recovered list, which is enough for the balancer to be ready.
func (l *Loop) useRecoveredList(list discovery.List) {
	l.applyList(list, true)
	l.readyDue = true
	l.markReady()
}

// checkCandidates checks the ready servers of an old list and uses those that answer.
func (l *Loop) checkCandidates(list discovery.List) {
	c := &candidateChecks{loop: l}
	for _, server := range list.Endpoints {
		if server.State == policy.Ready {
			c.pending = append(c.pending, server)
		}
	}
	c.startNext()
}

// candidateChecks checks the servers of an old list, in rounds.
type candidateChecks struct {
	loop       *Loop
	pending    []discovery.Endpoint // servers still to be checked in this round
	unanswered []discovery.Endpoint // servers that have not answered in this round
	alive      []discovery.Endpoint // servers that have answered
	inFlight   int                  // number of checks that are running
	rounds     int                  // number of rounds after the first one
}

// startNext starts checks until maxConcurrentChecks are running. At the end of a round it schedules the next one.
func (c *candidateChecks) startNext() {
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

// check sends a server a PING and waits for its PONG.
func (c *candidateChecks) check(server discovery.Endpoint) {
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
		c.checkEnded(server, answered)
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

// checkEnded handles the end of a check: a server that has answered is added to the endpoint list.
func (c *candidateChecks) checkEnded(server discovery.Endpoint, answered bool) {
	c.inFlight--
	if answered && !c.loop.hasCurrentList {
		c.alive = append(c.alive, server)
		c.loop.useRecoveredList(discovery.List{Complete: true, Endpoints: c.alive})
	} else {
		c.unanswered = append(c.unanswered, server)
	}
	c.startNext()
}
