package store

import (
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

// record returns a record with some content.
func record(key string, version uint64) replication.Record {
	return replication.Record{Key: key, Version: version, Value: []byte("v"), OperationID: fmt.Sprint("o", version), PastOperationIDs: []string{"p"}}
}

// TestReadAfterWrite guards against writes that get lost or leave replaced entries and records behind: it writes the log and shards several
// times, and reads the file after each write.
func TestReadAfterWrite(t *testing.T) {
	dir := t.TempDir()
	b1, b2 := replication.Ballot{Configuration: 1, Incarnation: 1}, replication.Ballot{Configuration: 2, Incarnation: 7}
	for _, c := range []struct {
		write node.Ready
		want  node.PersistentState
	}{
		{node.Ready{FleetID: "f", Log: consensus.Write{HardState: []byte("h"), Snapshot: []byte("s"), SnapshotIndex: 1, Entries: [][]byte{{2}, {3}}, FirstIndex: 2},
			ShardWrites: []replication.Write{{Shard: 3, Ballot: b1, Records: []replication.Record{record("a", 1), record("b", 1)}}, {Shard: 4, Ballot: b1}}},
			node.PersistentState{FleetID: "f", Log: consensus.PersistentState{HardState: []byte("h"), Snapshot: []byte("s"), Entries: [][]byte{{2}, {3}}},
				Shards: map[int]node.ShardState{3: {Ballot: b1, Records: []replication.Record{record("a", 1), record("b", 1)}}, 4: {Ballot: b1}}}},
		{node.Ready{Log: consensus.Write{Entries: [][]byte{{9}}, FirstIndex: 3}, ShardWrites: []replication.Write{{Shard: 3, Ballot: b2, Records: []replication.Record{record("a", 2)}}}},
			node.PersistentState{FleetID: "f", Log: consensus.PersistentState{HardState: []byte("h"), Snapshot: []byte("s"), Entries: [][]byte{{2}, {9}}},
				Shards: map[int]node.ShardState{3: {Ballot: b2, Records: []replication.Record{record("a", 2), record("b", 1)}}, 4: {Ballot: b1}}}},
		{node.Ready{Log: consensus.Write{Snapshot: []byte("t"), SnapshotIndex: 3}, ShardWrites: []replication.Write{{Shard: 3, Ballot: b2, ReplaceAll: true, Records: []replication.Record{record("c", 1)}}}},
			node.PersistentState{FleetID: "f", Log: consensus.PersistentState{HardState: []byte("h"), Snapshot: []byte("t")},
				Shards: map[int]node.ShardState{3: {Ballot: b2, Records: []replication.Record{record("c", 1)}}, 4: {Ballot: b1}}}},
	} {
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Write(c.write); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		s, got, err := Open(dir)
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("state %+v, error %v; want %+v", got, err, c.want)
		}
		_ = s.Close()
	}
}

// TestOpenRejectsDamagedFiles guards against a member that starts from damaged data: one record is damaged, one is stored under another key,
// and one file has a newer format version.
func TestOpenRejectsDamagedFiles(t *testing.T) {
	for want, damage := range map[string]func(tx *bbolt.Tx) error{
		"newer program": func(tx *bbolt.Tx) error {
			return tx.Bucket(metaBucket).Put([]byte("format"), []byte{FormatVersion + 1})
		},
		`record "a" of shard 3: checksum mismatch`: func(tx *bbolt.Tx) error {
			v := tx.Bucket(recordBucket).Get([]byte("\x00\x03a"))
			return tx.Bucket(recordBucket).Put([]byte("\x00\x03a"), append([]byte{v[0] + 1}, v[1:]...))
		},
		`record "x" of shard 3: the record has another key`: func(tx *bbolt.Tx) error {
			return tx.Bucket(recordBucket).Put([]byte("\x00\x03x"), tx.Bucket(recordBucket).Get([]byte("\x00\x03a")))
		},
	} {
		dir := t.TempDir()
		s, _, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Write(node.Ready{ShardWrites: []replication.Write{{Shard: 3, Records: []replication.Record{record("a", 1)}}}}); err != nil {
			t.Fatal(err)
		}
		if err := s.db.Update(damage); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		if s, _, err := Open(dir); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), dir) {
			t.Errorf("error %v, want %q", err, want)
			_ = s.Close()
		}
	}
}

// TestWriteErrorIsFinal guards against writes after a failed one, when the content of the disk is unknown. The database is closed, so that a
// write fails; the next write has to return the same error.
func TestWriteErrorIsFinal(t *testing.T) {
	dir := t.TempDir()
	s, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = s.db.Close()
	one := node.Ready{ShardWrites: []replication.Write{{Shard: 3, Records: []replication.Record{record("a", 1)}}}}
	first := s.Write(one)
	if first == nil || s.Write(one) != first { //nolint:errorlint // the same error, not one that wraps it
		t.Error(first)
	}
	if _, err := os.Stat(filepath.Join(dir, "holdings.db")); err != nil {
		t.Error(err)
	}
}
