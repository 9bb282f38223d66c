package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// cluster is three nodes whose messages are delivered at once, except those that a test holds back.
type cluster struct {
	nodes      map[string]*Node
	results    map[string]Result
	now        time.Duration
	isHeldBack func(Message) bool
}

func newCluster(maxKeys, maxBytes int) *cluster {
	c := &cluster{nodes: map[string]*Node{}, results: map[string]Result{}, isHeldBack: func(Message) bool { return false }}
	for _, id := range []string{"a", "b", "c"} {
		c.nodes[id] = New(Config{ID: id, Incarnation: 1, MinReplicas: 2, MaxKeys: maxKeys, MaxBytes: maxBytes, MaxPendingOperations: 100, Retention: []RetentionRule{{"old/", time.Minute}}}, 0)
	}
	c.configure(shardmap.Configuration{Number: 1, InSync: []string{"a", "b", "c"}}, "a", "b", "c")
	return c
}

// configure gives some nodes the same configuration for every shard.
func (c *cluster) configure(v shardmap.Configuration, to ...string) {
	for _, id := range to {
		for num := range shardmap.ShardCount {
			c.nodes[id].SetConfiguration(num, v)
		}
	}
	c.deliver()
}

func (c *cluster) deliver() {
	for again := true; again; {
		again = false
		for _, id := range []string{"a", "b", "c"} {
			r := c.nodes[id].Ready()
			for _, m := range r.Messages {
				if !c.isHeldBack(m) {
					c.nodes[m.To].Step(m)
					again = true
				}
			}
			for _, one := range r.Results {
				c.results[one.OperationID] = one
			}
		}
	}
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 50 * time.Millisecond
		for _, id := range []string{"a", "b", "c"} {
			c.nodes[id].Tick(c.now)
		}
		c.deliver()
	}
}

func (c *cluster) submit(at string, op Operation) Result {
	c.nodes[at].Submit(op, time.Second)
	c.deliver()
	return c.results[op.ID]
}

// TestCapacityIsBounded submits a million records to a capacity of 50,000: a full node rejects new keys and keeps what was
// committed.
func TestCapacityIsBounded(t *testing.T) {
	const capacity, submitted = 50000, 1000000
	c := newCluster(capacity, 64<<20)
	committed, full := 0, 0
	for i := range submitted {
		op := Operation{ID: fmt.Sprint("o", i), Key: fmt.Sprint("k", i), Value: []byte("v")}
		c.nodes["a"].Submit(op, time.Second)
		if i%64 == 63 || i == submitted-1 {
			c.deliver()
			for id, r := range c.results {
				switch {
				case r.Outcome == OutcomeCommitted:
					committed++
				case r.Outcome == OutcomeRejected && r.Reason == ReasonFull:
					full++
				default:
					t.Fatal(id, r)
				}
			}
			clear(c.results)
		}
	}
	if committed != capacity || full != submitted-capacity {
		t.Errorf("%d committed, %d rejected", committed, full)
	}
	for _, id := range []string{"a", "b", "c"} {
		if keys, _ := c.nodes[id].Usage(); keys != capacity || c.nodes[id].Record("k0").Version != 1 {
			t.Errorf("%s stores %d", id, keys)
		}
	}
	if r := c.submit("b", Operation{ID: "update", Key: "k0", ExpectedVersion: 1, Value: []byte("w")}); r.Outcome != OutcomeCommitted { // a key that exists may change
		t.Error(r)
	}
	if r := c.submit("c", Operation{ID: "drop", Key: "k1", ExpectedVersion: 1, Delete: true}); r.Outcome != OutcomeCommitted {
		t.Error(r)
	}
}

// TestStalePrimaryCommitsNothing gives two of three nodes a new configuration and submits writes and reads to the old primary,
// which does not know of it.
func TestStalePrimaryCommitsNothing(t *testing.T) {
	c := newCluster(100, 1<<20)
	if r := c.submit("a", Operation{ID: "1", Key: "k", Value: []byte("1")}); r.Outcome != OutcomeCommitted {
		t.Fatal(r)
	}
	c.configure(shardmap.Configuration{Number: 2, InSync: []string{"b", "c"}}, "b", "c")
	if r := c.submit("c", Operation{ID: "2", Key: "k", ExpectedVersion: 1, Value: []byte("2")}); r.Outcome != OutcomeCommitted {
		t.Fatal(r)
	}
	for _, op := range []Operation{{ID: "3", Key: "k", ExpectedVersion: 1, Value: []byte("3")}, {ID: "4", Key: "k", ReadOnly: true}, {ID: "5", Key: "new", Value: []byte("5")}} {
		if r := c.submit("a", op); r.Outcome == OutcomeCommitted || r.Outcome == OutcomeConflict {
			t.Errorf("%s: %v %s", op.ID, r.Outcome, r.Record.Value)
		}
	}
	c.advance(2 * time.Second)
	for _, id := range []string{"3", "4", "5"} {
		if r := c.results[id]; r.Outcome == OutcomeCommitted || r.Outcome == OutcomeConflict {
			t.Errorf("%s: %v", id, r.Outcome)
		}
	}
	if r := c.submit("b", Operation{ID: "6", Key: "k", ReadOnly: true}); string(r.Record.Value) != "2" {
		t.Errorf("%v %s", r.Outcome, r.Record.Value)
	}
}

// TestWriteWaitsForEveryReplica loses one replica's acknowledgements, which must be reported, and then lets them through.
func TestWriteWaitsForEveryReplica(t *testing.T) {
	cluster := newCluster(100, 1<<20)
	cluster.isHeldBack = func(m Message) bool { return m.From == "c" && m.Kind == MessageWriteAck }
	if r := cluster.submit("a", Operation{ID: "1", Key: "k", Value: []byte("1")}); r.Outcome == OutcomeCommitted {
		t.Fatal("committed without the third replica")
	}
	var suspected []string
	for range 40 {
		cluster.now += 50 * time.Millisecond
		cluster.nodes["a"].Tick(cluster.now)
		r := cluster.nodes["a"].Ready()
		for _, c := range r.Reports {
			if !slices.Contains(suspected, c.Subject) {
				suspected = append(suspected, c.Subject)
			}
		}
	}
	if !slices.Equal(suspected, []string{"c"}) {
		t.Errorf("suspected %v", suspected)
	}
	cluster.isHeldBack = func(Message) bool { return false }
	cluster.advance(time.Second)
	if r := cluster.submit("b", Operation{ID: "2", Key: "k", ReadOnly: true}); string(r.Record.Value) != "1" || cluster.results["1"].Outcome == OutcomeRejected {
		t.Errorf("%v, %v", r, cluster.results["1"])
	}
	cluster.configure(shardmap.Configuration{Number: 2, InSync: []string{"a"}}, "a", "b", "c")
	if r := cluster.submit("a", Operation{ID: "3", Key: "k", ExpectedVersion: 1, Value: []byte("3")}); r.Outcome == OutcomeCommitted {
		t.Error("committed on one replica")
	}
}

// TestRecordsExpire lets two records grow old, one of which has no retention rule.
func TestRecordsExpire(t *testing.T) {
	c := newCluster(100, 1<<20)
	c.submit("a", Operation{ID: "1", Key: "old/k", Value: []byte("1"), CreatedAt: 1000})
	c.submit("a", Operation{ID: "2", Key: "word/k", Value: []byte("1"), CreatedAt: 1000})
	for _, wall := range []int64{1059, 1061} {
		c.advance(2 * time.Second)
		for _, id := range []string{"a", "b", "c"} {
			c.nodes[id].SetWallClock(wall)
		}
		c.deliver()
		want := map[int64]int{1059: 2, 1061: 1}[wall]
		for _, id := range []string{"a", "b", "c"} {
			if keys, _ := c.nodes[id].Usage(); keys != want || c.nodes[id].Record("word/k").Version != 1 {
				t.Errorf("at %d %s stores %d", wall, id, keys)
			}
		}
	}
	if r := c.submit("b", Operation{ID: "3", Key: "old/k", Value: []byte("2")}); r.Outcome != OutcomeCommitted || r.Record.Version != 1 {
		t.Errorf("%v", r)
	}
}
