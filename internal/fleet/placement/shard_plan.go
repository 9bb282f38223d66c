package placement

import (
	"slices"

	"sabletally/internal/fleet/shardmap"
)

// shardPlan decides on the next configuration of one shard. It makes one change at a time. After each change, all in-sync replicas still have
// every committed write.
type shardPlan struct {
	shard     int
	current   shardmap.Configuration // the present configuration
	target    []string               // the replicas that the shard should have, the primary first
	alive     map[string]bool        // whether a member is alive, by member ID
	reports   *reports
	minInSync int // number of in-sync replicas that the shard needs to accept writes
	// mayStartJoining allows replicas to join even if the shard has no joining replicas yet.
	mayStartJoining bool

	// suspectedByPrimary is the number of live in-sync replicas that the primary suspects.
	suspectedByPrimary int
}

// nextChange returns the change to propose, or false if the shard should stay as it is.
func (p *shardPlan) nextChange() (shardmap.ShardChange, bool) {
	if len(p.target) == 0 {
		return shardmap.ShardChange{}, false
	}
	if p.current.Number == 0 {
		return p.firstConfiguration()
	}
	p.suspectedByPrimary = p.countSuspectedByPrimary()
	healthy := without(p.current.InSync, p.isFaulty)
	if len(healthy) == 0 {
		return shardmap.ShardChange{}, false
	}
	inSync := p.fillToMinimum(healthy)
	joining := without(p.current.Joining, func(id string) bool { return p.isFaulty(id) || !slices.Contains(p.target, id) })
	if !slices.Equal(inSync, p.current.InSync) || len(joining) < len(p.current.Joining) {
		return p.newChange(inSync, joining), true
	}
	if id, found := p.caughtUpReplica(joining); found {
		isPromoted := func(other string) bool { return other == id }
		return p.newChange(append(slices.Clone(inSync), id), without(joining, isPromoted)), true
	}
	missing := p.missingReplicas(inSync)
	if len(missing) > 0 && (len(joining) > 0 || p.mayStartJoining) {
		return p.newChange(inSync, missing), !slices.Equal(missing, p.current.Joining)
	}
	if len(missing) == 0 && p.allTargetsAlive() {
		return p.newChange(p.target, nil), !slices.Equal(p.target, p.current.InSync)
	}
	return shardmap.ShardChange{}, false
}

// newChange returns a change from the present configuration to the given replicas.
func (p *shardPlan) newChange(inSync, joining []string) shardmap.ShardChange {
	return shardmap.ShardChange{Shard: p.shard, BaseNumber: p.current.Number, InSync: inSync, Joining: joining}
}

// firstConfiguration returns the first configuration, which needs no replicas with earlier records because nothing was committed yet.
func (p *shardPlan) firstConfiguration() (shardmap.ShardChange, bool) {
	inSync := without(p.target, func(id string) bool { return !p.alive[id] })
	return p.newChange(inSync, nil), len(inSync) >= p.minInSync
}

// isFaulty reports whether a replica has failed, or is suspected by a replica whose suspicions are trusted.
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

// suspects reports whether a replica has reported that it suspects another one.
func (p *shardPlan) suspects(from, subject string) bool {
	_, reported := p.reports.suspicions[reportKey{p.shard, p.current.Number, subject, from}]
	return reported
}

// countSuspectedByPrimary returns the number of live in-sync replicas that the primary suspects.
func (p *shardPlan) countSuspectedByPrimary() int {
	count := 0
	for _, id := range p.current.InSync[1:] {
		if p.alive[id] && p.suspects(p.current.Primary(), id) {
			count++
		}
	}
	return count
}

// isPrimaryIsolated reports whether the primary suspects all other in-sync replicas and there are several of them: then it is more likely that
// the primary itself is cut off. If only two replicas are left and suspect each other, the primary stays.
func (p *shardPlan) isPrimaryIsolated() bool {
	return p.suspectedByPrimary > 1 && p.suspectedByPrimary == len(p.current.InSync)-1
}

// isSuspectedByFollower reports whether a live in-sync replica suspects the primary.
func (p *shardPlan) isSuspectedByFollower(primary string) bool {
	return slices.ContainsFunc(p.current.InSync[1:], func(id string) bool { return p.alive[id] && p.suspects(id, primary) })
}

// fillToMinimum appends faulty replicas to the healthy ones up to the minimum number of in-sync replicas. With fewer replicas, the shard could
// not commit, and if those failed as well, records that the removed replicas have on disk would be lost.
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

// caughtUpReplica returns the first joining replica that has caught up according to the primary.
func (p *shardPlan) caughtUpReplica(joining []string) (string, bool) {
	for _, id := range p.current.Joining {
		if p.reports.caughtUp[reportKey{p.shard, p.current.Number, id, p.current.Primary()}] && slices.Contains(joining, id) {
			return id, true
		}
	}
	return "", false
}

// missingReplicas returns the live members of the target that are not in sync. In most calls there are none, and nothing is allocated.
func (p *shardPlan) missingReplicas(inSync []string) []string {
	var missing []string
	for _, id := range p.target {
		if p.alive[id] && !slices.Contains(inSync, id) {
			missing = append(missing, id)
		}
	}
	return missing
}

// allTargetsAlive reports whether all members of the target are alive.
func (p *shardPlan) allTargetsAlive() bool {
	return !slices.ContainsFunc(p.target, func(id string) bool { return !p.alive[id] })
}

// without returns a copy of ids from which those are removed for which remove returns true.
func without(ids []string, remove func(string) bool) []string {
	return slices.DeleteFunc(slices.Clone(ids), remove)
}
