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

// ShardCount is how many parts the key space has. A slot moves as a whole.
const ShardCount = 256

// ShardOf is the slot of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// Member is one of an epoch's list.
type Member struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Machine string `json:"m"`
	Zone    string `json:"z"`
	Site    string `json:"s"`
}

// Configuration is who holds a slot. Each change has the next number, and each number exists once.
type Configuration struct {
	Number     uint64   `json:"n"`
	InSync     []string `json:"f"` // each has all that was promised; the first one is the primary
	Joining    []string `json:"j,omitempty"`
	DataLosses int      `json:"l,omitempty"` // times that it began anew, as all who had its records were lost
}

// Primary is who orders a slot's writes; empty before the first view.
func (v Configuration) Primary() string {
	if len(v.InSync) == 0 {
		return ""
	}
	return v.InSync[0]
}

// State is what is agreed.
type State struct {
	FleetID        string          `json:"fleet"`
	Epoch          uint64          `json:"epoch"`
	Members        []Member        `json:"members"` // by ID
	Configurations []Configuration `json:"views"`   // by slot
	Version        uint64          `json:"version"` // one more with each entry that took hold

	Items      map[string]Item `json:"items,omitempty"` // what operators put, by key
	RecentPuts []PutResult     `json:"ops,omitempty"`   // the newest puts, the newest last
}

// Entry is one change. Its parts hold or not each by itself.
type Entry struct {
	BootstrapID  string        `json:"found,omitempty"` // the fleet begins, under this ID
	BaseEpoch    uint64        `json:"epoch,omitempty"` // the number that Members is made of: the one in force, or it is refused
	Members      []Member      `json:"members,omitempty"`
	ShardChanges []ShardChange `json:"slots,omitempty"`
	Puts         []Put         `json:"put,omitempty"`
}

// ShardChange is a change of one slot's view; Of is the number that it is made of.
type ShardChange struct {
	Shard      int      `json:"s"`
	BaseNumber uint64   `json:"o"`
	InSync     []string `json:"f"`
	Joining    []string `json:"j,omitempty"`
	Reset      bool     `json:"a,omitempty"` // none of the old view's has to be among the new one's: what they held is lost
}

// New is the state before anything is agreed.
func New() *State { return &State{Configurations: make([]Configuration, ShardCount)} }

// Applied is what an entry did.
type Applied struct {
	Shards       []int       // that have another view
	EpochChanged bool        // the epoch, or the fleet's ID, is another
	ChangedKeys  []string    // of the state as a map, whose values are others or gone: nothing where the entry did not take hold
	PutResults   []PutResult // how each put ended, in their order
}

// Apply takes an entry. One, or a part of one, that was made of another state leaves that part as it was.
func (s *State) Apply(e Entry) (a Applied) {
	version := s.Version + 1
	if e.BootstrapID != "" && s.FleetID == "" {
		s.FleetID, a.EpochChanged = e.BootstrapID, true
		a.ChangedKeys = append(a.ChangedKeys, FleetKey)
	}
	if len(e.Members) > 0 && e.BaseEpoch == s.Epoch && s.FleetID != "" {
		was := s.Members
		s.Epoch++
		s.Members, a.EpochChanged = slices.Clone(e.Members), true
		slices.SortFunc(s.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
		a.ChangedKeys = append(append(a.ChangedKeys, EpochKey), differ(was, s.Members)...)
	}
	for _, c := range e.ShardChanges {
		if c.Shard < 0 || c.Shard >= len(s.Configurations) || s.Configurations[c.Shard].Number != c.BaseNumber || !s.may(c) {
			continue
		}
		v := Configuration{Number: c.BaseNumber + 1, InSync: slices.Clone(c.InSync), Joining: slices.Clone(c.Joining), DataLosses: s.Configurations[c.Shard].DataLosses}
		if c.Reset {
			v.DataLosses++
		}
		s.Configurations[c.Shard] = v
		a.Shards = append(a.Shards, c.Shard)
		a.ChangedKeys = append(a.ChangedKeys, keyView(c.Shard))
	}
	for _, p := range e.Puts {
		done, changed := s.put(p, version)
		a.PutResults = append(a.PutResults, done)
		if changed && !slices.Contains(a.ChangedKeys, p.Key) {
			a.ChangedKeys = append(a.ChangedKeys, p.Key)
		}
	}
	if len(a.ChangedKeys) > 0 {
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
func (s *State) may(c ShardChange) bool {
	if len(c.InSync) == 0 || twice(slices.Concat(c.InSync, c.Joining)) {
		return false
	}
	old := s.Configurations[c.Shard]
	if old.Number == 0 || c.Reset {
		return true
	}
	if !slices.Contains(old.InSync, c.InSync[0]) {
		return false
	}
	for _, id := range c.InSync {
		if !slices.Contains(old.InSync, id) && !slices.Contains(old.Joining, id) {
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

// DecodeEntry reads an entry.
func DecodeEntry(text []byte) (e Entry, err error) {
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
	if len(s.Configurations) != ShardCount {
		return nil, fmt.Errorf("a state of %d slots, this program has %d", len(s.Configurations), ShardCount)
	}
	return s, nil
}

// PickReplicas ranks who should hold a slot: rendezvous hashing among the members, never two on one machine, and of those that are left
// one of a further zone before one of a further site before any. It is the same for each who has the same list.
func PickReplicas(slot int, members []Member, copies int) []string {
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
