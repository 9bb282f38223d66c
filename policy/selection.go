package policy

import "math"

const (
	maxSessionsOverMean   = 2.0 // maximum number of sessions at an endpoint, as a multiple of its share of the sessions
	extraSessions         = 2   // number of sessions that an endpoint may have beyond maxSessionsOverMean
	maxUnprovenLoadFactor = 2.0 // maximum load at an endpoint relative to its fair share, while no report shows spare capacity
	maxGossipLoadFactor   = 1.2 // maximum load at an endpoint relative to its fair share, if gossip provides the loads of the other balancers
	minFairSessions       = 4.0 // number of sessions per endpoint for which the fair share is computed if there are fewer
	minTakeoverFactor     = 0.7 // lower bound of the factor on maxUnprovenLoadFactor after a sudden growth of active sessions
	warmupKeyFactor       = 1.7 // ratio of the fraction of its keys that a warming endpoint accepts to its slow-start factor
)

// relaxation tells how many of the reasons to skip an endpoint are ignored. Each step ignores one more.
type relaxation int

const (
	relaxNone     relaxation = iota // all reasons to skip an endpoint count
	relaxLimits                     // ignores limits on sessions, fair shares of the load and the accepted keys of warming endpoints
	relaxSkipping                   // ignores the limits and skipThreshold
	relaxEjection                   // ignores the limits, skipThreshold, ejections and earlier attempts, so that only overload counts
)

// selection is the search for the endpoint of one session.
type selection struct {
	*Balancer
	session     *session
	ranking     ranking
	totalWeight float64 // total weight of the endpoints that are not ejected, multiplied by their slow-start factors
	fairLoad    float64 // maximum load per unit of weight, +Inf if unlimited
}

// selectEndpoint returns the first endpoint in the ranking of a session for which there is no reason to skip it,
// or nil if there is none. It ignores one reason after the other, up to maxRelaxation.
func (b *Balancer) selectEndpoint(s *session, maxRelaxation relaxation) *endpoint {
	search := b.newSelection(s)
	for relaxed := relaxNone; relaxed <= maxRelaxation; relaxed++ {
		if e := search.firstEligible(relaxed); e != nil {
			return e
		}
	}
	return nil
}

// newSelection prepares the search for the endpoint of a session.
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

// fairLoad returns the maximum load per unit of weight for an endpoint that has not shown that it can handle
// more. It is unlimited if the weights are estimates and there are no load reports.
func (b *Balancer) fairLoad(load, weight float64, endpoints int) float64 {
	switch {
	case b.gossip.isCurrent:
		return maxGossipLoadFactor * load / weight
	case b.config.HasExactWeights:
		return maxUnprovenLoadFactor * load / weight
	case b.config.HasLoadReports:
		// A balancer that has just taken over the sessions of another one would place them all before a load
		// report can show their effect.
		growth := max(minTakeoverFactor, min(1, b.meanActiveSessions/float64(max(b.activeSessions, 1))))
		return max(maxUnprovenLoadFactor*growth*load, minFairSessions*b.meanLoad()*float64(endpoints)) / weight
	default:
		return math.Inf(1)
	}
}

// firstEligible returns the first of the candidates that is not skipped and can be attempted, or nil if there is
// none.
func (search *selection) firstEligible(relaxed relaxation) *endpoint {
	remaining := search.ranking.maxCandidates
	for _, ranked := range search.ranking.endpoints {
		e := ranked.endpoint
		if !search.skips(e, relaxed) && search.canAttempt(search.session, e) {
			return e
		}
		if search.isWarmingUp(e) {
			continue // otherwise a group whose first endpoints have all restarted would be rejected
		}
		remaining--
		if remaining == 0 {
			break
		}
	}
	return nil
}

// skips reports whether the session has a reason to skip an endpoint.
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

// isBeyondLimits reports whether an endpoint has reached its share of the sessions or of the load, or does not
// accept the client's key yet.
func (search *selection) isBeyondLimits(e *endpoint) bool {
	factor := search.slowStartFactor(e)
	weight := search.zoneWeight(e, search.ranking.remoteZoneFactor, minRemoteFactor) * factor
	maxSessions := maxSessionsOverMean*float64(search.activeSessions)*weight/max(search.totalWeight, epsilon) + extraSessions
	maxLoad := max(search.fairLoad*e.Weight*factor, provenLoadGrowth*e.provenLoad)
	load := e.knownLoad() + search.session.load
	return search.isOutsideWarmupShare(e) || float64(len(e.sessions)) > maxSessions || load > maxLoad
}

// isOutsideWarmupShare reports whether a warming endpoint does not accept the client's key yet. In large
// deployments every key is accepted, because canAttemptWarming limits the sessions at random instead.
func (search *selection) isOutsideWarmupShare(e *endpoint) bool {
	if !search.attemptPauseDisabled() || search.gossip.isCurrent {
		return false
	}
	return unitInterval(hashPair(search.session.clientKey, ^uint64(e.ID))) >= warmupKeyFactor*search.slowStartFactor(e)
}

// lacksCapacity reports whether an endpoint is overloaded, would be overloaded by this session, or is assumed to
// be overloaded.
func (search *selection) lacksCapacity(e *endpoint) bool {
	if search.exceeds(e, migrateThreshold) {
		return true
	}
	isAssumedOverloaded := len(e.sessions) == 0 && search.assumesOverload(e)
	isFull := e.knownLoad()+search.session.load > e.capacity
	return (isAssumedOverloaded || isFull) && !search.mayHaveSpareCapacity(e)
}

// mayHaveSpareCapacity reports whether a fresh load report, used only once, shows spare capacity, or the
// endpoint will be polled for a new report before the attempt. An old report does not cause a reject.
func (search *selection) mayHaveSpareCapacity(e *endpoint) bool {
	if search.config.HasEndpointReports && search.canPoll(search.session, e) {
		return true
	}
	return search.reportsSpareCapacity(e, skipThreshold.demand) && e.attemptedAt < e.reportedAt
}

// assumesOverload reports whether an endpoint is assumed to be overloaded because this balancer has no sessions
// there and thus does not know the latency. The probability equals the overloaded fraction of the endpoints that
// have sessions. The random choice is renewed each latencyTTL.
func (search *selection) assumesOverload(e *endpoint) bool {
	window := search.hashSeed + uint64(search.now/latencyTTL)
	return unitInterval(hashPair(uint64(e.ID), window)) < search.overloadFraction
}
