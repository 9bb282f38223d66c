// This file runs the balancers: their starts and ends, the decisions of their policy, and the endpoint lists that they get.

package simulation

import (
	"slices"
	"time"

	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/policy"
)

const (
	// drainStart and drainEnd are the times after a stop signal between which a balancer migrates its sessions, the same as those of
	// the balancer on sockets.
	drainStart = 400 * time.Millisecond
	drainEnd   = 2200 * time.Millisecond
	// exitDelay is the time between the end of a drain and the start of the next process.
	exitDelay = 700 * time.Millisecond
)

// balancer is one process of a balancer, from its start to its end.
type balancer struct {
	index     int32
	zone      int
	decider   baseline.Decider
	start     time.Duration // time of the run at which the decider's clock is 0
	alive     bool
	draining  bool
	wakeAt    time.Duration // time of the pending call to runDecisions, -1 if there is none
	sessions  map[policy.SessionID]*session
	lastID    policy.SessionID
	endpoints []policy.Endpoint // newest entry of the endpoint list that was delivered for a server, by server index
	known     []bool            // whether an entry was delivered for a server, by server index
}

// startBalancer starts the next process of a balancer. The first process gets the entries of all servers; a later one starts with
// the list that its predecessor had, and gets the full list from discovery.
func (w *world) startBalancer(num int) {
	old := w.balancers[num]
	b := &balancer{index: int32(num), zone: num % max(w.Zones, 1), start: w.now, alive: true, wakeAt: -1, sessions: map[policy.SessionID]*session{}}
	dep := w.Deployment
	dep.Zone = b.zone
	b.decider, _ = baseline.New(w.policy, &dep, w.balancerSeeds.Uint64()) // Run has checked the name
	w.balancers[num] = b
	w.record(history.Event{Kind: history.BalancerStarted, Balancer: b.index, Server: -1})
	var endpoints []policy.Endpoint
	for i, srv := range w.servers {
		endpoint := w.endpointFor(srv, b)
		if old != nil && i < len(old.known) && old.known[i] {
			endpoint = old.endpoints[i]
			if endpoint.StartedAt != policy.StartedLongAgo {
				endpoint.StartedAt += old.start - b.start
			}
		} else if old != nil {
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	w.deliverEndpoints(b, endpoints, true)
	if old != nil {
		w.deliverFullList(b)
	}
}

// deliverFullList delivers the complete endpoint list to a balancer as soon as discovery is reachable.
func (w *world) deliverFullList(b *balancer) {
	if !w.discoveryUp {
		w.pendingUpdates = append(w.pendingUpdates, func() { w.deliverFullList(b) })
		return
	}
	w.after(w.discoveryDelay, func() {
		if !b.alive {
			return
		}
		var endpoints []policy.Endpoint
		for _, srv := range w.servers {
			endpoints = append(endpoints, w.endpointFor(srv, b))
		}
		w.deliverEndpoints(b, endpoints, true)
	})
}

// killBalancer ends a balancer's process and all its sessions. The event in the log gets the reason.
func (w *world) killBalancer(b *balancer, reason string) {
	if !b.alive {
		return
	}
	b.alive = false
	w.record(history.Event{Kind: history.BalancerKilled, Balancer: b.index, Server: -1, Text: reason})
	ids := make([]policy.SessionID, 0, len(b.sessions))
	for id := range b.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := b.sessions[id]
		w.releaseUpstream(s)
		w.breakSession(s, load.Broken)
	}
	clear(b.sessions)
}

// runDecisions executes all decisions that a balancer's policy has made, and schedules the next call for the time that it asks for.
func (w *world) runDecisions(b *balancer) {
	b.decider.AdvanceClock(w.now - b.start)
	for {
		d, ok := b.decider.Next()
		if !ok {
			break
		}
		w.execute(b, d)
	}
	at, ok := b.decider.NextWakeup()
	if at += b.start; !ok || at > w.Load.Length || b.wakeAt > w.now && b.wakeAt <= at {
		return
	}
	at = max(at, w.now+time.Microsecond)
	b.wakeAt = at
	w.at(at, func() {
		if b.alive && b.wakeAt == at {
			w.runDecisions(b)
		}
	})
}

// execute carries out one decision. Decisions about sessions that have ended are ignored.
func (w *world) execute(b *balancer, d policy.Decision) {
	if d.Action == policy.HealthCheck {
		w.checkHealth(b, w.servers[w.serverIndex[d.Endpoint]])
		return
	}
	s := b.sessions[d.Session]
	if s == nil || s.state == ended {
		return
	}
	switch d.Action {
	case policy.StartAttempt:
		w.startAttempt(s, w.servers[w.serverIndex[d.Endpoint]], d.Duration)
	case policy.Reject:
		w.meter.Reject(w.now)
		w.reject(s, "busy", load.Rejected, d.Duration)
	case policy.Fail:
		w.reject(s, "err", load.Failed, 0)
	case policy.Migrate:
		if s.state == established {
			w.moveSession(s, policy.Cancelled)
		}
	}
}
