package changefeed

import (
	"fmt"
	"slices"
	"strings"
)

// State is a versioned set of items. It changes only as a whole, by changes and snapshots.
type State struct {
	items       map[string][]byte // values by key
	version     uint64            // number of changes that led to the state
	itemsDigest uint64            // sum of hashItem over all items
	bytes       int               // total length of all keys and values
}

// NewState returns the empty state, which has version 0 and digest 0.
func NewState() *State { return &State{items: map[string][]byte{}} }

// Version returns the number of changes that led to the state.
func (s *State) Version() uint64 { return s.version }

// Digest returns a hash of the items and the version. It does not depend on the changes or snapshots that led to the state.
func (s *State) Digest() uint64 { return s.itemsDigest + mixBits(s.version) }

// Fleet returns the ID of the fleet that the state belongs to, empty until it is known.
func (s *State) Fleet() string { return string(s.items[FleetKey]) }

// Len returns the number of keys.
func (s *State) Len() int { return len(s.items) }

// Bytes returns the total length of all keys and values.
func (s *State) Bytes() int { return s.bytes }

// Get returns the value of a key and whether the key exists. The caller must not modify the value.
func (s *State) Get(key string) ([]byte, bool) {
	value, ok := s.items[key]
	return value, ok
}

// Items returns the items whose keys begin with a prefix, ordered by key. It scans all keys of the state.
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

// evaluateItems validates the items of a change, and returns the items digest and the number of bytes that the state would have after it.
func (s *State) evaluateItems(items []Item) (itemsDigest uint64, bytes int, err error) {
	itemsDigest = s.itemsDigest
	bytes = s.bytes
	keys := len(s.items)
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if err := CheckItem(item); err != nil {
			return 0, 0, err
		}
		if seen[item.Key] {
			return 0, 0, fmt.Errorf("%w: key %q occurs twice", ErrInvalidItem, item.Key)
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

// nextChange returns the change that applies items to the state, without applying it. An error wraps ErrInvalidItem, ErrFull or
// ErrForeignFleet.
func (s *State) nextChange(items []Item) (Change, error) {
	itemsDigest, _, err := s.evaluateItems(items)
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

// Apply applies the next change completely, or returns an error and leaves the state unchanged.
func (s *State) Apply(change Change) error {
	switch {
	case change.Version == s.version && change.DigestAfter != s.Digest():
		return fmt.Errorf("%w: change to version %d with digest %016x, here %016x", ErrConflict, change.Version, change.DigestAfter, s.Digest())
	case change.Version != s.version+1:
		return fmt.Errorf("%w: change to version %d, the state is at version %d", ErrOutOfOrder, change.Version, s.version)
	case change.DigestBefore != s.Digest():
		return fmt.Errorf("%w: change to version %d was made for a state with digest %016x, here %016x", ErrDigestMismatch, change.Version, change.DigestBefore, s.Digest())
	}
	itemsDigest, bytes, err := s.evaluateItems(change.Items)
	if err != nil {
		return err
	}
	if digest := itemsDigest + mixBits(change.Version); digest != change.DigestAfter {
		return fmt.Errorf("%w: change to version %d results in digest %016x, announced was %016x", ErrDigestMismatch, change.Version, digest, change.DigestAfter)
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

// Install replaces the state by a newer snapshot. It returns ErrOutOfOrder for an older snapshot, and changes nothing for a snapshot of the
// same version and digest. After an error the state is unchanged.
func (s *State) Install(snapshot Snapshot) error {
	switch {
	case s.Fleet() != "" && snapshot.Fleet != s.Fleet():
		return fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, snapshot.Fleet, s.Fleet())
	case snapshot.Version < s.version:
		return fmt.Errorf("%w: snapshot of version %d, the state is at version %d", ErrOutOfOrder, snapshot.Version, s.version)
	case snapshot.Version == s.version && snapshot.Digest != s.Digest():
		return fmt.Errorf("%w: snapshot of version %d with digest %016x, here %016x", ErrConflict, snapshot.Version, snapshot.Digest, s.Digest())
	case snapshot.Version == s.version:
		return nil
	}
	installed, err := stateFromSnapshot(snapshot)
	if err != nil {
		return err
	}
	*s = *installed
	return nil
}

// stateFromSnapshot builds the state that a snapshot describes. It validates the items and verifies the snapshot's digest and fleet.
func stateFromSnapshot(snapshot Snapshot) (*State, error) {
	state := &State{items: make(map[string][]byte, len(snapshot.Items)), version: snapshot.Version}
	var err error
	if state.itemsDigest, state.bytes, err = state.evaluateItems(snapshot.Items); err != nil {
		return nil, err
	}
	for _, item := range snapshot.Items {
		if item.Deleted {
			return nil, fmt.Errorf("%w: snapshot has a deleted key %q", ErrInvalidItem, item.Key)
		}
		state.items[item.Key] = item.Value
	}
	if state.Digest() != snapshot.Digest {
		return nil, fmt.Errorf("%w: snapshot of version %d results in digest %016x, announced was %016x", ErrDigestMismatch, snapshot.Version, state.Digest(), snapshot.Digest)
	}
	if state.Fleet() != snapshot.Fleet {
		return nil, fmt.Errorf("%w: snapshot with the items of fleet %q is announced as of fleet %q", ErrForeignFleet, state.Fleet(), snapshot.Fleet)
	}
	return state, nil
}
