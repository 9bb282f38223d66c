package shardmap

import (
	"cmp"
	"slices"
)

// State is the state that the members agree on.
type State struct {
	// FleetID is the fleet's ID, empty before the fleet is bootstrapped.
	FleetID string `json:"fleet"`
	// Epoch numbers the lists of members; 0 before the first list.
	Epoch uint64 `json:"epoch"`
	// Members are the members of the epoch, sorted by ID.
	Members []Member `json:"members"`
	// Configurations has one element for each shard, by shard number.
	Configurations []Configuration `json:"views"`
	// Version is the number of entries so far that changed the state.
	Version uint64 `json:"version"`
	// Items are the operators' items by key.
	Items map[string]Item `json:"items,omitempty"`
	// RecentPuts are the results of the last puts that changed the state, newest last, at most maxRecentPuts.
	RecentPuts []PutResult `json:"ops,omitempty"`
}

// New returns the initial state, before any entry.
func New() *State {
	return &State{Configurations: make([]Configuration, ShardCount)}
}

// Entry is a proposed change of the state. Its parts are applied or rejected independently of each other.
type Entry struct {
	// BootstrapID bootstraps the fleet with this ID.
	BootstrapID string `json:"found,omitempty"`
	// BaseEpoch is the epoch that Members was made from.
	BaseEpoch    uint64        `json:"epoch,omitempty"`
	Members      []Member      `json:"members,omitempty"`
	ShardChanges []ShardChange `json:"slots,omitempty"`
	Puts         []Put         `json:"put,omitempty"`
}

// ApplyResult is the effect of an entry on the state.
type ApplyResult struct {
	// Shards are the shards whose configuration has changed.
	Shards []int
	// EpochChanged is set if the epoch or the fleet's ID has changed.
	EpochChanged bool
	// ChangedKeys are the keys of the state's key-value form that were set or deleted; empty if the entry changed nothing.
	ChangedKeys []string
	// PutResults has one element for each of the entry's puts, in order.
	PutResults []PutResult
}

// Apply applies an entry. A part that was made from another state than the current one is ignored.
func (s *State) Apply(e Entry) ApplyResult {
	var applied ApplyResult
	version := s.Version + 1
	s.applyBootstrap(e, &applied)
	s.applyMembers(e, &applied)
	for _, change := range e.ShardChanges {
		s.applyShardChange(change, &applied)
	}
	for _, put := range e.Puts {
		result, changed := s.applyPut(put, version)
		applied.PutResults = append(applied.PutResults, result)
		if changed && !slices.Contains(applied.ChangedKeys, put.Key) {
			applied.ChangedKeys = append(applied.ChangedKeys, put.Key)
		}
	}
	if len(applied.ChangedKeys) > 0 {
		s.Version = version
	}
	return applied
}

func (s *State) applyBootstrap(e Entry, applied *ApplyResult) {
	if e.BootstrapID == "" || s.FleetID != "" {
		return
	}
	s.FleetID = e.BootstrapID
	applied.EpochChanged = true
	applied.ChangedKeys = append(applied.ChangedKeys, FleetKey)
}

func (s *State) applyMembers(e Entry, applied *ApplyResult) {
	if len(e.Members) == 0 || e.BaseEpoch != s.Epoch || s.FleetID == "" {
		return
	}
	before := s.Members
	s.Epoch++
	s.Members = slices.Clone(e.Members)
	slices.SortFunc(s.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	applied.EpochChanged = true
	applied.ChangedKeys = append(applied.ChangedKeys, EpochKey)
	applied.ChangedKeys = append(applied.ChangedKeys, changedMemberKeys(before, s.Members)...)
}

func (s *State) applyShardChange(change ShardChange, applied *ApplyResult) {
	if !isShard(change.Shard) {
		return
	}
	current := s.Configurations[change.Shard]
	if current.Number != change.BaseNumber || !change.keepsCommittedWrites(current) {
		return
	}
	s.Configurations[change.Shard] = change.nextConfiguration(current)
	applied.Shards = append(applied.Shards, change.Shard)
	applied.ChangedKeys = append(applied.ChangedKeys, configurationKey(change.Shard))
}

func isShard(number int) bool { return number >= 0 && number < ShardCount }

// changedMemberKeys returns the keys of members that are in only one of two lists, or that differ between them.
func changedMemberKeys(before, after []Member) []string {
	var keys []string
	removed := make(map[string]Member, len(before))
	for _, m := range before {
		removed[m.ID] = m
	}
	for _, m := range after {
		if old, known := removed[m.ID]; !known || old != m {
			keys = append(keys, MemberKey(m.ID))
		}
		delete(removed, m.ID)
	}
	for _, m := range before {
		if _, gone := removed[m.ID]; gone {
			keys = append(keys, MemberKey(m.ID))
		}
	}
	return keys
}
