package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"sabletally/internal/fleet/replication"
)

// runClient submits a random operation to a random member and schedules the next one.
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
		op.ExpectedVersion = w.lastVersion(key) // the other writes expect that there is no record
	}
	w.submit(n, op)
}

// submit submits an operation to a member and adds it to the history.
func (w *World) submit(n *member, request replication.Operation) {
	op := &Operation{Request: request, Client: n.index, StartedAt: w.now}
	w.Operations = append(w.Operations, op)
	w.operationByID[request.ID] = op
	w.runOrDefer(n, n.starts, func() { n.core.Submit(request, operationTimeout) })
}

// lastVersion returns the newest version of a key that any client knows of.
func (w *World) lastVersion(key string) uint64 {
	for _, op := range slices.Backward(w.Operations) {
		if op.HasResult && op.Request.Key == key && op.Result.Record.Version > 0 && !op.Result.Record.Deleted {
			return op.Result.Record.Version
		}
	}
	return 0
}

// recordResult records the first result of an operation.
func (w *World) recordResult(r replication.Result) {
	if op := w.operationByID[r.OperationID]; op != nil && !op.HasResult {
		op.HasResult, op.Result, op.EndedAt = true, r, w.now
	}
}

// Counts returns the number of operations by outcome; those without a result count as unknown.
func (w *World) Counts() map[replication.Outcome]int {
	counts := map[replication.Outcome]int{}
	for _, op := range w.Operations {
		counts[op.Result.Outcome]++
	}
	return counts
}
