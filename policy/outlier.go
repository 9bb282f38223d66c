package policy

import "time"

const (
	ejectionThreshold        = 2.0 // score of failures
	minEjectionTime          = time.Second
	maxEjectionTime          = 8 * time.Second
	readyPerEjected          = 3 // at most one in so many ready endpoints is ejected
	healthyThreshold         = 2 // passed checks in a row that end an ejection
	successFailureFactor     = 0.5
	establishedFailureFactor = 0.3
)

// failureScores is what an attempt that ended so adds to the score of its endpoint.
var failureScores = [...]float64{Failed: 1, TimedOut: 0.5, ConnectFailed: 2, Reset: 1, NeverSent: 0}

// recordOutcome updates what is known of an endpoint by how an attempt or a session ended there.
func (b *Balancer) recordOutcome(s *session, outcome Outcome) {
	e := s.endpoint
	wasEstablished := s.state == stateEstablished
	switch {
	case outcome == Succeeded:
		e.failures *= successFailureFactor
	case !wasEstablished:
		e.failures += failureScores[outcome]
	case outcome == Reset: // a sign of overload, not of a fault
		b.distrustReports(e)
	}
	hasCapacity := b.reportsSpareCapacity(e, skipThreshold.demand/2)
	hasShedLoad := outcome == Reset && wasEstablished && !hasCapacity
	if outcome == Rejected || outcome == ConnectFailed || hasShedLoad {
		b.markOverloaded(e, s.load)
	}
	b.ejectIfOutlier(e)
}

// ejectIfOutlier ejects an endpoint whose attempts fail, unless too many are ejected already.
func (b *Balancer) ejectIfOutlier(e *endpoint) {
	isOutlier := e.failures >= ejectionThreshold && !e.ejected && e.State == Ready
	if !isOutlier {
		return
	}
	ready := b.newestPool().endpoints
	ejected := 0
	for _, other := range ready {
		if other.ejected {
			ejected++
		}
	}
	if ejected >= max(1, len(ready)/readyPerEjected) || ejected+1 >= len(ready) {
		return
	}
	e.ejected = true
	e.passedChecks = 0
	e.nextCheckAt = b.now + b.random.jitter(e.ejectionTime)
	e.ejectionTime = min(2*e.ejectionTime, maxEjectionTime)
}

// endEjection ends an ejection on probation: one failure ejects the endpoint again, for longer.
func (e *endpoint) endEjection() {
	e.ejected = false
	e.failures = ejectionThreshold / 2
}
