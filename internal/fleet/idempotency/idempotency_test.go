package idempotency

import (
	"fmt"
	"testing"

	"sabletally/internal/fleet/replication"
)

// phase is how far a session with a claim has progressed.
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

// searchState is one state of the search: a record and the two sessions that claim it.
type searchState struct {
	record            replication.Record
	claims            [2]Claim
	phase             [2]phase
	operations        [2]replication.Operation
	delayedOperations [2]replication.Operation // operations in transit for which the sessions no longer wait
	ran               [2]bool                  // whether the session wrote to a server
	replies           [2]string                // what the session sent to its client
}

// applyWrite executes a write of the record as the primary does.
func applyWrite(current replication.Record, op replication.Operation) (replication.Record, replication.Result) {
	exists := current.Version > 0 && !current.Deleted
	if exists && op.ExpectedVersion != current.Version || !exists && op.ExpectedVersion != 0 {
		return current, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeConflict, Record: current}
	}
	next := replication.Record{Key: op.Key, Version: current.Version + 1, Value: op.Value, OperationID: op.ID}
	return next, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeCommitted, Record: next}
}

// String returns a text that identifies a state of the search.
func (s searchState) String() string {
	text := fmt.Sprint(string(s.record.Value), s.record.Version, s.phase, s.ran, s.replies)
	for i := range 2 {
		claim := s.claims[i]
		text += fmt.Sprint(" claim ", claim.mustNotRun, claim.isOwner, claim.goal, claim.version, claim.conflictsInRequest)
		op := s.operations[i]
		text += fmt.Sprint(" operation ", op.ReadOnly, op.ExpectedVersion, string(op.Value))
		text += fmt.Sprint(" delayed ", s.delayedOperations[i].ID, s.delayedOperations[i].ExpectedVersion)
	}
	return text
}

// successors returns all states that are one step away: a step of either session, or the arrival of a delayed operation.
func (s searchState) successors() []searchState {
	var all []searchState
	for i := range 2 {
		if s.delayedOperations[i].ID != "" {
			arrived := s
			arrived.record, _ = applyWrite(s.record, s.delayedOperations[i])
			arrived.delayedOperations[i] = replication.Operation{}
			all = append(all, arrived)
		}
		all = append(all, s.afterSessionStep(i)...)
	}
	return all
}

// afterSessionStep returns the states after one step of session i.
func (s searchState) afterSessionStep(i int) []searchState {
	switch s.phase[i] {
	case phaseNotBegun:
		begun := s
		begun.operations[i] = begun.claims[i].Begin("s")
		begun.phase[i] = phaseRequesting
		return []searchState{begun}
	case phaseRequesting, phaseRecording:
		return s.afterOperation(i)
	case phaseMayWrite:
		wrote := s
		wrote.ran[i] = true
		wrote.phase[i] = phaseWritten
		return []searchState{wrote, s.afterStop(i)}
	case phaseWritten:
		answered := s
		answered.operations[i] = answered.claims[i].RecordAnswer([]byte("UP"))
		answered.phase[i] = phaseRecording
		return []searchState{answered, s.afterStop(i)}
	case phaseWithdrawing:
		return []searchState{s.afterWithdrawal(i), s.afterStop(i)}
	}
	return nil
}

// afterStop returns the state after session i's process has stopped.
func (s searchState) afterStop(i int) searchState {
	s.phase[i] = phaseEnded
	return s
}

// afterOperation returns the states after session i's operation: committed, committed with its result lost, rejected, and delayed.
func (s searchState) afterOperation(i int) []searchState {
	record, result := applyWrite(s.record, s.operations[i])
	committed := s
	committed.record = record
	committed.handleResult(i, result)

	resultLost := s
	resultLost.record = record
	resultLost.handleResult(i, replication.Result{Outcome: replication.OutcomeUnknown})

	rejected := s
	rejected.handleResult(i, replication.Result{Outcome: replication.OutcomeRejected})

	delayed := s
	delayed.handleResult(i, replication.Result{Outcome: replication.OutcomeUnknown})
	delayed.delayedOperations[i] = s.operations[i]
	return []searchState{committed, resultLost, rejected, delayed}
}

// afterWithdrawal returns the state after the next operation of session i's withdrawal.
func (s searchState) afterWithdrawal(i int) searchState {
	record := s.record
	result := replication.Result{Outcome: replication.OutcomeConflict, Record: s.record}
	if !s.operations[i].ReadOnly {
		record, result = applyWrite(s.record, s.operations[i])
	}
	s.record = record
	if decision, op := s.claims[i].HandleResult(result); decision == Wait {
		s.operations[i] = op
	} else {
		s.phase[i] = phaseEnded
	}
	return s
}

// handleResult passes session i the result of its operation and follows its decision.
func (s *searchState) handleResult(i int, r replication.Result) {
	decision, op := s.claims[i].HandleResult(r)
	switch decision {
	case Wait:
		s.operations[i] = op
	case Proceed:
		s.phase[i] = phaseMayWrite
	case Recorded:
		s.endSession(i, "UP")
	case Unavailable:
		s.handleUnavailable(i)
	default:
		s.endSession(i, map[Decision]string{Replay: "same", Abandoned: "ERR"}[decision])
	}
}

// handleUnavailable ends session i after a request without effect, and withdraws its record if need be.
func (s *searchState) handleUnavailable(i int) {
	if s.phase[i] == phaseRecording { // the session ran, so the client still gets the answer
		s.endSession(i, "UP")
		return
	}
	s.endSession(i, "BUSY")
	if s.claims[i].NeedsWithdrawal() {
		s.phase[i] = phaseWithdrawing
		s.operations[i] = s.claims[i].Withdraw()
	}
}

func (s *searchState) endSession(i int, reply string) {
	s.replies[i] = reply
	s.phase[i] = phaseEnded
}

// TestNothingRunsTwice visits every reachable state of two sessions with the same idempotency key. At most one of them may write to an
// endpoint, and none may replay an answer that was never given.
func TestNothingRunsTwice(t *testing.T) {
	begin := searchState{claims: [2]Claim{*New(7, "a", 1), *New(7, "b", 1)}}
	seen := map[string]bool{begin.String(): true}
	queue := []searchState{begin}
	depth := 0
	ran := 0
	for len(queue) > 0 {
		var more []searchState
		for _, s := range queue {
			if s.ran[0] && s.ran[1] {
				t.Fatalf("both sessions ran: %v", s)
			}
			for i := range 2 {
				if s.replies[i] == "same" && !s.ran[1-i] {
					t.Fatalf("replayed the answer of a session that never ran: %v", s)
				}
				if s.ran[i] {
					ran++
				}
			}
			for _, n := range s.successors() {
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
		t.Errorf("only %d states visited, %d of them after a run; want at least 1000, some of them after a run", len(seen), ran)
	}
}
