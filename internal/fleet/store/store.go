// Package store owns what a member has on disk beside its identity: its part of the agreed log and the records of its
// shards, in one bbolt file in the member's directory. A write is on disk completely or not at all. The package must
// never be used on the balancer's loop, and never go on after a write that failed: what is on disk then is unknown.
package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"sabletally/internal/fleet/node"
)

// FormatVersion is the newest form of the file that this program reads, and the one that it writes.
const FormatVersion = 1

const (
	fileName = "holdings.db"
	// openTimeout bounds the wait for the file's lock, which nobody else should hold.
	openTimeout = time.Second
)

// The buckets of the file.
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")     // entries by index
	ballotBucket = []byte("slots")   // ballots by shard
	recordBucket = []byte("records") // records by shard and key

	buckets = [][]byte{metaBucket, logBucket, ballotBucket, recordBucket}
)

// The keys of metaBucket.
var (
	formatKey    = []byte("format")
	fleetKey     = []byte("fleet")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// Store is an open file. It is not safe for concurrent use.
type Store struct {
	db  *bbolt.DB
	err error // of the first write that failed

	WriteCount   int64 // transactions
	WrittenBytes int64 // of keys and values
}

// Open opens the file in a directory that this process has locked, or creates it, and reads all of it. A file of a newer
// format, or one whose records do not match their checksums, is an error that names it.
func Open(dir string) (*Store, node.PersistentState, error) {
	path := filepath.Join(dir, fileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		err = errors.New("another process has it")
	}
	if err != nil {
		return nil, node.PersistentState{}, fmt.Errorf("%s: %w", path, err)
	}
	var state node.PersistentState
	err = db.Update(func(tx *bbolt.Tx) error {
		if err := createBuckets(tx); err != nil {
			return err
		}
		state, err = readState(tx)
		return err
	})
	if err != nil {
		_ = db.Close() // the first error is reported
		return nil, node.PersistentState{}, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db: db}, state, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range buckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(metaBucket)
	if meta.Get(formatKey) != nil {
		return nil
	}
	return meta.Put(formatKey, []byte{FormatVersion})
}

// Inspect reads the file of a directory that no process uses, and changes nothing.
func Inspect(dir string) (node.PersistentState, error) {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err != nil {
		return node.PersistentState{}, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: true})
	if errors.Is(err, berrors.ErrTimeout) {
		err = errors.New("a process has it: end that first")
	}
	if err != nil {
		return node.PersistentState{}, fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = db.Close() }() // nothing was written
	var state node.PersistentState
	err = db.View(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			if tx.Bucket(name) == nil {
				return fmt.Errorf("it has no %q", name)
			}
		}
		state, err = readState(tx)
		return err
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return state, err
}

// Size returns the size of the file in bytes.
func (s *Store) Size() int64 {
	var size int64
	_ = s.db.View(func(tx *bbolt.Tx) error { // the function returns no error
		size = tx.Size()
		return nil
	})
	return size
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
