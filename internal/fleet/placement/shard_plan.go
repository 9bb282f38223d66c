package placement

import (
	"slices"

	"sabletally/internal/fleet/shardmap"
)

// shardPlan decides on one shard's next configuration. It takes one step at a time, each of which leaves every committed write with
// all in-sync replicas.
type shardPlan struct {
	shard     int
	current   shardmap.Configuration
	target    []string // the replicas that the shard is to have, the primary first
	alive     map[string]bool
	reports   *reports
	minInSync int
	// mayStartJoining allows replicas to join a shard that has no joining ones.
	mayStartJoining bool

	// suspectedByPrimary is how many other in-sync replicas that are alive the primary suspects.
	suspectedByPrimary int
}

// next returns the change to propose; false where the shard is to stay as it is.
func (p *shardPlan) next() (shardmap.ShardChange, bool) {
	if len(p.target) == 0 {
		return shardmap.ShardChange{}, false
	}
	if p.current.Number == 0 {
		return p.first()
	}
	p.suspectedByPrimary = p.countSuspectedByPrimary()
	healthy := without(p.current.InSync, p.isFaulty)
	if len(healthy) == 0 {
		return shardmap.ShardChange{}, false
	}
	inSync := p.fillToMinimum(healthy)
	joining := without(p.current.Joining, func(id string) bool { return p.isFaulty(id) || !slices.Contains(p.target, id) })
	if !slices.Equal(inSync, p.current.InSync) || len(joining) < len(p.current.Joining) {
		return p.change(inSync, joining), true
	}
	if id, found := p.caughtUpReplica(joining); found {
		isPromoted := func(other string) bool { return other == id }
		return p.change(append(slices.Clone(inSync), id), without(joining, isPromoted)), true
	}
	missing := p.missingReplicas(inSync)
	if len(missing) > 0 && (len(joining) > 0 || p.mayStartJoining) {
		return p.change(inSync, missing), !slices.Equal(missing, p.current.Joining)
	}
	if len(missing) == 0 && p.allTargetsAlive() {
		return p.change(p.target, nil), !slices.Equal(p.target, p.current.InSync)
	}
	return shardmap.ShardChange{}, false
}

func (p *shardPlan) change(inSync, joining []string) shardmap.ShardChange {
	return shardmap.ShardChange{Shard: p.shard, BaseNumber: p.current.Number, InSync: inSync, Joining: joining}
}

// first is the first configuration: nothing was committed in the shard before.
func (p *shardPlan) first() (shardmap.ShardChange, bool) {
	inSync := without(p.target, func(id string) bool { return !p.alive[id] })
	return p.change(inSync, nil), len(inSync) >= p.minInSync
}

// isFaulty reports whether a replica has failed, or is suspected by replicas that are believed.
func (p *shardPlan) isFaulty(id string) bool {
	if !p.alive[id] {
		return true
	}
	primary := p.current.Primary()
	if id != primary {
		return !p.isPrimaryIsolated() && p.suspects(primary, id)
	}
	return p.isPrimaryIsolated() || p.suspectedByPrimary == 0 && p.isSuspectedByFollower(primary)
}

// suspects reports whether a replica has reported a suspicion against another one.
func (p *shardPlan) suspects(from, subject string) bool {
	_, reported := p.reports.suspicions[reportKey{p.shard, p.current.Number, subject, from}]
	return reported
}

func (p *shardPlan) countSuspectedByPrimary() int {
	count := 0
	for _, id := range p.current.InSync[1:] {
		if p.alive[id] && p.suspects(p.current.Primary(), id) {
			count++
		}
	}
	return count
}

// isPrimaryIsolated reports whether the primary suspects all of several others: it is more likely cut off itself. Of two replicas that
// suspect each other the primary stays.
func (p *shardPlan) isPrimaryIsolated() bool {
	return p.suspectedByPrimary > 1 && p.suspectedByPrimary == len(p.current.InSync)-1
}

func (p *shardPlan) isSuspectedByFollower(primary string) bool {
	return slices.ContainsFunc(p.current.InSync[1:], func(id string) bool { return p.alive[id] && p.suspects(id, primary) })
}

// fillToMinimum adds faulty replicas behind the healthy ones up to the minimum: fewer than it can't commit, and would lose, if they
// failed as well, what the removed ones have on disk.
func (p *shardPlan) fillToMinimum(healthy []string) []string {
	inSync := slices.Clone(healthy)
	for _, id := range p.current.InSync {
		if len(inSync) >= min(p.minInSync, len(p.current.InSync)) {
			break
		}
		if !slices.Contains(healthy, id) {
			inSync = append(inSync, id)
		}
	}
	return inSync
}

// caughtUpReplica is the first joining replica that the primary has reported to have caught up.
func (p *shardPlan) caughtUpReplica(joining []string) (string, bool) {
	for _, id := range p.current.Joining {
		if p.reports.caughtUp[reportKey{p.shard, p.current.Number, id, p.current.Primary()}] && slices.Contains(joining, id) {
			return id, true
		}
	}
	return "", false
}

// missingReplicas are the target's members that are alive and not in sync. There are none in most calls, which then allocate nothing.
func (p *shardPlan) missingReplicas(inSync []string) []string {
	var missing []string
	for _, id := range p.target {
		if p.alive[id] && !slices.Contains(inSync, id) {
			missing = append(missing, id)
		}
	}
	return missing
}

func (p *shardPlan) allTargetsAlive() bool {
	return !slices.ContainsFunc(p.target, func(id string) bool { return !p.alive[id] })
}

// without is a copy of ids but for those that remove reports.
func without(ids []string, remove func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(ids), remove)
}
