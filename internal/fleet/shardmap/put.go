package shardmap

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Limits of the operators' items. The state's key-value form also has keys for members and configurations; package changefeed limits the
// total.
const (
	MaxKeyBytes   = 256
	MaxValueBytes = 256 << 10
	MaxItems      = 14 << 10
	MaxItemsBytes = 7 << 20 // total size of all keys and values

	maxOperationIDBytes = 64
	maxRecentPuts       = 1024 // number of puts whose results stay known after their keys were put again
)

// Put sets or deletes an item on behalf of an operator.
type Put struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	// Delete deletes the item instead of setting Value.
	Delete bool `json:"g,omitempty"`
	// OperationID is unique among all puts. A retry of a put has the same ID and gets the first attempt's result.
	OperationID string `json:"o"`
	// Conditional rejects the put unless the item's version is ExpectedVersion; 0 requires that the item does not exist.
	Conditional     bool   `json:"y,omitempty"`
	ExpectedVersion uint64 `json:"i,omitempty"`
}

// Item is a value that an operator has put under a key.
type Item struct {
	Value       []byte `json:"v"`
	OperationID string `json:"o"`
	// Version is the version of the state in which the item was put.
	Version uint64 `json:"n"`
}

// PutResult is the result of a put.
type PutResult struct {
	OperationID string `json:"o"`
	// Version is the first version of the state that includes the put; 0 if the put was rejected.
	Version uint64 `json:"n"`
	// Rejection tells operators why the put was not applied; empty if it was.
	Rejection string `json:"r,omitempty"`
}

// Validate checks a put independently of the state.
func (p Put) Validate() error {
	switch {
	case !strings.HasPrefix(p.Key, ConfigPrefix) || len(p.Key) == len(ConfigPrefix):
		return fmt.Errorf("key %q is none of operators': it has to begin with %q and to go on", p.Key, ConfigPrefix)
	case len(p.Key) > MaxKeyBytes:
		return fmt.Errorf("a key of %d bytes; %d are the most", len(p.Key), MaxKeyBytes)
	case strings.ContainsFunc(p.Key, isForbiddenKeyRune):
		return fmt.Errorf("key %q holds spaces or what is no text", p.Key)
	case len(p.Value) > MaxValueBytes:
		return fmt.Errorf("a value of %d bytes; %d are the most", len(p.Value), MaxValueBytes)
	case p.Delete && len(p.Value) > 0:
		return errors.New("a key that is to go has no value")
	case p.OperationID == "" || len(p.OperationID) > maxOperationIDBytes:
		return fmt.Errorf("an operation's name of %d bytes; 1 to %d", len(p.OperationID), maxOperationIDBytes)
	}
	return nil
}

// isForbiddenKeyRune reports whether a character is a control character, a space or the replacement for invalid UTF-8.
func isForbiddenKeyRune(r rune) bool {
	const deleteCharacter = 0x7f
	return r <= ' ' || r == deleteCharacter || r == utf8.RuneError
}

// PutResult returns the result of an applied put. It returns false if the put was not applied, or so long ago that its result is forgotten.
func (s *State) PutResult(operationID string) (PutResult, bool) {
	for _, result := range slices.Backward(s.RecentPuts) {
		if result.OperationID == operationID {
			return result, true
		}
	}
	for _, item := range s.Items {
		if item.OperationID == operationID {
			return PutResult{OperationID: operationID, Version: item.Version}, true
		}
	}
	return PutResult{}, false
}

// applyPut applies or rejects a put; version is the version of the state that the put becomes part of. It also returns whether the state
// has changed.
func (s *State) applyPut(p Put, version uint64) (result PutResult, changed bool) {
	if err := p.Validate(); err != nil {
		return PutResult{OperationID: p.OperationID, Rejection: err.Error()}, false
	}
	if earlier, applied := s.PutResult(p.OperationID); applied {
		return earlier, false
	}
	if err := s.checkPut(p); err != nil {
		return PutResult{OperationID: p.OperationID, Rejection: err.Error()}, false
	}
	if p.Delete {
		delete(s.Items, p.Key)
	} else {
		s.setItem(p, version)
	}
	result = PutResult{OperationID: p.OperationID, Version: version}
	s.RecentPuts = append(s.RecentPuts, result)
	if excess := len(s.RecentPuts) - maxRecentPuts; excess > 0 {
		s.RecentPuts = slices.Delete(s.RecentPuts, 0, excess)
	}
	return result, true
}

// checkPut checks a put against the current state.
func (s *State) checkPut(p Put) error {
	if s.FleetID == "" {
		return errors.New("the fleet is not founded")
	}
	current, exists := s.Items[p.Key]
	if p.Conditional && p.ExpectedVersion != current.Version {
		return fmt.Errorf("version %d of %s is in force, not %d", current.Version, p.Key, p.ExpectedVersion)
	}
	if p.Delete {
		if !exists {
			return fmt.Errorf("there is no %s", p.Key)
		}
		return nil
	}
	if size := s.itemsBytesAfter(p); !exists && len(s.Items) >= MaxItems || size > MaxItemsBytes {
		return fmt.Errorf("full: %d items of %d bytes; the most are %d and %d", len(s.Items), size, MaxItems, MaxItemsBytes)
	}
	return nil
}

// itemsBytesAfter returns the total size of all items' keys and values after a put.
func (s *State) itemsBytesAfter(p Put) int {
	size := len(p.Key) + len(p.Value)
	for key, item := range s.Items {
		if key != p.Key {
			size += len(key) + len(item.Value)
		}
	}
	return size
}

func (s *State) setItem(p Put, version uint64) {
	if s.Items == nil {
		s.Items = map[string]Item{}
	}
	s.Items[p.Key] = Item{Value: slices.Clone(p.Value), OperationID: p.OperationID, Version: version}
}
