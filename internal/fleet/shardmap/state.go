package shardmap

import (
	"cmp"
	"slices"
)

// State is what is agreed.
type State struct {
	// FleetID is empty before the fleet is bootstrapped.
	FleetID string `json:"fleet"`
	Epoch   uint64 `json:"epoch"`
	// Members are those of the epoch, sorted by ID.
	Members []Member `json:"members"`
	// Configurations has one element for each shard.
	Configurations []Configuration `json:"views"`
	// Version counts the entries that changed something.
	Version uint64 `json:"version"`
	// Items are operators', by key.
	Items map[string]Item `json:"items,omitempty"`
	// RecentPuts are the newest puts that changed something, the newest last, at most maxRecentPuts.
	RecentPuts []PutResult `json:"ops,omitempty"`
}

// New is the state before anything is agreed.
func New() *State {
	return &State{Configurations: make([]Configuration, ShardCount)}
}

// Entry is one proposed change. Each of its parts is applied or rejected by itself.
type Entry struct {
	// BootstrapID begins the fleet under this ID.
	BootstrapID string `json:"found,omitempty"`
	// BaseEpoch is the epoch that Members was made from.
	BaseEpoch    uint64        `json:"epoch,omitempty"`
	Members      []Member      `json:"members,omitempty"`
	ShardChanges []ShardChange `json:"slots,omitempty"`
	Puts         []Put         `json:"put,omitempty"`
}

// Applied is what an entry did.
type Applied struct {
	// Shards have another configuration.
	Shards []int
	// EpochChanged is also set where the fleet's ID has changed.
	EpochChanged bool
	// ChangedKeys are the keys of the state as a map whose values have changed or are gone; none where the entry changed nothing.
	ChangedKeys []string
	// PutResults has one element for each of the entry's puts.
	PutResults []PutResult
}

// Apply applies an entry. A part of it that was made from another state than the one in force changes nothing.
func (s *State) Apply(e Entry) Applied {
	var applied Applied
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

func (s *State) applyBootstrap(e Entry, applied *Applied) {
	if e.BootstrapID == "" || s.FleetID != "" {
		return
	}
	s.FleetID = e.BootstrapID
	applied.EpochChanged = true
	applied.ChangedKeys = append(applied.ChangedKeys, FleetKey)
}

func (s *State) applyMembers(e Entry, applied *Applied) {
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

func (s *State) applyShardChange(change ShardChange, applied *Applied) {
	if !isShard(change.Shard) {
		return
	}
	current := s.Configurations[change.Shard]
	if current.Number != change.BaseNumber || !change.canFollow(current) {
		return
	}
	s.Configurations[change.Shard] = change.next(current)
	applied.Shards = append(applied.Shards, change.Shard)
	applied.ChangedKeys = append(applied.ChangedKeys, configurationKey(change.Shard))
}

func isShard(number int) bool { return number >= 0 && number < ShardCount }

// changedMemberKeys are the keys of members that are in one of two lists only, or differ between them.
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
