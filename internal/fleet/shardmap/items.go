// This file owns what operators put into the agreed state, and the state as a map from key to bytes, which is what balancers
// that follow it are sent.

package shardmap

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Keys of the state as a map.
const (
	FleetKey   = "fleet"
	EpochKey   = "epoch"
	ItemPrefix = "config/" // begins each of operators'

	keyMember = "member/"
	viewKey   = "view/"
)

// Bounds of what operators put. The state as a map holds somewhat more, for members and views (package feed bounds that).
const (
	MaxKeyBytes   = 256       // bytes of a key
	MaxValueBytes = 256 << 10 // bytes of one value
	MaxItems      = 14 << 10
	MaxItemsBytes = 7 << 20 // of all keys and values together
	mostOp        = 64      // bytes of an operation's name
	mostOps       = 1024    // newest puts that are known by their operation after their keys were put again
)

// Put is a change of one of operators' items.
type Put struct {
	Key             string `json:"k"`
	Value           []byte `json:"v,omitempty"`
	Delete          bool   `json:"g,omitempty"` // the key is to go
	OperationID     string `json:"o"`           // of this change, never of another one: asked for twice, it is answered with the same version
	Conditional     bool   `json:"y,omitempty"` // If counts
	ExpectedVersion uint64 `json:"i,omitempty"` // the version that put the key last; 0: the key must not be there
}

// Item is one item.
type Item struct {
	Value       []byte `json:"v"`
	OperationID string `json:"o"`
	Version     uint64 `json:"n"` // of the state that put it
}

// PutResult is how a put ended.
type PutResult struct {
	OperationID string `json:"o"`
	Version     uint64 `json:"n"`           // in force since; 0 where it was refused
	Rejection   string `json:"r,omitempty"` // why it was; nothing of it took hold
}

// Wrong says what is wrong with a put whatever the state is; empty where nothing is.
func (p Put) Wrong() string {
	switch {
	case !strings.HasPrefix(p.Key, ItemPrefix) || len(p.Key) == len(ItemPrefix):
		return fmt.Sprintf("key %q is none of operators': it has to begin with %q and to go on", p.Key, ItemPrefix)
	case len(p.Key) > MaxKeyBytes:
		return fmt.Sprintf("a key of %d bytes; %d are the most", len(p.Key), MaxKeyBytes)
	case strings.ContainsFunc(p.Key, func(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }):
		return fmt.Sprintf("key %q holds spaces or what is no text", p.Key)
	case len(p.Value) > MaxValueBytes:
		return fmt.Sprintf("a value of %d bytes; %d are the most", len(p.Value), MaxValueBytes)
	case p.Delete && len(p.Value) > 0:
		return "a key that is to go has no value"
	case p.OperationID == "" || len(p.OperationID) > mostOp:
		return fmt.Sprintf("an operation's name of %d bytes; 1 to %d", len(p.OperationID), mostOp)
	}
	return ""
}

// PutResult tells how an operation ended that took hold, as long as it is known.
func (s *State) PutResult(op string) (PutResult, bool) {
	for _, d := range slices.Backward(s.RecentPuts) {
		if d.OperationID == op {
			return d, true
		}
	}
	for _, h := range s.Items {
		if h.OperationID == op {
			return PutResult{OperationID: op, Version: h.Version}, true
		}
	}
	return PutResult{}, false
}

// put takes a change whole or refuses it; changed tells whether there is something for a new version to say.
func (s *State) put(p Put, version uint64) (d PutResult, changed bool) {
	no := func(format string, args ...any) (PutResult, bool) {
		return PutResult{OperationID: p.OperationID, Rejection: fmt.Sprintf(format, args...)}, false
	}
	if why := p.Wrong(); why != "" {
		return no("%s", why)
	}
	if d, is := s.PutResult(p.OperationID); is {
		return d, false
	}
	if s.FleetID == "" {
		return no("the fleet is not founded")
	}
	old, there := s.Items[p.Key]
	if p.Conditional && p.ExpectedVersion != old.Version {
		return no("version %d of %s is in force, not %d", old.Version, p.Key, p.ExpectedVersion)
	}
	if p.Delete {
		if !there {
			return no("there is no %s", p.Key)
		}
		delete(s.Items, p.Key)
	} else {
		size := len(p.Key) + len(p.Value)
		for k, h := range s.Items {
			if k != p.Key {
				size += len(k) + len(h.Value)
			}
		}
		if !there && len(s.Items) >= MaxItems || size > MaxItemsBytes {
			return no("full: %d items of %d bytes; the most are %d and %d", len(s.Items), size, MaxItems, MaxItemsBytes)
		}
		if s.Items == nil {
			s.Items = map[string]Item{}
		}
		s.Items[p.Key] = Item{Value: slices.Clone(p.Value), OperationID: p.OperationID, Version: version}
	}
	d = PutResult{OperationID: p.OperationID, Version: version}
	if s.RecentPuts = append(s.RecentPuts, d); len(s.RecentPuts) > mostOps {
		s.RecentPuts = slices.Delete(s.RecentPuts, 0, len(s.RecentPuts)-mostOps)
	}
	return d, true
}

func keyView(slot int) string { return viewKey + strconv.Itoa(slot) }

// ShardFromKey is the slot that a key is the view of; false where it is none's.
func ShardFromKey(key string) (int, bool) {
	name, is := strings.CutPrefix(key, viewKey)
	num, err := strconv.Atoi(name)
	return num, is && err == nil && num >= 0 && num < ShardCount
}

// MemberKey is a member's.
func MemberKey(id string) string { return keyMember + id }

// Keys are all keys of the state as a map.
func (s *State) Keys() (keys []string) {
	if s.FleetID != "" {
		keys = append(keys, FleetKey)
	}
	if s.Epoch > 0 {
		keys = append(keys, EpochKey)
	}
	for _, m := range s.Members {
		keys = append(keys, keyMember+m.ID)
	}
	for num, v := range s.Configurations {
		if v.Number > 0 {
			keys = append(keys, keyView(num))
		}
	}
	for k := range s.Items {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Value is what stands under a key of the state as a map; false where nothing does. It is the same bytes wherever the state is the same.
func (s *State) Value(key string) ([]byte, bool) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case FleetKey + "/":
		return []byte(s.FleetID), s.FleetID != ""
	case EpochKey + "/":
		return strconv.AppendUint(nil, s.Epoch, 10), s.Epoch > 0
	case keyMember:
		i, is := slices.BinarySearchFunc(s.Members, name, func(m Member, id string) int { return strings.Compare(m.ID, id) })
		if !is {
			return nil, false
		}
		return text(s.Members[i]), true
	case viewKey:
		num, err := strconv.Atoi(name)
		if err != nil || num < 0 || num >= len(s.Configurations) || s.Configurations[num].Number == 0 {
			return nil, false
		}
		return text(s.Configurations[num]), true
	case ItemPrefix:
		h, is := s.Items[key]
		return h.Value, is
	}
	return nil, false
}

// SetValue has the state be what a map says of a key: gone where there is no value. Operators' items are not kept by it. A key or value
// that is none is an error, and changes nothing.
func (s *State) SetValue(key string, value []byte, gone bool) error {
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case FleetKey + "/":
		s.FleetID = string(value)
	case EpochKey + "/":
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		s.Epoch = n
	case keyMember:
		i, is := slices.BinarySearchFunc(s.Members, name, func(m Member, id string) int { return strings.Compare(m.ID, id) })
		if gone {
			if is {
				s.Members = slices.Delete(slices.Clone(s.Members), i, i+1)
			}
			return nil
		}
		var m Member
		if err := json.Unmarshal(value, &m); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		if m.ID != name {
			return fmt.Errorf("%s: it is member %q", key, m.ID)
		}
		if s.Members = slices.Clone(s.Members); is {
			s.Members[i] = m
		} else {
			s.Members = slices.Insert(s.Members, i, m)
		}
	case viewKey:
		num, err := strconv.Atoi(name)
		if err != nil || num < 0 || num >= len(s.Configurations) {
			return fmt.Errorf("%s: there is no such slot", key)
		}
		var v Configuration
		if !gone {
			if err := json.Unmarshal(value, &v); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
		}
		s.Configurations[num] = v
	}
	return nil
}

func text(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain values
	}
	return out
}
