package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
)

// Write stores everything that ready contains, in one transaction, and returns once it is on disk. After an error, every later call returns
// the same error.
func (s *Store) Write(ready node.Ready) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	log := ready.Log
	if ready.FleetID == "" && len(ready.ShardWrites) == 0 && len(log.HardState)+len(log.Snapshot)+len(log.Entries) == 0 {
		return nil
	}
	s.WriteCount++
	err := s.db.Update(func(tx *bbolt.Tx) error {
		t := transaction{store: s, tx: tx}
		if err := t.writeLog(ready.FleetID, log); err != nil {
			return err
		}
		for _, write := range ready.ShardWrites {
			if err := t.writeShard(write); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		s.writeErr = fmt.Errorf("write to store: %w", err)
	}
	return s.writeErr
}

// transaction is the database transaction of one call of Write.
type transaction struct {
	store *Store
	tx    *bbolt.Tx
}

// put stores a value and counts its bytes.
func (t transaction) put(bucket, key, value []byte) error {
	t.store.WrittenBytes += int64(len(key) + len(value))
	return t.tx.Bucket(bucket).Put(key, value)
}

// writeLog writes the fleet's ID and the changes of the log. New entries replace all stored entries from their first index on; a snapshot
// replaces the entries that it covers.
func (t transaction) writeLog(fleetID string, log consensus.Write) error {
	if fleetID != "" {
		if err := t.put(metaBucket, fleetKey, []byte(fleetID)); err != nil {
			return err
		}
	}
	if len(log.HardState) > 0 {
		if err := t.put(metaBucket, hardStateKey, log.HardState); err != nil {
			return err
		}
	}
	if len(log.Entries) > 0 {
		if err := t.deleteEntriesFrom(log.FirstIndex); err != nil {
			return err
		}
	}
	for i, entry := range log.Entries {
		if err := t.put(logBucket, indexKey(log.FirstIndex+uint64(i)), withChecksum(entry)); err != nil {
			return err
		}
	}
	if len(log.Snapshot) == 0 {
		return nil
	}
	if err := t.put(metaBucket, snapshotKey, log.Snapshot); err != nil {
		return err
	}
	return t.deleteEntriesUpTo(log.SnapshotIndex)
}

// deleteEntriesFrom deletes the log entries from index first on.
func (t transaction) deleteEntriesFrom(first uint64) error {
	cursor := t.tx.Bucket(logBucket).Cursor()
	for key, _ := cursor.Seek(indexKey(first)); key != nil; key, _ = cursor.Seek(indexKey(first)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntriesUpTo deletes the log entries up to index last, including it.
func (t transaction) deleteEntriesUpTo(last uint64) error {
	cursor := t.tx.Bucket(logBucket).Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// writeShard writes the ballot of a shard, if it has changed, and records.
func (t transaction) writeShard(write replication.Write) error {
	shard := binary.BigEndian.AppendUint16(nil, uint16(write.Shard))
	ballot := binary.BigEndian.AppendUint64(nil, write.Ballot.Configuration)
	ballot = binary.BigEndian.AppendUint64(ballot, write.Ballot.Incarnation)
	if !bytes.Equal(t.tx.Bucket(ballotBucket).Get(shard), ballot) {
		if err := t.put(ballotBucket, shard, ballot); err != nil {
			return err
		}
	}
	if write.ReplaceAll {
		if err := t.deleteRecords(shard); err != nil {
			return err
		}
	}
	for _, record := range write.Records {
		if err := t.writeRecord(shard, record); err != nil {
			return err
		}
	}
	return nil
}

// deleteRecords deletes all records of a shard.
func (t transaction) deleteRecords(shard []byte) error {
	cursor := t.tx.Bucket(recordBucket).Cursor()
	for key, _ := cursor.Seek(shard); key != nil && bytes.HasPrefix(key, shard); key, _ = cursor.Seek(shard) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// writeRecord writes a record. Version 0 means that the record is to be deleted.
func (t transaction) writeRecord(shard []byte, record replication.Record) error {
	key := append(bytes.Clone(shard), record.Key...)
	if record.Version == 0 {
		return t.tx.Bucket(recordBucket).Delete(key)
	}
	value, err := cbor.Marshal(record)
	if err != nil {
		return err
	}
	return t.put(recordBucket, key, withChecksum(value))
}

// indexKey returns the key of a log entry. Big-endian keys sort by index.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
