package simulation

import (
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

// server is a server of the run.
type server struct {
	*model.Server
	index        int
	id           policy.EndpointID
	zone         int
	cell         int
	listed       bool // the endpoint list names it
	state        policy.EndpointState
	started      time.Duration
	down         bool               // its machine refuses connections
	silent       bool               // its machine answers nothing
	sessions     []*upstreamSession // being set up or established
	served       int                // sessions whose clients have their answer
	holders      map[int32]int      // sessions by balancer
	slowReported map[int32]bool     // balancers whose newest report said slow
}

// addServer adds a server whose process started at a time.
func (w *world) addServer(srv topology.Machine, num int, started time.Duration) *server {
	id := policy.EndpointID(uint64(num+1) * 0x9e3779b97f4a7c15)
	sv := &server{Server: model.New(srv.Type, w.Warmup, started), index: num, id: id, zone: srv.Zone, cell: srv.FailureDomain,
		started: started, listed: true, holders: map[int32]int{}, slowReported: map[int32]bool{}}
	sv.GroupCost = w.GroupCost
	w.serverIndex[id] = num
	w.servers = append(w.servers, sv)
	w.recordStart(sv)
	return sv
}

func (w *world) recordStart(srv *server) {
	how := "warm"
	if w.now-srv.started < w.Warmup.Window {
		how = "cold"
	}
	w.record(history.Event{Kind: history.ServerStarted, Server: int32(srv.index), Balancer: -1, Number: srv.Capacity(), Text: how})
}

// listing is a server's line in the endpoint list, in a balancer's time.
func (w *world) listing(srv *server, b *balancer) policy.Endpoint {
	l := policy.Endpoint{ID: srv.id, Zone: srv.zone, FailureDomain: srv.cell, State: srv.state, Weight: float64(srv.Type.Cores) * srv.Type.Speed,
		StartedAt: srv.started - b.start}
	if srv.started < 0 {
		l.StartedAt = policy.StartedLongAgo
	}
	if !srv.listed {
		l.State = policy.Removed
	}
	return l
}

var stateNames = map[policy.EndpointState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// deliverListings gives a balancer lines of the endpoint list.
func (w *world) deliverListings(b *balancer, lines []policy.Endpoint, whole bool) {
	for _, l := range lines {
		i := w.serverIndex[l.ID]
		for len(b.endpoints) <= i {
			b.endpoints, b.known = append(b.endpoints, policy.Endpoint{}), append(b.known, false)
		}
		b.endpoints[i], b.known[i] = l, true
		w.record(history.Event{Kind: history.BalancerNotified, Balancer: b.index, Server: int32(i), Text: stateNames[l.State]})
	}
	b.decider.AdvanceClock(w.now - b.start)
	b.decider.UpdateEndpoints(lines, whole)
	w.runDecisions(b)
}

// announce delivers a server's line to all balancers, each after a delay of its own.
func (w *world) announce(srv *server, wait [2]time.Duration) {
	if !w.discoveryUp {
		w.pendingUpdates = append(w.pendingUpdates, func() { w.announce(srv, wait) })
		return
	}
	for _, b := range w.balancers {
		w.after(w.randomBetween(wait)+w.discoveryDelay, func() {
			if b := w.balancers[b.index]; b.alive {
				w.deliverListings(b, []policy.Endpoint{w.listing(srv, b)}, false)
			}
		})
	}
}

// endSessions ends all sessions of a server.
func (w *world) endSessions(srv *server) {
	for len(srv.sessions) > 0 {
		w.endFromServer(srv.sessions[len(srv.sessions)-1], policy.Reset)
	}
}

// endFromServer ends a session from its server's side.
func (w *world) endFromServer(up *upstreamSession, how policy.Outcome) {
	s, srv := up.session, up.server
	w.removeUpstream(up)
	w.record(history.Event{Kind: history.AttemptEnded, Session: s.number, Server: int32(srv.index), Text: "server"})
	w.after(w.networkDelay(s.balancer, srv), func() { // after an answer that is on its way
		if s.upstream == up && s.balancer.alive && (s.state == attempting || s.state == established) {
			w.endAttempt(s, how)
		}
	})
}

// removeUpstream removes a session from its server's table.
func (w *world) removeUpstream(up *upstreamSession) {
	if up.slot < 0 {
		return
	}
	s, srv := up.session, up.server
	last := srv.sessions[len(srv.sessions)-1]
	srv.sessions[up.slot], last.slot = last, up.slot
	srv.sessions = srv.sessions[:len(srv.sessions)-1]
	up.slot = -1
	srv.Leave(w.now, s.client.Load, s.client.Group)
	if srv.holders[s.balancer.index]--; srv.holders[s.balancer.index] == 0 {
		delete(srv.holders, s.balancer.index)
	}
	if at := w.groupSessions[s.client.Group]; at != nil {
		if at[srv.index]--; at[srv.index] <= 0 {
			delete(at, srv.index)
		}
	}
	w.stopServing(up)
}

// stopServing counts a session out of those that are served.
func (w *world) stopServing(up *upstreamSession) {
	if up.served {
		up.served = false
		up.server.served--
		w.meter.Open(-1)
	}
}

func (w *world) networkDelay(b *balancer, srv *server) time.Duration {
	d := w.ZoneDelay
	if b.zone != srv.zone {
		d = w.CrossZoneDelay
	}
	return d
}
