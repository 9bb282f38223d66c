package policy

import (
	"math"
	"time"
)

const (
	recentWindow               = 3 * time.Second // time constant of the decay of recent counts
	baseAttempts               = 9.0             // pending attempts that all balancers together may have, beyond the expected ones, while some attempts fail
	lateDivisor                = 3               // divides the setup objective into the time beyond which a setup is late, which indicates a queue
	maxRejectsInARow           = 12              // rejects in a row after which an attempt is made, so that a recovery is noticed
	minOverloadFractionForLate = 0.2             // fraction of overloaded endpoints from which late setups do not count as failures
)

// recentCounts are counts of events that decay exponentially with the time constant recentWindow.
type recentCounts struct {
	established  float64       // attempts that established their session
	failed       float64       // attempts that failed in a way that does not indicate a single faulty endpoint
	late         float64       // established attempts that took long enough to indicate a queue
	warmupDemand float64       // sessions for which a warming endpoint was considered
	decayedAt    time.Duration // time up to which the counts have decayed
}

// decay reduces the counts for the time that has passed since the last call.
func (c *recentCounts) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.decayedAt) / float64(recentWindow))
	c.established *= factor
	c.failed *= factor
	c.late *= factor
	c.warmupDemand *= factor
	c.decayedAt = now
}

// recordEstablished counts an attempt that has established its session and updates the pause of attempts.
func (b *Balancer) recordEstablished(class *Class, setupTime time.Duration) {
	b.recentCounts.decay(b.now)
	b.recentCounts.established++
	b.pause.end(b.now)
	if setupTime > class.SetupObjective/lateDivisor {
		b.recentCounts.late++
	} else {
		b.pause.shorten()
	}
	if setupTime > class.SetupObjective {
		b.pauseAttempts() // the next attempt would wait in the same queue
	}
}

// recordAttemptFailure counts a failed attempt, unless its outcome indicates a single faulty endpoint, and
// pauses attempts after a timeout.
func (b *Balancer) recordAttemptFailure(outcome Outcome) {
	if outcome == Failed || outcome == TimedOut {
		b.recentCounts.decay(b.now)
		b.recentCounts.failed++
	}
	if outcome == TimedOut {
		b.pauseAttempts()
	}
}

// isRetryBudgetSpent reports whether a session gets no attempt because attempts fail at all endpoints alike. No
// attempt is made during a pause, or while attempts fail and the pending ones use up the budget; otherwise
// sessions are denied an attempt at random, with a probability that grows with the fraction of failed attempts.
// After many rejects in a row and no attempt for recentWindow, one is made in any case, so that a recovery is
// noticed.
func (b *Balancer) isRetryBudgetSpent(s *session) bool {
	established := b.recentCounts.established
	failed := b.recentCounts.failed + b.recentCounts.late
	baseBudget := baseAttempts * (established + 1) / (established + failed + 1) / float64(b.config.Balancers)
	expectedPending := established * s.class.SetupObjective.Seconds() / recentWindow.Seconds()
	budget := math.Floor(baseBudget + expectedPending + b.random.float64())
	if b.rejectsInARow >= maxRejectsInARow && b.now-b.lastAttemptAt >= recentWindow {
		return false
	}
	if b.now < b.pause.until {
		return true
	}
	if float64(b.pendingAttempts) >= budget && failed > 1+established/8 {
		return true
	}
	return b.random.float64() < (failed-established-1)/(failed+established+1)
}

// areRetriesFutile reports whether so many attempts fail that a retry at another endpoint is unlikely to help.
func (b *Balancer) areRetriesFutile() bool {
	failed := b.recentCounts.failed
	if b.overloadFraction < minOverloadFractionForLate {
		failed += b.recentCounts.late
	}
	return 2*failed > b.recentCounts.established+4
}
