package changefeed

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Size limits of a state. A key without a valid length is rejected with ErrInvalidItem; a change that would exceed another limit is
// rejected with ErrFull.
const (
	MaxKeyBytes   = 256       // maximum length of a key; the minimum is one byte
	MaxValueBytes = 256 << 10 // maximum length of a value
	MaxStateBytes = 8 << 20   // maximum total length of all keys and values
	MaxKeys       = 16384     // maximum number of keys
)

// Keys and key prefixes with a meaning. The changefeed itself reads the fleet's ID and the members.
const (
	FleetKey     = "fleet"   // key of the fleet's ID, stored as plain bytes; once set, it never changes
	MemberPrefix = "member/" // prefix of a member's key, followed by the ID of a control process; the value is a shardmap.Member as JSON
	ConfigPrefix = "config/" // prefix of the keys that operators set
)

// Estimated encoding overhead in bytes, which Size adds to the length of keys and values.
const (
	messageOverhead = 40 // bytes of overhead of a message
	itemOverhead    = 10 // bytes of overhead of an item
)

// Item is a key with its value, or a deletion of the key. Values are shared between states and messages, so they are never modified.
type Item struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Deleted bool   `cbor:"3,keyasint,omitempty"` // the key is removed; only in a Change
}

// Change is the set of items that leads from version Version-1 of a state to Version.
type Change struct {
	Version      uint64 `cbor:"1,keyasint"`
	DigestBefore uint64 `cbor:"2,keyasint"`           // digest of the whole state before the change
	DigestAfter  uint64 `cbor:"3,keyasint"`           // digest of the whole state after the change
	Items        []Item `cbor:"4,keyasint,omitempty"` // the items that change, at most one for each key
}

// Snapshot is the complete state at one version, with its items ordered by key.
type Snapshot struct {
	Fleet   string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  uint64 `cbor:"3,keyasint"`
	Items   []Item `cbor:"4,keyasint,omitempty"`
}

// NewSnapshot returns a snapshot of items that do not come from a Log. The items have to be ordered by key; their values are shared, not
// copied. The items are not validated here but when a State installs the snapshot.
func NewSnapshot(fleet string, version uint64, items []Item) *Snapshot {
	digest := uint64(0)
	for _, item := range items {
		digest += hashItem(item.Key, item.Value)
	}
	return &Snapshot{Fleet: fleet, Version: version, Digest: digest + mixBits(version), Items: items}
}

// Size returns the estimated encoded size of the change in bytes: keys, values and encoding overhead. Windows and rate limits count it.
func (c *Change) Size() int { return itemsSize(c.Items) }

// Size returns the estimated encoded size of the snapshot in bytes: keys, values and encoding overhead. Windows and rate limits count it.
func (s *Snapshot) Size() int { return itemsSize(s.Items) }

func itemsSize(items []Item) int {
	size := messageOverhead
	for _, item := range items {
		size += len(item.Key) + len(item.Value) + itemOverhead
	}
	return size
}

// CheckItem validates an item. The error wraps ErrInvalidItem or ErrFull.
func CheckItem(item Item) error {
	switch {
	case item.Key == "" || len(item.Key) > MaxKeyBytes:
		return fmt.Errorf("%w: key of %d bytes, 1 to %d are allowed", ErrInvalidItem, len(item.Key), MaxKeyBytes)
	case !utf8.ValidString(item.Key) || strings.ContainsFunc(item.Key, unicode.IsControl):
		return fmt.Errorf("%w: key %q is not plain text", ErrInvalidItem, item.Key)
	case item.Deleted && len(item.Value) > 0:
		return fmt.Errorf("%w: deleted key %q has a value", ErrInvalidItem, item.Key)
	case len(item.Value) > MaxValueBytes:
		return fmt.Errorf("%w: value of key %q has %d bytes, at most %d are allowed", ErrFull, item.Key, len(item.Value), MaxValueBytes)
	}
	return nil
}
