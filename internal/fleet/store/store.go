// Package store owns what a member has on disk beside its card: the agreed log's part and the slots' records, in one file of bbolt's
// in the member's directory. A write is on disk whole or not at all. It must never be used on the balancer's loop, and never go on
// after a write that failed: what is on disk then is not known.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// FormatVersion is the newest form of the file that this program writes and reads; older ones are read.
const FormatVersion = 1

const openWithin = time.Second // the directory is this process's; nobody else should have the file

var (
	meta    = []byte("meta") // format, fleet, hard, snapshot
	entries = []byte("log")
	slots   = []byte("slots") // by slot: its ballot
	records = []byte("records")
)

// Store is an open file.
type Store struct {
	db  *bbolt.DB
	err error // the first that failed

	WriteCount, WrittenBytes int64 // transactions, and bytes handed to them
}

// Open opens the file in a directory, which has to be this process's, and reads all of it. A file of a newer format, or one whose
// records do not match their checksums, is an error that names it.
func Open(dir string) (*Store, node.PersistentState, error) {
	path := filepath.Join(dir, "holdings.db")
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWithin, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		if errors.Is(err, berrors.ErrTimeout) {
			err = errors.New("another process has it")
		}
		return nil, node.PersistentState{}, fmt.Errorf("%s: %w", path, err)
	}
	s := &Store{db: db}
	saved, err := s.read()
	if err != nil {
		_ = db.Close()
		return nil, node.PersistentState{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, saved, nil
}

// Inspect reads the file of a directory that no process has, and changes nothing.
func Inspect(dir string) (node.PersistentState, error) {
	path := filepath.Join(dir, "holdings.db")
	if _, err := os.Stat(path); err != nil {
		return node.PersistentState{}, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWithin, ReadOnly: true})
	if err != nil {
		if errors.Is(err, berrors.ErrTimeout) {
			err = errors.New("a process has it: end that first")
		}
		return node.PersistentState{}, fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = db.Close() }()
	out := node.PersistentState{}
	err = db.View(func(tx *bbolt.Tx) (err error) {
		for _, name := range [][]byte{meta, entries, slots, records} {
			if tx.Bucket(name) == nil {
				return fmt.Errorf("it has no %q", name)
			}
		}
		out, err = load(tx)
		return err
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	}
	return out, err
}

func (s *Store) read() (out node.PersistentState, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{meta, entries, slots, records} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		if m := tx.Bucket(meta); m.Get([]byte("format")) == nil {
			if err := m.Put([]byte("format"), []byte{FormatVersion}); err != nil {
				return err
			}
		}
		out, err = load(tx)
		return err
	})
	return out, err
}

// load reads all, and holds each part against its checksum.
func load(tx *bbolt.Tx) (out node.PersistentState, err error) {
	out.Shards = map[int]node.ShardState{}
	all := [4]*bbolt.Bucket{tx.Bucket(meta), tx.Bucket(entries), tx.Bucket(slots), tx.Bucket(records)}
	m := all[0]
	err = func() error {
		if f := m.Get([]byte("format")); len(f) != 1 || f[0] < 1 || f[0] > FormatVersion {
			return fmt.Errorf("its format is %d, written by a newer program; this one reads up to %d", f, FormatVersion)
		}
		out.FleetID = string(m.Get([]byte("fleet")))
		out.Log = consensus.PersistentState{HardState: bytes.Clone(m.Get([]byte("hard"))), Snapshot: bytes.Clone(m.Get([]byte("snapshot")))}
		if err := all[1].ForEach(func(_, v []byte) error {
			text, err := unseal(v)
			out.Log.Entries = append(out.Log.Entries, bytes.Clone(text))
			return err
		}); err != nil {
			return fmt.Errorf("the log: %w", err)
		}
		if err := all[2].ForEach(func(k, v []byte) error {
			num := int(binary.BigEndian.Uint16(k))
			if num >= shardmap.ShardCount || len(v) != 16 {
				return fmt.Errorf("slot %d is none", num)
			}
			out.Shards[num] = node.ShardState{Ballot: replication.Ballot{Configuration: binary.BigEndian.Uint64(v), Incarnation: binary.BigEndian.Uint64(v[8:])}}
			return nil
		}); err != nil {
			return err
		}
		return all[3].ForEach(func(k, v []byte) error {
			text, err := unseal(v)
			var r replication.Record
			if err == nil {
				err = cbor.Unmarshal(text, &r)
			}
			num := int(binary.BigEndian.Uint16(k))
			if err == nil && (num >= shardmap.ShardCount || r.Key != string(k[2:])) {
				err = errors.New("it is another key's")
			}
			if err != nil {
				return fmt.Errorf("record %q of slot %d: %w", k[2:], num, err)
			}
			one := out.Shards[num]
			one.Records = append(one.Records, r)
			out.Shards[num] = one
			return nil
		})
	}()
	return out, err
}

// Write puts what a Ready asks for on disk, all of it or nothing, and answers once it is there. After an error every later call
// answers that error.
func (s *Store) Write(r node.Ready) error {
	if s.err != nil {
		return s.err
	}
	if r.FleetID == "" && len(r.ShardWrites) == 0 && len(r.Log.HardState)+len(r.Log.Snapshot)+len(r.Log.Entries) == 0 {
		return nil
	}
	s.WriteCount++
	s.err = s.db.Update(func(tx *bbolt.Tx) error {
		put := func(b *bbolt.Bucket, k, v []byte) error {
			s.WrittenBytes += int64(len(k) + len(v))
			return b.Put(k, v)
		}
		if err := s.log(tx, r, put); err != nil {
			return err
		}
		ballots, held := tx.Bucket(slots), tx.Bucket(records)
		for _, w := range r.ShardWrites {
			num := binary.BigEndian.AppendUint16(nil, uint16(w.Shard))
			ballot := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, w.Ballot.Configuration), w.Ballot.Incarnation)
			if !bytes.Equal(ballots.Get(num), ballot) {
				if err := put(ballots, num, ballot); err != nil {
					return err
				}
			}
			if w.ReplaceAll {
				c := held.Cursor()
				for k, _ := c.Seek(num); k != nil && bytes.HasPrefix(k, num); k, _ = c.Seek(num) {
					if err := c.Delete(); err != nil {
						return err
					}
				}
			}
			for _, one := range w.Records {
				if one.Version == 0 { // it is no more
					if err := held.Delete(append(num[:2:2], one.Key...)); err != nil {
						return err
					}
					continue
				}
				text, err := cbor.Marshal(one)
				if err == nil {
					err = put(held, append(num[:2:2], one.Key...), seal(text))
				}
				if err != nil {
					return err
				}
			}
		}
		return nil
	})
	if s.err != nil {
		s.err = fmt.Errorf("holdings: %w", s.err)
	}
	return s.err
}

func (s *Store) log(tx *bbolt.Tx, r node.Ready, put func(*bbolt.Bucket, []byte, []byte) error) error {
	m, l := tx.Bucket(meta), tx.Bucket(entries)
	key := func(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }
	if r.FleetID != "" {
		if err := put(m, []byte("fleet"), []byte(r.FleetID)); err != nil {
			return err
		}
	}
	if len(r.Log.HardState) > 0 {
		if err := put(m, []byte("hard"), r.Log.HardState); err != nil {
			return err
		}
	}
	if len(r.Log.Entries) > 0 {
		c := l.Cursor()
		for k, _ := c.Seek(key(r.Log.FirstIndex)); k != nil; k, _ = c.Seek(key(r.Log.FirstIndex)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for i, e := range r.Log.Entries {
			if err := put(l, key(r.Log.FirstIndex+uint64(i)), seal(e)); err != nil {
				return err
			}
		}
	}
	if len(r.Log.Snapshot) == 0 {
		return nil
	}
	if err := put(m, []byte("snapshot"), r.Log.Snapshot); err != nil {
		return err
	}
	c := l.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= r.Log.SnapshotIndex; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Size is the file's, in bytes.
func (s *Store) Size() int64 {
	var n int64
	_ = s.db.View(func(tx *bbolt.Tx) error { n = tx.Size(); return nil })
	return n
}

// Close lets go of the file.
func (s *Store) Close() error { return s.db.Close() }

// ---- The form of a record.

var table = crc32.MakeTable(crc32.Castagnoli)

// seal puts a checksum before a text, unseal takes it off.
func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), crc32.Checksum(text, table)), text...)
}

func unseal(text []byte) ([]byte, error) {
	if len(text) < 4 || binary.BigEndian.Uint32(text) != crc32.Checksum(text[4:], table) {
		return nil, errors.New("its checksum is wrong")
	}
	return text[4:], nil
}
