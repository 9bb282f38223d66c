package fleetsim

import (
	"time"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
)

// runOrDefer runs an action of a member now, or, if it is stalled, once it runs again. The action is dropped unless the member is still in
// the process with the given number.
func (w *World) runOrDefer(n *member, starts uint64, action func()) {
	switch {
	case !n.up || n.starts != starts:
	case n.stalledUntil > w.now:
		n.deferred = append(n.deferred, action)
	default:
		action()
		w.handleReady(n)
	}
}

// tick runs a tick of a member's core, after the actions that were deferred, and schedules the next one.
func (w *World) tick(n *member) {
	w.after(tickInterval, func() { w.tick(n) })
	if !n.up || n.stalledUntil > w.now {
		return
	}
	for _, action := range n.deferred {
		action()
	}
	n.deferred = nil
	n.core.Tick(w.now, w.observedMembers(n))
	n.core.SetWallClock(int64(w.now / time.Second))
	w.handleReady(n)
}

// handleReady carries out what a core asks for: it writes to the disk, then sends packets and returns results. The process may crash before
// and after the write.
func (w *World) handleReady(n *member) {
	starts := n.starts
	r, err := n.core.Ready()
	if err != nil {
		w.fail("member %d: get the output of the core: %v", n.index, err)
		return
	}
	send := func() {
		for _, p := range r.Packets {
			w.send(n, p)
		}
		for _, result := range r.Results {
			w.recordResult(result)
		}
	}
	if w.plan.Defect == EarlyAcknowledgement {
		for _, write := range r.ShardWrites {
			for _, rec := range write.Records {
				if !write.ReplaceAll {
					w.recordResult(replication.Result{OperationID: rec.OperationID, Outcome: replication.OutcomeCommitted, Record: rec})
				}
			}
		}
	}
	if w.drawCrash() {
		w.kill(n)
		return
	}
	if w.plan.Defect == MissingWrite {
		r.ShardWrites = nil
	}
	n.disk.write(r)
	if w.drawCrash() {
		w.kill(n)
		return
	}
	if n.starts == starts {
		send()
	}
}

// drawCrash draws whether a process crashes before the next step.
func (w *World) drawCrash() bool {
	return !w.faultsOver && w.now > 15*time.Second && w.rng.Float64() < w.plan.Faults/40000
}

// kill kills the process of a member and starts it again after a while.
func (w *World) kill(n *member) {
	if n.up {
		w.Kills++
		n.up = false
		starts := n.starts
		w.after(time.Duration(w.rng.Int64N(int64(8*time.Second))), func() {
			if !n.up && n.starts == starts && !n.diskLost {
				w.startMember(n)
			}
		})
	}
}

// observedMembers returns the status of all other members as a member observes it: a change of reachability is delayed as by a failure
// detector.
func (w *World) observedMembers(n *member) []placement.MemberStatus {
	if w.now < n.nextViewAt {
		return n.lastView
	}
	n.nextViewAt = w.now + viewInterval
	all := make([]placement.MemberStatus, 0, len(w.members))
	for _, o := range w.members {
		if o == n {
			continue
		}
		s := n.views[o.index]
		reachable := o.up && o.stalledUntil <= w.now && !w.isCut(n.index, o.index) && !w.isCut(o.index, n.index)
		if reachable != s.reachable || s.id != o.id {
			s.reachable, s.reachableSince = reachable, w.now
		}
		if s.id != o.id {
			s.alive, s.aliveSince, s.id = false, w.now, o.id
		}
		if delay := map[bool]time.Duration{true: recoveryDetectionTime, false: failureDetectionTime}[reachable]; reachable != s.alive && w.now-s.reachableSince >= delay {
			s.alive, s.aliveSince = reachable, w.now
		}
		n.views[o.index] = s
		all = append(all, placement.MemberStatus{Member: o.self, Alive: s.alive, Draining: o.draining, StateAge: w.now - s.aliveSince, ProtocolVersion: node.ProtocolVersion})
	}
	n.lastView = all
	return all
}
