package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	begins  = 12 * time.Second // until then the fleet is founded, and nothing goes wrong
	settles = 90 * time.Second // at the end, without faults
)

// Play runs a history to its end and answers what was broken, nil where nothing was.
func (w *World) Play() error {
	end := begins + w.plan.Length
	w.after(begins, w.fault)
	w.after(begins, w.client)
	w.after(end, func() {
		w.calm, w.loss = true, 0
		w.cut = func(int, int) bool { return false }
	})
	w.until(end + settles)
	if w.err != nil {
		return w.err
	}
	return w.judge()
}

func (w *World) until(end time.Duration) {
	for at, ok := w.queue.NextAt(); w.err == nil && ok && at <= end; at, ok = w.queue.NextAt() {
		var action func()
		w.now, action = w.queue.Next()
		action()
	}
	w.now = end
}

// ---- Clients.

func (w *World) client() {
	if w.calm {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Rate*float64(time.Second)), w.client)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if !n.up {
		return
	}
	w.opN++
	key := fmt.Sprintf("k%d", w.rng.IntN(w.plan.Keys))
	op := replication.Operation{ID: fmt.Sprintf("o%d", w.opN), Key: key, Value: fmt.Appendf(nil, "v%d", w.opN)}
	switch w.rng.IntN(4) {
	case 0:
		op.ReadOnly, op.Value = true, nil
	case 1:
		op.ExpectedVersion = w.last(key) // the version that was heard of last
	}
	w.ask(n, op)
}

func (w *World) ask(n *member, op replication.Operation) {
	a := &Operation{Op: op, Client: n.num, From: w.now}
	w.Operations = append(w.Operations, a)
	w.byOp[op.ID] = a
	w.run(n, n.born, func() { n.core.Submit(op, askWithin) })
}

// last is the version of a key that any client heard of last.
func (w *World) last(key string) uint64 {
	for _, a := range slices.Backward(w.Operations) {
		if a.Answered && a.Op.Key == key && a.Result.Record.Version > 0 && !a.Result.Record.Deleted {
			return a.Result.Record.Version
		}
	}
	return 0
}

func (w *World) answer(r replication.Result) {
	if a := w.byOp[r.OperationID]; a != nil && !a.Answered {
		a.Answered, a.Result, a.To = true, r, w.now
	}
}

// ---- Faults.

func (w *World) fault() {
	if w.calm {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Faults*float64(time.Second)), w.fault)
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	span := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
	switch w.rng.IntN(9) {
	case 0:
		w.kill(n)
	case 1:
		if n.up {
			w.Waits++
			n.stopped = w.now + span
		}
	case 2: // a group is cut off, both ways or one way
		w.Cuts++
		in := w.rng.Uint64()
		way := w.rng.IntN(3)
		w.cut = func(from, to int) bool {
			a, b := in>>(from%64)&1 == 1, in>>(to%64)&1 == 1
			return a != b && (way == 0 || way == 1 && a || way == 2 && b)
		}
		w.after(span, func() { w.cut = func(int, int) bool { return false } })
	case 3: // one alone
		w.Cuts++
		in, way := n.num, w.rng.IntN(3)
		w.cut = func(from, to int) bool {
			return from != to && (from == in && way != 1 || to == in && way != 2)
		}
		w.after(span, func() { w.cut = func(int, int) bool { return false } })
	case 4:
		w.loss = w.plan.Loss
		w.after(span, func() { w.loss = 0 })
	case 5: // the whole fleet at once
		if w.rng.IntN(6) == 0 {
			for _, n := range w.nodes {
				w.kill(n)
			}
		}
	case 8: // leaves as planned, handed over or not, and comes back
		if n.up {
			n.going = true
			w.run(n, n.born, n.core.Leave)
			born := n.born
			w.after(span/2, func() {
				if n.born == born {
					w.kill(n)
				}
			})
		}
	case 7: // stopped, and for a while after it wakes it hears nothing of what was agreed meanwhile
		if n.up {
			w.Waits++
			n.stopped = w.now + 2*time.Second + span/4
			n.deaf = n.stopped + 2*time.Second
		}
	case 6:
		if w.plan.Machines && w.stood(n) {
			w.lose(n)
		}
	}
}

// lose takes a machine with its disk; it comes back empty.
func (w *World) lose(n *member) {
	w.Lost++
	n.up, n.gone = false, true
	n.born++
	delete(w.byID, n.id)
	w.after(time.Second+time.Duration(w.rng.Int64N(int64(6*time.Second))), func() {
		w.fresh(n)
		w.start(n)
	})
}

// stood tells whether the table says that a machine can be lost now, whatever else goes wrong: each slot has two further full
// holders, and the log keeps most of its voters. Machines that are down keep their disks, and count.
func (w *World) stood(n *member) bool {
	newest, _ := w.newest()
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
		if left < min(2, w.plan.Copies-1) {
			return false
		}
	}
	for _, o := range w.nodes { // whichever of the lists of voters is in force
		if o.core == nil || o.gone || len(o.core.Voters()) == 0 {
			continue
		}
		left := 0
		for _, other := range w.nodes {
			if other != n && !other.gone && slices.Contains(o.core.Voters(), consensus.NodeID(other.id)) {
				left++
			}
		}
		if 2*left <= len(o.core.Voters()) {
			return false
		}
	}
	return true
}

// newest is the newest state that any member has, and the voters as who leads knows them.
func (w *World) newest() (st *shardmap.State, voters []uint64) {
	for _, n := range w.nodes {
		if n.core == nil || n.gone {
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

// Counts are how operations ended; those that nobody answered count as unknown.
func (w *World) Counts() map[replication.Outcome]int {
	n := map[replication.Outcome]int{}
	for _, a := range w.Operations {
		n[a.Result.Outcome]++
	}
	return n
}
