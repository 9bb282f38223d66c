package shardmap

import (
	"encoding/json"
	"fmt"
)

// Encode returns the entry in the form that the log has.
func (e Entry) Encode() []byte { return marshal(e) }

// DecodeEntry reads the form that Encode returns.
func DecodeEntry(encoded []byte) (Entry, error) {
	var e Entry
	err := json.Unmarshal(encoded, &e)
	return e, err
}

// Snapshot returns the whole state in the form that Restore reads.
func (s *State) Snapshot() []byte { return marshal(s) }

// Restore reads a snapshot. One with another number of shards is an error.
func Restore(snapshot []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(snapshot, s); err != nil {
		return nil, err
	}
	if len(s.Configurations) != ShardCount {
		return nil, fmt.Errorf("a state of %d shards, this program has %d", len(s.Configurations), ShardCount)
	}
	return s, nil
}

// marshal encodes a value of this package's types, which can't fail.
func marshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}
