package shardmap

import (
	"encoding/json"
	"fmt"
)

// Encode encodes the entry for the log.
func (e Entry) Encode() []byte { return marshal(e) }

// DecodeEntry decodes an entry that Encode has encoded.
func DecodeEntry(encoded []byte) (Entry, error) {
	var e Entry
	err := json.Unmarshal(encoded, &e)
	return e, err
}

// Snapshot encodes the whole state for Restore.
func (s *State) Snapshot() []byte { return marshal(s) }

// Restore decodes a snapshot. A snapshot with another number of shards is an error.
func Restore(snapshot []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(snapshot, s); err != nil {
		return nil, err
	}
	if len(s.Configurations) != ShardCount {
		return nil, fmt.Errorf("wrong number of shards: %d, this program requires %d", len(s.Configurations), ShardCount)
	}
	return s, nil
}

// marshal encodes a value of this package's types, all of which can be encoded.
func marshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}
