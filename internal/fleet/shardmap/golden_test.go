package shardmap

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// goldenEntries returns entries that use every field, some of them with parts that are not applied.
func goldenEntries() []Entry {
	return []Entry{
		{BootstrapID: "fleet-1"},
		{BaseEpoch: 0, Members: []Member{{ID: "b", Addr: "10.0.0.2:7001", Machine: "m2", Zone: "z2", Site: "s1"}, {ID: "a", Addr: "10.0.0.1:7001", Machine: "m1", Zone: "z1", Site: "s1"}}},
		{BaseEpoch: 1, Members: []Member{{ID: "a", Addr: "10.0.0.1:7001", Machine: "m1", Zone: "z1", Site: "s1"}, {ID: "c", Addr: "10.0.0.3:7001", Machine: "m3", Zone: "z3", Site: "s2"}}},
		{ShardChanges: []ShardChange{{Shard: 7, InSync: []string{"a", "b"}}, {Shard: 255, InSync: []string{"a"}, Joining: []string{"c"}}}},
		{ShardChanges: []ShardChange{{Shard: 7, BaseNumber: 1, InSync: []string{"c"}, Reset: true}, {Shard: 255, BaseNumber: 1, InSync: []string{"a", "c"}}, {Shard: 255, BaseNumber: 1, InSync: []string{"a"}}}},
		{Puts: []Put{{Key: "config/a", Value: []byte("one"), OperationID: "op1"}, {Key: "config/b", Value: []byte("two"), OperationID: "op2", Conditional: true}, {Key: "config/c", Value: []byte("three"), OperationID: "op3"}}},
		{Puts: []Put{{Key: "config/b", Delete: true, OperationID: "op4", Conditional: true, ExpectedVersion: 6}, {Key: "config/a", OperationID: "op5", Conditional: true, ExpectedVersion: 1}, {Key: "config/d", Delete: true, OperationID: "op6"}}},
		{Puts: []Put{{Key: "word/a", Value: []byte("x"), OperationID: "op7"}, {Key: "config/a", Value: []byte("one"), OperationID: "op1"}}},
	}
}

// compareGolden compares an output with a file in testdata.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// TestLogFormat compares encoded entries, the effect of each, the state's snapshot and its key-value form with those of an earlier version of
// the program. It also decodes that version's entries and snapshot.
func TestLogFormat(t *testing.T) {
	st := New()
	var log, applied, values bytes.Buffer
	for _, e := range goldenEntries() {
		log.Write(e.Encode())
		log.WriteByte('\n')
		a := st.Apply(e)
		fmt.Fprintf(&applied, "%v %v %q %s\n", a.Shards, a.EpochChanged, a.ChangedKeys, marshal(a.PutResults))
	}
	for _, key := range st.Keys() {
		value, is := st.Value(key)
		fmt.Fprintf(&values, "%s %v %s\n", key, is, value)
	}
	compareGolden(t, "entries.golden", log.Bytes())
	compareGolden(t, "applied.golden", applied.Bytes())
	compareGolden(t, "snapshot.golden", st.Snapshot())
	compareGolden(t, "values.golden", values.Bytes())

	file, err := os.ReadFile(filepath.Join("testdata", "entries.golden"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(file), "\n"), "\n")
	for i, want := range goldenEntries() {
		if got, err := DecodeEntry([]byte(lines[i])); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("entry %d: %+v, %v; want %+v", i, got, err, want)
		}
	}
	if file, err = os.ReadFile(filepath.Join("testdata", "snapshot.golden")); err != nil {
		t.Fatal(err)
	}
	if got, err := Restore(file); err != nil || !reflect.DeepEqual(got, st) {
		t.Errorf("restored %+v, %v; want %+v", got, err, st)
	}
}

// TestPlacementDigest compares the shards of keys and the choice of replicas with those of an earlier version of the program: with another
// hash, every record would move.
func TestPlacementDigest(t *testing.T) {
	var out bytes.Buffer
	for i := range 20 {
		key := fmt.Sprint("word/", i)
		fmt.Fprintf(&out, "%s %d\n", key, ShardOf(key))
	}
	var members []Member
	for i := range 12 {
		members = append(members, Member{ID: fmt.Sprint("member", i), Machine: fmt.Sprint("m", i%9), Zone: fmt.Sprint("z", i%4), Site: fmt.Sprint("s", i%2)})
	}
	for num := range ShardCount {
		fmt.Fprintf(&out, "%d %v\n", num, PickReplicas(num, members, 3))
	}
	compareGolden(t, "placement.golden", out.Bytes())
}

// TestRejections compares the texts of rejected puts, which operators read, with those of an earlier version of the program.
func TestRejections(t *testing.T) {
	long := strings.Repeat("x", 1000)
	var out bytes.Buffer
	for _, p := range []Put{
		{Key: "word/a", OperationID: "o"}, {Key: "config/", OperationID: "o"}, {Key: "config/" + long, OperationID: "o"}, {Key: "config/a b", OperationID: "o"},
		{Key: "config/a", OperationID: ""}, {Key: "config/a", OperationID: long}, {Key: "config/a", OperationID: "o", Delete: true, Value: []byte("v")},
		{Key: "config/a", OperationID: "o", Value: make([]byte, 256<<10+1)}, {Key: "config/a", OperationID: "o"},
	} {
		reason := ""
		if err := p.Validate(); err != nil {
			reason = err.Error()
		}
		fmt.Fprintf(&out, "%q\n", reason)
	}
	st := New()
	put := func(p Put) {
		encoded, err := json.Marshal(st.Apply(Entry{Puts: []Put{p}}).PutResults)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n", encoded)
	}
	put(Put{Key: "config/a", OperationID: "o"})
	st.Apply(Entry{BootstrapID: "f"})
	put(Put{Key: "config/a", OperationID: "o", Conditional: true, ExpectedVersion: 7})
	put(Put{Key: "config/a", OperationID: "o", Delete: true})
	compareGolden(t, "rejections.golden", out.Bytes())
}
