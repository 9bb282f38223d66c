package policy

import "time"

// minAttemptTimeout is the lower bound of an attempt timeout, so that it is never 0.
const minAttemptTimeout = time.Microsecond

// decideSession returns the decision on a queued session: start an attempt, give the final answer, or first
// check the health of the selected endpoint to get a newer load report. It reports false if the host has nothing
// to do, because the session has its answer or waits for a health check that is already pending.
func (b *Balancer) decideSession(s *session) (Decision, bool) {
	if s.hasAnswer {
		return Decision{}, false
	}
	b.recentCounts.decay(b.now)
	hasWaited := s.reportDeadline > 0
	s.countedInWarmupDemand = s.countedInWarmupDemand && hasWaited
	s.reportDeadline = 0
	e := b.admit(s)
	if e == nil {
		return b.finalAnswer(s), true
	}
	if b.canPoll(s, e) {
		wasPending := e.checkPending
		if b.waitForReport(s, e) {
			e.checkPending = true
			return Decision{Action: HealthCheck, Endpoint: e.ID}, !wasPending
		}
	}
	return b.startAttempt(s, e), true
}

// admit returns the endpoint for the next attempt of a session, or nil if the session gets no further attempt. A
// session that finds only overloaded endpoints gets none, because admitting it would keep them overloaded.
func (b *Balancer) admit(s *session) *endpoint {
	if b.isDraining() {
		return nil
	}
	if b.isRetryBudgetSpent(s) && b.isRetrySafe(s) {
		return nil
	}
	return b.selectEndpoint(s, relaxEjection)
}

// finalAnswer returns the final answer to a session and forgets the session. The answer is Fail if a retry by
// the client could repeat an effect, and Reject otherwise.
func (b *Balancer) finalAnswer(s *session) Decision {
	s.hasAnswer = true
	b.rejectsInARow++
	delete(b.sessions, s.id)
	if !b.isRetrySafe(s) {
		b.recordRequestID(s)
		return Decision{Action: Fail, Session: s.id}
	}
	decision := Decision{Action: Reject, Session: s.id}
	if b.config.CanSendRetryAfter {
		// Jitter adds up to one half, so two thirds of the maximum keep Retry-After below it.
		decision.Duration = b.random.jitter(b.config.MaxRetryAfter * 2 / 3)
	}
	return decision
}

// startAttempt assigns a session to an endpoint and returns the decision to start an attempt there.
func (b *Balancer) startAttempt(s *session, e *endpoint) Decision {
	b.assign(s, e)
	if b.isWarmingUp(e) {
		e.warmupAttempts = append(e.warmupAttempts, warmupAttempt{b.now, b.relativeLoad(s)})
	}
	s.state = stateAttempting
	s.attemptedEndpoints = append(s.attemptedEndpoints, e)
	s.attemptedAt = b.now
	s.attempts++
	e.attemptedAt = b.now
	b.pendingAttempts++
	b.lastAttemptAt = b.now
	b.rejectsInARow = 0
	return Decision{
		Action:       StartAttempt,
		Session:      s.id,
		Endpoint:     e.ID,
		Duration:     b.attemptTimeout(s),
		SendDeadline: s.sendDeadline(),
	}
}

// attemptTimeout returns the timeout of the next attempt. While a further attempt is possible, time is reserved
// for it: half of the remaining time, or only one setup objective in large deployments, where each attempt is
// expensive.
func (b *Balancer) attemptTimeout(s *session) time.Duration {
	timeout := s.deadline - b.now
	if s.attempts < s.maxAttempts && s.class.Idempotency != NonIdempotent && !b.areRetriesFutile() {
		halfRemaining := max(timeout/2, min(timeout, s.class.SetupObjective))
		timeout -= s.class.SetupObjective
		if timeout < halfRemaining || b.attemptPauseDisabled() {
			timeout = halfRemaining
		}
	}
	return max(timeout, minAttemptTimeout)
}
