package policy

import "time"

const (
	ejectionThreshold        = 2.0             // failure score from which an endpoint is ejected
	minEjectionTime          = time.Second     // duration of the first ejection; each further one lasts twice as long
	maxEjectionTime          = 8 * time.Second // duration of the longest ejection
	readyPerEjected          = 3               // number of ready endpoints for each one that may be ejected at a time
	healthyThreshold         = 2               // number of successful health checks in a row that end an ejection
	successFailureFactor     = 0.5             // factor on the failure score when a session succeeds
	establishedFailureFactor = 0.3             // factor on the failure score when an attempt establishes its session
)

// failureScores are added to the failure score of an endpoint when an attempt ends there, by outcome.
var failureScores = [...]float64{Failed: 1, TimedOut: 0.5, ConnectFailed: 2, Reset: 1, NeverSent: 0}

// recordOutcome updates the failure score and the assumed capacity of an endpoint when an attempt or a session
// has ended there.
func (b *Balancer) recordOutcome(s *session, outcome Outcome) {
	e := s.endpoint
	wasEstablished := s.state == stateEstablished
	switch {
	case outcome == Succeeded:
		e.failures *= successFailureFactor
	case !wasEstablished:
		e.failures += failureScores[outcome]
	case outcome == Reset: // the end of an established session by a reset indicates overload rather than a fault
		b.distrustReports(e)
	}
	hasCapacity := b.reportsSpareCapacity(e, skipThreshold.demand/2)
	hasShedLoad := outcome == Reset && wasEstablished && !hasCapacity
	if outcome == Rejected || outcome == ConnectFailed || hasShedLoad {
		b.markOverloaded(e, s.load)
	}
	b.ejectIfOutlier(e)
}

// ejectIfOutlier ejects an endpoint whose failure score is too high, unless too many endpoints are ejected
// already.
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

// endEjection ends an ejection and leaves the endpoint on probation: a single further failure ejects it again,
// for a longer time.
func (e *endpoint) endEjection() {
	e.ejected = false
	e.failures = ejectionThreshold / 2
}
