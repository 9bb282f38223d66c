package policy

import "time"

// RequestHealthCheck has an endpoint checked at once, as its newest load report may be an outlier. It has no
// effect in large deployments, where other balancers check it anyway.
func (b *Balancer) RequestHealthCheck(id EndpointID) {
	if b.isSmallDeployment() {
		b.endpointFor(id).nextCheckAt = b.now
	}
}

// HealthCheckEnded reports how a health check ended. Load reports that it brought are recorded before.
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

// planHealthCheck plans a check of an endpoint if one is due, and ends an ejection where checks are impossible.
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

// pollsRegularly reports whether this balancer polls an endpoint's load report regularly: with few sessions it
// polls none, and none of a warming endpoint that the host would have to measure.
func (b *Balancer) pollsRegularly(e *endpoint) bool {
	hasEnoughSessions := maxPolledPerSession*b.activeSessions >= len(b.newestPool().endpoints)
	return b.config.HasLoadReports && hasEnoughSessions && (b.config.HasEndpointReports || !b.isWarmingUp(e))
}
