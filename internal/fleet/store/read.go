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
	shardKeyBytes = 2  // size of a shard's number, with which the keys of its records begin
	ballotBytes   = 16 // size of a stored ballot
	checksumBytes = 4  // size of the checksum before each stored entry and record
)

// errChecksum reports an entry or a record that is damaged.
var errChecksum = errors.New("checksum mismatch")

// readState reads the whole file and verifies the checksums of its entries and records.
func readState(tx *bbolt.Tx) (node.PersistentState, error) {
	state := node.PersistentState{Shards: map[int]node.ShardState{}}
	meta := tx.Bucket(metaBucket)
	if format := meta.Get(formatKey); len(format) != 1 || format[0] < 1 || format[0] > FormatVersion {
		return state, fmt.Errorf("format version %d is invalid or of a newer program; this one reads versions 1 to %d", format, FormatVersion)
	}
	state.FleetID = string(meta.Get(fleetKey))
	state.Log = consensus.PersistentState{HardState: bytes.Clone(meta.Get(hardStateKey)), Snapshot: bytes.Clone(meta.Get(snapshotKey))}
	err := tx.Bucket(logBucket).ForEach(func(_, value []byte) error {
		entry, err := verifyChecksum(value)
		state.Log.Entries = append(state.Log.Entries, bytes.Clone(entry))
		return err
	})
	if err != nil {
		return state, fmt.Errorf("read log: %w", err)
	}
	if err := readBallots(tx, state.Shards); err != nil {
		return state, err
	}
	return state, readRecords(tx, state.Shards)
}

// readBallots reads the ballots of all shards.
func readBallots(tx *bbolt.Tx, shards map[int]node.ShardState) error {
	return tx.Bucket(ballotBucket).ForEach(func(key, value []byte) error {
		shard := int(binary.BigEndian.Uint16(key))
		if shard >= shardmap.ShardCount || len(value) != ballotBytes {
			return fmt.Errorf("invalid ballot of shard %d", shard)
		}
		shards[shard] = node.ShardState{Ballot: replication.Ballot{
			Configuration: binary.BigEndian.Uint64(value),
			Incarnation:   binary.BigEndian.Uint64(value[ballotBytes/2:]),
		}}
		return nil
	})
}

// readRecords reads the records of all shards, and adds them to the shards' ballots.
func readRecords(tx *bbolt.Tx, shards map[int]node.ShardState) error {
	return tx.Bucket(recordBucket).ForEach(func(key, value []byte) error {
		shard := int(binary.BigEndian.Uint16(key))
		recordKey := key[shardKeyBytes:]
		record, err := decodeRecord(value)
		if err == nil && (shard >= shardmap.ShardCount || record.Key != string(recordKey)) {
			err = errors.New("the record has another key, or the shard does not exist")
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

// decodeRecord verifies and decodes a stored record.
func decodeRecord(value []byte) (replication.Record, error) {
	var record replication.Record
	encoded, err := verifyChecksum(value)
	if err != nil {
		return record, err
	}
	return record, cbor.Unmarshal(encoded, &record)
}

// withChecksum returns a value preceded by its checksum.
func withChecksum(value []byte) []byte {
	result := binary.BigEndian.AppendUint32(make([]byte, 0, checksumBytes+len(value)), checksum.Sum(value))
	return append(result, value...)
}

// verifyChecksum verifies the checksum that precedes a value, and returns the value without it.
func verifyChecksum(value []byte) ([]byte, error) {
	if len(value) < checksumBytes || binary.BigEndian.Uint32(value) != checksum.Sum(value[checksumBytes:]) {
		return nil, errChecksum
	}
	return value[checksumBytes:], nil
}
