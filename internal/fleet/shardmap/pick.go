package shardmap

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PickReplicas ranks the members that should be a shard's replicas, at most count of them: by rendezvous hashing, never two on one
// machine; of the members left, one in a further zone comes before one in a further site, and that before any other. It depends on
// nothing but its arguments.
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
			if spread := used.spreadOf(m.Member); spread > bestSpread {
				best = i
				bestSpread = spread
			}
		}
		if best < 0 {
			break
		}
		used.add(ranked[best].Member)
		picked = append(picked, ranked[best].ID)
	}
	return picked
}

// scoredMember is a member with its hash for a shard.
type scoredMember struct {
	Member
	score uint64
}

// rankMembers sorts members by their hash for a shard, the highest first.
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

// failureDomains are those that the replicas picked so far are in.
type failureDomains struct {
	machines map[string]bool
	zones    map[string]bool
	sites    map[string]bool
}

func newFailureDomains() failureDomains {
	return failureDomains{machines: map[string]bool{}, zones: map[string]bool{}, sites: map[string]bool{}}
}

func (d failureDomains) add(m Member) {
	d.machines[m.Machine] = true
	d.zones[zoneOf(m)] = true
	d.sites[m.Site] = true
}

// spreadOf is higher the more a member adds to the failure domains: a further zone counts more than a further site.
func (d failureDomains) spreadOf(m Member) int {
	spread := 0
	if !d.zones[zoneOf(m)] {
		spread += 2
	}
	if !d.sites[m.Site] {
		spread++
	}
	return spread
}

// zoneOf is a zone's name among all sites.
func zoneOf(m Member) string { return m.Site + "/" + m.Zone }
