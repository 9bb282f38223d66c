package nodeserver

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/fleet/store"
)

const goldenMember = "0123456789abcdef0123456789abcdef"

const goldenState = "version 8, digest 6b8f0b15caebb508"

// goldenNode is the configuration of the member that the golden directory belongs to, a fleet of one.
func goldenNode(incarnation uint64) node.Config {
	const addr = "10.0.0.1:7001"
	return node.Config{
		Self:                 shardmap.Member{ID: goldenMember, Addr: addr, Machine: "m1", Zone: "a", Site: "s"},
		Incarnation:          incarnation,
		BootstrapID:          "fleet-id",
		CanBootstrap:         true,
		Seeds:                []string{addr},
		VoterCount:           1,
		ReplicationFactor:    1,
		EvictAfter:           10 * time.Second,
		MaxJoiningShards:     8,
		Seed:                 7,
		MaxKeys:              100,
		MaxBytes:             1 << 20,
		MaxPendingOperations: 10,
	}
}

// driveNode advances a node in steps, with its writes stored, until a condition holds.
func driveNode(t *testing.T, c *node.Node, s *store.Store, now *time.Duration, done func(node.Ready) bool) {
	t.Helper()
	for end := *now + time.Minute; *now < end; {
		*now += tickInterval
		c.Tick(*now, nil)
		c.SetWallClock(1700000000)
		r, err := c.Ready()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Write(r); err != nil {
			t.Fatal(err)
		}
		if done(r) {
			return
		}
	}
	t.Fatal("the condition does not hold within a minute")
}

// operate executes one operation.
func operate(t *testing.T, c *node.Node, s *store.Store, now *time.Duration, op replication.Operation) (result replication.Result) {
	t.Helper()
	c.Submit(op, 10*time.Second)
	driveNode(t, c, s, now, func(r node.Ready) bool {
		for _, one := range r.Results {
			if one.OperationID == op.ID {
				result = one
				return true
			}
		}
		return false
	})
	return result
}

// TestDataDirectoryOfAnEarlierBuildIsRead opens a copy of a directory that an earlier build wrote: its identity, log and records are the same,
// and the member continues with them.
func TestDataDirectoryOfAnEarlierBuildIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "datadir"))); err != nil {
		t.Fatal(err)
	}
	identity, err := datadir.ReadIdentity(dir)
	if err != nil || identity != (datadir.Identity{Format: 1, FleetName: "istanbul", Machine: "m1", MemberID: goldenMember, Incarnation: 3}) {
		t.Fatalf("%v: %+v", err, identity)
	}
	if _, err := store.Inspect(dir); err != nil {
		t.Fatal(err)
	}
	s, saved, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	records := 0
	for _, one := range saved.Shards {
		records += len(one.Records)
	}
	if saved.FleetID != "fleet-id" || len(saved.Shards) != shardmap.ShardCount || records != 6 || len(saved.Log.HardState) == 0 || len(saved.Log.Snapshot) == 0 ||
		len(saved.Log.Entries) != 8 {
		t.Errorf("fleet %q, %d shards, %d records, %d entries", saved.FleetID, len(saved.Shards), records, len(saved.Log.Entries))
	}
	now := time.Hour
	c, err := node.New(goldenNode(identity.Incarnation+1), saved, now)
	if err != nil {
		t.Fatal(err)
	}
	driveNode(t, c, s, &now, func(node.Ready) bool { return c.IsLeader() && c.FeedState().Version() >= 8 })
	if got := fmt.Sprintf("version %d, digest %016x", c.FeedState().Version(), c.FeedState().Digest()); got != goldenState {
		t.Errorf("the state has %s, not %s", got, goldenState)
	}
	for i := range 2 {
		if v, is := c.FeedState().Get(fmt.Sprintf("config/%d", i)); !is || string(v) != fmt.Sprintf("value %d", i) {
			t.Errorf("config/%d is %q", i, v)
		}
	}
	for i := range 5 {
		key := fmt.Sprintf("key/%d", i)
		got := operate(t, c, s, &now, replication.Operation{ID: "read " + key, Key: key, ReadOnly: true})
		if got.Outcome != replication.OutcomeConflict || got.Record.Version != uint64(1+i%2) || string(got.Record.Value) != fmt.Sprintf("%s at %d", key, got.Record.Version) {
			t.Errorf("%s: %+v", key, got)
		}
	}
	if got := operate(t, c, s, &now, replication.Operation{ID: "next", Key: "key/0", ExpectedVersion: 1, Value: []byte("new")}); got.Outcome != replication.OutcomeCommitted || got.Record.Version != 2 {
		t.Errorf("a write that follows: %+v", got)
	}
}
