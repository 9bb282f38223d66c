package store

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

// TestInspectChangesNothing guards against an inspection that modifies the file, or that reads it while a process uses it.
func TestInspectChangesNothing(t *testing.T) {
	dir := t.TempDir()
	if _, err := Inspect(dir); err == nil {
		t.Error("no error for a directory without a file")
	}
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Write(node.Ready{FleetID: "f", ShardWrites: []replication.Write{{Shard: 3, Records: []replication.Record{record("a", 1)}}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := Inspect(dir); err == nil {
		t.Error("no error while a process uses the file")
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
