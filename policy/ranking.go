package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	affinitySpread           = 2.0  // endpoints in a group's affinity set, over its share of the sessions
	affinityOverflow         = 2    // endpoints beyond its affinity set that a group may use
	crossZoneCostFactor      = 12   // from CrossZoneCost to the reduction of a remote endpoint's weight
	minRemoteZoneFactor      = 0.02 // of that weight
	minRemoteFactor          = 0.25 // the same for limits and shares
	minSessionsForZones      = 7    // of this balancer: with fewer, and
	minFleetSessionsForZones = 500  // fewer at all balancers, groups are too small for an endpoint in each zone
	minMembersPerGroup       = 1.7  // of this balancer: with fewer on average, warming endpoints split groups,
	extraGroups              = 5    // counting so many groups more
)

// ranking is a session's order of preference over the endpoints of the newest pool.
type ranking struct {
	endpoints        []rankedEndpoint
	maxCandidates    int     // endpoints from the first on, without warming ones, that the session may use
	remoteZoneFactor float64 // multiplies the weight of endpoints in another zone
}

type rankedEndpoint struct {
	*endpoint
	score float64
}

func byScore(x, y rankedEndpoint) int {
	return cmp.Or(cmp.Compare(y.score, x.score), x.index-y.index)
}

// rankEndpoints orders the endpoints by weighted rendezvous hashing of a session's group. The first ones, as many as the
// group's share of the sessions asks for, are its affinity set, in which the client's key decides the order.
// The result is valid until the next call.
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
	// With fewer sessions than endpoints the balancer can't see how many of a group an endpoint gets. Warming
	// endpoints are then spread over clients, or one would get all of a large group.
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

// hasSmallGroups reports whether this balancer's groups are too small for an affinity set in each zone.
func (b *Balancer) hasSmallGroups() bool {
	if b.activeSessions < minSessionsForZones && b.activeSessions*b.config.Balancers < minFleetSessionsForZones {
		return true
	}
	groups := float64(len(b.activeByGroup) + extraGroups)
	return b.warmupWeight > 0 && float64(b.activeSessions) < minMembersPerGroup*groups
}

// affinitySetSize is the number of endpoints in a group's affinity set. Two standard deviations are taken off
// the number of its members, so that chance alone does not enlarge the set.
func (b *Balancer) affinitySetSize(affinityKey uint64, totalWeight, maxWeight float64) int {
	members := float64(b.activeByGroup[affinityKey])
	members -= 2 * math.Sqrt(members)
	size := affinitySpread * members / float64(b.activeSessions) * totalWeight / max(maxWeight, epsilon)
	return max(1, int(math.Ceil(size)))
}

// rankByClient orders the endpoints of an affinity set by a client's key.
func (b *Balancer) rankByClient(endpoints []rankedEndpoint, clientKey uint64, remoteZoneFactor float64) {
	for i := range endpoints {
		e := &endpoints[i]
		e.score = rendezvousScore(b.zoneWeight(e.endpoint, remoteZoneFactor, 0), clientKey, e.ID)
	}
	slices.SortFunc(endpoints, byScore)
}

// zoneWeight is the weight of an endpoint, reduced in another zone by a factor that is minFactor at least.
func (b *Balancer) zoneWeight(e *endpoint, remoteZoneFactor, minFactor float64) float64 {
	if e.Zone != b.config.Zone {
		return e.Weight * max(remoteZoneFactor, minFactor)
	}
	return e.Weight
}
