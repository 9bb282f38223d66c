package idempotency

import (
	"fmt"
	"testing"

	"sabletally/internal/fleet/replication"
)

// world is one key in every state that two circuits and holders can bring about, walked whole.
type world struct {
	rec   replication.Record
	own   [2]Claim
	phase [2]int // 0 not begun, 1 asks, 2 may write, 3 wrote, 4 asks to tell, 5 ended
	op    [2]replication.Operation
	late  [2]replication.Operation // on its way yet, though nobody waits for it any more
	ran   [2]bool
	word  [2]string
}

// apply is what the copies do with an operation, as one key's owner sees it.
func apply(rec replication.Record, op replication.Operation) (replication.Record, replication.Result) {
	there := rec.Version > 0 && !rec.Deleted
	if there && op.ExpectedVersion != rec.Version || !there && op.ExpectedVersion != 0 {
		return rec, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeConflict, Record: rec}
	}
	rec = replication.Record{Key: op.Key, Version: rec.Version + 1, Value: op.Value, OperationID: op.ID}
	return rec, replication.Result{OperationID: op.ID, Outcome: replication.OutcomeCommitted, Record: rec}
}

func (w world) String() string {
	return fmt.Sprint(w.op[0].ReadOnly, w.op[1].ReadOnly, w.own[0].isLost, w.own[1].isLost, w.own[0].isOwner, w.own[1].isOwner, string(w.rec.Value), w.rec.Version, w.phase, w.ran, w.word, w.own[0].goal, w.own[1].goal, w.own[0].version, w.own[1].version,
		w.own[0].steps, w.own[1].steps, w.op[0].ExpectedVersion, w.op[1].ExpectedVersion, string(w.op[0].Value), string(w.op[1].Value),
		w.late[0].ID, w.late[1].ID, w.late[0].ExpectedVersion, w.late[1].ExpectedVersion)
}

// next are all worlds that one step leads to: an operation takes hold and is heard of, takes hold and is not, or does not; a
// circuit that may write writes, or its process stalls for good.
func (w world) next() (all []world) {
	for i := range 2 {
		if w.late[i].ID != "" {
			n := w
			n.rec, _ = apply(w.rec, w.late[i])
			n.late[i] = replication.Operation{}
			all = append(all, n)
		}
		switch w.phase[i] {
		case 0:
			n := w
			n.op[i] = n.own[i].Begin("s")
			n.phase[i] = 1
			all = append(all, n)
		case 1, 4:
			rec, res := apply(w.rec, w.op[i])
			heard := w
			heard.rec = rec
			heard.hear(i, res)
			lost := w // done, and nobody hears
			lost.rec = rec
			lost.hear(i, replication.Result{Outcome: replication.OutcomeUnknown})
			refused, delayed := w, w
			refused.hear(i, replication.Result{Outcome: replication.OutcomeRejected})
			delayed.hear(i, replication.Result{Outcome: replication.OutcomeUnknown})
			delayed.late[i] = w.op[i]
			all = append(all, heard, lost, refused, delayed)
		case 2:
			wrote, stalls := w, w
			wrote.ran[i], wrote.phase[i] = true, 3
			stalls.phase[i] = 5
			all = append(all, wrote, stalls)
		case 6: // nacked: it withdraws, heard of or not
			rec, res := w.rec, replication.Result{Outcome: replication.OutcomeConflict, Record: w.rec}
			if !w.op[i].ReadOnly {
				rec, res = apply(w.rec, w.op[i])
			}
			heard, stops := w, w
			heard.rec = rec
			if v, op := heard.own[i].HandleResult(res); v == Wait {
				heard.op[i] = op
			} else {
				heard.phase[i] = 5
			}
			stops.phase[i] = 5
			all = append(all, heard, stops)
		case 3: // the server says UP, or the process ends
			up, ends := w, w
			up.op[i] = up.own[i].RecordAnswer([]byte("UP"))
			up.phase[i] = 4
			ends.phase[i] = 5
			all = append(all, up, ends)
		}
	}
	return all
}

func (w *world) hear(i int, r replication.Result) {
	v, op := w.own[i].HandleResult(r)
	switch v {
	case Wait:
		w.op[i] = op
	case Proceed:
		w.phase[i] = 2
	case Recorded:
		w.phase[i], w.word[i] = 5, "UP"
	case Unavailable:
		if w.phase[i] == 4 { // it ran: what the server said is told
			w.word[i] = "UP"
			w.phase[i] = 5
			return
		}
		w.word[i], w.phase[i] = "BUSY", 5
		if w.own[i].NeedsWithdrawal() {
			w.phase[i], w.op[i] = 6, w.own[i].Withdraw()
		}
	default:
		w.phase[i], w.word[i] = 5, map[Decision]string{Replay: "same", Abandoned: "ERR"}[v]
	}
}

// TestNothingRunsTwice walks every state of two owners of one id. Guards against a second owner that runs what the first has run
// or may run yet, and one that tells of an answer that there was none.
func TestNothingRunsTwice(t *testing.T) {
	begin := world{own: [2]Claim{*New(7, "a", 1), *New(7, "b", 1)}}
	seen, queue, depth := map[string]bool{begin.String(): true}, []world{begin}, 0
	ran := 0
	for len(queue) > 0 {
		var more []world
		for _, w := range queue {
			if w.ran[0] && w.ran[1] {
				t.Fatalf("both ran: %v", w)
			}
			for i := range 2 {
				if w.word[i] == "same" && !w.ran[1-i] {
					t.Fatalf("an answer to what never ran: %v", w)
				}
				if w.ran[i] {
					ran++
				}
			}
			for _, n := range w.next() {
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
