package consensus

import (
	"fmt"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// log is three nodes whose messages are carried when a test says so.
type log struct {
	t     *testing.T
	now   time.Duration
	nodes map[uint64]*Node
	first *Node
	way   []Message
}

func three(t *testing.T) *log {
	l := &log{t: t, nodes: map[uint64]*Node{}}
	var others []uint64
	for i := range 3 {
		id := fmt.Sprintf("%016x%016x", i+1, i+1)
		n, err := New(id, PersistentState{}, uint64(i), 0)
		if err != nil {
			t.Fatal(err)
		}
		l.nodes[NodeID(id)] = n
		if i == 0 {
			l.first = n
		} else {
			others = append(others, NodeID(id))
		}
	}
	if err := l.first.Bootstrap("f"); err != nil {
		t.Fatal(err)
	}
	l.pass(time.Second)
	if err := l.first.ChangeVoters(others, 0); err != nil {
		t.Fatal(err)
	}
	l.pass(time.Second)
	if n := len(l.first.Voters()); n != 3 || !l.first.IsLeader() {
		t.Fatalf("%d voters, leads %v", n, l.first.IsLeader())
	}
	return l
}

// gather takes what nodes send.
func (l *log) gather() {
	l.t.Helper()
	for id := uint64(1); id <= 3; id++ {
		r, err := l.nodes[id].Ready()
		if err != nil {
			l.t.Fatal(err)
		}
		l.way = append(l.way, r.Messages...)
	}
}

// carry hands messages to whom they are for, if that is told.
func (l *log) carry(to func(uint64) bool) {
	way := l.way
	l.way = nil
	for _, m := range way {
		if !to(m.To) {
			l.way = append(l.way, m)
		} else if err := l.nodes[m.To].Step(m.Data); err != nil {
			l.t.Fatal(err)
		}
	}
}

func all(uint64) bool { return true }

// pass lets time go by with nothing in the way.
func (l *log) pass(span time.Duration) {
	l.t.Helper()
	for end := l.now + span; l.now < end; {
		l.now += 50 * time.Millisecond
		for id := uint64(1); id <= 3; id++ {
			l.nodes[id].Tick(l.now)
		}
		l.gather()
		l.carry(all)
		l.gather()
		l.carry(all)
	}
}

// TestAnAnswerIsAsOldAsItsQuestion holds answers to a leader back while it stands still. Guards against a leader that wakes, reads what
// lay in its buffers, and takes it for news.
func TestAnAnswerIsAsOldAsItsQuestion(t *testing.T) {
	l := three(t)
	l.pass(2 * time.Second)
	if at, known := l.first.AsOf(); !known || l.now-at > time.Second {
		t.Fatalf("it knows up to %v at %v, %v", at, l.now, known)
	}
	asks := l.now + confirmEach
	l.first.Tick(asks) // the question goes out
	l.gather()
	l.carry(func(to uint64) bool { return to != 1 })
	l.gather() // and the answers lie there
	wakes := asks + 5*time.Second
	l.carry(all)
	l.first.Tick(wakes)
	l.gather()
	at, _ := l.first.AsOf()
	if at > asks {
		t.Errorf("asked at %v, it knows up to %v after it woke at %v", asks, at, wakes)
	}
	if at < asks {
		t.Errorf("the answers say nothing: %v, asked at %v", at, asks)
	}
	l.now = wakes
	l.pass(time.Second)
	if at, _ := l.first.AsOf(); at < wakes {
		t.Errorf("it knows up to %v a second after it woke at %v", at, wakes)
	}
}

// TestWithoutAMajorityNothingIsKnown lets a leader ask in vain. Guards against questions that pile up, and against one that is answered
// by a minority.
func TestWithoutAMajorityNothingIsKnown(t *testing.T) {
	l := three(t)
	l.pass(2 * time.Second)
	last := l.now
	for range 200 {
		l.now += 50 * time.Millisecond
		l.first.Tick(l.now)
		if _, err := l.first.Ready(); err != nil {
			t.Fatal(err)
		}
	}
	if at, _ := l.first.AsOf(); at > last {
		t.Errorf("it knows up to %v, nobody answered since %v", at, last)
	}
	if n := len(l.first.asked); n > confirmMost {
		t.Errorf("%d questions are out", n)
	}
	l.pass(3 * time.Second)
	for _, n := range l.nodes {
		if n.IsLeader() {
			if at, known := n.AsOf(); !known || l.now-at > time.Second {
				t.Errorf("with all back the leader knows up to %v at %v", at, l.now)
			}
			return
		}
	}
	t.Error("nobody leads")
}

// TestARestoredStateComesBeforeItsChanges starts a node on a disk with a snapshot and entries behind it. Guards against changes that are
// skipped, so that each follower had to be sent all.
func TestARestoredStateComesBeforeItsChanges(t *testing.T) {
	n, err := New(fmt.Sprintf("%016x%016x", 1, 1), PersistentState{}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Bootstrap("f"); err != nil {
		t.Fatal(err)
	}
	saved := PersistentState{}
	keep := func() {
		t.Helper()
		r, err := n.Ready()
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Write.HardState) > 0 {
			saved.HardState = r.Write.HardState
		}
		if len(r.Write.Snapshot) > 0 {
			saved.Snapshot = r.Write.Snapshot
		}
		saved.Entries = append(saved.Entries, r.Write.Entries...)
	}
	keep()
	for i := range 3 {
		if err := n.Propose(shardmap.Entry{Puts: []shardmap.Put{{Key: fmt.Sprint("config/", i), OperationID: fmt.Sprint(i)}}}); err != nil {
			t.Fatal(err)
		}
		keep()
	}
	again, err := New(fmt.Sprintf("%016x%016x", 1, 1), saved, 2, 0)
	if err != nil {
		t.Fatal(err)
	}
	r, err := again.Ready()
	if err != nil {
		t.Fatal(err)
	}
	if r.Snapshot == nil || r.Snapshot.Version != 1 || len(r.Changes) != 3 || r.Changes[0].Version != 2 {
		t.Errorf("%+v, then %+v", r.Snapshot, r.Changes)
	}
}
