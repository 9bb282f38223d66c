package changefeed

import (
	"slices"
	"time"
)

const (
	minReplaceDelay      = 20 * time.Second       // minimum delay before a better ranked publisher replaces a worse one; jittered up to three times as long
	seedReplaceDelay     = 2 * time.Second        // mean delay before the replacement of a publisher that was dialed as a seed
	isolatedDialInterval = 200 * time.Millisecond // mean interval between dials to failed candidates while no connection is open
)

// activeSummary aggregates the states of the active candidates for reconcile.
type activeSummary struct {
	openConnections int  // number of open connections
	hasFailing      bool // an active candidate is to be avoided because it failed
	hasUnproven     bool // an active candidate is being dialed, or has not shown yet whether it is healthy
	hasSeed         bool // an active candidate was dialed as a seed
}

// summarizeActive returns a summary of the active candidates, without hasSeed.
func (s *Subscriber) summarizeActive() activeSummary {
	var summary activeSummary
	for _, c := range s.activeCandidates {
		if c.state == stateOpen {
			summary.openConnections++
		}
		if c.avoidUntil > s.now {
			summary.hasFailing = true
		}
		if c.state == stateDialing || !c.isHealthy && c.avoidUntil <= s.now {
			summary.hasUnproven = true
		}
	}
	return summary
}

// reconcile dials candidates and closes connections so that the active candidates become the chosen ones.
func (s *Subscriber) reconcile() {
	summary := s.summarizeActive()
	chosen := s.choosePublishers(summary.openConnections == 0)
	for _, c := range chosen {
		c.dialedAsSeed = false
	}
	summary.hasSeed = slices.ContainsFunc(s.activeCandidates, func(c *candidate) bool { return c.dialedAsSeed })
	if len(s.activeCandidates) > targetPublishers {
		if !summary.hasUnproven {
			s.dropWorst(chosen)
		}
		return
	}
	for _, c := range chosen {
		if c.state != stateIdle {
			continue
		}
		if len(s.activeCandidates) >= targetPublishers {
			s.scheduleReplacement(c, summary)
			return
		}
		if summary.openConnections == 0 && (c.hasFailed || c.hasRejected) {
			if s.now < s.nextDialAt {
				return
			}
			s.nextDialAt = s.now + s.jitter(isolatedDialInterval)
		}
		s.dial(c)
	}
	s.replacementDueAt = 0
	if !summary.hasFailing && !summary.hasUnproven {
		s.urgentReplacements = 0
	}
}

// scheduleReplacement dials a better candidate after a random delay, one candidate at a time. The delay is short while an active publisher
// is failing, but grows with each consecutive replacement of a failing one.
func (s *Subscriber) scheduleReplacement(c *candidate, summary activeSummary) {
	switch {
	case summary.hasUnproven:
	case s.replacementDueAt != 0 && s.now >= s.replacementDueAt:
		s.replacementDueAt = 0
		if summary.hasFailing {
			s.urgentReplacements++
		}
		s.dial(c)
	case summary.hasFailing && !s.replacementIsUrgent:
		s.replacementDueAt = s.now + s.backoff(s.urgentReplacements)
		s.replacementIsUrgent = true
		return
	case s.replacementDueAt != 0:
		return
	case summary.hasSeed:
		s.replacementDueAt = s.now + s.jitter(seedReplaceDelay)
	default:
		s.replacementDueAt = s.now + minReplaceDelay + time.Duration(s.rng.Float64()*float64(2*minReplaceDelay))
	}
	s.replacementIsUrgent = false
}

// dropWorst closes the connection to the active candidate with the lowest retention rank. Of several with that rank it closes the last one
// that is to be avoided, or else the first one.
func (s *Subscriber) dropWorst(chosen []*candidate) {
	worst := s.activeCandidates[0]
	for _, c := range s.activeCandidates[1:] {
		rank, worstRank := s.retentionRank(c, chosen), s.retentionRank(worst, chosen)
		if rank < worstRank || rank == worstRank && c.avoidUntil > s.now {
			worst = c
		}
	}
	s.emit(Event{Kind: EventUnsubscribed, Addr: worst.address, Detail: "replaced by a better ranked publisher"})
	if worst.state == stateOpen {
		s.send(worst, Message{Disconnect: &Disconnect{}})
	}
	s.closeConnection(worst)
}

// retentionRank returns how much an active candidate is worth keeping: candidates are compared by whether they are healthy, then by
// whether they are chosen, then by whether they are listed.
func (s *Subscriber) retentionRank(c *candidate, chosen []*candidate) int {
	const (
		listedRank  = 1
		chosenRank  = 2
		healthyRank = 4
	)
	rank := 0
	if c.isHealthy && c.avoidUntil <= s.now {
		rank += healthyRank
	}
	if slices.Contains(chosen, c) {
		rank += chosenRank
	}
	if c.isListed {
		rank += listedRank
	}
	return rank
}
