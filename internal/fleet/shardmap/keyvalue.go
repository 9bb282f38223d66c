package shardmap

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Keys of the state's key-value form, which package changefeed sends to balancers.
const (
	FleetKey = "fleet"
	EpochKey = "epoch"
	// ConfigPrefix is the prefix of the keys of the operators' items.
	ConfigPrefix = itemKind + "/"

	memberPrefix        = memberKind + "/"
	configurationPrefix = configurationKind + "/"
)

// Kinds of keys. A key's kind is its part before the first slash.
const (
	itemKind          = "config"
	memberKind        = "member"
	configurationKind = "view"
)

func configurationKey(shard int) string { return configurationPrefix + strconv.Itoa(shard) }

// ShardFromKey returns the shard whose configuration a key stands for; false for other keys.
func ShardFromKey(key string) (int, bool) {
	digits, hasPrefix := strings.CutPrefix(key, configurationPrefix)
	shard, err := strconv.Atoi(digits)
	return shard, hasPrefix && err == nil && isShard(shard)
}

// MemberKey returns a member's key.
func MemberKey(id string) string { return memberPrefix + id }

// Keys returns all keys of the state's key-value form, sorted.
func (s *State) Keys() []string {
	var keys []string
	if s.FleetID != "" {
		keys = append(keys, FleetKey)
	}
	if s.Epoch > 0 {
		keys = append(keys, EpochKey)
	}
	for _, m := range s.Members {
		keys = append(keys, MemberKey(m.ID))
	}
	for shard, c := range s.Configurations {
		if c.Number > 0 {
			keys = append(keys, configurationKey(shard))
		}
	}
	for key := range s.Items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Value returns the value of a key of the state's key-value form, false if it has none. Equal states have the same bytes as values.
func (s *State) Value(key string) ([]byte, bool) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case FleetKey:
		return []byte(s.FleetID), s.FleetID != ""
	case EpochKey:
		return strconv.AppendUint(nil, s.Epoch, 10), s.Epoch > 0
	case memberKind:
		i, found := s.memberIndex(name)
		if !found {
			return nil, false
		}
		return marshal(s.Members[i]), true
	case configurationKind:
		shard, err := strconv.Atoi(name)
		if err != nil || !isShard(shard) || s.Configurations[shard].Number == 0 {
			return nil, false
		}
		return marshal(s.Configurations[shard]), true
	case itemKind:
		item, found := s.Items[key]
		return item.Value, found
	}
	return nil, false
}

// SetValue sets or deletes the value of a key of the state's key-value form. Operators' items and unknown keys are ignored. It returns an
// error and changes nothing if the key or the value can't be decoded.
func (s *State) SetValue(key string, value []byte, deleted bool) error {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case FleetKey:
		s.FleetID = string(value)
	case EpochKey:
		epoch, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("decode the epoch under key %q: %w", key, err)
		}
		s.Epoch = epoch
	case memberKind:
		if deleted {
			s.removeMember(name)
			return nil
		}
		return s.setMember(key, name, value)
	case configurationKind:
		return s.setConfiguration(key, name, value, deleted)
	}
	return nil
}

// memberIndex returns a member's index in Members, or the index to insert it at and false.
func (s *State) memberIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(s.Members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}

func (s *State) removeMember(id string) {
	if i, found := s.memberIndex(id); found {
		s.Members = slices.Delete(slices.Clone(s.Members), i, i+1)
	}
}

func (s *State) setMember(key, id string, value []byte) error {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return fmt.Errorf("decode the member under key %q: %w", key, err)
	}
	if m.ID != id {
		return fmt.Errorf("key %q has a value of another member, %q", key, m.ID)
	}
	i, found := s.memberIndex(id)
	s.Members = slices.Clone(s.Members) // the old list may be in use elsewhere
	if found {
		s.Members[i] = m
	} else {
		s.Members = slices.Insert(s.Members, i, m)
	}
	return nil
}

func (s *State) setConfiguration(key, name string, value []byte, deleted bool) error {
	shard, err := strconv.Atoi(name)
	if err != nil || !isShard(shard) {
		return fmt.Errorf("key %q does not name a shard", key)
	}
	var c Configuration
	if !deleted {
		if err := json.Unmarshal(value, &c); err != nil {
			return fmt.Errorf("decode the configuration under key %q: %w", key, err)
		}
	}
	s.Configurations[shard] = c
	return nil
}
