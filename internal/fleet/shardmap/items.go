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
	KeyFleet = "fleet"
	KeyEpoch = "epoch"
	Config   = "config/" // begins each of operators'

	keyMember = "member/"
	viewKey   = "view/"
)

// Bounds of what operators put. The state as a map holds somewhat more, for members and views (package feed bounds that).
const (
	MostKey   = 256       // bytes of a key
	MostValue = 256 << 10 // bytes of one value
	MostItems = 14 << 10
	MostBytes = 7 << 20 // of all keys and values together
	mostOp    = 64      // bytes of an operation's name
	mostOps   = 1024    // newest puts that are known by their operation after their keys were put again
)

// Put is a change of one of operators' items.
type Put struct {
	Key   string `json:"k"`
	Value []byte `json:"v,omitempty"`
	Gone  bool   `json:"g,omitempty"` // the key is to go
	Op    string `json:"o"`           // of this change, never of another one: asked for twice, it is answered with the same version
	Only  bool   `json:"y,omitempty"` // If counts
	If    uint64 `json:"i,omitempty"` // the version that put the key last; 0: the key must not be there
}

// Held is one item.
type Held struct {
	Value   []byte `json:"v"`
	Op      string `json:"o"`
	Version uint64 `json:"n"` // of the state that put it
}

// Done is how a put ended.
type Done struct {
	Op      string `json:"o"`
	Version uint64 `json:"n"`           // in force since; 0 where it was refused
	Refused string `json:"r,omitempty"` // why it was; nothing of it took hold
}

// Wrong says what is wrong with a put whatever the state is; empty where nothing is.
func (p Put) Wrong() string {
	switch {
	case !strings.HasPrefix(p.Key, Config) || len(p.Key) == len(Config):
		return fmt.Sprintf("key %q is none of operators': it has to begin with %q and to go on", p.Key, Config)
	case len(p.Key) > MostKey:
		return fmt.Sprintf("a key of %d bytes; %d are the most", len(p.Key), MostKey)
	case strings.ContainsFunc(p.Key, func(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }):
		return fmt.Sprintf("key %q holds spaces or what is no text", p.Key)
	case len(p.Value) > MostValue:
		return fmt.Sprintf("a value of %d bytes; %d are the most", len(p.Value), MostValue)
	case p.Gone && len(p.Value) > 0:
		return "a key that is to go has no value"
	case p.Op == "" || len(p.Op) > mostOp:
		return fmt.Sprintf("an operation's name of %d bytes; 1 to %d", len(p.Op), mostOp)
	}
	return ""
}

// Done tells how an operation ended that took hold, as long as it is known.
func (s *State) Done(op string) (Done, bool) {
	for _, d := range slices.Backward(s.Ops) {
		if d.Op == op {
			return d, true
		}
	}
	for _, h := range s.Items {
		if h.Op == op {
			return Done{Op: op, Version: h.Version}, true
		}
	}
	return Done{}, false
}

// put takes a change whole or refuses it; changed tells whether there is something for a new version to say.
func (s *State) put(p Put, version uint64) (d Done, changed bool) {
	no := func(format string, args ...any) (Done, bool) {
		return Done{Op: p.Op, Refused: fmt.Sprintf(format, args...)}, false
	}
	if why := p.Wrong(); why != "" {
		return no("%s", why)
	}
	if d, is := s.Done(p.Op); is {
		return d, false
	}
	if s.Fleet == "" {
		return no("the fleet is not founded")
	}
	old, there := s.Items[p.Key]
	if p.Only && p.If != old.Version {
		return no("version %d of %s is in force, not %d", old.Version, p.Key, p.If)
	}
	if p.Gone {
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
		if !there && len(s.Items) >= MostItems || size > MostBytes {
			return no("full: %d items of %d bytes; the most are %d and %d", len(s.Items), size, MostItems, MostBytes)
		}
		if s.Items == nil {
			s.Items = map[string]Held{}
		}
		s.Items[p.Key] = Held{Value: slices.Clone(p.Value), Op: p.Op, Version: version}
	}
	d = Done{Op: p.Op, Version: version}
	if s.Ops = append(s.Ops, d); len(s.Ops) > mostOps {
		s.Ops = slices.Delete(s.Ops, 0, len(s.Ops)-mostOps)
	}
	return d, true
}

func keyView(slot int) string { return viewKey + strconv.Itoa(slot) }

// SlotKey is the slot that a key is the view of; false where it is none's.
func SlotKey(key string) (int, bool) {
	name, is := strings.CutPrefix(key, viewKey)
	num, err := strconv.Atoi(name)
	return num, is && err == nil && num >= 0 && num < Slots
}

// MemberKey is a member's.
func MemberKey(id string) string { return keyMember + id }

// Keys are all keys of the state as a map.
func (s *State) Keys() (keys []string) {
	if s.Fleet != "" {
		keys = append(keys, KeyFleet)
	}
	if s.Epoch > 0 {
		keys = append(keys, KeyEpoch)
	}
	for _, m := range s.Members {
		keys = append(keys, keyMember+m.ID)
	}
	for num, v := range s.Views {
		if v.Num > 0 {
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
	case KeyFleet + "/":
		return []byte(s.Fleet), s.Fleet != ""
	case KeyEpoch + "/":
		return strconv.AppendUint(nil, s.Epoch, 10), s.Epoch > 0
	case keyMember:
		i, is := slices.BinarySearchFunc(s.Members, name, func(m Member, id string) int { return strings.Compare(m.ID, id) })
		if !is {
			return nil, false
		}
		return text(s.Members[i]), true
	case viewKey:
		num, err := strconv.Atoi(name)
		if err != nil || num < 0 || num >= len(s.Views) || s.Views[num].Num == 0 {
			return nil, false
		}
		return text(s.Views[num]), true
	case Config:
		h, is := s.Items[key]
		return h.Value, is
	}
	return nil, false
}

// Take has the state be what a map says of a key: gone where there is no value. Operators' items are not kept by it. A key or value
// that is none is an error, and changes nothing.
func (s *State) Take(key string, value []byte, gone bool) error {
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case KeyFleet + "/":
		s.Fleet = string(value)
	case KeyEpoch + "/":
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
		if err != nil || num < 0 || num >= len(s.Views) {
			return fmt.Errorf("%s: there is no such slot", key)
		}
		var v View
		if !gone {
			if err := json.Unmarshal(value, &v); err != nil {
				return fmt.Errorf("%s: %w", key, err)
			}
		}
		s.Views[num] = v
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
