package consensus

import (
	"fmt"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// testLog is three nodes whose messages are delivered when a test says so.
type testLog struct {
	t         *testing.T
	now       time.Duration
	nodes     map[uint64]*Node
	leader    *Node
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
		t.Fatalf("%d voters, leader %v", n, l.leader.IsLeader())
	}
	return l
}

// collect takes the messages that nodes send.
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

// deliver delivers the messages to the nodes that are selected.
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

func everybody(uint64) bool { return true }

// advance lets time pass with all messages delivered.
func (l *testLog) advance(span time.Duration) {
	l.t.Helper()
	for end := l.now + span; l.now < end; {
		l.now += 50 * time.Millisecond
		for id := uint64(1); id <= 3; id++ {
			l.nodes[id].Tick(l.now)
		}
		l.collect()
		l.deliver(everybody)
		l.collect()
		l.deliver(everybody)
	}
}

// TestConfirmationHasTheAgeOfItsRequest holds responses back while the leader is paused: what it reads from its buffers when it resumes is as
// old as the request.
func TestConfirmationHasTheAgeOfItsRequest(t *testing.T) {
	l := newTestLog(t)
	l.advance(2 * time.Second)
	if at, known := l.leader.AsOf(); !known || l.now-at > time.Second {
		t.Fatalf("confirmed up to %v at %v, %v", at, l.now, known)
	}
	requestedAt := l.now + confirmInterval
	l.leader.Tick(requestedAt)
	l.collect()
	l.deliver(func(to uint64) bool { return to != 1 })
	l.collect()
	resumedAt := requestedAt + 5*time.Second
	l.deliver(everybody)
	l.leader.Tick(resumedAt)
	l.collect()
	at, _ := l.leader.AsOf()
	if at > requestedAt {
		t.Errorf("requested at %v, confirmed up to %v after it resumed at %v", requestedAt, at, resumedAt)
	}
	if at < requestedAt {
		t.Errorf("the responses are ignored: confirmed up to %v, requested at %v", at, requestedAt)
	}
	l.now = resumedAt
	l.advance(time.Second)
	if at, _ := l.leader.AsOf(); at < resumedAt {
		t.Errorf("confirmed up to %v a second after it resumed at %v", at, resumedAt)
	}
}

// TestNoConfirmationWithoutMajority cuts a leader off from the majority: its requests are bounded and none is confirmed by a minority.
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
	if at, _ := l.leader.AsOf(); at > last {
		t.Errorf("confirmed up to %v, nobody responded since %v", at, last)
	}
	if n := len(l.leader.confirmations.pending); n > maxConfirmations {
		t.Errorf("%d requests are pending", n)
	}
	l.advance(3 * time.Second)
	for _, n := range l.nodes {
		if n.IsLeader() {
			if at, known := n.AsOf(); !known || l.now-at > time.Second {
				t.Errorf("with all connected the leader is confirmed up to %v at %v", at, l.now)
			}
			return
		}
	}
	t.Error("there is no leader")
}

// TestRestoredSnapshotPrecedesChanges starts a node on a disk with a snapshot and entries behind it: none of their changes is skipped.
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
		t.Errorf("%+v, then %+v", r.Snapshot, r.Changes)
	}
}
