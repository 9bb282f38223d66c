// Package store stores the state of a member: its copy of the agreed log and the ballots and records of its shards, in one bbolt file in the
// member's data directory. Writes are atomic. The package must never be used on the balancer's loop, because writes block until the data is
// on disk. After a failed write the content of the disk is unknown, so the package must not write again.
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

// FormatVersion is the newest version of the file format that this program reads, and the one that it writes.
const FormatVersion = 1

const (
	fileName = "holdings.db"
	// openTimeout limits the wait for the file's lock, which no other process should hold.
	openTimeout = time.Second
)

// The buckets of the file.
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")     // log entries by index
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

// Store is the open file of a member. It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	writeErr error // error of the first write that failed

	WriteCount   int64 // number of write transactions
	WrittenBytes int64 // total size of the keys and values that were written, in bytes
}

// Open opens or creates the file in a directory that this process has locked, and reads its whole content. It returns an error if the file
// has a newer format version, or an entry or record that does not match its checksum.
func Open(dir string) (*Store, node.PersistentState, error) {
	path := filepath.Join(dir, fileName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		err = errors.New("in use by another process")
	}
	if err != nil {
		return nil, node.PersistentState{}, fmt.Errorf("open store %s: %w", path, err)
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
		return nil, node.PersistentState{}, fmt.Errorf("open store %s: %w", path, err)
	}
	return &Store{db: db}, state, nil
}

// createBuckets creates the buckets that are missing, and stores the format version in a new file.
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

// Inspect reads the file in a directory that no process uses, without changing it.
func Inspect(dir string) (node.PersistentState, error) {
	path := filepath.Join(dir, fileName)
	if _, err := os.Stat(path); err != nil {
		return node.PersistentState{}, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: true})
	if errors.Is(err, berrors.ErrTimeout) {
		err = errors.New("in use by a process; stop it first")
	}
	if err != nil {
		return node.PersistentState{}, fmt.Errorf("inspect store %s: %w", path, err)
	}
	defer func() { _ = db.Close() }() // the file was opened for reading only
	var state node.PersistentState
	err = db.View(func(tx *bbolt.Tx) error {
		for _, name := range buckets {
			if tx.Bucket(name) == nil {
				return fmt.Errorf("bucket %q is missing", name)
			}
		}
		state, err = readState(tx)
		return err
	})
	if err != nil {
		err = fmt.Errorf("inspect store %s: %w", path, err)
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
