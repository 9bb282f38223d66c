package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	affinitySpread      = 2.0  // size of an affinity set, relative to the group's share of the sessions
	affinityOverflow    = 2    // number of endpoints outside its affinity set that a group may use
	crossZoneCostFactor = 12   // ratio of the weight reduction of a remote endpoint to CrossZoneCost
	minRemoteZoneFactor = 0.02 // lower bound of the factor on the weight of a remote endpoint
	minRemoteFactor     = 0.25 // lower bound of the factor on the weight of a remote endpoint where the weight determines limits and shares

	// With fewer sessions than both limits, groups are too small for an affinity set in each zone.
	minSessionsForZones      = 7   // number of active sessions of this balancer
	minFleetSessionsForZones = 500 // estimated number of active sessions of all balancers

	// While endpoints warm up, groups with fewer members on average are too small for an affinity set in each
	// zone as well, because the warming endpoints split them.
	minMembersPerGroup = 1.7 // mean number of members of a group at this balancer
	extraGroups        = 5   // added to the number of groups when the mean is computed
)

// ranking is the order in which a session prefers the endpoints of the newest pool.
type ranking struct {
	endpoints        []rankedEndpoint // most preferred first
	maxCandidates    int              // number of endpoints that the session may use, from the first on, not counting warming ones
	remoteZoneFactor float64          // factor on the weight of endpoints in another zone
}

// rankedEndpoint is an endpoint with its rendezvous score for one session.
type rankedEndpoint struct {
	*endpoint
	score float64
}

// byScore sorts by descending score, then by the order in which the endpoints became known.
func byScore(x, y rankedEndpoint) int {
	return cmp.Or(cmp.Compare(y.score, x.score), x.index-y.index)
}

// rankEndpoints orders the endpoints by weighted rendezvous hashing of the session's group. The first endpoints
// are the affinity set of the group, whose size depends on the group's share of the sessions. Within the
// affinity set the client's key determines the order. The result is valid until the next call.
func (b *Balancer) rankEndpoints(s *session) ranking {
	endpoints := b.newestPool().endpoints
	r := ranking{
		endpoints:        b.rankBuffer[:0],
		maxCandidates:    len(endpoints),
		remoteZoneFactor: b.remoteZoneFactor,
	}
	hasGroup := s.affinityKey != s.clientKey
	if hasGroup && b.hasSmallGroups() {
		r.remoteZoneFactor = 1 // an affinity set in each zone would split the group
	}
	// With fewer sessions than endpoints, this balancer cannot tell how many members of a group an endpoint gets
	// from all balancers. It then ranks warming endpoints by client, since otherwise a single one would get all
	// members of a large group.
	isSparse := b.activeSessions < len(endpoints)
	totalWeight, maxWeight := 0.0, 0.0
	for _, e := range endpoints {
		weight := b.zoneWeight(e, r.remoteZoneFactor, 0)
		totalWeight += weight
		maxWeight = max(maxWeight, weight)
		key := s.affinityKey
		if isSparse && b.isWarmingUp(e) {
			key = s.clientKey
		}
		r.endpoints = append(r.endpoints, rankedEndpoint{e, rendezvousScore(weight, key, e.ID)})
	}
	b.rankBuffer = r.endpoints
	slices.SortFunc(r.endpoints, byScore)
	if hasGroup && b.activeSessions > 0 {
		size := b.affinitySetSize(s.affinityKey, totalWeight, maxWeight)
		r.maxCandidates = min(r.maxCandidates, size+affinityOverflow)
		b.rankByClient(r.endpoints[:min(size, len(r.endpoints))], s.clientKey, r.remoteZoneFactor)
	}
	return r
}

// hasSmallGroups reports whether the groups at this balancer are too small for an affinity set in each zone.
func (b *Balancer) hasSmallGroups() bool {
	if b.activeSessions < minSessionsForZones && b.activeSessions*b.config.Balancers < minFleetSessionsForZones {
		return true
	}
	groups := float64(len(b.activeByGroup) + extraGroups)
	return b.warmupWeight > 0 && float64(b.activeSessions) < minMembersPerGroup*groups
}

// affinitySetSize returns the number of endpoints in the affinity set of a group. The number of members is
// reduced by two standard deviations, so that random variation alone does not enlarge the set.
func (b *Balancer) affinitySetSize(affinityKey uint64, totalWeight, maxWeight float64) int {
	members := float64(b.activeByGroup[affinityKey])
	members -= 2 * math.Sqrt(members)
	size := affinitySpread * members / float64(b.activeSessions) * totalWeight / max(maxWeight, epsilon)
	return max(1, int(math.Ceil(size)))
}

// rankByClient sorts the endpoints of an affinity set by their scores for the client's key.
func (b *Balancer) rankByClient(endpoints []rankedEndpoint, clientKey uint64, remoteZoneFactor float64) {
	for i := range endpoints {
		e := &endpoints[i]
		e.score = rendezvousScore(b.zoneWeight(e.endpoint, remoteZoneFactor, 0), clientKey, e.ID)
	}
	slices.SortFunc(endpoints, byScore)
}

// zoneWeight returns the weight of an endpoint. In another zone it is multiplied by remoteZoneFactor, or by
// minFactor if that is larger.
func (b *Balancer) zoneWeight(e *endpoint, remoteZoneFactor, minFactor float64) float64 {
	if e.Zone != b.config.Zone {
		return e.Weight * max(remoteZoneFactor, minFactor)
	}
	return e.Weight
}
