package policy

import (
	"slices"
	"time"
)

const (
	reportTTL           = 4 * time.Second        // load reports that are older are ignored
	freshReportTTL      = 2 * time.Second        // older ones are polled again before an attempt
	reportInterval      = 700 * time.Millisecond // between two polls of an endpoint by all balancers together
	firstReportInterval = 50 * time.Millisecond  // the same for the first poll
	distrustTTL         = 10 * time.Second       // for which reports of spare capacity are ignored once refuted
	maxPolledPerSession = 4                      // endpoints polled for each active session
	maxPolls            = 3                      // load reports that one session waits for
	pollTimeoutDivisor  = 4                      // of the setup objective: the longest wait for a report
	targetDemand        = 0.85                   // over capacity: endpoints with load reports are filled up to it
	provenLoadGrowth    = 2.0                    // of an endpoint's load, permitted by a report of spare capacity
)

// LoadReport is a load report of one endpoint. Negative figures are unknown.
type LoadReport struct {
	Demand      float64 // load asked for over capacity; above 1 work piles up
	Backlog     float64 // seconds of work that wait
	Utilization float64 // of the processor, 1 for all of it
}

// NoLoadReport is a report in which nothing is known.
var NoLoadReport = LoadReport{-1, -1, -1}

// RecordLoadReport records a load report of an endpoint.
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

// distrustReports ignores reports of spare capacity from an endpoint's failure domain for a while, if the
// endpoint has just sent one and is overloaded all the same. Without this each balancer would trust it once.
func (b *Balancer) distrustReports(e *endpoint) {
	if b.config.HasEndpointReports && b.now-e.reportedAt <= reportTTL && e.demand < skipThreshold.demand/2 {
		b.reportsDistrustedUntil[e.location()] = b.now + distrustTTL
	}
}

// reportsSpareCapacity reports whether a fresh and trusted load report has a demand below the given one.
func (b *Balancer) reportsSpareCapacity(e *endpoint, demand float64) bool {
	isTrusted := b.reportsDistrustedUntil[e.location()] <= b.now
	return isTrusted && b.now-e.reportedAt <= freshReportTTL && e.demand < demand
}

// canPoll reports whether an endpoint's load report is old and a session may still wait for a new one. Reports
// of warming endpoints that the host would have to measure are not worth a poll.
func (b *Balancer) canPoll(s *session, e *endpoint) bool {
	isOld := b.now-e.reportedAt > freshReportTTL && (b.config.HasEndpointReports || !b.isWarmingUp(e))
	return b.config.CanHealthCheck && b.config.HasLoadReports && isOld && s.polls < maxPolls && s.polledEndpoint != e
}

// waitForReport has a session wait for an endpoint's load report, unless its deadline is too near.
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

// resumeWaiting queues the sessions that waited for an endpoint's report, and those that waited long enough.
func (b *Balancer) resumeWaiting(reported *endpoint) {
	b.waitingSessions = slices.DeleteFunc(b.waitingSessions, func(s *session) bool {
		isDue := s.polledEndpoint == reported || s.reportDeadline <= b.now
		if isDue {
			b.queue = append(b.queue, s)
		}
		return isDue
	})
}
