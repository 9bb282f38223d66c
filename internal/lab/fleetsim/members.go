package fleetsim

import (
	"time"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
)

// runOrDefer has a member do something now, or, if it is stalled, once it runs again.
func (w *World) runOrDefer(n *member, born uint64, do func()) {
	switch {
	case !n.up || n.starts != born:
	case n.stalledUntil > w.now:
		n.deferred = append(n.deferred, do)
	default:
		do()
		w.handleReady(n)
	}
}

func (w *World) tick(n *member) {
	w.after(tickInterval, func() { w.tick(n) })
	if !n.up || n.stalledUntil > w.now {
		return
	}
	for _, do := range n.deferred {
		do()
	}
	n.deferred = nil
	n.core.Tick(w.now, w.membersSeenBy(n))
	n.core.SetWallClock(int64(w.now / time.Second))
	w.handleReady(n)
}

// handleReady carries out what a core asks for. The process may crash between any two steps.
func (w *World) handleReady(n *member) {
	born := n.starts
	r, err := n.core.Ready()
	if err != nil {
		w.fail("%d: %v", n.index, err)
		return
	}
	send := func() {
		for _, p := range r.Packets {
			w.send(n, p)
		}
		for _, one := range r.Results {
			w.recordResult(one)
		}
	}
	if w.plan.Defect == EarlyAcknowledgement {
		for _, one := range r.ShardWrites {
			for _, rec := range one.Records {
				if !one.ReplaceAll {
					w.recordResult(replication.Result{OperationID: rec.OperationID, Outcome: replication.OutcomeCommitted, Record: rec})
				}
			}
		}
	}
	if w.drawsCrash() {
		w.kill(n)
		return
	}
	if w.plan.Defect == MissingWrite {
		r.ShardWrites = nil
	}
	n.disk.write(r)
	if w.drawsCrash() {
		w.kill(n)
		return
	}
	if n.starts == born {
		send()
	}
}

// drawsCrash draws whether a process crashes at this step.
func (w *World) drawsCrash() bool {
	return !w.faultsOver && w.now > 15*time.Second && w.rng.Float64() < w.plan.Faults/40000
}

func (w *World) kill(n *member) {
	if n.up {
		w.Kills++
		n.up = false
		born := n.starts
		w.after(time.Duration(w.rng.Int64N(int64(8*time.Second))), func() {
			if !n.up && n.starts == born && !n.diskLost {
				w.startMember(n)
			}
		})
	}
}

// membersSeenBy returns how a member sees the others: as late as its failure detector would.
func (w *World) membersSeenBy(n *member) []placement.MemberStatus {
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
		is := o.up && o.stalledUntil <= w.now && !w.isCut(n.index, o.index) && !w.isCut(o.index, n.index)
		if is != s.trulyAlive || s.id != o.id {
			s.trulyAlive, s.trulySince = is, w.now
		}
		if s.id != o.id {
			s.alive, s.since, s.id = false, w.now, o.id
		}
		if wait := map[bool]time.Duration{true: recoveryDetectionTime, false: failureDetectionTime}[is]; is != s.alive && w.now-s.trulySince >= wait {
			s.alive, s.since = is, w.now
		}
		n.views[o.index] = s
		all = append(all, placement.MemberStatus{Member: o.self, Alive: s.alive, Draining: o.draining, StateAge: w.now - s.since, ProtocolVersion: node.ProtocolVersion})
	}
	n.lastView = all
	return all
}
