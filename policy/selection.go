package policy

import "math"

const (
	maxSessionsOverMean   = 2.0 // sessions at an endpoint, over the mean,
	extraSessions         = 2   // and so many more
	maxUnprovenLoadFactor = 2.0 // load at an endpoint over its fair share, while no report shows spare capacity
	maxGossipLoadFactor   = 1.2 // the same where gossip brings the loads of the other balancers
	minFairSessions       = 4.0 // sessions at each endpoint that the fair share is computed for, at least
	minTakeoverFactor     = 0.7 // factor on unprovenShare while this balancer has many more sessions than on average
	warmupKeyFactor       = 1.7 // part of its keys that a warming endpoint takes, over its slow-start factor
)

// relaxation says how many reasons to skip an endpoint are dropped; each step drops one more.
type relaxation int

const (
	relaxNone     relaxation = iota
	relaxLimits              // session limits, fair shares and warm-up shares no longer count
	relaxSkipping            // skipThreshold no longer counts
	relaxEjection            // ejections and earlier attempts no longer count: only overload does
)

// selection is the search for one session's endpoint.
type selection struct {
	*Balancer
	session     *session
	ranking     ranking
	totalWeight float64 // of the endpoints that are not ejected, warming ones by their slow-start factor
	fairLoad    float64 // load for each unit of weight that an endpoint takes, +Inf if unlimited
}

// selectEndpoint returns the first endpoint in a session's order that has no reason to be skipped, nil if
// there is none. Reasons are dropped one by one up to maxRelaxation.
func (b *Balancer) selectEndpoint(s *session, maxRelaxation relaxation) *endpoint {
	search := b.newSelection(s)
	for relaxed := relaxNone; relaxed <= maxRelaxation; relaxed++ {
		if e := search.firstEligible(relaxed); e != nil {
			return e
		}
	}
	return nil
}

func (b *Balancer) newSelection(s *session) selection {
	search := selection{Balancer: b, session: s, ranking: b.rankEndpoints(s)}
	load := s.load
	weight := epsilon
	for _, e := range b.newestPool().endpoints {
		load += e.knownLoad()
		if !e.ejected {
			factor := b.slowStartFactor(e)
			search.totalWeight += b.zoneWeight(e, search.ranking.remoteZoneFactor, minRemoteFactor) * factor
			weight += e.Weight * factor
		}
	}
	search.fairLoad = b.fairLoad(load, weight, len(search.ranking.endpoints))
	return search
}

// fairLoad is the load for each unit of weight that an endpoint takes while nothing shows that it can bear
// more. It is unlimited where weights are estimates and no load reports come.
func (b *Balancer) fairLoad(load, weight float64, endpoints int) float64 {
	switch {
	case b.gossip.isCurrent:
		return maxGossipLoadFactor * load / weight
	case b.config.HasExactWeights:
		return maxUnprovenLoadFactor * load / weight
	case b.config.HasLoadReports:
		// A balancer that just took over another one's sessions would place them before any report can tell.
		growth := max(minTakeoverFactor, min(1, b.meanActiveSessions/float64(max(b.activeSessions, 1))))
		return max(maxUnprovenLoadFactor*growth*load, minFairSessions*b.meanLoad()*float64(endpoints)) / weight
	default:
		return math.Inf(1)
	}
}

// firstEligible returns the firstEligible endpoint within the session's reach that is not skipped, or nil.
func (search *selection) firstEligible(relaxed relaxation) *endpoint {
	remaining := search.ranking.maxCandidates
	for _, ranked := range search.ranking.endpoints {
		e := ranked.endpoint
		if !search.skips(e, relaxed) && search.canAttempt(search.session, e) {
			return e
		}
		if search.isWarmingUp(e) {
			continue // else a group whose first endpoints have all restarted would be rejected
		}
		remaining--
		if remaining == 0 {
			break
		}
	}
	return nil
}

// skips reports whether there is a reason for the session not to use an endpoint.
func (search *selection) skips(e *endpoint, relaxed relaxation) bool {
	if relaxed < relaxEjection && (e.ejected || search.session.hasAttempted(e)) {
		return true
	}
	if relaxed < relaxSkipping && search.exceeds(e, skipThreshold) {
		return true
	}
	if relaxed < relaxLimits && search.isBeyondLimits(e) {
		return true
	}
	return search.lacksCapacity(e)
}

// isBeyondLimits reports whether an endpoint has its share of the sessions, of the load or of the keys.
func (search *selection) isBeyondLimits(e *endpoint) bool {
	factor := search.slowStartFactor(e)
	weight := search.zoneWeight(e, search.ranking.remoteZoneFactor, minRemoteFactor) * factor
	maxSessions := maxSessionsOverMean*float64(search.activeSessions)*weight/max(search.totalWeight, epsilon) + extraSessions
	maxLoad := max(search.fairLoad*e.Weight*factor, provenLoadGrowth*e.provenLoad)
	load := e.knownLoad() + search.session.load
	return search.isOutsideWarmupShare(e) || float64(len(e.sessions)) > maxSessions || load > maxLoad
}

// isOutsideWarmupShare reports whether the client's key is among those that a warming endpoint does not take yet. In
// large deployments canWarmUp bounds them by chance instead.
func (search *selection) isOutsideWarmupShare(e *endpoint) bool {
	if !search.isSmallDeployment() || search.gossip.isCurrent {
		return false
	}
	return unitInterval(hashPair(search.session.clientKey, ^uint64(e.ID))) >= warmupKeyFactor*search.slowStartFactor(e)
}

// lacksCapacity reports whether an endpoint is overloaded, or would be by this session, or must be assumed to
// be.
func (search *selection) lacksCapacity(e *endpoint) bool {
	if search.exceeds(e, migrateThreshold) {
		return true
	}
	isAssumedOverloaded := len(e.sessions) == 0 && search.assumesOverload(e)
	isFull := e.knownLoad()+search.session.load > e.capacity
	return (isAssumedOverloaded || isFull) && !search.mayHaveSpareCapacity(e)
}

// mayHaveSpareCapacity reports whether a fresh load report, used only once, tells of spare capacity, or
// whether a poll for a new report comes before the attempt. An old report rejects nobody.
func (search *selection) mayHaveSpareCapacity(e *endpoint) bool {
	if search.config.HasEndpointReports && search.canPoll(search.session, e) {
		return true
	}
	return search.reportsSpareCapacity(e, skipThreshold.demand) && e.attemptedAt < e.reportedAt
}

// assumesOverload reports whether an endpoint without sessions of this balancer, whose latency is thus
// unknown, is taken for overloaded: as often, by chance, as those with sessions are. The chance is drawn anew
// each latencyTTL.
func (search *selection) assumesOverload(e *endpoint) bool {
	window := search.hashSeed + uint64(search.now/latencyTTL)
	return unitInterval(hashPair(uint64(e.ID), window)) < search.overloadFraction
}
