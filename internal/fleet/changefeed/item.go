package changefeed

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a state. A change that would exceed them is rejected with ErrFull where it is made.
const (
	MaxKeyBytes   = 256       // of one key; a key has at least one byte
	MaxValueBytes = 256 << 10 // of one value
	MaxStateBytes = 8 << 20   // of all keys and values together
	MaxKeys       = 16384
)

// Keys that the changefeed itself reads. Operators' keys begin with ConfigPrefix.
const (
	FleetKey     = "fleet"   // the fleet's ID as plain bytes; once set it never changes
	MemberPrefix = "member/" // followed by the ID of a control process; the value is the JSON of a shardmap.Member
	ConfigPrefix = "config/"
)

// Encoding overhead that sizes account for, in bytes.
const (
	messageOverhead = 40
	itemOverhead    = 10
)

// Item is the value of one key. Values are shared between all holders and never modified.
type Item struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Deleted bool   `cbor:"3,keyasint,omitempty"` // only in a change: the key is removed
}

// Change leads from the version before it to its own.
type Change struct {
	Version      uint64 `cbor:"1,keyasint"`
	DigestBefore uint64 `cbor:"2,keyasint"`           // of the whole state, before the change
	DigestAfter  uint64 `cbor:"3,keyasint"`           // of the whole state, after the change
	Items        []Item `cbor:"4,keyasint,omitempty"` // at most one for each key
}

// Snapshot is a complete state, its items ordered by key.
type Snapshot struct {
	Fleet   string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint"`
	Digest  uint64 `cbor:"3,keyasint"`
	Items   []Item `cbor:"4,keyasint,omitempty"`
}

// NewSnapshot returns a snapshot of a state that was not built by a Log. The items have to be ordered by key; their values are shared.
// A State installs no snapshot with items that it would not accept.
func NewSnapshot(fleet string, version uint64, items []Item) *Snapshot {
	digest := uint64(0)
	for _, item := range items {
		digest += hashItem(item.Key, item.Value)
	}
	return &Snapshot{Fleet: fleet, Version: version, Digest: digest + mixBits(version), Items: items}
}

// Size is the number of bytes that the change counts for where bytes are bounded: keys, values and encoding overhead.
func (c *Change) Size() int { return itemsSize(c.Items) }

// Size is the number of bytes that the snapshot counts for where bytes are bounded: keys, values and encoding overhead.
func (s *Snapshot) Size() int { return itemsSize(s.Items) }

func itemsSize(items []Item) int {
	size := messageOverhead
	for _, item := range items {
		size += len(item.Key) + len(item.Value) + itemOverhead
	}
	return size
}

// CheckItem validates an item. The error is ErrInvalidItem or ErrFull and names the key.
func CheckItem(item Item) error {
	switch {
	case item.Key == "" || len(item.Key) > MaxKeyBytes:
		return fmt.Errorf("%w: a key of %d bytes, 1 to %d are allowed", ErrInvalidItem, len(item.Key), MaxKeyBytes)
	case !utf8.ValidString(item.Key) || strings.ContainsFunc(item.Key, unicode.IsControl):
		return fmt.Errorf("%w: key %q is not plain text", ErrInvalidItem, item.Key)
	case item.Deleted && len(item.Value) > 0:
		return fmt.Errorf("%w: key %q is gone and has a value", ErrInvalidItem, item.Key)
	case len(item.Value) > MaxValueBytes:
		return fmt.Errorf("%w: key %q has %d bytes, at most %d are allowed", ErrFull, item.Key, len(item.Value), MaxValueBytes)
	}
	return nil
}
