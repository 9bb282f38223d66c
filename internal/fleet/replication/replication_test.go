package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// cluster is a set of three nodes whose messages are delivered at once, except those that a test drops.
type cluster struct {
	nodes     map[string]*Node
	results   map[string]Result // results of the submitted operations, by operation ID
	now       time.Duration
	isDropped func(Message) bool
}

func newCluster(maxKeys, maxBytes int) *cluster {
	c := &cluster{nodes: map[string]*Node{}, results: map[string]Result{}, isDropped: func(Message) bool { return false }}
	for _, id := range []string{"a", "b", "c"} {
		c.nodes[id] = New(Config{ID: id, Incarnation: 1, MinReplicas: 2, MaxKeys: maxKeys, MaxBytes: maxBytes, MaxPendingOperations: 100, Retention: []RetentionRule{{"old/", time.Minute}}}, 0)
	}
	c.configure(shardmap.Configuration{Number: 1, InSync: []string{"a", "b", "c"}}, "a", "b", "c")
	return c
}

// configure sets the same configuration for every shard at some nodes.
func (c *cluster) configure(v shardmap.Configuration, to ...string) {
	for _, id := range to {
		for shard := range shardmap.ShardCount {
			c.nodes[id].SetConfiguration(shard, v)
		}
	}
	c.deliver()
}

// deliver delivers messages until no node sends any more.
func (c *cluster) deliver() {
	for again := true; again; {
		again = false
		for _, id := range []string{"a", "b", "c"} {
			r := c.nodes[id].Ready()
			for _, m := range r.Messages {
				if !c.isDropped(m) {
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

// advance advances the time in steps of 50 ms and delivers all messages.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 50 * time.Millisecond
		for _, id := range []string{"a", "b", "c"} {
			c.nodes[id].Tick(c.now)
		}
		c.deliver()
	}
}

// submit submits an operation at a node, delivers all messages and returns the result, if there is one by then.
func (c *cluster) submit(at string, op Operation) Result {
	c.nodes[at].Submit(op, time.Second)
	c.deliver()
	return c.results[op.ID]
}

// TestCapacityIsBounded submits a million records to nodes with a capacity of 50,000 records. Full nodes must reject new keys and keep
// the committed records.
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
		t.Errorf("%d operations committed, %d rejected as full", committed, full)
	}
	for _, id := range []string{"a", "b", "c"} {
		if keys, _ := c.nodes[id].Usage(); keys != capacity || c.nodes[id].Record("k0").Version != 1 {
			t.Errorf("node %s stores %d records, or has lost the first one", id, keys)
		}
	}
	if r := c.submit("b", Operation{ID: "update", Key: "k0", ExpectedVersion: 1, Value: []byte("w")}); r.Outcome != OutcomeCommitted { // an existing key may still be updated
		t.Error(r)
	}
	if r := c.submit("c", Operation{ID: "drop", Key: "k1", ExpectedVersion: 1, Delete: true}); r.Outcome != OutcomeCommitted {
		t.Error(r)
	}
}

// TestStalePrimaryCommitsNothing guards against two primaries at once: two of three nodes learn a new configuration, and writes and reads go
// to the old primary, which has not learned it. None of them may succeed.
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
			t.Errorf("operation %s at the old primary: %v, value %q", op.ID, r.Outcome, r.Record.Value)
		}
	}
	c.advance(2 * time.Second)
	for _, id := range []string{"3", "4", "5"} {
		if r := c.results[id]; r.Outcome == OutcomeCommitted || r.Outcome == OutcomeConflict {
			t.Errorf("operation %s at the old primary, 2s later: %v", id, r.Outcome)
		}
	}
	if r := c.submit("b", Operation{ID: "6", Key: "k", ReadOnly: true}); string(r.Record.Value) != "2" {
		t.Errorf("read at the new primary: %v, value %q; want value \"2\"", r.Outcome, r.Record.Value)
	}
}

// TestWriteWaitsForEveryReplica drops one replica's acknowledgements for a while. Meanwhile the write must not be committed, and the replica
// must be reported. A shard with fewer in-sync replicas than required must commit nothing.
func TestWriteWaitsForEveryReplica(t *testing.T) {
	cluster := newCluster(100, 1<<20)
	cluster.isDropped = func(m Message) bool { return m.From == "c" && m.Kind == MessageWriteAck }
	if r := cluster.submit("a", Operation{ID: "1", Key: "k", Value: []byte("1")}); r.Outcome == OutcomeCommitted {
		t.Fatal("the write was committed without the third replica's acknowledgement")
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
		t.Errorf("reported replicas %v, want only c", suspected)
	}
	cluster.isDropped = func(Message) bool { return false }
	cluster.advance(time.Second)
	if r := cluster.submit("b", Operation{ID: "2", Key: "k", ReadOnly: true}); string(r.Record.Value) != "1" || cluster.results["1"].Outcome == OutcomeRejected {
		t.Errorf("read after the acknowledgements: %+v, result of the write: %+v", r, cluster.results["1"])
	}
	cluster.configure(shardmap.Configuration{Number: 2, InSync: []string{"a"}}, "a", "b", "c")
	if r := cluster.submit("a", Operation{ID: "3", Key: "k", ExpectedVersion: 1, Value: []byte("3")}); r.Outcome == OutcomeCommitted {
		t.Error("a write was committed on a single replica")
	}
}

// TestRecordsExpire checks that only a record under a retention rule expires, only after its TTL, and that its key can be written anew.
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
				t.Errorf("at Unix time %d, node %s stores %d records, or has lost the one without a retention rule", wall, id, keys)
			}
		}
	}
	if r := c.submit("b", Operation{ID: "3", Key: "old/k", Value: []byte("2")}); r.Outcome != OutcomeCommitted || r.Record.Version != 1 {
		t.Errorf("write of an expired key: %+v", r)
	}
}
