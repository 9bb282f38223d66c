// This file runs the servers: their entries in the endpoint list and their tables of sessions.

package simulation

import (
	"time"

	"sabletally/internal/lab/history"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

// server is an emulated server of the run.
type server struct {
	*model.Server
	index              int // index in world.servers
	id                 policy.EndpointID
	zone               int
	failureDomain      int
	listed             bool // whether the endpoint list contains it
	state              policy.EndpointState
	started            time.Duration
	down               bool               // whether the machine refuses connections
	silent             bool               // whether the machine answers nothing
	sessions           []*upstreamSession // sessions that are being set up or are established
	served             int                // number of sessions whose clients have been answered
	sessionsByBalancer map[int32]int      // number of sessions by balancer index
	slowReported       map[int32]bool     // whether the newest latency report to a balancer said that the server is slow, by balancer index
}

// addServer adds a server whose process started at a time, without announcing it.
func (w *world) addServer(srv topology.Machine, num int, started time.Duration) *server {
	id := policy.EndpointID(uint64(num+1) * 0x9e3779b97f4a7c15)
	sv := &server{Server: model.New(srv.Type, w.Warmup, started), index: num, id: id, zone: srv.Zone, failureDomain: srv.FailureDomain,
		started: started, listed: true, sessionsByBalancer: map[int32]int{}, slowReported: map[int32]bool{}}
	sv.GroupCost = w.GroupCost
	w.serverIndex[id] = num
	w.servers = append(w.servers, sv)
	w.recordStart(sv)
	return sv
}

// recordStart adds an event to the log: a server has started, warm or cold.
func (w *world) recordStart(srv *server) {
	how := "warm"
	if w.now-srv.started < w.Warmup.Window {
		how = "cold"
	}
	w.record(history.Event{Kind: history.ServerStarted, Server: int32(srv.index), Balancer: -1, Number: srv.Capacity(), Text: how})
}

// endpointFor returns a server's entry in the endpoint list as a balancer gets it, with times relative to the balancer's start.
func (w *world) endpointFor(srv *server, b *balancer) policy.Endpoint {
	endpoint := policy.Endpoint{ID: srv.id, Zone: srv.zone, FailureDomain: srv.failureDomain, State: srv.state, Weight: float64(srv.Type.Cores) * srv.Type.Speed,
		StartedAt: srv.started - b.start}
	if srv.started < 0 {
		endpoint.StartedAt = policy.StartedLongAgo
	}
	if !srv.listed {
		endpoint.State = policy.Removed
	}
	return endpoint
}

// stateNames are the texts of endpoint states in the log.
var stateNames = map[policy.EndpointState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Removed: "gone"}

// deliverEndpoints delivers entries of the endpoint list to a balancer. isFull says that they are the whole list.
func (w *world) deliverEndpoints(b *balancer, endpoints []policy.Endpoint, isFull bool) {
	for _, endpoint := range endpoints {
		i := w.serverIndex[endpoint.ID]
		for len(b.endpoints) <= i {
			b.endpoints, b.known = append(b.endpoints, policy.Endpoint{}), append(b.known, false)
		}
		b.endpoints[i], b.known[i] = endpoint, true
		w.record(history.Event{Kind: history.BalancerNotified, Balancer: b.index, Server: int32(i), Text: stateNames[endpoint.State]})
	}
	b.decider.AdvanceClock(w.now - b.start)
	b.decider.UpdateEndpoints(endpoints, isFull)
	w.runDecisions(b)
}

// announce delivers a server's entry to all balancers, to each after a random delay between the given bounds.
func (w *world) announce(srv *server, delays [2]time.Duration) {
	if !w.discoveryUp {
		w.pendingUpdates = append(w.pendingUpdates, func() { w.announce(srv, delays) })
		return
	}
	for _, b := range w.balancers {
		w.after(w.randomBetween(delays)+w.discoveryDelay, func() {
			if b := w.balancers[b.index]; b.alive {
				w.deliverEndpoints(b, []policy.Endpoint{w.endpointFor(srv, b)}, false)
			}
		})
	}
}

// endSessions ends all sessions of a server by a reset.
func (w *world) endSessions(srv *server) {
	for len(srv.sessions) > 0 {
		w.endFromServer(srv.sessions[len(srv.sessions)-1], policy.Reset)
	}
}

// endFromServer ends a session from its server's side. The balancer learns the outcome after the network delay.
func (w *world) endFromServer(up *upstreamSession, outcome policy.Outcome) {
	s, srv := up.session, up.server
	w.removeUpstream(up)
	w.record(history.Event{Kind: history.AttemptEnded, Session: s.number, Server: int32(srv.index), Text: "server"})
	w.after(w.networkDelay(s.balancer, srv), func() { // the delay lets an answer that is already on its way arrive first
		if s.upstream == up && s.balancer.alive && (s.state == attempting || s.state == established) {
			w.endAttempt(s, outcome)
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
	if srv.sessionsByBalancer[s.balancer.index]--; srv.sessionsByBalancer[s.balancer.index] == 0 {
		delete(srv.sessionsByBalancer, s.balancer.index)
	}
	if byServer := w.groupSessions[s.client.Group]; byServer != nil {
		if byServer[srv.index]--; byServer[srv.index] <= 0 {
			delete(byServer, srv.index)
		}
	}
	w.stopServing(up)
}

// stopServing removes a session from the number of those that are served, if it was counted there.
func (w *world) stopServing(up *upstreamSession) {
	if up.served {
		up.served = false
		up.server.served--
		w.meter.AddOpenSessions(-1)
	}
}

// networkDelay returns the one-way delay between a balancer and a server.
func (w *world) networkDelay(b *balancer, srv *server) time.Duration {
	d := w.ZoneDelay
	if b.zone != srv.zone {
		d = w.CrossZoneDelay
	}
	return d
}
