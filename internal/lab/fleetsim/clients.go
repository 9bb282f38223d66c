package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"sabletally/internal/fleet/replication"
)

func (w *World) runClient() {
	if w.faultsOver {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Rate*float64(time.Second)), w.runClient)
	n := w.members[w.rng.IntN(len(w.members))]
	if !n.up {
		return
	}
	w.lastOperation++
	key := fmt.Sprintf("k%d", w.rng.IntN(w.plan.Keys))
	op := replication.Operation{ID: fmt.Sprintf("o%d", w.lastOperation), Key: key, Value: fmt.Appendf(nil, "v%d", w.lastOperation)}
	switch w.rng.IntN(4) {
	case 0:
		op.ReadOnly, op.Value = true, nil
	case 1:
		op.ExpectedVersion = w.lastVersion(key) // the newest version that any client knows
	}
	w.submit(n, op)
}

func (w *World) submit(n *member, op replication.Operation) {
	a := &Operation{Request: op, Client: n.index, StartedAt: w.now}
	w.Operations = append(w.Operations, a)
	w.operationByID[op.ID] = a
	w.runOrDefer(n, n.starts, func() { n.core.Submit(op, operationTimeout) })
}

// lastVersion returns the newest version of a key that any client knows of.
func (w *World) lastVersion(key string) uint64 {
	for _, a := range slices.Backward(w.Operations) {
		if a.HasResult && a.Request.Key == key && a.Result.Record.Version > 0 && !a.Result.Record.Deleted {
			return a.Result.Record.Version
		}
	}
	return 0
}

func (w *World) recordResult(r replication.Result) {
	if a := w.operationByID[r.OperationID]; a != nil && !a.HasResult {
		a.HasResult, a.Result, a.EndedAt = true, r, w.now
	}
}

// Counts returns the number of operations by outcome; those without a result count as unknown.
func (w *World) Counts() map[replication.Outcome]int {
	n := map[replication.Outcome]int{}
	for _, a := range w.Operations {
		n[a.Result.Outcome]++
	}
	return n
}
