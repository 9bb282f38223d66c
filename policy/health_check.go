package policy

import "time"

// RequestHealthCheck schedules an immediate health check of an endpoint whose newest load report may be an
// outlier. It has no effect in large deployments, where other balancers check the endpoint anyway.
func (b *Balancer) RequestHealthCheck(id EndpointID) {
	if b.attemptPauseDisabled() {
		b.endpointFor(id).nextCheckAt = b.now
	}
}

// HealthCheckEnded records the outcome of a health check. A load report that came with the check must be
// recorded before Next is called, which decides on the sessions that have waited for it.
func (b *Balancer) HealthCheckEnded(id EndpointID, outcome Outcome) {
	e, isKnown := b.endpointByID[id]
	if !isKnown || !e.checkPending {
		return
	}
	e.checkPending = false
	b.resumeWaiting(e)
	switch {
	case !e.ejected:
		if outcome == ConnectFailed || outcome == TimedOut || outcome == Reset {
			b.markOverloaded(e, 0)
		}
	case outcome != Succeeded:
		e.passedChecks = 0
		e.nextCheckAt = b.now + b.random.jitter(minEjectionTime)
	default:
		e.nextCheckAt = b.now + roundInterval
		e.passedChecks++
		if e.passedChecks >= healthyThreshold {
			e.endEjection()
		}
	}
}

// planHealthCheck plans a health check of an endpoint if one is due. If health checks are not possible, it ends
// a due ejection instead.
func (b *Balancer) planHealthCheck(e *endpoint) {
	if e.State != Ready || e.checkPending || e.nextCheckAt > b.now {
		return
	}
	if !b.config.CanHealthCheck {
		if e.ejected {
			e.endEjection()
		}
		return
	}
	if !e.ejected && !b.pollsRegularly(e) {
		return
	}
	b.plannedDecisions = append(b.plannedDecisions, Decision{Action: HealthCheck, Endpoint: e.ID})
	e.checkPending = true
	interval := time.Duration(b.config.Balancers) * reportInterval
	e.nextCheckAt = b.now + b.random.jitter(interval)
}

// pollsRegularly reports whether this balancer regularly polls the load report of an endpoint. It polls none
// while it has few sessions, and not that of a warming endpoint if the host would have to measure the load.
func (b *Balancer) pollsRegularly(e *endpoint) bool {
	hasEnoughSessions := maxPolledPerSession*b.activeSessions >= len(b.newestPool().endpoints)
	return b.config.HasLoadReports && hasEnoughSessions && (b.config.HasEndpointReports || !b.isWarmingUp(e))
}
