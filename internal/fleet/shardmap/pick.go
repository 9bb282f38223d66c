package shardmap

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PickReplicas returns the IDs of the members that should be a shard's replicas, at most count of them, best first. Members are ranked by
// rendezvous hashing. No two replicas are on the same machine. Each further replica is preferably in a zone that has none yet, and among
// those in a site that has none yet. The result depends only on the arguments.
func PickReplicas(shard int, members []Member, count int) []string {
	ranked := rankMembers(shard, members)
	used := newFailureDomains()
	var picked []string
	for len(picked) < count {
		best := -1
		bestSpread := -1
		for i, m := range ranked {
			if used.machines[m.Machine] {
				continue
			}
			if spread := used.spreadGain(m.Member); spread > bestSpread {
				best = i
				bestSpread = spread
			}
		}
		if best < 0 {
			break
		}
		used.addMember(ranked[best].Member)
		picked = append(picked, ranked[best].ID)
	}
	return picked
}

// scoredMember is a member with its rendezvous hash for a shard.
type scoredMember struct {
	Member
	score uint64
}

// rankMembers sorts members by their rendezvous hash for a shard, highest first.
func rankMembers(shard int, members []Member) []scoredMember {
	scored := make([]scoredMember, 0, len(members))
	for _, m := range members {
		scored = append(scored, scoredMember{m, xxhash.Sum64String(fmt.Sprintf("%s/%d", m.ID, shard))})
	}
	slices.SortFunc(scored, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	return scored
}

// failureDomains are the failure domains of the replicas picked so far.
type failureDomains struct {
	machines map[string]bool
	zones    map[string]bool
	sites    map[string]bool
}

func newFailureDomains() failureDomains {
	return failureDomains{machines: map[string]bool{}, zones: map[string]bool{}, sites: map[string]bool{}}
}

func (d failureDomains) addMember(m Member) {
	d.machines[m.Machine] = true
	d.zones[zoneOf(m)] = true
	d.sites[m.Site] = true
}

// spreadGain rates how much a member would spread the replicas: a new zone counts more than a new site.
func (d failureDomains) spreadGain(m Member) int {
	spread := 0
	if !d.zones[zoneOf(m)] {
		spread += 2
	}
	if !d.sites[m.Site] {
		spread++
	}
	return spread
}

// zoneOf returns a name of the member's zone that is unique among all sites.
func zoneOf(m Member) string { return m.Site + "/" + m.Zone }
