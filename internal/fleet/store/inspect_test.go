package store

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

// TestInspectChangesNothing inspects a directory that a process uses, and one that nobody uses.
func TestInspectChangesNothing(t *testing.T) {
	dir := t.TempDir()
	if _, err := Inspect(dir); err == nil {
		t.Error("a directory without a file")
	}
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Write(node.Ready{FleetID: "f", ShardWrites: []replication.Write{{Shard: 3, Records: []replication.Record{record("a", 1)}}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := Inspect(dir); err == nil {
		t.Error("inspected while a process uses it")
	}
	_ = s.Close()
	before, _ := os.ReadFile(filepath.Join(dir, "holdings.db"))
	got, err := Inspect(dir)
	if err != nil || got.FleetID != "f" || !reflect.DeepEqual(got.Shards[3].Records, []replication.Record{record("a", 1)}) {
		t.Error(got, err)
	}
	if after, _ := os.ReadFile(filepath.Join(dir, "holdings.db")); string(after) != string(before) {
		t.Error("the file was changed")
	}
}
