package fleetsim

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Faults*float64(time.Second)), w.injectFault)
	n := w.members[w.rng.IntN(len(w.members))]
	span := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
	switch w.rng.IntN(9) {
	case 0:
		w.kill(n)
	case 1:
		if n.up {
			w.Stalls++
			n.stalledUntil = w.now + span
		}
	case 2: // a random group is cut off, in both directions or in one
		w.Cuts++
		in := w.rng.Uint64()
		way := w.rng.IntN(3)
		w.isCut = func(from, to int) bool {
			a, b := in>>(from%64)&1 == 1, in>>(to%64)&1 == 1
			return a != b && (way == 0 || way == 1 && a || way == 2 && b)
		}
		w.after(span, func() { w.isCut = func(int, int) bool { return false } })
	case 3: // a single member is cut off
		w.Cuts++
		in, way := n.index, w.rng.IntN(3)
		w.isCut = func(from, to int) bool {
			return from != to && (from == in && way != 1 || to == in && way != 2)
		}
		w.after(span, func() { w.isCut = func(int, int) bool { return false } })
	case 4:
		w.loss = w.plan.Loss
		w.after(span, func() { w.loss = 0 })
	case 5: // all members at once
		if w.rng.IntN(6) == 0 {
			for _, n := range w.members {
				w.kill(n)
			}
		}
	case 8: // a planned end, with or without enough time to hand over
		if n.up {
			n.draining = true
			w.runOrDefer(n, n.starts, n.core.Leave)
			born := n.starts
			w.after(span/2, func() {
				if n.starts == born {
					w.kill(n)
				}
			})
		}
	case 7: // a stall, after which it learns late what was agreed meanwhile
		if n.up {
			w.Stalls++
			n.stalledUntil = w.now + 2*time.Second + span/4
			n.deafUntil = n.stalledUntil + 2*time.Second
		}
	case 6:
		if w.plan.LoseMachines && w.canLoseMachine(n) {
			w.loseMachine(n)
		}
	}
}

// loseMachine destroys a machine with its disk; it comes back empty.
func (w *World) loseMachine(n *member) {
	w.MachinesLost++
	n.up, n.diskLost = false, true
	n.starts++
	delete(w.byID, n.id)
	w.after(time.Second+time.Duration(w.rng.Int64N(int64(6*time.Second))), func() {
		w.replaceMember(n)
		w.startMember(n)
	})
}

// canLoseMachine reports whether the fleet has to survive the loss of a machine now: each shard has two more replicas in
// sync, and the log keeps a quorum of voters. Machines that are down keep their disks and count.
func (w *World) canLoseMachine(n *member) bool {
	newest, _ := w.newestState()
	if newest == nil {
		return false
	}
	for _, v := range newest.Configurations {
		left := 0
		for _, id := range v.InSync {
			if id != n.id && w.byID[id] != nil {
				left++
			}
		}
		if left < min(2, w.plan.ReplicationFactor-1) {
			return false
		}
	}
	for _, o := range w.members { // any of the voters' lists may be in force
		if o.core == nil || o.diskLost || len(o.core.Voters()) == 0 {
			continue
		}
		left := 0
		for _, other := range w.members {
			if other != n && !other.diskLost && slices.Contains(o.core.Voters(), consensus.NodeID(other.id)) {
				left++
			}
		}
		if 2*left <= len(o.core.Voters()) {
			return false
		}
	}
	return true
}

// newestState returns the newest shard map of any member, and the voters that the leader knows.
func (w *World) newestState() (st *shardmap.State, voters []uint64) {
	for _, n := range w.members {
		if n.core == nil || n.diskLost {
			continue
		}
		if s := n.core.State(); st == nil || s.Version > st.Version {
			st = s
		}
		if n.up && n.core.IsLeader() {
			voters = n.core.Voters()
		}
	}
	return st, voters
}
