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

// goldenState identifies the agreed state in the golden directory.
const goldenState = "version 8, digest 6b8f0b15caebb508"

// goldenNode returns the configuration of the golden directory's member, the only one of its fleet.
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

// driveNode advances a node in steps and stores its writes, until a condition holds for its output.
func driveNode(t *testing.T, memberNode *node.Node, diskStore *store.Store, now *time.Duration, done func(node.Ready) bool) {
	t.Helper()
	for end := *now + time.Minute; *now < end; {
		*now += tickInterval
		memberNode.Tick(*now, nil)
		memberNode.SetWallClock(1700000000)
		ready, err := memberNode.Ready()
		if err != nil {
			t.Fatal(err)
		}
		if err := diskStore.Write(ready); err != nil {
			t.Fatal(err)
		}
		if done(ready) {
			return
		}
	}
	t.Fatal("the condition did not hold within a minute")
}

// executeOperation executes one operation and returns its result.
func executeOperation(t *testing.T, memberNode *node.Node, diskStore *store.Store, now *time.Duration, op replication.Operation) (result replication.Result) {
	t.Helper()
	memberNode.Submit(op, 10*time.Second)
	driveNode(t, memberNode, diskStore, now, func(ready node.Ready) bool {
		for _, candidate := range ready.Results {
			if candidate.OperationID == op.ID {
				result = candidate
				return true
			}
		}
		return false
	})
	return result
}

// TestDataDirectoryOfAnEarlierBuildIsRead guards against changes of the on-disk format. It opens a copy of a directory that an earlier build
// wrote: its identity, log and records must be decoded unchanged, and the member must continue with them.
func TestDataDirectoryOfAnEarlierBuildIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "datadir"))); err != nil {
		t.Fatal(err)
	}
	identity, err := datadir.ReadIdentity(dir)
	if err != nil || identity != (datadir.Identity{Format: 1, FleetName: "istanbul", Machine: "m1", MemberID: goldenMember, Incarnation: 3}) {
		t.Fatalf("identity: error %v, got %+v", err, identity)
	}
	if _, err := store.Inspect(dir); err != nil {
		t.Fatal(err)
	}
	diskStore, saved, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = diskStore.Close() }()
	records := 0
	for _, shardState := range saved.Shards {
		records += len(shardState.Records)
	}
	if saved.FleetID != "fleet-id" || len(saved.Shards) != shardmap.ShardCount || records != 6 || len(saved.Log.HardState) == 0 || len(saved.Log.Snapshot) == 0 ||
		len(saved.Log.Entries) != 8 {
		t.Errorf("fleet %q, %d shards, %d records, %d entries", saved.FleetID, len(saved.Shards), records, len(saved.Log.Entries))
	}
	now := time.Hour
	memberNode, err := node.New(goldenNode(identity.Incarnation+1), saved, now)
	if err != nil {
		t.Fatal(err)
	}
	driveNode(t, memberNode, diskStore, &now, func(node.Ready) bool { return memberNode.IsLeader() && memberNode.FeedState().Version() >= 8 })
	if got := fmt.Sprintf("version %d, digest %016x", memberNode.FeedState().Version(), memberNode.FeedState().Digest()); got != goldenState {
		t.Errorf("agreed state: got %s, want %s", got, goldenState)
	}
	for i := range 2 {
		if value, exists := memberNode.FeedState().Get(fmt.Sprintf("config/%d", i)); !exists || string(value) != fmt.Sprintf("value %d", i) {
			t.Errorf("config/%d is %q", i, value)
		}
	}
	for i := range 5 {
		key := fmt.Sprintf("key/%d", i)
		got := executeOperation(t, memberNode, diskStore, &now, replication.Operation{ID: "read " + key, Key: key, ReadOnly: true})
		if got.Outcome != replication.OutcomeConflict || got.Record.Version != uint64(1+i%2) || string(got.Record.Value) != fmt.Sprintf("%s at %d", key, got.Record.Version) {
			t.Errorf("%s: %+v", key, got)
		}
	}
	if got := executeOperation(t, memberNode, diskStore, &now, replication.Operation{ID: "next", Key: "key/0", ExpectedVersion: 1, Value: []byte("new")}); got.Outcome != replication.OutcomeCommitted || got.Record.Version != 2 {
		t.Errorf("a new write: %+v", got)
	}
}
