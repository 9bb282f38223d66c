package changefeed

import (
	"fmt"
	"slices"
	"strings"
)

// State is the set of all items at one version.
type State struct {
	items       map[string][]byte
	version     uint64
	itemsDigest uint64 // sum of the items' hashes
	bytes       int    // of all keys and values
}

// NewState returns the empty state: version 0, digest 0.
func NewState() *State { return &State{items: map[string][]byte{}} }

// Version is the number of changes that led to the state.
func (s *State) Version() uint64 { return s.version }

// Digest identifies the content and the version, independently of the changes or snapshots that led there.
func (s *State) Digest() uint64 { return s.itemsDigest + mixBits(s.version) }

// Fleet is the ID of the fleet that the state belongs to, empty before it is known.
func (s *State) Fleet() string { return string(s.items[FleetKey]) }

// Len is the number of keys.
func (s *State) Len() int { return len(s.items) }

// Bytes is the number of bytes of all keys and values.
func (s *State) Bytes() int { return s.bytes }

// Get returns the value of a key, which must not be modified.
func (s *State) Get(key string) ([]byte, bool) {
	value, ok := s.items[key]
	return value, ok
}

// Items returns the items whose keys begin with a prefix, ordered by key. It visits all keys.
func (s *State) Items(prefix string) []Item {
	var items []Item
	for key, value := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, Item{Key: key, Value: value})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// evaluate validates items and returns the digest of all items and the number of bytes that the state would have with them.
func (s *State) evaluate(items []Item) (itemsDigest uint64, bytes int, err error) {
	itemsDigest = s.itemsDigest
	bytes = s.bytes
	keys := len(s.items)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if err := CheckItem(item); err != nil {
			return 0, 0, err
		}
		if seen[item.Key] {
			return 0, 0, fmt.Errorf("%w: key %q is there twice", ErrInvalidItem, item.Key)
		}
		seen[item.Key] = true
		old, exists := s.items[item.Key]
		if item.Key == FleetKey && exists && (item.Deleted || string(old) != string(item.Value)) {
			return 0, 0, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, item.Value, old)
		}
		if exists {
			itemsDigest -= hashItem(item.Key, old)
			bytes -= len(item.Key) + len(old)
			keys--
		}
		if !item.Deleted {
			itemsDigest += hashItem(item.Key, item.Value)
			bytes += len(item.Key) + len(item.Value)
			keys++
		}
	}
	if bytes > MaxStateBytes || keys > MaxKeys {
		return 0, 0, fmt.Errorf("%w: %d bytes in %d keys, at most %d in %d are allowed", ErrFull, bytes, keys, MaxStateBytes, MaxKeys)
	}
	return itemsDigest, bytes, nil
}

// nextChange returns the change that items would make. The error is ErrInvalidItem, ErrFull or ErrForeignFleet.
func (s *State) nextChange(items []Item) (Change, error) {
	itemsDigest, _, err := s.evaluate(items)
	if err != nil {
		return Change{}, err
	}
	version := s.version + 1
	return Change{
		Version:      version,
		DigestBefore: s.Digest(),
		DigestAfter:  itemsDigest + mixBits(version),
		Items:        items,
	}, nil
}

// Apply applies the next change completely, or returns an error and leaves the state as it was.
func (s *State) Apply(change Change) error {
	switch {
	case change.Version == s.version && change.DigestAfter != s.Digest():
		return fmt.Errorf("%w: version %d with digest %016x, here %016x", ErrConflict, change.Version, change.DigestAfter, s.Digest())
	case change.Version != s.version+1:
		return fmt.Errorf("%w: version %d after %d", ErrOutOfOrder, change.Version, s.version)
	case change.DigestBefore != s.Digest():
		return fmt.Errorf("%w: version %d is of %016x, here is %016x", ErrDigestMismatch, change.Version, change.DigestBefore, s.Digest())
	}
	itemsDigest, bytes, err := s.evaluate(change.Items)
	if err != nil {
		return err
	}
	if digest := itemsDigest + mixBits(change.Version); digest != change.DigestAfter {
		return fmt.Errorf("%w: version %d comes out as %016x, not as %016x", ErrDigestMismatch, change.Version, digest, change.DigestAfter)
	}
	for _, item := range change.Items {
		if item.Deleted {
			delete(s.items, item.Key)
		} else {
			s.items[item.Key] = item.Value
		}
	}
	s.version = change.Version
	s.itemsDigest = itemsDigest
	s.bytes = bytes
	return nil
}

// Install replaces the state by a snapshot. An older snapshot is ErrOutOfOrder; one of the same version and content changes nothing.
func (s *State) Install(snapshot Snapshot) error {
	switch {
	case s.Fleet() != "" && snapshot.Fleet != s.Fleet():
		return fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, snapshot.Fleet, s.Fleet())
	case snapshot.Version < s.version:
		return fmt.Errorf("%w: a snapshot of %d over %d", ErrOutOfOrder, snapshot.Version, s.version)
	case snapshot.Version == s.version && snapshot.Digest != s.Digest():
		return fmt.Errorf("%w: a snapshot of version %d with digest %016x, here %016x", ErrConflict, snapshot.Version, snapshot.Digest, s.Digest())
	case snapshot.Version == s.version:
		return nil
	}
	installed, err := stateOf(snapshot)
	if err != nil {
		return err
	}
	*s = *installed
	return nil
}

// stateOf builds the state that a snapshot describes, and verifies its digest and its fleet.
func stateOf(snapshot Snapshot) (*State, error) {
	state := &State{items: make(map[string][]byte, len(snapshot.Items)), version: snapshot.Version}
	var err error
	if state.itemsDigest, state.bytes, err = state.evaluate(snapshot.Items); err != nil {
		return nil, err
	}
	for _, item := range snapshot.Items {
		if item.Deleted {
			return nil, fmt.Errorf("%w: key %q is deleted in a snapshot", ErrInvalidItem, item.Key)
		}
		state.items[item.Key] = item.Value
	}
	if state.Digest() != snapshot.Digest {
		return nil, fmt.Errorf("%w: a snapshot of version %d comes out as %016x, not as %016x", ErrDigestMismatch, snapshot.Version, state.Digest(), snapshot.Digest)
	}
	if state.Fleet() != snapshot.Fleet {
		return nil, fmt.Errorf("%w: a snapshot of %q says that it is of %q", ErrForeignFleet, state.Fleet(), snapshot.Fleet)
	}
	return state, nil
}
