package changefeed

import (
	"slices"
	"time"
)

const (
	minReplaceDelay      = 20 * time.Second       // before a better ranked publisher replaces a worse one; jittered up to three times as long
	seedReplaceDelay     = 2 * time.Second        // the same for one that was dialed as a seed
	isolatedDialInterval = 200 * time.Millisecond // mean interval of dials to failed candidates while no connection is open
)

// activeSummary is what reconcile needs to know of the active candidates together.
type activeSummary struct {
	open      int
	isFailing bool // one of them is to be avoided
	isPending bool // one of them has yet to show whether it is healthy
	hasSeed   bool // one of them was dialed as a seed
}

func (s *Subscriber) summarizeActive() activeSummary {
	var summary activeSummary
	for _, c := range s.active {
		if c.state == stateOpen {
			summary.open++
		}
		if c.avoidUntil > s.now {
			summary.isFailing = true
		}
		if c.state == stateDialing || !c.healthy && c.avoidUntil <= s.now {
			summary.isPending = true
		}
	}
	return summary
}

// reconcile dials and closes connections so that the active candidates become the chosen ones.
func (s *Subscriber) reconcile() {
	summary := s.summarizeActive()
	chosen := s.choose(summary.open == 0)
	for _, c := range chosen {
		c.dialedAsSeed = false
	}
	summary.hasSeed = slices.ContainsFunc(s.active, func(c *candidate) bool { return c.dialedAsSeed })
	if len(s.active) > targetPublishers {
		if !summary.isPending {
			s.dropWorst(chosen)
		}
		return
	}
	for _, c := range chosen {
		if c.state != stateIdle {
			continue
		}
		if len(s.active) >= targetPublishers {
			s.scheduleReplacement(c, summary)
			return
		}
		if summary.open == 0 && (c.hasFailed || c.rejected) {
			if s.now < s.nextDialAt {
				return
			}
			s.nextDialAt = s.now + s.jitter(isolatedDialInterval)
		}
		s.dial(c)
	}
	s.replaceAt = 0
	if !summary.isFailing && !summary.isPending {
		s.replaceAttempts = 0
	}
}

// scheduleReplacement dials a better candidate after a random delay, one at a time. The delay is short where an active publisher is
// failing, but grows with each attempt that did not lead to a healthy one.
func (s *Subscriber) scheduleReplacement(c *candidate, summary activeSummary) {
	switch {
	case summary.isPending:
	case s.replaceAt != 0 && s.now >= s.replaceAt:
		s.replaceAt = 0
		if summary.isFailing {
			s.replaceAttempts++
		}
		s.dial(c)
	case summary.isFailing && !s.replaceSoon:
		s.replaceAt = s.now + s.backoff(s.replaceAttempts)
		s.replaceSoon = true
		return
	case s.replaceAt != 0:
		return
	case summary.hasSeed:
		s.replaceAt = s.now + s.jitter(seedReplaceDelay)
	default:
		s.replaceAt = s.now + minReplaceDelay + time.Duration(s.rng.Float64()*float64(2*minReplaceDelay))
	}
	s.replaceSoon = false
}

// dropWorst closes the connection to the worst of the active candidates. Of equal ones it drops the first, or the last that is failing.
func (s *Subscriber) dropWorst(chosen []*candidate) {
	worst := s.active[0]
	for _, c := range s.active[1:] {
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

// retentionRank orders active candidates by whether they are healthy, chosen and listed, in this order of importance.
func (s *Subscriber) retentionRank(c *candidate, chosen []*candidate) int {
	const (
		listedRank  = 1
		chosenRank  = 2
		healthyRank = 4
	)
	rank := 0
	if c.healthy && c.avoidUntil <= s.now {
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
