package fleetsim

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"sabletally/internal/fleet/replication"
)

// The judge's names for what is broken.
const (
	PromiseLost  = "a promise lost"
	TwoOwners    = "two owners of one version"
	NotInOrder   = "no order explains what clients saw"
	Unsettled    = "the fleet does not settle"
	NotRepaired  = "a slot is not repaired"
	judgeWithin  = 300 * time.Millisecond // for one key's order; a key that takes longer is counted as not decided
	finalReads   = 20 * time.Second
	finalReadTry = 2 * time.Second
)

// judge reads every key once the fleet has settled, and holds it against what was promised.
func (w *World) judge() error {
	broken := func(name, format string, args ...any) error {
		return fmt.Errorf("seed %d: %s: %s", w.plan.Seed, name, fmt.Sprintf(format, args...))
	}
	newest, _ := w.newest()
	if newest == nil || newest.FleetID == "" {
		return broken(Unsettled, "it was never founded")
	}
	w.Views = int(newest.Version)
	for num, v := range newest.Configurations {
		if len(v.InSync) < min(w.plan.Copies, len(w.nodes)) {
			return broken(NotRepaired, "slot %d has %d holders, view %d: %v, joining %v", num, len(v.InSync), v.Number, v.InSync, v.Joining)
		}
	}
	final := map[string]replication.Record{}
	for i := range w.plan.Keys {
		key := fmt.Sprintf("k%d", i)
		for try := 0; ; try++ {
			w.opN++
			op := replication.Operation{ID: fmt.Sprintf("o%d", w.opN), Key: key, ReadOnly: true}
			w.ask(w.nodes[w.rng.IntN(len(w.nodes))], op)
			a := w.byOp[op.ID]
			for end := w.now + finalReadTry; !a.Answered && w.now < end; {
				w.until(w.now + turnEach)
			}
			if a.Answered && a.Result.Outcome == replication.OutcomeConflict {
				final[key] = a.Result.Record
				break
			}
			if time.Duration(try)*finalReadTry > finalReads {
				return broken(Unsettled, "key %s can't be read: %v %v", key, a.Result.Outcome, a.Result.Reason)
			}
		}
	}
	if w.err != nil {
		return w.err
	}
	byKey := map[string][]porcupine.Operation{}
	wrote := map[string]string{}
	for _, a := range w.Operations {
		r := a.Result.Record
		if a.Answered && a.Result.Outcome == replication.OutcomeCommitted && r.OperationID == a.Op.ID {
			at := fmt.Sprintf("%s version %d", a.Op.Key, r.Version)
			if o := wrote[at]; o != "" {
				return broken(TwoOwners, "%s: %s and %s", at, o, a.Op.ID)
			}
			wrote[at] = a.Op.ID
			if f := final[a.Op.Key]; f.Version < r.Version || f.Version == r.Version && f.OperationID != a.Op.ID {
				return broken(PromiseLost, "%s was promised to %s at %v, now there is version %d by %s", at, a.Op.ID, a.To, f.Version, f.OperationID)
			}
		}
		if a.Answered && (a.Result.Outcome == replication.OutcomeRejected || a.Op.ReadOnly && a.Result.Outcome != replication.OutcomeConflict) {
			continue // not done
		}
		if !a.Answered && a.Op.ReadOnly {
			continue
		}
		o := porcupine.Operation{ClientId: 0, Input: a.Op, Output: a.Result, Call: int64(a.From), Return: int64(a.To)}
		if !a.Answered || a.Result.Outcome == replication.OutcomeUnknown { // it may be done at any time from then on, or never
			o.Output, o.Return = replication.Result{Outcome: replication.OutcomeUnknown}, math.MaxInt64
		}
		o.ClientId = len(byKey[a.Op.Key])
		byKey[a.Op.Key] = append(byKey[a.Op.Key], o)
	}
	for i := range w.plan.Keys {
		key := fmt.Sprintf("k%d", i)
		switch got, _ := porcupine.CheckOperationsVerbose(register, byKey[key], judgeWithin); got {
		case porcupine.Illegal:
			return broken(NotInOrder, "key %s, %d operations", key, len(byKey[key]))
		case porcupine.Unknown:
			w.Undecided++
		}
	}
	return nil
}

// held is one key in the model: its version, and who wrote it.
type held struct {
	version uint64
	op      string
}

// register is what one key is to its clients: written if the version is the one that was told.
var register = porcupine.Model{
	Init: func() any { return held{} },
	Step: func(state, input, output any) (bool, any) {
		s, op, r := state.(held), input.(replication.Operation), output.(replication.Result)
		next := held{s.version + 1, op.ID}
		switch {
		case op.ReadOnly:
			return r.Record.Version == s.version && (s.version == 0 || r.Record.OperationID == s.op), s
		case r.Outcome == replication.OutcomeCommitted:
			return op.ExpectedVersion == s.version && (r.Record.OperationID != op.ID || r.Record.Version == next.version), next
		case r.Outcome == replication.OutcomeConflict:
			return op.ExpectedVersion != s.version && r.Record.Version == s.version, s
		case op.ExpectedVersion == s.version: // unknown: done, or not; not at all is at the end of time
			return true, next
		}
		return true, s
	},
	Equal: func(a, b any) bool { return a == b },
}
