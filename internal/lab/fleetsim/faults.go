package fleetsim

import (
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/shardmap"
)

// injectFault injects a random fault and schedules the next one.
func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Faults*float64(time.Second)), w.injectFault)
	n := w.members[w.rng.IntN(len(w.members))]
	duration := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
	switch w.rng.IntN(9) {
	case 0: // a process is killed
		w.kill(n)
	case 1: // a process stalls
		if n.up {
			w.Stalls++
			n.stalledUntil = w.now + duration
		}
	case 2: // a random group is cut off, in both directions or in one
		w.NetworkCuts++
		group := w.rng.Uint64()
		direction := w.rng.IntN(3)
		w.isCut = func(from, to int) bool {
			a, b := group>>(from%64)&1 == 1, group>>(to%64)&1 == 1
			return a != b && (direction == 0 || direction == 1 && a || direction == 2 && b)
		}
		w.after(duration, func() { w.isCut = func(int, int) bool { return false } })
	case 3: // a single member is cut off
		w.NetworkCuts++
		isolated, direction := n.index, w.rng.IntN(3)
		w.isCut = func(from, to int) bool {
			return from != to && (from == isolated && direction != 1 || to == isolated && direction != 2)
		}
		w.after(duration, func() { w.isCut = func(int, int) bool { return false } })
	case 4: // packets are lost, duplicated and reordered
		w.loss = w.plan.Loss
		w.after(duration, func() { w.loss = 0 })
	case 5: // all processes are killed at once
		if w.rng.IntN(6) == 0 {
			for _, n := range w.members {
				w.kill(n)
			}
		}
	case 8: // a planned shutdown, with or without enough time for the handover
		if n.up {
			n.draining = true
			w.runOrDefer(n, n.starts, n.core.Leave)
			starts := n.starts
			w.after(duration/2, func() {
				if n.starts == starts {
					w.kill(n)
				}
			})
		}
	case 7: // a stall, after which the member receives the changes of the consensus log later than replication messages
		if n.up {
			w.Stalls++
			n.stalledUntil = w.now + 2*time.Second + duration/4
			n.replicationOnlyUntil = n.stalledUntil + 2*time.Second
		}
	case 6: // a machine is lost with its disk
		if w.plan.LoseMachines && w.canLoseMachine(n) {
			w.loseMachine(n)
		}
	}
}

// loseMachine destroys a machine with its disk. It comes back with an empty disk, as a new member.
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
// sync, or one with a replication factor of 2, and the log keeps a quorum of voters. Machines that are down keep their disks and
// count.
func (w *World) canLoseMachine(n *member) bool {
	newest, _ := w.newestState()
	if newest == nil {
		return false
	}
	for _, configuration := range newest.Configurations {
		remaining := 0
		for _, id := range configuration.InSync {
			if id != n.id && w.byID[id] != nil {
				remaining++
			}
		}
		if remaining < min(2, w.plan.ReplicationFactor-1) {
			return false
		}
	}
	for _, o := range w.members { // any member's list of voters may be the one in force
		if o.core == nil || o.diskLost || len(o.core.Voters()) == 0 {
			continue
		}
		remaining := 0
		for _, other := range w.members {
			if other != n && !other.diskLost && slices.Contains(o.core.Voters(), consensus.NodeID(other.id)) {
				remaining++
			}
		}
		if 2*remaining <= len(o.core.Voters()) {
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
