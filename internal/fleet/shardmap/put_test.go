package shardmap

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// newState returns the state of a fleet that was just bootstrapped.
func newState() *State {
	s := New()
	s.Apply(Entry{BootstrapID: "f"})
	return s
}

// TestRestoreOfSnapshotWithoutItems restores a snapshot in the format of program versions that had no operators' items.
func TestRestoreOfSnapshotWithoutItems(t *testing.T) {
	s := newState()
	s.Apply(Entry{Members: []Member{{ID: "a", Addr: "x"}}})
	snapshot := s.Snapshot()
	if bytes.Contains(snapshot, []byte("items")) || bytes.Contains(snapshot, []byte("ops")) {
		t.Errorf("a state without items has fields for them: %s", snapshot)
	}
	restored, err := Restore(snapshot)
	if err != nil || restored.Version != 2 || len(restored.Items) != 0 {
		t.Fatalf("restored %+v, %v; want version 2 without items", restored, err)
	}
	d := restored.Apply(Entry{Puts: []Put{{Key: "config/a", Value: []byte("1"), OperationID: "o"}}})
	if again, err := Restore(restored.Snapshot()); err != nil || again.Version != 3 || string(again.Items["config/a"].Value) != "1" || len(again.RecentPuts) != 1 {
		t.Errorf("put after the restore: %+v; restored again: %v", d, err)
	}
}

// TestPutIsIdempotent retries puts, also after another put has changed their key. A retry must return the first result and must not
// overwrite the newer value.
func TestPutIsIdempotent(t *testing.T) {
	s := newState()
	put := func(p Put) PutResult { return s.Apply(Entry{Puts: []Put{p}}).PutResults[0] }
	one, two := Put{Key: "config/a", Value: []byte("1"), OperationID: "one"}, Put{Key: "config/a", Value: []byte("2"), OperationID: "two"}
	first, second := put(one), put(two)
	if first.Version != 2 || second.Version != 3 {
		t.Fatal(first, second)
	}
	if again := put(one); again != first || string(s.Items["config/a"].Value) != "2" || s.Version != 3 {
		t.Errorf("retried put: %+v, items %+v", again, s.Items)
	}
	if d := put(Put{Key: "config/a", Value: []byte("3"), OperationID: "three", Conditional: true, ExpectedVersion: 2}); d.Rejection == "" || s.Version != 3 {
		t.Errorf("conditional put with an outdated version: %+v", d)
	}
	if d := put(Put{Key: "config/a", Value: []byte("3"), OperationID: "three", Conditional: true, ExpectedVersion: 3}); d.Version != 4 {
		t.Errorf("conditional put with the current version: %+v", d)
	}
	a := s.Apply(Entry{Puts: []Put{{Key: "config/b", Value: []byte("1"), OperationID: "four"}, {Key: "config/", OperationID: "five"}, {Key: "config/a", Delete: true, OperationID: "six"}}})
	if s.Version != 5 || a.PutResults[0].Version != 5 || a.PutResults[1].Rejection == "" || a.PutResults[2].Version != 5 || len(a.ChangedKeys) != 2 {
		t.Errorf("three puts in one entry: %+v, state version %d", a, s.Version)
	}
	if _, is := s.Items["config/a"]; is || len(s.Items) != 1 {
		t.Errorf("items after the deletion: %+v", s.Items)
	}
	for i := range maxRecentPuts + 1 {
		put(Put{Key: "config/c", OperationID: fmt.Sprint("n", i)})
	}
	if len(s.RecentPuts) != maxRecentPuts {
		t.Errorf("%d recent puts are stored, want maxRecentPuts", len(s.RecentPuts))
	}
	if d := put(Put{Key: "config/b", Value: []byte("1"), OperationID: "four"}); d.Version != 5 { // the result is that of the item, whose key was not put again
		t.Errorf("retried put of an item without newer puts: %+v", d)
	}
}

// TestItemsAreBounded fills the state up to its limit of bytes and of items. A full state must reject new items and accept smaller values
// of existing ones.
func TestItemsAreBounded(t *testing.T) {
	s := newState()
	big := make([]byte, MaxValueBytes)
	n := 0
	for ; ; n++ {
		d := s.Apply(Entry{Puts: []Put{{Key: fmt.Sprint("config/", n), Value: big, OperationID: fmt.Sprint(n)}}}).PutResults[0]
		if d.Rejection != "" {
			if !strings.Contains(d.Rejection, "full") {
				t.Error(d)
			}
			break
		}
	}
	if size := n * (MaxValueBytes + len("config/00")); n == 0 || size > MaxItemsBytes {
		t.Errorf("%d items of %d bytes were accepted", n, MaxValueBytes)
	}
	before := s.Version
	if d := s.Apply(Entry{Puts: []Put{{Key: "config/0", Value: []byte("small"), OperationID: "smaller"}}}).PutResults[0]; d.Version != before+1 {
		t.Errorf("a full state rejected a smaller value: %+v", d)
	}
	s = newState()
	s.Items = map[string]Item{}
	for i := range MaxItems {
		s.Items[fmt.Sprint("config/", i)] = Item{}
	}
	if d := s.Apply(Entry{Puts: []Put{{Key: "config/more", OperationID: "more"}}}).PutResults[0]; !strings.Contains(d.Rejection, "full") {
		t.Error(d)
	}
	if d := s.Apply(Entry{Puts: []Put{{Key: "config/7", Value: []byte("x"), OperationID: "same"}}}).PutResults[0]; d.Version == 0 {
		t.Error(d)
	}
}
