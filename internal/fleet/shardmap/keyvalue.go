package shardmap

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The state as a map from keys to bytes is what package changefeed sends to balancers. These are its keys.
const (
	FleetKey = "fleet"
	EpochKey = "epoch"
	// ConfigPrefix begins the keys of operators' items.
	ConfigPrefix = itemKind + "/"

	memberPrefix        = memberKind + "/"
	configurationPrefix = configurationKind + "/"
)

// The part of a key before its first slash.
const (
	itemKind          = "config"
	memberKind        = "member"
	configurationKind = "view"
)

func configurationKey(shard int) string { return configurationPrefix + strconv.Itoa(shard) }

// ShardFromKey is the shard whose configuration is stored under a key; false for other keys.
func ShardFromKey(key string) (int, bool) {
	digits, hasPrefix := strings.CutPrefix(key, configurationPrefix)
	shard, err := strconv.Atoi(digits)
	return shard, hasPrefix && err == nil && isShard(shard)
}

// MemberKey is the key of a member.
func MemberKey(id string) string { return memberPrefix + id }

// Keys are all keys of the state as a map, sorted.
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

// Value is what is stored under a key of the state as a map; false where nothing is. Equal states have equal bytes.
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

// SetValue sets what is stored under a key of the state as a map, or removes it. Operators' items and unknown keys are ignored. A key
// or value that can't be read is an error, and changes nothing.
func (s *State) SetValue(key string, value []byte, deleted bool) error {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case FleetKey:
		s.FleetID = string(value)
	case EpochKey:
		epoch, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
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
		return fmt.Errorf("%s: %w", key, err)
	}
	if m.ID != id {
		return fmt.Errorf("%s: it is member %q", key, m.ID)
	}
	i, found := s.memberIndex(id)
	s.Members = slices.Clone(s.Members) // others may have the old list
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
		return fmt.Errorf("%s: there is no such shard", key)
	}
	var c Configuration
	if !deleted {
		if err := json.Unmarshal(value, &c); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	s.Configurations[shard] = c
	return nil
}
