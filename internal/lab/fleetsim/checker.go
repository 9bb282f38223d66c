package fleetsim

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"sabletally/internal/fleet/replication"
)

// What can be broken, by the names that the checker reports it under.
const (
	LostWrite         = "an acknowledged write was lost"
	DuplicateVersion  = "one version was written twice"
	NotLinearizable   = "no order explains what clients saw"
	NotSettled        = "the fleet does not settle"
	UnderReplicated   = "a shard is under-replicated"
	orderCheckTimeout = 300 * time.Millisecond // for one key; one that takes longer counts as undecided
	finalReadTimeout  = 20 * time.Second
	finalReadAttempt  = 2 * time.Second
)

// check reads every key once the fleet has settled and compares it with what clients were told.
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
	return w.checkOrder()
}

func (w *World) broken(name, format string, args ...any) error {
	return fmt.Errorf("seed %d: %s: %s", w.plan.Seed, name, fmt.Sprintf(format, args...))
}

// checkShardMap checks that the fleet was bootstrapped and that each shard has all its replicas.
func (w *World) checkShardMap() error {
	newest, _ := w.newestState()
	if newest == nil || newest.FleetID == "" {
		return w.broken(NotSettled, "it was never bootstrapped")
	}
	w.Configurations = int(newest.Version)
	for shard, c := range newest.Configurations {
		if len(c.InSync) < min(w.plan.ReplicationFactor, len(w.members)) {
			return w.broken(UnderReplicated, "shard %d has %d replicas in sync, configuration %d: %v, joining %v", shard, len(c.InSync), c.Number, c.InSync, c.Joining)
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

// readKey asks random members for a key until one answers.
func (w *World) readKey(key string) (replication.Record, error) {
	for attempt := 0; ; attempt++ {
		w.lastOperation++
		request := replication.Operation{ID: fmt.Sprintf("o%d", w.lastOperation), Key: key, ReadOnly: true}
		w.submit(w.members[w.rng.IntN(len(w.members))], request)
		op := w.operationByID[request.ID]
		for end := w.now + finalReadAttempt; !op.HasResult && w.now < end; {
			w.runUntil(w.now + tickInterval)
		}
		if op.HasResult && op.Result.Outcome == replication.OutcomeConflict {
			return op.Result.Record, nil
		}
		if time.Duration(attempt)*finalReadAttempt > finalReadTimeout {
			return replication.Record{}, w.broken(NotSettled, "key %s can't be read: %v %v", key, op.Result.Outcome, op.Result.Reason)
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
			return w.broken(DuplicateVersion, "%s: %s and %s", version, other, op.Request.ID)
		}
		writers[version] = op.Request.ID
		if f := final[op.Request.Key]; f.Version < record.Version || f.Version == record.Version && f.OperationID != op.Request.ID {
			return w.broken(LostWrite, "%s was acknowledged to %s at %v, now there is version %d by %s", version, op.Request.ID, op.EndedAt, f.Version, f.OperationID)
		}
	}
	return nil
}

// checkOrder checks that the operations on each key are linearizable.
func (w *World) checkOrder() error {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range w.Operations {
		if op.hasNoEffect() {
			continue
		}
		key := op.Request.Key
		o := porcupine.Operation{ClientId: len(byKey[key]), Input: op.Request, Output: op.Result, Call: int64(op.StartedAt), Return: int64(op.EndedAt)}
		if !op.HasResult || op.Result.Outcome == replication.OutcomeUnknown { // it may be done at any later time, or never
			o.Output, o.Return = replication.Result{Outcome: replication.OutcomeUnknown}, math.MaxInt64
		}
		byKey[key] = append(byKey[key], o)
	}
	for i := range w.plan.Keys {
		key := fmt.Sprintf("k%d", i)
		switch result, _ := porcupine.CheckOperationsVerbose(register, byKey[key], orderCheckTimeout); result {
		case porcupine.Illegal:
			return w.broken(NotLinearizable, "key %s, %d operations", key, len(byKey[key]))
		case porcupine.Unknown:
			w.Undecided++
		}
	}
	return nil
}

// hasNoEffect reports whether an operation neither changed a record nor tells of one.
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

// register is a key as its clients see it: a compare-and-swap register by version.
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
		case op.ExpectedVersion == s.version: // unknown: it may have been done or not
			return true, next
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a == b },
}
