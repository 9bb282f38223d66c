package fleetsim

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"sabletally/internal/fleet/replication"
)

// The violations that the checker reports: an error of Play contains one of these texts.
const (
	LostWrite               = "an acknowledged write was lost"
	DuplicateVersion        = "one version was written twice"
	NotLinearizable         = "the results of the clients are not linearizable"
	NotRecovered            = "the fleet did not recover after the last fault"
	UnderReplicated         = "a shard is under-replicated"
	linearizabilityTimeout  = 300 * time.Millisecond // limit for the check of one key, which is undecided if it takes longer
	finalReadTimeout        = 20 * time.Second       // limit for the final read of one key, over all attempts
	finalReadAttemptTimeout = 2 * time.Second        // limit for one attempt of a final read
)

// check reads every key once the fleet has recovered and compares the results of all operations with the final records.
func (w *World) check() error {
	if err := w.checkShardMap(); err != nil {
		return err
	}
	final, err := w.readAllKeys()
	if err != nil {
		return err
	}
	if w.err != nil {
		return w.err
	}
	if err := w.checkWrites(final); err != nil {
		return err
	}
	return w.checkLinearizability()
}

// violation returns the error for a violation.
func (w *World) violation(name, format string, args ...any) error {
	return fmt.Errorf("seed %d: %s: %s", w.plan.Seed, name, fmt.Sprintf(format, args...))
}

// checkShardMap checks that the fleet was bootstrapped and that each shard has all its replicas in sync.
func (w *World) checkShardMap() error {
	newest, _ := w.newestState()
	if newest == nil || newest.FleetID == "" {
		return w.violation(NotRecovered, "the fleet was never bootstrapped")
	}
	w.ShardMapVersion = int(newest.Version)
	for shard, c := range newest.Configurations {
		if len(c.InSync) < min(w.plan.ReplicationFactor, len(w.members)) {
			return w.violation(UnderReplicated, "shard %d has %d replicas in sync in configuration %d: %v, joining %v", shard, len(c.InSync), c.Number, c.InSync, c.Joining)
		}
	}
	return nil
}

// readAllKeys returns the final record of each key.
func (w *World) readAllKeys() (map[string]replication.Record, error) {
	final := map[string]replication.Record{}
	for i := range w.plan.Keys {
		key := fmt.Sprintf("k%d", i)
		record, err := w.readKey(key)
		if err != nil {
			return nil, err
		}
		final[key] = record
	}
	return final, nil
}

// readKey submits reads of a key to random members until one of them succeeds.
func (w *World) readKey(key string) (replication.Record, error) {
	for attempt := 0; ; attempt++ {
		w.lastOperation++
		request := replication.Operation{ID: fmt.Sprintf("o%d", w.lastOperation), Key: key, ReadOnly: true}
		w.submit(w.members[w.rng.IntN(len(w.members))], request)
		op := w.operationByID[request.ID]
		for end := w.now + finalReadAttemptTimeout; !op.HasResult && w.now < end; {
			w.runUntil(w.now + tickInterval)
		}
		if op.HasResult && op.Result.Outcome == replication.OutcomeConflict {
			return op.Result.Record, nil
		}
		if time.Duration(attempt)*finalReadAttemptTimeout > finalReadTimeout {
			return replication.Record{}, w.violation(NotRecovered, "reads of key %s failed for too long; the last one: outcome %v, reason %v", key, op.Result.Outcome, op.Result.Reason)
		}
	}
}

// checkWrites checks that no version was written twice and that no acknowledged write is lost.
func (w *World) checkWrites(final map[string]replication.Record) error {
	writers := map[string]string{}
	for _, op := range w.Operations {
		record := op.Result.Record
		if !op.HasResult || op.Result.Outcome != replication.OutcomeCommitted || record.OperationID != op.Request.ID {
			continue
		}
		version := fmt.Sprintf("%s version %d", op.Request.Key, record.Version)
		if other := writers[version]; other != "" {
			return w.violation(DuplicateVersion, "%s was written by %s and by %s", version, other, op.Request.ID)
		}
		writers[version] = op.Request.ID
		if f := final[op.Request.Key]; f.Version < record.Version || f.Version == record.Version && f.OperationID != op.Request.ID {
			return w.violation(LostWrite, "%s was acknowledged to %s at %v, but the final record is version %d by %s", version, op.Request.ID, op.EndedAt, f.Version, f.OperationID)
		}
	}
	return nil
}

// checkLinearizability checks that the operations on each key are linearizable. Keys that take too long to check are counted as undecided.
func (w *World) checkLinearizability() error {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range w.Operations {
		if op.hasNoEffect() {
			continue
		}
		key := op.Request.Key
		o := porcupine.Operation{ClientId: len(byKey[key]), Input: op.Request, Output: op.Result, Call: int64(op.StartedAt), Return: int64(op.EndedAt)}
		if !op.HasResult || op.Result.Outcome == replication.OutcomeUnknown { // the write may take effect at any later time, or never
			o.Output, o.Return = replication.Result{Outcome: replication.OutcomeUnknown}, math.MaxInt64
		}
		byKey[key] = append(byKey[key], o)
	}
	for i := range w.plan.Keys {
		key := fmt.Sprintf("k%d", i)
		switch result, _ := porcupine.CheckOperationsVerbose(register, byKey[key], linearizabilityTimeout); result {
		case porcupine.Illegal:
			return w.violation(NotLinearizable, "key %s, which had %d operations", key, len(byKey[key]))
		case porcupine.Unknown:
			w.Undecided++
		}
	}
	return nil
}

// hasNoEffect reports whether an operation neither changed a record nor returned one.
func (op *Operation) hasNoEffect() bool {
	if !op.HasResult {
		return op.Request.ReadOnly
	}
	return op.Result.Outcome == replication.OutcomeRejected ||
		op.Request.ReadOnly && op.Result.Outcome != replication.OutcomeConflict
}

// registerState is one key in the checker's model: its version and the operation that wrote it.
type registerState struct {
	version uint64
	op      string
}

// register is the model of a key: a register that clients compare and swap by its version.
var register = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, op, r := state.(registerState), input.(replication.Operation), output.(replication.Result)
		next := registerState{s.version + 1, op.ID}
		switch {
		case op.ReadOnly:
			return r.Record.Version == s.version && (s.version == 0 || r.Record.OperationID == s.op), s
		case r.Outcome == replication.OutcomeCommitted:
			return op.ExpectedVersion == s.version && (r.Record.OperationID != op.ID || r.Record.Version == next.version), next
		case r.Outcome == replication.OutcomeConflict:
			return op.ExpectedVersion != s.version && r.Record.Version == s.version, s
		case op.ExpectedVersion == s.version: // the outcome is unknown: the write may have taken effect or not
			return true, next
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a == b },
}
