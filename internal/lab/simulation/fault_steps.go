// This file carries out the steps of the fault schedule.

package simulation

import (
	"time"

	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

// silenceTimeout is the time after which a balancer moves sessions away from a silent server, as the balancer on sockets does.
const silenceTimeout = 5 * time.Second

// applyStep carries out one step of the fault schedule.
func (w *world) applyStep(step faults.Step) {
	switch step.Action {
	case faults.StartServer:
		w.startReplacement(step.Machine)
	case faults.SetStoreSlow:
		w.Store.Slow = step.Value
	case faults.SetDiscoveryReachable:
		w.setDiscovery(step.Value > 0)
	case faults.SetListDelay:
		w.discoveryDelay = step.For
	case faults.DropClients:
		w.dropClients(step.Value, step.For)
	case faults.KillBalancer:
		w.killBalancer(w.balancers[step.Target], "outright")
	case faults.StartBalancer:
		w.startBalancer(step.Target)
	case faults.RestartBalancer:
		w.restartAsPlanned(step.Target)
	default:
		if step.Target < len(w.servers) { // otherwise the server has not started yet
			w.applyServerStep(w.servers[step.Target], step)
		}
	}
}

// applyServerStep carries out a step on a server that has started.
func (w *world) applyServerStep(srv *server, step faults.Step) {
	switch step.Action {
	case faults.DrainServer:
		srv.state, srv.Draining = policy.Draining, true
		w.announce(srv, w.ListDelay)
		if w.MovesClients {
			w.moveClientsAway(srv, w.now+step.For)
		}
	case faults.StopServer:
		srv.state, srv.down = policy.Removed, true
		w.recordStop(srv, "stop")
		w.endSessions(srv)
		w.announce(srv, w.ListDelay)
	case faults.CrashServer:
		srv.down = true
		w.recordStop(srv, "crash")
		w.endSessions(srv)
		srv.state = policy.Removed
		w.announce(srv, w.DetectionDelay)
	case faults.RestartServer:
		w.revive(srv)
	case faults.SilenceServer:
		w.silence(srv)
	case faults.UnsilenceServer:
		srv.silent = false
		w.record(history.Event{Kind: history.ServerStarted, Server: int32(srv.index), Balancer: -1, Number: srv.Capacity(), Text: "warm"})
	case faults.SetSlow:
		srv.Advance(w.now)
		srv.SlowFactor = step.Value
	case faults.SetErrors:
		srv.ErrorRate = step.Value
	case faults.SetFull:
		srv.Full = step.Value > 0
	case faults.HideServer:
		srv.listed = false
		w.announce(srv, w.ListDelay)
	case faults.ShowServer:
		srv.listed = true
		w.announce(srv, w.ListDelay)
	}
}

// startReplacement starts a server with the machine type, zone and failure domain of an earlier one, and announces it.
func (w *world) startReplacement(index int) {
	old := w.servers[index]
	machine := topology.Machine{Type: old.Type, Zone: old.zone, FailureDomain: old.failureDomain}
	w.announce(w.addServer(machine, len(w.servers), w.now), w.ListDelay)
}

// recordStop adds an event to the log: a server has stopped, for a reason.
func (w *world) recordStop(srv *server, reason string) {
	w.record(history.Event{Kind: history.ServerStopped, Server: int32(srv.index), Balancer: -1, Text: reason})
}

// silence stops all answers from a server's machine. The balancers move its established sessions away once they notice.
func (w *world) silence(srv *server) {
	srv.silent = true
	w.recordStop(srv, "vanish")
	for _, up := range srv.sessions {
		s := up.session
		generation := s.generation
		if s.upstream != up || s.state != established {
			continue
		}
		w.after(silenceTimeout+time.Duration(w.rng.Float64()*2)*time.Second, func() {
			if s.generation == generation && s.state == established && srv.silent {
				w.moveSession(s, policy.Reset)
			}
		})
	}
}

// setDiscovery makes discovery unreachable, or reachable again: then the updates that waited are delivered.
func (w *world) setDiscovery(up bool) {
	w.discoveryUp = up
	if !up {
		return
	}
	updates := w.pendingUpdates
	w.pendingUpdates = nil
	for _, deliver := range updates {
		deliver()
	}
}

// dropClients disconnects a share of the connected clients at random times within a duration. They connect again later.
func (w *world) dropClients(share float64, within time.Duration) {
	for _, c := range w.clients {
		if c.session == nil || c.session.state != established || w.rng.Float64() >= share {
			continue
		}
		s := c.session
		w.after(time.Duration(w.rng.Float64()*float64(within)), func() {
			if c.session == s && s.state == established {
				w.disconnect(c)
				w.retryLater(c, load.Dropped, 0)
			}
		})
	}
}

// restartAsPlanned drains a balancer, ends it and starts it again.
func (w *world) restartAsPlanned(index int) {
	b := w.balancers[index]
	if !b.alive {
		return
	}
	b.draining = true
	b.decider.AdvanceClock(w.now - b.start)
	b.decider.StartDraining(w.now-b.start+drainStart, w.now-b.start+drainEnd)
	w.runDecisions(b)
	w.after(drainEnd+exitDelay, func() {
		if w.balancers[index] == b {
			w.killBalancer(b, "planned")
			w.startBalancer(index)
		}
	})
}

// revive starts a server's process again. It is cold, and has no sessions.
func (w *world) revive(srv *server) {
	old := srv.Server
	srv.Server = model.New(old.Type, w.Warmup, w.now)
	srv.GroupCost, srv.started, srv.down, srv.state = w.GroupCost, w.now, false, policy.Ready
	w.recordStart(srv)
	w.announce(srv, w.ListDelay)
}

// moveClientsAway lets a draining server move its clients away in even parts, one part in each interval until the end of the drain.
func (w *world) moveClientsAway(srv *server, end time.Duration) {
	if srv.down || srv.silent {
		return
	}
	rounds := max(1, int((end-w.now)/figureInterval))
	for range (len(srv.sessions) + rounds - 1) / rounds {
		for _, up := range srv.sessions {
			if up.served {
				w.endFromServer(up, policy.Cancelled)
				break
			}
		}
	}
	if w.now+figureInterval < end {
		w.after(figureInterval, func() { w.moveClientsAway(srv, end) })
	}
}
