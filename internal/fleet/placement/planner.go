// Package placement decides which members are the replicas of each shard and which of them is the primary. It runs on the member that leads
// the agreed log, and uses that member's view of the others.
//
// It has no side effects: a proposal takes effect only once it is agreed, and is made anew if another change was agreed first. The package
// must never remove the last replica with committed records: a shard whose replicas have all failed waits for one of them to return, or for
// an operator's decision.
package placement

import (
	"cmp"
	"slices"
	"time"

	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

const (
	proposalInterval  = 100 * time.Millisecond
	epochInterval     = 2 * time.Second // minimum time between two epochs, so that members that join together are in the same one
	suspicionTTL      = 5 * time.Second // time for which a suspicion counts unless it is repeated
	maxChangesInEntry = 64              // maximum number of shard changes in one entry
)

// MemberStatus is the state of a member as the leader of the log sees it.
type MemberStatus struct {
	shardmap.Member
	// Alive is set while the member is not considered to have failed.
	Alive bool
	// Left is set if the member announced that it has left.
	Left bool
	// Draining is set if the member announced that it will leave; it is alive until then.
	Draining bool
	// StateAge is the time since the member entered its present state.
	StateAge time.Duration
	// ProtocolVersion is the newest version of the protocol between members that the member supports.
	ProtocolVersion int
}

// Config configures a Planner.
type Config struct {
	// ReplicationFactor is the number of replicas that a shard should have.
	ReplicationFactor int
	// MinReplicas is the number of in-sync replicas that a shard needs to accept writes.
	MinReplicas int
	// EvictAfter is the time after which a failed member is no longer part of the next epoch.
	EvictAfter time.Duration
	// MaxJoiningShards is the maximum number of shards that have joining replicas at the same time.
	MaxJoiningShards int
}

// Planner makes proposals while its member leads the log. Each term of leadership begins with a new Planner. It is not safe for concurrent
// use.
type Planner struct {
	cfg            Config
	nextProposalAt time.Duration // earliest time of the next proposal
	lastEpochAt    time.Duration // time of the last proposal of an epoch
	reports        reports

	targets      [][]string // the replicas that each shard should have, the primary first, by shard
	targetsEpoch uint64     // epoch for which targets was computed
}

// New returns a planner without reports. It may propose from now on.
func New(cfg Config, now time.Duration) *Planner {
	return &Planner{
		cfg:            cfg,
		nextProposalAt: now,
		lastEpochAt:    now - epochInterval,
		reports:        newReports(),
	}
}

// AddReport adds a replica's report about another replica of its shard. A report from another configuration than the present one, or from a
// member that is not an in-sync replica, is ignored.
func (p *Planner) AddReport(now time.Duration, state *shardmap.State, report replication.ReplicaReport) {
	current := state.Configurations[report.Shard]
	if report.Configuration != current.Number || !slices.Contains(current.InSync, report.From) {
		return
	}
	p.reports.add(now, report, current.Primary())
	p.nextProposalAt = min(p.nextProposalAt, now)
}

// Propose returns the entry to propose now, or false if there is none. Shards get their first configurations only once the log has all its
// voters: the record of which members store a committed write must not depend on a single member.
func (p *Planner) Propose(now time.Duration, state *shardmap.State, members []MemberStatus, hasAllVoters bool) (shardmap.Entry, bool) {
	if now < p.nextProposalAt || state.FleetID == "" {
		return shardmap.Entry{}, false
	}
	p.nextProposalAt = now + proposalInterval
	var entry shardmap.Entry
	p.proposeEpoch(now, state, members, &entry)
	p.updateTargets(state)
	p.reports.removeOutdated(now, state)
	p.proposeShardChanges(state, members, hasAllVoters, &entry)
	return entry, len(entry.Members) > 0 || len(entry.ShardChanges) > 0
}

// proposeEpoch adds the next epoch to the entry if the members have changed.
func (p *Planner) proposeEpoch(now time.Duration, state *shardmap.State, members []MemberStatus, entry *shardmap.Entry) {
	next := p.nextEpochMembers(state, members)
	if len(next) == 0 || slices.Equal(next, state.Members) || now-p.lastEpochAt < epochInterval {
		return
	}
	p.lastEpochAt = now
	entry.BaseEpoch = state.Epoch
	entry.Members = next
}

// nextEpochMembers returns the members of the next epoch, sorted by ID: those that are alive, and those of the present epoch that failed less
// than EvictAfter ago and have not left. Draining members are not included.
func (p *Planner) nextEpochMembers(state *shardmap.State, members []MemberStatus) []shardmap.Member {
	var next []shardmap.Member
	for _, m := range members {
		if m.Draining {
			continue
		}
		inEpoch := slices.ContainsFunc(state.Members, func(o shardmap.Member) bool { return o.ID == m.ID })
		if m.Alive || inEpoch && !m.Left && m.StateAge < p.cfg.EvictAfter {
			next = append(next, m.Member)
		}
	}
	slices.SortFunc(next, func(a, b shardmap.Member) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

// updateTargets computes the replicas that each shard should have, if the epoch has changed.
func (p *Planner) updateTargets(state *shardmap.State) {
	if p.targets != nil && p.targetsEpoch == state.Epoch {
		return
	}
	p.targets = make([][]string, len(state.Configurations))
	p.targetsEpoch = state.Epoch
	for shard := range state.Configurations {
		p.targets[shard] = shardmap.PickReplicas(shard, state.Members, p.cfg.ReplicationFactor)
	}
}

// proposeShardChanges adds changes of shard configurations to the entry.
func (p *Planner) proposeShardChanges(state *shardmap.State, members []MemberStatus, hasAllVoters bool, entry *shardmap.Entry) {
	alive := map[string]bool{}
	for _, m := range members {
		alive[m.ID] = m.Alive
	}
	joiningShards := 0
	for _, c := range state.Configurations {
		if len(c.Joining) > 0 {
			joiningShards++
		}
	}
	for _, shard := range shardsByInSyncCount(state) {
		if len(entry.ShardChanges) >= maxChangesInEntry {
			return
		}
		current := state.Configurations[shard]
		if current.Number == 0 && !hasAllVoters {
			continue
		}
		plan := shardPlan{
			shard:           shard,
			current:         current,
			target:          p.targets[shard],
			alive:           alive,
			reports:         &p.reports,
			minInSync:       p.cfg.MinReplicas,
			mayStartJoining: joiningShards < p.cfg.MaxJoiningShards,
		}
		change, changed := plan.nextChange()
		if !changed {
			continue
		}
		if len(current.Joining) == 0 && len(change.Joining) > 0 {
			joiningShards++
		}
		entry.ShardChanges = append(entry.ShardChanges, change)
	}
}

// shardsByInSyncCount returns all shards, those with the fewest in-sync replicas first.
func shardsByInSyncCount(state *shardmap.State) []int {
	shards := make([]int, len(state.Configurations))
	for i := range shards {
		shards[i] = i
	}
	slices.SortStableFunc(shards, func(a, b int) int {
		return cmp.Compare(len(state.Configurations[a].InSync), len(state.Configurations[b].InSync))
	})
	return shards
}
