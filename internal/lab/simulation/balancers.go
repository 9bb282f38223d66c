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
	// As the balancer on sockets moves its sessions when its process is to end.
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
	start     time.Duration
	alive     bool
	draining  bool
	wakeAt    time.Duration // of the pending call to runDecisions, -1 for none
	sessions  map[policy.SessionID]*session
	lastID    policy.SessionID
	endpoints []policy.Endpoint // the endpoint list that it has, by server
	known     []bool            // servers that the list has named to it
}

func (w *world) startBalancer(num int) {
	old := w.balancers[num]
	b := &balancer{index: int32(num), zone: num % max(w.Zones, 1), start: w.now, alive: true, wakeAt: -1, sessions: map[policy.SessionID]*session{}}
	dep := w.Deployment
	dep.Zone = b.zone
	b.decider, _ = baseline.New(w.policy, &dep, w.balancerSeeds.Uint64()) // Run has checked the name
	w.balancers[num] = b
	w.record(history.Event{Kind: history.BalancerStarted, Balancer: b.index, Server: -1})
	var lines []policy.Endpoint
	for i, srv := range w.servers {
		l := w.listing(srv, b)
		if old != nil && i < len(old.known) && old.known[i] { // it starts with the list that its last process had
			l = old.endpoints[i]
			if l.StartedAt != policy.StartedLongAgo {
				l.StartedAt += old.start - b.start
			}
		} else if old != nil {
			continue
		}
		lines = append(lines, l)
	}
	w.deliverListings(b, lines, true)
	if old != nil {
		w.deliverFullList(b)
	}
}

// deliverFullList gives a balancer the complete list as soon as discovery is up.
func (w *world) deliverFullList(b *balancer) {
	if !w.discoveryUp {
		w.pendingUpdates = append(w.pendingUpdates, func() { w.deliverFullList(b) })
		return
	}
	w.after(w.discoveryDelay, func() {
		if !b.alive {
			return
		}
		var lines []policy.Endpoint
		for _, srv := range w.servers {
			lines = append(lines, w.listing(srv, b))
		}
		w.deliverListings(b, lines, true)
	})
}

// killBalancer ends a balancer and all its sessions.
func (w *world) killBalancer(b *balancer, how string) {
	if !b.alive {
		return
	}
	b.alive = false
	w.record(history.Event{Kind: history.BalancerKilled, Balancer: b.index, Server: -1, Text: how})
	ids := make([]policy.SessionID, 0, len(b.sessions))
	for id := range b.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := b.sessions[id]
		w.releaseUpstream(s)
		w.balancerLost(s, load.Broken)
	}
	clear(b.sessions)
}

// runDecisions executes a balancer's decisions and schedules the next call.
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
