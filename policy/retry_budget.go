package policy

import (
	"math"
	"time"
)

const (
	recentWindow            = 3 * time.Second // time constant with which recent counts decay
	baseAttempts            = 9.0             // attempts of all balancers together while some fail
	lateDivisor             = 3               // of the setup objective: a slower setup is late and indicates a queue
	maxRejectsInARow        = 12              // so that a recovery is noticed
	minOverloadedForRetries = 0.2             // fraction of overloaded endpoints from which late setups don't count
)

// recentCounts are counts that decay exponentially with recentWindow.
type recentCounts struct {
	established  float64 // attempts
	failed       float64 // attempts, in a way that does not indicate one faulty endpoint
	late         float64 // established attempts that took long
	warmupDemand float64 // sessions that came to a warming endpoint
	decayedAt    time.Duration
}

func (c *recentCounts) decay(now time.Duration) {
	factor := math.Exp(-float64(now-c.decayedAt) / float64(recentWindow))
	c.established *= factor
	c.failed *= factor
	c.late *= factor
	c.warmupDemand *= factor
	c.decayedAt = now
}

func (b *Balancer) recordEstablished(class *Class, took time.Duration) {
	b.recentCounts.decay(b.now)
	b.recentCounts.established++
	b.pause.end(b.now)
	if took > class.SetupObjective/lateDivisor {
		b.recentCounts.late++
	} else {
		b.pause.shorten()
	}
	if took > class.SetupObjective {
		b.pauseAttempts() // the next attempt would wait in the same queue
	}
}

func (b *Balancer) recordAttemptFailure(outcome Outcome) {
	if outcome == Failed || outcome == TimedOut {
		b.recentCounts.decay(b.now)
		b.recentCounts.failed++
	}
	if outcome == TimedOut {
		b.pauseAttempts()
	}
}

// isRetryBudgetSpent reports whether a session gets no attempt because attempts fail at all endpoints alike.
// Beyond the budget, or during a pause, none is made; below it they are rejected with the probability of
// failure.
func (b *Balancer) isRetryBudgetSpent(s *session) bool {
	established := b.recentCounts.established
	failed := b.recentCounts.failed + b.recentCounts.late
	base := baseAttempts * (established + 1) / (established + failed + 1) / float64(b.config.Balancers)
	expected := established * s.class.SetupObjective.Seconds() / recentWindow.Seconds()
	budget := math.Floor(base + expected + b.random.float64())
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

// areRetriesFutile reports whether attempts fail so often that another endpoint is no remedy.
func (b *Balancer) areRetriesFutile() bool {
	failed := b.recentCounts.failed
	if b.overloadFraction < minOverloadedForRetries {
		failed += b.recentCounts.late
	}
	return 2*failed > b.recentCounts.established+4
}
