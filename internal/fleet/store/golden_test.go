package store

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

var update = flag.Bool("update", false, "rewrite the golden files before comparing with them")

const goldenFile = "holdings.db.golden"

// goldenWrites returns writes that fill all buckets. Log entries are overwritten, and records are replaced and deleted.
func goldenWrites() []node.Ready {
	full := replication.Record{Key: "word/a", Version: 1 << 40, Value: []byte("value"), OperationID: "op3", CreatedAt: 1700000000, Deleted: true, PastOperationIDs: []string{"op2", "op1"}}
	return []node.Ready{
		{FleetID: "fleet-1", Log: consensus.Write{HardState: []byte("hard 1"), Snapshot: []byte("snapshot"), SnapshotIndex: 2, Entries: [][]byte{[]byte("three"), []byte("four"), []byte("five")}, FirstIndex: 3},
			ShardWrites: []replication.Write{
				{Shard: 3, Ballot: replication.Ballot{Configuration: 1, Incarnation: 1}, Records: []replication.Record{full, record("b", 1)}},
				{Shard: 255, Ballot: replication.Ballot{Configuration: 2, Incarnation: 1 << 63}, Records: []replication.Record{record("c", 1)}},
				{Shard: 9, Ballot: replication.Ballot{Configuration: 4, Incarnation: 5}},
			}},
		{Log: consensus.Write{HardState: []byte("hard 2"), Entries: [][]byte{[]byte("five again"), []byte("six")}, FirstIndex: 5},
			ShardWrites: []replication.Write{
				{Shard: 3, Ballot: replication.Ballot{Configuration: 2, Incarnation: 7}, Records: []replication.Record{{Key: "b"}, record("d", 2)}},
				{Shard: 255, Ballot: replication.Ballot{Configuration: 3, Incarnation: 9}, ReplaceAll: true, Records: []replication.Record{record("e", 4)}},
			}},
		{Log: consensus.Write{Snapshot: []byte("snapshot 2"), SnapshotIndex: 3}},
	}
}

// goldenState returns the state after goldenWrites.
func goldenState() node.PersistentState {
	full := goldenWrites()[0].ShardWrites[0].Records[0]
	return node.PersistentState{
		FleetID: "fleet-1",
		Log:     consensus.PersistentState{HardState: []byte("hard 2"), Snapshot: []byte("snapshot 2"), Entries: [][]byte{[]byte("four"), []byte("five again"), []byte("six")}},
		Shards: map[int]node.ShardState{
			3:   {Ballot: replication.Ballot{Configuration: 2, Incarnation: 7}, Records: []replication.Record{record("d", 2), full}},
			9:   {Ballot: replication.Ballot{Configuration: 4, Incarnation: 5}},
			255: {Ballot: replication.Ballot{Configuration: 3, Incarnation: 9}, Records: []replication.Record{record("e", 4)}},
		},
	}
}

// dump returns all keys and values of a file, bucket by bucket.
func dump(t *testing.T, path string) string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	var out strings.Builder
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&out, "%s %x %x\n", name, k, v)
				return err
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// writeGolden creates a file with goldenWrites and returns its path.
func writeGolden(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range goldenWrites() {
		if err := s.Write(w); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, "holdings.db")
}

// TestFileFormat guards against a change of the file format: it reads a file that an earlier version of the program wrote, and compares the
// bytes in each bucket with those of a newly written file.
func TestFileFormat(t *testing.T) {
	written := writeGolden(t)
	earlierFile := filepath.Join("testdata", goldenFile)
	dumpFile := filepath.Join("testdata", "buckets.golden")
	if *update {
		file, err := os.ReadFile(written)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(earlierFile, file, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(dumpFile, []byte(dump(t, written)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.ReadFile(earlierFile)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	copied := filepath.Join(dir, "holdings.db")
	if err := os.WriteFile(copied, file, 0o600); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(dumpFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, bucket := range []string{"log ", "meta ", "records ", "slots "} {
		if !strings.Contains("\n"+string(want), "\n"+bucket) {
			t.Errorf("bucket %q is empty", bucket)
		}
	}
	if got := dump(t, written); got != string(want) {
		t.Errorf("newly written file:\n%swant:\n%s", got, want)
	}
	if got := dump(t, copied); got != string(want) {
		t.Errorf("earlier file:\n%swant:\n%s", got, want)
	}
	if state, err := Inspect(dir); err != nil || !reflect.DeepEqual(state, goldenState()) {
		t.Errorf("inspected: %+v, %v; want %+v", state, err, goldenState())
	}
	s, state, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(state, goldenState()) {
		t.Errorf("opened: %+v; want %+v", state, goldenState())
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if got := dump(t, copied); got != string(want) {
		t.Errorf("earlier file after it was opened and closed:\n%swant:\n%s", got, want)
	}
}
