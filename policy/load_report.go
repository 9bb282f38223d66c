package policy

import (
	"slices"
	"time"
)

const (
	reportTTL           = 4 * time.Second        // age beyond which a load report is ignored
	freshReportTTL      = 2 * time.Second        // age beyond which a load report is polled again before an attempt
	reportInterval      = 700 * time.Millisecond // time between two polls of an endpoint by all balancers together
	firstReportInterval = 50 * time.Millisecond  // longest delay of the first poll of an endpoint, divided by the number of balancers
	distrustTTL         = 10 * time.Second       // time for which reports of spare capacity are ignored after one was wrong
	maxPolledPerSession = 4                      // endpoints in the pool for each active session, above which none is polled regularly
	maxPolls            = 3                      // maximum number of load reports that one session waits for
	pollTimeoutDivisor  = 4                      // divides the setup objective into the longest wait of a session for one load report
	targetDemand        = 0.85                   // demand relative to the capacity up to which endpoints with load reports are filled
	provenLoadGrowth    = 2.0                    // factor by which an endpoint's load may grow after a report of spare capacity
)

// LoadReport is a load report of one endpoint. A negative field is unknown.
type LoadReport struct {
	Demand      float64 // requested load relative to the capacity; above 1 the backlog grows
	Backlog     float64 // queued work in seconds
	Utilization float64 // utilization of the processor, where 1 is all of it
}

// NoLoadReport is a load report in which every field is unknown.
var NoLoadReport = LoadReport{-1, -1, -1}

// RecordLoadReport records a load report of an endpoint and adjusts the capacity that the endpoint is assumed to
// have. A report without demand and utilization is ignored.
func (b *Balancer) RecordLoadReport(id EndpointID, report LoadReport) {
	e, isKnown := b.endpointByID[id]
	hasDemand := report.Demand >= 0
	hasUtilization := report.Utilization >= 0
	if !isKnown || !hasDemand && !hasUtilization {
		return
	}
	e.demand = report.Demand
	if report.Demand < 0 {
		e.demand = report.Utilization
	}
	e.reportedAt = b.now
	e.capacity = max(e.capacity, e.load*provenLoadGrowth)
	e.provenLoad = e.load
	if e.demand > skipThreshold.demand/2 {
		e.capacity = e.load * targetDemand / e.demand
		e.provenLoad = 0
	}
}

// distrustReports makes the balancer ignore reports of spare capacity from an endpoint's failure domain for
// distrustTTL, if the endpoint is overloaded although it has just reported spare capacity. Without this, each
// balancer would trust such a report once.
func (b *Balancer) distrustReports(e *endpoint) {
	if b.config.HasEndpointReports && b.now-e.reportedAt <= reportTTL && e.demand < skipThreshold.demand/2 {
		b.reportsDistrustedUntil[e.location()] = b.now + distrustTTL
	}
}

// reportsSpareCapacity reports whether the newest load report of an endpoint is fresh and trusted and has a
// demand below the given one.
func (b *Balancer) reportsSpareCapacity(e *endpoint, demand float64) bool {
	isTrusted := b.reportsDistrustedUntil[e.location()] <= b.now
	return isTrusted && b.now-e.reportedAt <= freshReportTTL && e.demand < demand
}

// canPoll reports whether the load report of an endpoint is so old that a session should wait for a new one, and
// the session may still wait. Warming endpoints are not polled if the host would have to measure their load.
func (b *Balancer) canPoll(s *session, e *endpoint) bool {
	isOld := b.now-e.reportedAt > freshReportTTL && (b.config.HasEndpointReports || !b.isWarmingUp(e))
	return b.config.CanHealthCheck && b.config.HasLoadReports && isOld && s.polls < maxPolls && s.polledEndpoint != e
}

// waitForReport makes a session wait for the load report of an endpoint. It reports false if the deadline of the
// session is too near for that.
func (b *Balancer) waitForReport(s *session, e *endpoint) bool {
	s.polls++
	s.polledEndpoint = e
	s.reportDeadline = b.now + s.class.SetupObjective/pollTimeoutDivisor
	if s.reportDeadline+s.class.SetupObjective >= s.deadline {
		return false
	}
	b.waitingSessions = append(b.waitingSessions, s)
	return true
}

// resumeWaiting queues the sessions that waited for the load report of the given endpoint, and those whose wait
// has timed out.
func (b *Balancer) resumeWaiting(polled *endpoint) {
	b.waitingSessions = slices.DeleteFunc(b.waitingSessions, func(s *session) bool {
		isDue := s.polledEndpoint == polled || s.reportDeadline <= b.now
		if isDue {
			b.queue = append(b.queue, s)
		}
		return isDue
	})
}
