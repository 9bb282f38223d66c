// Package changefeed is how what the control tier agrees on comes to those that follow it: one versioned state, the changes that lead from
// version to version, what a relay (a control process) sends to whom, and what a follower (a balancer) takes and whom it follows. It
// is pure: events and a time in, actions out, so that virtual time runs what ships. It must never read a clock, open a socket, draw
// chance that was not handed in, apply half a change, mix two ways to a version, or go back to an older one.
//
// Times are of one machine's clock that goes on while the process is stopped. What two machines say of each other's time is spans
// alone; their clocks may differ, and must run at the same pace but for what a lease leaves unnoticed.
//
// Each core is one goroutine's. What grows with what: a State and a Log with the items (bounded by MostBytes and MostKeys, the log's
// ring by its LogConfig); a Relay with its own followers (bounded by RelayConfig.Most); a Follower with the list of relays alone.
package changefeed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a state. What would go beyond is refused whole, with ErrFull, at whoever would make it.
const (
	MaxKeyBytes   = 256       // bytes of a key, at least one
	MaxValueBytes = 256 << 10 // bytes of a value
	MaxStateBytes = 8 << 20   // of all keys and values together
	MaxKeys       = 16384
)

// Keys that feed itself reads. Operators' keys begin with ConfigPrefix.
const (
	FleetKey     = "fleet"   // the fleet's ID, as plain bytes; once set it never changes
	MemberPrefix = "member/" // then the ID of a control process; the value is the JSON of a views.Member
	ConfigPrefix = "config/"
)

// Why a change or a snapshot is refused. Whatever is refused leaves the state as it was.
var (
	ErrOutOfOrder     = errors.New("not the next version")               // old, or with a gap before it
	ErrDigestMismatch = errors.New("digests differ")                     // the digest before is not the state's, or the one after is not what came out
	ErrConflict       = errors.New("the same version, of other content") // two histories exist
	ErrFull           = errors.New("the state is full")
	ErrInvalidItem    = errors.New("not an item")
	ErrForeignFleet   = errors.New("of another fleet")
)

// Item is one key's value. Values are shared between all who hold them, and never changed.
type Item struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Deleted bool   `cbor:"3,keyasint,omitempty"` // in a change: the key is no more
}

// Change leads from the version before it to its own.
type Change struct {
	Version      uint64 `cbor:"1,keyasint"`
	DigestBefore uint64 `cbor:"2,keyasint"` // digests of the whole state
	DigestAfter  uint64 `cbor:"3,keyasint"`
	Items        []Item `cbor:"4,keyasint,omitempty"` // each key once
}

// Snapshot is a whole state, its items by key.
type Snapshot struct {
	Fleet   string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  uint64 `cbor:"3,keyasint"`
	Items   []Item `cbor:"4,keyasint,omitempty"`
}

// Size is what a change or snapshot counts for where bytes are bounded: keys and values, and what they are worded with.
func (c *Change) Size() int   { return itemsSize(c.Items) }
func (s *Snapshot) Size() int { return itemsSize(s.Items) }

func itemsSize(items []Item) int {
	n := 40
	for _, i := range items {
		n += len(i.Key) + len(i.Value) + 10
	}
	return n
}

// CheckItem tells what is wrong with an item: an error that is ErrItem or ErrFull, and names the key.
func CheckItem(i Item) error {
	switch {
	case i.Key == "" || len(i.Key) > MaxKeyBytes:
		return fmt.Errorf("%w: a key of %d bytes, 1 to %d are allowed", ErrInvalidItem, len(i.Key), MaxKeyBytes)
	case !utf8.ValidString(i.Key) || strings.ContainsFunc(i.Key, unicode.IsControl):
		return fmt.Errorf("%w: key %q is not plain text", ErrInvalidItem, i.Key)
	case i.Deleted && len(i.Value) > 0:
		return fmt.Errorf("%w: key %q is gone and has a value", ErrInvalidItem, i.Key)
	case len(i.Value) > MaxValueBytes:
		return fmt.Errorf("%w: key %q has %d bytes, at most %d are allowed", ErrFull, i.Key, len(i.Value), MaxValueBytes)
	}
	return nil
}

// State is all items at one version.
type State struct {
	items       map[string][]byte
	version     uint64
	itemsDigest uint64 // of the items' hashes
	bytes       int
}

// NewState is the state before anything is known: version 0, digest 0.
func NewState() *State { return &State{items: map[string][]byte{}} }

// Version counts the changes that led here; Digest tells two states apart, whatever way they were come by.
func (s *State) Version() uint64 { return s.version }
func (s *State) Digest() uint64  { return s.itemsDigest + mixBits(s.version) }

// Fleet is the ID of the fleet that this is of, empty before it is known.
func (s *State) Fleet() string { return string(s.items[FleetKey]) }

// Len is the number of keys, Bytes that of their bytes and their values'.
func (s *State) Len() int   { return len(s.items) }
func (s *State) Bytes() int { return s.bytes }

// Get is a key's value, not to be changed.
func (s *State) Get(key string) ([]byte, bool) {
	v, is := s.items[key]
	return v, is
}

// Items are the items whose keys begin with a prefix, by key. It goes through all keys.
func (s *State) Items(prefix string) []Item {
	var all []Item
	for k, v := range s.items {
		if strings.HasPrefix(k, prefix) {
			all = append(all, Item{Key: k, Value: v})
		}
	}
	slices.SortFunc(all, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// hashItem is an item's part of the digest.
func hashItem(key string, value []byte) uint64 {
	return mixBits(xxhash.Sum64String(key)*0x9e3779b97f4a7c15 + bits.RotateLeft64(xxhash.Sum64(value), 17))
}

// mixBits spreads each bit over all; 0 stays 0, so that nothing at version 0 has the digest 0.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// evaluate is what a state would be with these items in it, nothing done yet.
func (s *State) evaluate(items []Item) (sum uint64, bytes int, err error) {
	sum, bytes = s.itemsDigest, s.bytes
	keys := len(s.items)
	seen := make(map[string]bool, len(items))
	for _, i := range items {
		if err := CheckItem(i); err != nil {
			return 0, 0, err
		}
		if seen[i.Key] {
			return 0, 0, fmt.Errorf("%w: key %q is there twice", ErrInvalidItem, i.Key)
		}
		seen[i.Key] = true
		old, is := s.items[i.Key]
		if i.Key == FleetKey && is && (i.Deleted || string(old) != string(i.Value)) {
			return 0, 0, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, i.Value, old)
		}
		if is {
			sum -= hashItem(i.Key, old)
			bytes -= len(i.Key) + len(old)
			keys--
		}
		if !i.Deleted {
			sum += hashItem(i.Key, i.Value)
			bytes += len(i.Key) + len(i.Value)
			keys++
		}
	}
	if bytes > MaxStateBytes || keys > MaxKeys {
		return 0, 0, fmt.Errorf("%w: %d bytes in %d keys, at most %d in %d are allowed", ErrFull, bytes, keys, MaxStateBytes, MaxKeys)
	}
	return sum, bytes, nil
}

// nextChange is the change that these items would make. ErrItem, ErrFull, ErrFleet.
func (s *State) nextChange(items []Item) (Change, error) {
	sum, _, err := s.evaluate(items)
	if err != nil {
		return Change{}, err
	}
	return Change{Version: s.version + 1, DigestBefore: s.Digest(), DigestAfter: sum + mixBits(s.version+1), Items: items}, nil
}

// Apply takes the next change, whole or not at all.
func (s *State) Apply(c Change) error {
	switch {
	case c.Version == s.version && c.DigestAfter != s.Digest():
		return fmt.Errorf("%w: version %d with digest %016x, here %016x", ErrConflict, c.Version, c.DigestAfter, s.Digest())
	case c.Version != s.version+1:
		return fmt.Errorf("%w: version %d after %d", ErrOutOfOrder, c.Version, s.version)
	case c.DigestBefore != s.Digest():
		return fmt.Errorf("%w: version %d is of %016x, here is %016x", ErrDigestMismatch, c.Version, c.DigestBefore, s.Digest())
	}
	sum, bytes, err := s.evaluate(c.Items)
	if err != nil {
		return err
	}
	if got := sum + mixBits(c.Version); got != c.DigestAfter {
		return fmt.Errorf("%w: version %d comes out as %016x, not as %016x", ErrDigestMismatch, c.Version, got, c.DigestAfter)
	}
	for _, i := range c.Items {
		if i.Deleted {
			delete(s.items, i.Key)
		} else {
			s.items[i.Key] = i.Value
		}
	}
	s.version, s.itemsDigest, s.bytes = c.Version, sum, bytes
	return nil
}

// Install replaces all by a snapshot. An older one is ErrOrder, the one that is there already does nothing.
func (s *State) Install(n Snapshot) error {
	switch {
	case s.Fleet() != "" && n.Fleet != s.Fleet():
		return fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, n.Fleet, s.Fleet())
	case n.Version < s.version:
		return fmt.Errorf("%w: a snapshot of %d over %d", ErrOutOfOrder, n.Version, s.version)
	case n.Version == s.version && n.Digest != s.Digest():
		return fmt.Errorf("%w: a snapshot of version %d with digest %016x, here %016x", ErrConflict, n.Version, n.Digest, s.Digest())
	case n.Version == s.version:
		return nil
	}
	next := &State{items: make(map[string][]byte, len(n.Items)), version: n.Version}
	var err error
	if next.itemsDigest, next.bytes, err = next.evaluate(n.Items); err != nil {
		return err
	}
	for _, i := range n.Items {
		if i.Deleted {
			return fmt.Errorf("%w: key %q is gone in a snapshot", ErrInvalidItem, i.Key)
		}
		next.items[i.Key] = i.Value
	}
	if next.Digest() != n.Digest {
		return fmt.Errorf("%w: a snapshot of version %d comes out as %016x, not as %016x", ErrDigestMismatch, n.Version, next.Digest(), n.Digest)
	}
	if next.Fleet() != n.Fleet {
		return fmt.Errorf("%w: a snapshot of %q says that it is of %q", ErrForeignFleet, next.Fleet(), n.Fleet)
	}
	*s = *next
	return nil
}

// rendezvousScore ranks a relay for a follower: each follower has a ranking of its own, so that those of a lost relay spread over all.
func rendezvousScore(follower, relay string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(relay))
	d := xxhash.New()
	_, _ = d.WriteString(follower)
	_, _ = d.Write(b[:])
	return mixBits(d.Sum64())
}
