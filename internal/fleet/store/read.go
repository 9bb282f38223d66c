package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"sabletally/internal/fleet/checksum"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	shardKeyBytes = 2 // of a shard's number, which begins the keys of its records
	ballotBytes   = 16
	checksumBytes = 4
)

var errChecksum = errors.New("its checksum is wrong")

// readState reads everything and checks it against its checksums.
func readState(tx *bbolt.Tx) (node.PersistentState, error) {
	state := node.PersistentState{Shards: map[int]node.ShardState{}}
	meta := tx.Bucket(metaBucket)
	if format := meta.Get(formatKey); len(format) != 1 || format[0] < 1 || format[0] > FormatVersion {
		return state, fmt.Errorf("its format is %d, written by a newer program; this one reads up to %d", format, FormatVersion)
	}
	state.FleetID = string(meta.Get(fleetKey))
	state.Log = consensus.PersistentState{HardState: bytes.Clone(meta.Get(hardStateKey)), Snapshot: bytes.Clone(meta.Get(snapshotKey))}
	err := tx.Bucket(logBucket).ForEach(func(_, value []byte) error {
		entry, err := verify(value)
		state.Log.Entries = append(state.Log.Entries, bytes.Clone(entry))
		return err
	})
	if err != nil {
		return state, fmt.Errorf("the log: %w", err)
	}
	if err := readBallots(tx, state.Shards); err != nil {
		return state, err
	}
	return state, readRecords(tx, state.Shards)
}

func readBallots(tx *bbolt.Tx, shards map[int]node.ShardState) error {
	return tx.Bucket(ballotBucket).ForEach(func(key, value []byte) error {
		shard := int(binary.BigEndian.Uint16(key))
		if shard >= shardmap.ShardCount || len(value) != ballotBytes {
			return fmt.Errorf("shard %d is none", shard)
		}
		shards[shard] = node.ShardState{Ballot: replication.Ballot{
			Configuration: binary.BigEndian.Uint64(value),
			Incarnation:   binary.BigEndian.Uint64(value[ballotBytes/2:]),
		}}
		return nil
	})
}

func readRecords(tx *bbolt.Tx, shards map[int]node.ShardState) error {
	return tx.Bucket(recordBucket).ForEach(func(key, value []byte) error {
		shard := int(binary.BigEndian.Uint16(key))
		recordKey := key[shardKeyBytes:]
		record, err := decodeRecord(value)
		if err == nil && (shard >= shardmap.ShardCount || record.Key != string(recordKey)) {
			err = errors.New("it is another key's")
		}
		if err != nil {
			return fmt.Errorf("record %q of shard %d: %w", recordKey, shard, err)
		}
		state := shards[shard]
		state.Records = append(state.Records, record)
		shards[shard] = state
		return nil
	})
}

func decodeRecord(value []byte) (replication.Record, error) {
	var record replication.Record
	text, err := verify(value)
	if err != nil {
		return record, err
	}
	return record, cbor.Unmarshal(text, &record)
}

// withChecksum returns a value with its checksum before it.
func withChecksum(value []byte) []byte {
	sealed := binary.BigEndian.AppendUint32(make([]byte, 0, checksumBytes+len(value)), checksum.Sum(value))
	return append(sealed, value...)
}

// verify checks a value against the checksum before it, and returns it without.
func verify(value []byte) ([]byte, error) {
	if len(value) < checksumBytes || binary.BigEndian.Uint32(value) != checksum.Sum(value[checksumBytes:]) {
		return nil, errChecksum
	}
	return value[checksumBytes:], nil
}
