// Package placement decides which configurations the shards are to have: which member stops being a replica, which begins to be one,
// which leads. It runs at the member that leads the agreed log, on how that one sees the others.
//
// It is pure: what it proposes takes effect only once it is agreed, and is decided again where another change came first. It must
// never remove the last replica with committed records: a shard all of whose replicas have failed waits for one of them, or for an
// operator's decision.
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
	epochInterval     = 2 * time.Second // at least, between epochs: members that join together are in one
	suspicionTTL      = 5 * time.Second
	maxChangesInEntry = 64 // of shards
)

// MemberStatus is how the leading member sees another one.
type MemberStatus struct {
	shardmap.Member
	Alive bool
	// Left is set where the member announced that it has left.
	Left bool
	// Draining is set where the member announced that it will leave; it is alive until then.
	Draining bool
	// StateAge is how long the member has been in this state.
	StateAge time.Duration
	// ProtocolVersion is the newest form of the members' protocol that the member knows.
	ProtocolVersion int
}

// Config is what a Planner goes by.
type Config struct {
	// ReplicationFactor is how many replicas a shard is to have.
	ReplicationFactor int
	// MinReplicas is how many in-sync replicas a shard needs to accept writes.
	MinReplicas int
	// EvictAfter is how long a member may have failed before it is left out of the next epoch.
	EvictAfter time.Duration
	// MaxJoiningShards bounds the shards that have joining replicas at the same time.
	MaxJoiningShards int
}

// Planner makes proposals while its member leads the log; each leadership begins with a new one. It is not safe for concurrent use.
type Planner struct {
	cfg          Config
	nextProposal time.Duration
	lastEpoch    time.Duration
	reports      reports

	targets      [][]string // the replicas that each shard is to have in targetsEpoch
	targetsEpoch uint64
}

// New makes a planner that knows of no reports.
func New(cfg Config, now time.Duration) *Planner {
	return &Planner{
		cfg:          cfg,
		nextProposal: now,
		lastEpoch:    now - epochInterval,
		reports:      newReports(),
	}
}

// AddReport takes a replica's report about another one. One from another configuration, or from a member that is no in-sync replica, is
// ignored.
func (p *Planner) AddReport(now time.Duration, state *shardmap.State, report replication.ReplicaReport) {
	current := state.Configurations[report.Shard]
	if report.Configuration != current.Number || !slices.Contains(current.InSync, report.From) {
		return
	}
	p.reports.add(now, report, current.Primary())
	p.nextProposal = min(p.nextProposal, now)
}

// Propose returns the entry to propose now; false where none is due. Shards get their first configurations only once the log has all
// its voters: the record of who holds a committed write must not depend on a single member.
func (p *Planner) Propose(now time.Duration, state *shardmap.State, members []MemberStatus, hasVoters bool) (shardmap.Entry, bool) {
	if now < p.nextProposal || state.FleetID == "" {
		return shardmap.Entry{}, false
	}
	p.nextProposal = now + proposalInterval
	var entry shardmap.Entry
	p.proposeEpoch(now, state, members, &entry)
	p.updateTargets(state)
	p.reports.removeOutdated(now, state)
	p.proposeShardChanges(state, members, hasVoters, &entry)
	return entry, len(entry.Members) > 0 || len(entry.ShardChanges) > 0
}

func (p *Planner) proposeEpoch(now time.Duration, state *shardmap.State, members []MemberStatus, entry *shardmap.Entry) {
	next := p.epochMembers(state, members)
	if len(next) == 0 || slices.Equal(next, state.Members) || now-p.lastEpoch < epochInterval {
		return
	}
	p.lastEpoch = now
	entry.BaseEpoch = state.Epoch
	entry.Members = next
}

// epochMembers are the members of the next epoch, sorted by ID: those that are alive, and those of this epoch that have not failed
// for long.
func (p *Planner) epochMembers(state *shardmap.State, members []MemberStatus) []shardmap.Member {
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

// updateTargets ranks all shards' replicas again where the epoch has changed.
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

func (p *Planner) proposeShardChanges(state *shardmap.State, members []MemberStatus, hasVoters bool, entry *shardmap.Entry) {
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
	for _, shard := range byInSyncCount(state) {
		if len(entry.ShardChanges) >= maxChangesInEntry {
			return
		}
		current := state.Configurations[shard]
		if current.Number == 0 && !hasVoters {
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
		change, changed := plan.next()
		if !changed {
			continue
		}
		if len(current.Joining) == 0 && len(change.Joining) > 0 {
			joiningShards++
		}
		entry.ShardChanges = append(entry.ShardChanges, change)
	}
}

// byInSyncCount are all shards, those with the fewest in-sync replicas first.
func byInSyncCount(state *shardmap.State) []int {
	shards := make([]int, len(state.Configurations))
	for i := range shards {
		shards[i] = i
	}
	slices.SortStableFunc(shards, func(a, b int) int {
		return cmp.Compare(len(state.Configurations[a].InSync), len(state.Configurations[b].InSync))
	})
	return shards
}
