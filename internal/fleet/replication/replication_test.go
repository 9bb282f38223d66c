package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// band is three nodes whose messages come at once, but for those that a test holds back.
type band struct {
	nodes map[string]*Node
	done  map[string]Result
	now   time.Duration
	hold  func(Message) bool
}

func three(keys, bytes int) *band {
	b := &band{nodes: map[string]*Node{}, done: map[string]Result{}, hold: func(Message) bool { return false }}
	for _, id := range []string{"a", "b", "c"} {
		b.nodes[id] = New(Config{ID: id, Incarnation: 1, MinReplicas: 2, MaxKeys: keys, MaxBytes: bytes, MaxPendingOperations: 100, Retention: []RetentionRule{{"old/", time.Minute}}}, 0)
	}
	b.view(shardmap.Configuration{Number: 1, InSync: []string{"a", "b", "c"}}, "a", "b", "c")
	return b
}

// view tells some of a view of every slot.
func (b *band) view(v shardmap.Configuration, to ...string) {
	for _, id := range to {
		for num := range shardmap.ShardCount {
			b.nodes[id].SetConfiguration(num, v)
		}
	}
	b.settle()
}

func (b *band) settle() {
	for again := true; again; {
		again = false
		for _, id := range []string{"a", "b", "c"} {
			r := b.nodes[id].Ready()
			for _, m := range r.Messages {
				if !b.hold(m) {
					b.nodes[m.To].Step(m)
					again = true
				}
			}
			for _, one := range r.Results {
				b.done[one.OperationID] = one
			}
		}
	}
}

func (b *band) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 50 * time.Millisecond
		for _, id := range []string{"a", "b", "c"} {
			b.nodes[id].Tick(b.now)
		}
		b.settle()
	}
}

func (b *band) ask(at string, op Operation) Result {
	b.nodes[at].Submit(op, time.Second)
	b.settle()
	return b.done[op.ID]
}

// TestMoreIsOfferedThanThereIsRoom offers a million records to places for 50,000. Guards against a member that grows without bound,
// and one that drops what was promised for what is new.
func TestMoreIsOfferedThanThereIsRoom(t *testing.T) {
	const room, offered = 50000, 1000000
	b := three(room, 64<<20)
	done, full := 0, 0
	for i := range offered {
		op := Operation{ID: fmt.Sprint("o", i), Key: fmt.Sprint("k", i), Value: []byte("v")}
		b.nodes["a"].Submit(op, time.Second)
		if i%64 == 63 || i == offered-1 {
			b.settle()
			for id, r := range b.done {
				switch {
				case r.Outcome == OutcomeCommitted:
					done++
				case r.Outcome == OutcomeRejected && r.Reason == ReasonFull:
					full++
				default:
					t.Fatal(id, r)
				}
			}
			clear(b.done)
		}
	}
	if done != room || full != offered-room {
		t.Errorf("%d promised, %d refused", done, full)
	}
	for _, id := range []string{"a", "b", "c"} {
		if keys, _ := b.nodes[id].Usage(); keys != room || b.nodes[id].Record("k0").Version != 1 {
			t.Errorf("%s holds %d", id, keys)
		}
	}
	if r := b.ask("b", Operation{ID: "over", Key: "k0", ExpectedVersion: 1, Value: []byte("w")}); r.Outcome != OutcomeCommitted { // what is there may change
		t.Error(r)
	}
	if r := b.ask("c", Operation{ID: "drop", Key: "k1", ExpectedVersion: 1, Delete: true}); r.Outcome != OutcomeCommitted {
		t.Error(r)
	}
}

// TestAnOvertakenPrimaryPromisesNothing tells two of three of a new view while the old primary hears nothing of it, and has it
// write and read. Guards against two that promise, and one that tells what is over.
func TestAnOvertakenPrimaryPromisesNothing(t *testing.T) {
	b := three(100, 1<<20)
	if r := b.ask("a", Operation{ID: "1", Key: "k", Value: []byte("1")}); r.Outcome != OutcomeCommitted {
		t.Fatal(r)
	}
	b.view(shardmap.Configuration{Number: 2, InSync: []string{"b", "c"}}, "b", "c")
	if r := b.ask("c", Operation{ID: "2", Key: "k", ExpectedVersion: 1, Value: []byte("2")}); r.Outcome != OutcomeCommitted {
		t.Fatal(r)
	}
	for _, op := range []Operation{{ID: "3", Key: "k", ExpectedVersion: 1, Value: []byte("3")}, {ID: "4", Key: "k", ReadOnly: true}, {ID: "5", Key: "new", Value: []byte("5")}} {
		if r := b.ask("a", op); r.Outcome == OutcomeCommitted || r.Outcome == OutcomeConflict {
			t.Errorf("%s: %v %s", op.ID, r.Outcome, r.Record.Value)
		}
	}
	b.pass(2 * time.Second)
	for _, id := range []string{"3", "4", "5"} {
		if r := b.done[id]; r.Outcome == OutcomeCommitted || r.Outcome == OutcomeConflict {
			t.Errorf("%s: %v", id, r.Outcome)
		}
	}
	if r := b.ask("b", Operation{ID: "6", Key: "k", ReadOnly: true}); string(r.Record.Value) != "2" {
		t.Errorf("%v %s", r.Outcome, r.Record.Value)
	}
}

// TestAWriteWaitsForEveryHolder holds back one holder's answers, then hands them over. Guards against a promise that fewer have than
// the view says, and against a slow holder that nobody hears of.
func TestAWriteWaitsForEveryHolder(t *testing.T) {
	b := three(100, 1<<20)
	b.hold = func(m Message) bool { return m.From == "c" && m.Kind == MessageWriteAck }
	if r := b.ask("a", Operation{ID: "1", Key: "k", Value: []byte("1")}); r.Outcome == OutcomeCommitted {
		t.Fatal("promised without the third")
	}
	var blamed []string
	for range 40 {
		b.now += 50 * time.Millisecond
		b.nodes["a"].Tick(b.now)
		r := b.nodes["a"].Ready()
		for _, c := range r.Reports {
			if !slices.Contains(blamed, c.Subject) {
				blamed = append(blamed, c.Subject)
			}
		}
	}
	if !slices.Equal(blamed, []string{"c"}) {
		t.Errorf("blamed %v", blamed)
	}
	b.hold = func(Message) bool { return false }
	b.pass(time.Second)
	if r := b.ask("b", Operation{ID: "2", Key: "k", ReadOnly: true}); string(r.Record.Value) != "1" || b.done["1"].Outcome == OutcomeRejected {
		t.Errorf("%v, %v", r, b.done["1"])
	}
	b.view(shardmap.Configuration{Number: 2, InSync: []string{"a"}}, "a", "b", "c")
	if r := b.ask("a", Operation{ID: "3", Key: "k", ExpectedVersion: 1, Value: []byte("3")}); r.Outcome == OutcomeCommitted {
		t.Error("promised on one machine")
	}
}

// TestRecordsAge has two records pass their time, one of which is of a kind that is held for good.
func TestRecordsAge(t *testing.T) {
	b := three(100, 1<<20)
	b.ask("a", Operation{ID: "1", Key: "old/k", Value: []byte("1"), CreatedAt: 1000})
	b.ask("a", Operation{ID: "2", Key: "word/k", Value: []byte("1"), CreatedAt: 1000})
	for _, wall := range []int64{1059, 1061} {
		b.pass(2 * time.Second)
		for _, id := range []string{"a", "b", "c"} {
			b.nodes[id].SetWallClock(wall)
		}
		b.settle()
		want := map[int64]int{1059: 2, 1061: 1}[wall]
		for _, id := range []string{"a", "b", "c"} {
			if keys, _ := b.nodes[id].Usage(); keys != want || b.nodes[id].Record("word/k").Version != 1 {
				t.Errorf("at %d %s holds %d", wall, id, keys)
			}
		}
	}
	if r := b.ask("b", Operation{ID: "3", Key: "old/k", Value: []byte("2")}); r.Outcome != OutcomeCommitted || r.Record.Version != 1 {
		t.Errorf("%v", r)
	}
}
