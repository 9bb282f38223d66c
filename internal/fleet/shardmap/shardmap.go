// Package shardmap is what the members agree on: the epochs, which are frozen lists of members, and for each slot of the key space its
// view, which names the holders of the slot's records. It is a pure state machine under an agreed log: the same entries leave the
// same state everywhere. It must never decide that something changes, and never take an entry that was made of another state
// than the one in force: who was overtaken is refused.
package shardmap

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Slots is how many parts the key space has. A slot moves as a whole.
const Slots = 256

// SlotOf is the slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % Slots) }

// Member is one of an epoch's list.
type Member struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Machine string `json:"m"`
	Zone    string `json:"z"`
	Site    string `json:"s"`
}

// View is who holds a slot. Each change has the next number, and each number exists once.
type View struct {
	Num     uint64   `json:"n"`
	Full    []string `json:"f"` // each has all that was promised; the first one is the primary
	Joining []string `json:"j,omitempty"`
	Lost    int      `json:"l,omitempty"` // times that it began anew, as all who had its records were lost
}

// Primary is who orders a slot's writes; empty before the first view.
func (v View) Primary() string {
	if len(v.Full) == 0 {
		return ""
	}
	return v.Full[0]
}

// State is what is agreed.
type State struct {
	Fleet   string   `json:"fleet"`
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"` // by ID
	Views   []View   `json:"views"`   // by slot
	Version uint64   `json:"version"` // one more with each entry that took hold

	Items map[string]Held `json:"items,omitempty"` // what operators put, by key
	Ops   []Done          `json:"ops,omitempty"`   // the newest puts, the newest last
}

// Entry is one change. Its parts hold or not each by itself.
type Entry struct {
	Found   string   `json:"found,omitempty"` // the fleet begins, under this ID
	Epoch   uint64   `json:"epoch,omitempty"` // the number that Members is made of: the one in force, or it is refused
	Members []Member `json:"members,omitempty"`
	Slots   []Slot   `json:"slots,omitempty"`
	Put     []Put    `json:"put,omitempty"`
}

// Slot is a change of one slot's view; Of is the number that it is made of.
type Slot struct {
	Slot    int      `json:"s"`
	Of      uint64   `json:"o"`
	Full    []string `json:"f"`
	Joining []string `json:"j,omitempty"`
	Anew    bool     `json:"a,omitempty"` // none of the old view's has to be among the new one's: what they held is lost
}

// New is the state before anything is agreed.
func New() *State { return &State{Views: make([]View, Slots)} }

// Applied is what an entry did.
type Applied struct {
	Slots []int    // that have another view
	Epoch bool     // the epoch, or the fleet's ID, is another
	Keys  []string // of the state as a map, whose values are others or gone: nothing where the entry did not take hold
	Puts  []Done   // how each put ended, in their order
}

// Apply takes an entry. One, or a part of one, that was made of another state leaves that part as it was.
func (s *State) Apply(e Entry) (a Applied) {
	version := s.Version + 1
	if e.Found != "" && s.Fleet == "" {
		s.Fleet, a.Epoch = e.Found, true
		a.Keys = append(a.Keys, KeyFleet)
	}
	if len(e.Members) > 0 && e.Epoch == s.Epoch && s.Fleet != "" {
		was := s.Members
		s.Epoch++
		s.Members, a.Epoch = slices.Clone(e.Members), true
		slices.SortFunc(s.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
		a.Keys = append(append(a.Keys, KeyEpoch), differ(was, s.Members)...)
	}
	for _, c := range e.Slots {
		if c.Slot < 0 || c.Slot >= len(s.Views) || s.Views[c.Slot].Num != c.Of || !s.may(c) {
			continue
		}
		v := View{Num: c.Of + 1, Full: slices.Clone(c.Full), Joining: slices.Clone(c.Joining), Lost: s.Views[c.Slot].Lost}
		if c.Anew {
			v.Lost++
		}
		s.Views[c.Slot] = v
		a.Slots = append(a.Slots, c.Slot)
		a.Keys = append(a.Keys, keyView(c.Slot))
	}
	for _, p := range e.Put {
		done, changed := s.put(p, version)
		a.Puts = append(a.Puts, done)
		if changed && !slices.Contains(a.Keys, p.Key) {
			a.Keys = append(a.Keys, p.Key)
		}
	}
	if len(a.Keys) > 0 {
		s.Version = version
	}
	return a
}

// differ are the keys of members that are in one list and not, or not the same, in the other.
func differ(was, is []Member) (keys []string) {
	old := make(map[string]Member, len(was))
	for _, m := range was {
		old[m.ID] = m
	}
	for _, m := range is {
		if o, known := old[m.ID]; !known || o != m {
			keys = append(keys, keyMember+m.ID)
		}
		delete(old, m.ID)
	}
	for _, m := range was {
		if _, gone := old[m.ID]; gone {
			keys = append(keys, keyMember+m.ID)
		}
	}
	return keys
}

// may tells whether a view can follow the one in force. What was promised is with each of the old one's, so the new one begins with
// one of them, and whoever was not among them was joining, and was said by the primary to have caught up.
func (s *State) may(c Slot) bool {
	if len(c.Full) == 0 || twice(slices.Concat(c.Full, c.Joining)) {
		return false
	}
	old := s.Views[c.Slot]
	if old.Num == 0 || c.Anew {
		return true
	}
	if !slices.Contains(old.Full, c.Full[0]) {
		return false
	}
	for _, id := range c.Full {
		if !slices.Contains(old.Full, id) && !slices.Contains(old.Joining, id) {
			return false
		}
	}
	return true
}

func twice(ids []string) bool {
	for i, id := range ids {
		if slices.Contains(ids[:i], id) {
			return true
		}
	}
	return false
}

// Encode and Decode are the form of entries in the log, Snapshot and Restore that of a state.
func (e Entry) Encode() []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Decode reads an entry.
func Decode(text []byte) (e Entry, err error) {
	err = json.Unmarshal(text, &e)
	return e, err
}

// Snapshot is the state as bytes.
func (s *State) Snapshot() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain values
	}
	return text
}

// Restore reads one.
func Restore(text []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	if len(s.Views) != Slots {
		return nil, fmt.Errorf("a state of %d slots, this program has %d", len(s.Views), Slots)
	}
	return s, nil
}

// Pick ranks who should hold a slot: rendezvous hashing among the members, never two on one machine, and of those that are left
// one of a further zone before one of a further site before any. It is the same for each who has the same list.
func Pick(slot int, members []Member, copies int) []string {
	type scored struct {
		Member
		score uint64
	}
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{m, xxhash.Sum64String(fmt.Sprintf("%s/%d", m.ID, slot))})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
	machines, zones, sites := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var picked []string
	for len(picked) < copies {
		best, worth := -1, -1
		for i, m := range all {
			if machines[m.Machine] {
				continue
			}
			w := 0
			if !zones[m.Site+"/"+m.Zone] {
				w += 2
			}
			if !sites[m.Site] {
				w++
			}
			if w > worth {
				best, worth = i, w
			}
		}
		if best < 0 {
			break
		}
		m := all[best]
		machines[m.Machine], zones[m.Site+"/"+m.Zone], sites[m.Site] = true, true, true
		picked = append(picked, m.ID)
	}
	return picked
}
