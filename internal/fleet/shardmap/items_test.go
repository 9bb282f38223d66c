package shardmap

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func founded() *State {
	s := New()
	s.Apply(Entry{BootstrapID: "f"})
	return s
}

// TestAnOlderStateIsReadAsItIs reads a snapshot of a program without items. Guards against disks that are read as another version.
func TestAnOlderStateIsReadAsItIs(t *testing.T) {
	s := founded()
	s.Apply(Entry{Members: []Member{{ID: "a", Addr: "x"}}})
	text := s.Snapshot()
	if bytes.Contains(text, []byte("items")) || bytes.Contains(text, []byte("ops")) {
		t.Errorf("a state without items says of them: %s", text)
	}
	read, err := Restore(text)
	if err != nil || read.Version != 2 || len(read.Items) != 0 {
		t.Fatalf("%+v, %v", read, err)
	}
	d := read.Apply(Entry{Puts: []Put{{Key: "config/a", Value: []byte("1"), OperationID: "o"}}})
	if again, err := Restore(read.Snapshot()); err != nil || again.Version != 3 || string(again.Items["config/a"].Value) != "1" || len(again.RecentPuts) != 1 {
		t.Errorf("%+v, %v", d, err)
	}
}

// TestAPutIsDoneOnce asks for puts again, before and after their key was put anew. Guards against a put whose answer was lost and that is
// asked for again over a newer one.
func TestAPutIsDoneOnce(t *testing.T) {
	s := founded()
	put := func(p Put) PutResult { return s.Apply(Entry{Puts: []Put{p}}).PutResults[0] }
	one, two := Put{Key: "config/a", Value: []byte("1"), OperationID: "one"}, Put{Key: "config/a", Value: []byte("2"), OperationID: "two"}
	first, second := put(one), put(two)
	if first.Version != 2 || second.Version != 3 {
		t.Fatal(first, second)
	}
	if again := put(one); again != first || string(s.Items["config/a"].Value) != "2" || s.Version != 3 {
		t.Errorf("asked again: %+v, %+v", again, s.Items)
	}
	if d := put(Put{Key: "config/a", Value: []byte("3"), OperationID: "three", Conditional: true, ExpectedVersion: 2}); d.Rejection == "" || s.Version != 3 {
		t.Errorf("over another version: %+v", d)
	}
	if d := put(Put{Key: "config/a", Value: []byte("3"), OperationID: "three", Conditional: true, ExpectedVersion: 3}); d.Version != 4 {
		t.Errorf("over the version in force: %+v", d)
	}
	a := s.Apply(Entry{Puts: []Put{{Key: "config/b", Value: []byte("1"), OperationID: "four"}, {Key: "config/", OperationID: "five"}, {Key: "config/a", Delete: true, OperationID: "six"}}})
	if s.Version != 5 || a.PutResults[0].Version != 5 || a.PutResults[1].Rejection == "" || a.PutResults[2].Version != 5 || len(a.ChangedKeys) != 2 {
		t.Errorf("three in one entry: %+v at %d", a, s.Version)
	}
	if _, is := s.Items["config/a"]; is || len(s.Items) != 1 {
		t.Errorf("%+v", s.Items)
	}
	for i := range mostOps + 1 {
		put(Put{Key: "config/c", OperationID: fmt.Sprint("n", i)})
	}
	if len(s.RecentPuts) != mostOps {
		t.Errorf("%d operations are kept", len(s.RecentPuts))
	}
	if d := put(Put{Key: "config/b", Value: []byte("1"), OperationID: "four"}); d.Version != 5 { // its key was not put since
		t.Errorf("%+v", d)
	}
}

// TestItemsAreBounded fills the state by number and by bytes. Guards against a state that grows until members can't send it.
func TestItemsAreBounded(t *testing.T) {
	s := founded()
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
		t.Errorf("%d items of %d bytes are taken", n, MaxValueBytes)
	}
	was := s.Version
	if d := s.Apply(Entry{Puts: []Put{{Key: "config/0", Value: []byte("small"), OperationID: "smaller"}}}).PutResults[0]; d.Version != was+1 {
		t.Errorf("a full state takes no smaller value: %+v", d)
	}
	s = founded()
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

// TestTheStateAsAMap takes each change of a state over by keys and values, and holds the result against the state.
func TestTheStateAsAMap(t *testing.T) {
	s, by := New(), New()
	for _, e := range []Entry{
		{BootstrapID: "f"},
		{Members: []Member{{ID: "b", Addr: "1"}, {ID: "a", Addr: "2", Site: "s"}}},
		{ShardChanges: []ShardChange{{Shard: 7, InSync: []string{"a", "b"}}, {Shard: 9, InSync: []string{"a"}, Joining: []string{"b"}}}},
		{BaseEpoch: 1, Members: []Member{{ID: "c", Addr: "3"}, {ID: "a", Addr: "4", Site: "s"}}, Puts: []Put{{Key: "config/x", Value: []byte("1"), OperationID: "o"}}},
	} {
		did := s.Apply(e)
		for _, k := range did.ChangedKeys {
			v, is := s.Value(k)
			if err := by.SetValue(k, v, !is); err != nil {
				t.Fatal(err)
			}
		}
	}
	if len(s.Keys()) != 2+2+2+1 {
		t.Errorf("%q", s.Keys())
	}
	for _, k := range s.Keys() {
		if strings.HasPrefix(k, ItemPrefix) {
			continue
		}
		want, _ := s.Value(k)
		if got, is := by.Value(k); !is || !bytes.Equal(got, want) {
			t.Errorf("%s: %q, wanted %q", k, got, want)
		}
	}
	if len(by.Members) != 2 || by.Epoch != 2 {
		t.Errorf("%+v", by.Members)
	}
	for _, k := range []string{"view/256", "view/x", "epoch", "member/z"} {
		if err := by.SetValue(k, []byte("x"), false); err == nil {
			t.Errorf("%s is taken", k)
		}
	}
}
