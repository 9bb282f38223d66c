package idempotency

import (
	"fmt"
	"testing"

	"sabletally/internal/fleet/replication"
)

// phase is how far a session with a claim has come.
type phase int

const (
	phaseNotBegun phase = iota
	phaseRequesting
	phaseMayWrite
	phaseWritten
	phaseRecording
	phaseEnded
	phaseWithdrawing
)

// world is one record with the two sessions that claim it; each is one state of the search.
type world struct {
	record     replication.Record
	claims     [2]Claim
	phase      [2]phase
	operations [2]replication.Operation
	delayed    [2]replication.Operation // still on its way, though its session has given it up
	ran        [2]bool
	replies    [2]string
}

// apply is what the primary does with a write of the record.
func apply(current replication.Record, op replication.Operation) (replication.Record, replication.Result) {
	exists := current.Version > 0 && !current.Deleted
	if exists && op.ExpectedVersion != current.Version || !exists && op.ExpectedVersion != 0 {
		return current, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeConflict, Record: current}
	}
	next := replication.Record{Key: op.Key, Version: current.Version + 1, Value: op.Value, OperationID: op.ID}
	return next, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeCommitted, Record: next}
}

// String identifies a state of the search.
func (w world) String() string {
	text := fmt.Sprint(string(w.record.Value), w.record.Version, w.phase, w.ran, w.replies)
	for i := range 2 {
		claim := w.claims[i]
		text += fmt.Sprint(" claim ", claim.isLost, claim.isOwner, claim.goal, claim.version, claim.steps)
		op := w.operations[i]
		text += fmt.Sprint(" operation ", op.ReadOnly, op.ExpectedVersion, string(op.Value))
		text += fmt.Sprint(" delayed ", w.delayed[i].ID, w.delayed[i].ExpectedVersion)
	}
	return text
}

// successors are all states that one step of either session leads to.
func (w world) successors() []world {
	var all []world
	for i := range 2 {
		if w.delayed[i].ID != "" {
			arrived := w
			arrived.record, _ = apply(w.record, w.delayed[i])
			arrived.delayed[i] = replication.Operation{}
			all = append(all, arrived)
		}
		all = append(all, w.sessionSteps(i)...)
	}
	return all
}

// sessionSteps are the states after one step of session i.
func (w world) sessionSteps(i int) []world {
	switch w.phase[i] {
	case phaseNotBegun:
		begun := w
		begun.operations[i] = begun.claims[i].Begin("s")
		begun.phase[i] = phaseRequesting
		return []world{begun}
	case phaseRequesting, phaseRecording:
		return w.operationOutcomes(i)
	case phaseMayWrite:
		wrote := w
		wrote.ran[i] = true
		wrote.phase[i] = phaseWritten
		return []world{wrote, w.stopped(i)}
	case phaseWritten:
		answered := w
		answered.operations[i] = answered.claims[i].RecordAnswer([]byte("UP"))
		answered.phase[i] = phaseRecording
		return []world{answered, w.stopped(i)}
	case phaseWithdrawing:
		return []world{w.withdrawn(i), w.stopped(i)}
	}
	return nil
}

// stopped is the state after session i's process has stopped.
func (w world) stopped(i int) world {
	w.phase[i] = phaseEnded
	return w
}

// operationOutcomes are the states after session i's operation: committed with and without its result, rejected, and delayed.
func (w world) operationOutcomes(i int) []world {
	record, result := apply(w.record, w.operations[i])
	committed := w
	committed.record = record
	committed.handle(i, result)

	resultLost := w
	resultLost.record = record
	resultLost.handle(i, replication.Result{Outcome: replication.OutcomeUnknown})

	rejected := w
	rejected.handle(i, replication.Result{Outcome: replication.OutcomeRejected})

	delayed := w
	delayed.handle(i, replication.Result{Outcome: replication.OutcomeUnknown})
	delayed.delayed[i] = w.operations[i]
	return []world{committed, resultLost, rejected, delayed}
}

// withdrawn is the state after session i's withdrawal, which nobody waits for.
func (w world) withdrawn(i int) world {
	record := w.record
	result := replication.Result{Outcome: replication.OutcomeConflict, Record: w.record}
	if !w.operations[i].ReadOnly {
		record, result = apply(w.record, w.operations[i])
	}
	w.record = record
	if decision, op := w.claims[i].HandleResult(result); decision == Wait {
		w.operations[i] = op
	} else {
		w.phase[i] = phaseEnded
	}
	return w
}

// handle gives session i the result of its operation.
func (w *world) handle(i int, r replication.Result) {
	decision, op := w.claims[i].HandleResult(r)
	switch decision {
	case Wait:
		w.operations[i] = op
	case Proceed:
		w.phase[i] = phaseMayWrite
	case Recorded:
		w.end(i, "UP")
	case Unavailable:
		w.handleUnavailable(i)
	default:
		w.end(i, map[Decision]string{Replay: "same", Abandoned: "ERR"}[decision])
	}
}

func (w *world) handleUnavailable(i int) {
	if w.phase[i] == phaseRecording { // it ran: the client gets the answer even so
		w.end(i, "UP")
		return
	}
	w.end(i, "BUSY")
	if w.claims[i].NeedsWithdrawal() {
		w.phase[i] = phaseWithdrawing
		w.operations[i] = w.claims[i].Withdraw()
	}
}

func (w *world) end(i int, reply string) {
	w.replies[i] = reply
	w.phase[i] = phaseEnded
}

// TestNothingRunsTwice visits every state of two sessions with the same idempotency key: at most one of them may write to an endpoint,
// and none may replay an answer that never was given.
func TestNothingRunsTwice(t *testing.T) {
	begin := world{claims: [2]Claim{*New(7, "a", 1), *New(7, "b", 1)}}
	seen := map[string]bool{begin.String(): true}
	queue := []world{begin}
	depth := 0
	ran := 0
	for len(queue) > 0 {
		var more []world
		for _, w := range queue {
			if w.ran[0] && w.ran[1] {
				t.Fatalf("both ran: %v", w)
			}
			for i := range 2 {
				if w.replies[i] == "same" && !w.ran[1-i] {
					t.Fatalf("an answer to what never ran: %v", w)
				}
				if w.ran[i] {
					ran++
				}
			}
			for _, n := range w.successors() {
				if k := n.String(); !seen[k] {
					seen[k] = true
					more = append(more, n)
				}
			}
		}
		queue = more
		depth++
	}
	t.Logf("%d states, depth %d", len(seen), depth)
	if len(seen) < 1000 || ran == 0 {
		t.Errorf("only %d states, %d of them after a run", len(seen), ran)
	}
}
