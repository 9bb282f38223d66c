package shardmap

import (
	"bytes"
	"strings"
	"testing"
)

// TestStateAsKeyValues replicates each change of a state by its changed keys and values. The replica must end up with the same values, except
// for operators' items, and must reject malformed keys and values.
func TestStateAsKeyValues(t *testing.T) {
	s, replica := New(), New()
	for _, e := range []Entry{
		{BootstrapID: "f"},
		{Members: []Member{{ID: "b", Addr: "1"}, {ID: "a", Addr: "2", Site: "s"}}},
		{ShardChanges: []ShardChange{{Shard: 7, InSync: []string{"a", "b"}}, {Shard: 9, InSync: []string{"a"}, Joining: []string{"b"}}}},
		{BaseEpoch: 1, Members: []Member{{ID: "c", Addr: "3"}, {ID: "a", Addr: "4", Site: "s"}}, Puts: []Put{{Key: "config/x", Value: []byte("1"), OperationID: "o"}}},
	} {
		applied := s.Apply(e)
		for _, k := range applied.ChangedKeys {
			v, is := s.Value(k)
			if err := replica.SetValue(k, v, !is); err != nil {
				t.Fatal(err)
			}
		}
	}
	if len(s.Keys()) != 2+2+2+1 {
		t.Errorf("keys %q, want 7", s.Keys())
	}
	for _, k := range s.Keys() {
		if strings.HasPrefix(k, ConfigPrefix) {
			continue
		}
		want, _ := s.Value(k)
		if got, is := replica.Value(k); !is || !bytes.Equal(got, want) {
			t.Errorf("%s: the replica has %q, want %q", k, got, want)
		}
	}
	if len(replica.Members) != 2 || replica.Epoch != 2 {
		t.Errorf("the replica has members %+v, want two, or is not in epoch 2", replica.Members)
	}
	for _, k := range []string{"view/256", "view/x", "epoch", "member/z"} {
		if err := replica.SetValue(k, []byte("x"), false); err == nil {
			t.Errorf("malformed value for key %s was accepted", k)
		}
	}
}
