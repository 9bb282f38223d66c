package consensus

import (
	"fmt"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// testLog is a Raft group of three nodes. Messages stay in transit until the test delivers them.
type testLog struct {
	t         *testing.T
	now       time.Duration
	nodes     map[uint64]*Node
	leader    *Node // the node that bootstrapped the log
	inTransit []Message
}

func newTestLog(t *testing.T) *testLog {
	l := &testLog{t: t, nodes: map[uint64]*Node{}}
	var others []uint64
	for i := range 3 {
		id := fmt.Sprintf("%016x%016x", i+1, i+1)
		n, err := New(id, PersistentState{}, uint64(i), 0)
		if err != nil {
			t.Fatal(err)
		}
		l.nodes[NodeID(id)] = n
		if i == 0 {
			l.leader = n
		} else {
			others = append(others, NodeID(id))
		}
	}
	if err := l.leader.Bootstrap("f"); err != nil {
		t.Fatal(err)
	}
	l.advance(time.Second)
	if err := l.leader.ChangeVoters(others, 0); err != nil {
		t.Fatal(err)
	}
	l.advance(time.Second)
	if n := len(l.leader.Voters()); n != 3 || !l.leader.IsLeader() {
		t.Fatalf("%d voters, first node is leader: %v", n, l.leader.IsLeader())
	}
	return l
}

// collect moves the messages that the nodes send into transit.
func (l *testLog) collect() {
	l.t.Helper()
	for id := uint64(1); id <= 3; id++ {
		r, err := l.nodes[id].Ready()
		if err != nil {
			l.t.Fatal(err)
		}
		l.inTransit = append(l.inTransit, r.Messages...)
	}
}

// deliver delivers the messages in transit to the nodes that the function selects.
func (l *testLog) deliver(to func(uint64) bool) {
	messages := l.inTransit
	l.inTransit = nil
	for _, m := range messages {
		if !to(m.To) {
			l.inTransit = append(l.inTransit, m)
		} else if err := l.nodes[m.To].Step(m.Data); err != nil {
			l.t.Fatal(err)
		}
	}
}

func toAll(uint64) bool { return true }

// advance advances the time in steps of 50 ms and delivers all messages.
func (l *testLog) advance(span time.Duration) {
	l.t.Helper()
	for end := l.now + span; l.now < end; {
		l.now += 50 * time.Millisecond
		for id := uint64(1); id <= 3; id++ {
			l.nodes[id].Tick(l.now)
		}
		l.collect()
		l.deliver(toAll)
		l.collect()
		l.deliver(toAll)
	}
}

// TestConfirmationHasTheAgeOfItsRequest guards against a leader that takes its state for newer than it is after a pause. The responses to
// its request wait in its buffers meanwhile: when it resumes and reads them, they confirm the state only as of the request.
func TestConfirmationHasTheAgeOfItsRequest(t *testing.T) {
	l := newTestLog(t)
	l.advance(2 * time.Second)
	if at, known := l.leader.ConfirmedAt(); !known || l.now-at > time.Second {
		t.Fatalf("before the pause: confirmed up to %v at %v, ever confirmed: %v", at, l.now, known)
	}
	requestedAt := l.now + confirmInterval
	l.leader.Tick(requestedAt)
	l.collect()
	l.deliver(func(to uint64) bool { return to != 1 })
	l.collect()
	resumedAt := requestedAt + 5*time.Second
	l.deliver(toAll)
	l.leader.Tick(resumedAt)
	l.collect()
	at, _ := l.leader.ConfirmedAt()
	if at > requestedAt {
		t.Errorf("requested at %v, but confirmed up to %v after the leader resumed at %v", requestedAt, at, resumedAt)
	}
	if at < requestedAt {
		t.Errorf("the responses were ignored: confirmed up to %v, requested at %v", at, requestedAt)
	}
	l.now = resumedAt
	l.advance(time.Second)
	if at, _ := l.leader.ConfirmedAt(); at < resumedAt {
		t.Errorf("confirmed up to %v only, a second after the leader resumed at %v", at, resumedAt)
	}
}

// TestNoConfirmationWithoutMajority cuts a leader off from the majority. It must not confirm its state by itself, and the number of its
// pending requests must stay bounded.
func TestNoConfirmationWithoutMajority(t *testing.T) {
	l := newTestLog(t)
	l.advance(2 * time.Second)
	last := l.now
	for range 200 {
		l.now += 50 * time.Millisecond
		l.leader.Tick(l.now)
		if _, err := l.leader.Ready(); err != nil {
			t.Fatal(err)
		}
	}
	if at, _ := l.leader.ConfirmedAt(); at > last {
		t.Errorf("confirmed up to %v, but no other voter has responded since %v", at, last)
	}
	if n := len(l.leader.confirmations.pending); n > maxConfirmations {
		t.Errorf("%d requests are pending, more than the limit", n)
	}
	l.advance(3 * time.Second)
	for _, n := range l.nodes {
		if n.IsLeader() {
			if at, known := n.ConfirmedAt(); !known || l.now-at > time.Second {
				t.Errorf("with all voters connected again, the leader is confirmed up to %v only at %v", at, l.now)
			}
			return
		}
	}
	t.Error("no leader was elected after the voters were connected again")
}

// TestRestoredSnapshotPrecedesChanges restarts a node with a snapshot and later entries on disk. The first Ready must return the snapshot
// and then the change of every later entry.
func TestRestoredSnapshotPrecedesChanges(t *testing.T) {
	n, err := New(fmt.Sprintf("%016x%016x", 1, 1), PersistentState{}, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Bootstrap("f"); err != nil {
		t.Fatal(err)
	}
	saved := PersistentState{}
	persist := func() {
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
	persist()
	for i := range 3 {
		if err := n.Propose(shardmap.Entry{Puts: []shardmap.Put{{Key: fmt.Sprint("config/", i), OperationID: fmt.Sprint(i)}}}); err != nil {
			t.Fatal(err)
		}
		persist()
	}
	restarted, err := New(fmt.Sprintf("%016x%016x", 1, 1), saved, 2, 0)
	if err != nil {
		t.Fatal(err)
	}
	r, err := restarted.Ready()
	if err != nil {
		t.Fatal(err)
	}
	if r.Snapshot == nil || r.Snapshot.Version != 1 || len(r.Changes) != 3 || r.Changes[0].Version != 2 {
		t.Errorf("restored snapshot %+v, changes %+v; want version 1, then three changes from version 2 on", r.Snapshot, r.Changes)
	}
}
