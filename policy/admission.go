package policy

import "time"

// minAttemptTimeout keeps timeouts above 0.
const minAttemptTimeout = time.Microsecond

// decideSession decides on a queued session: an attempt, a final answer, or a poll of the endpoint's load report
// before. It reports false if there is nothing for the host to do.
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

// admit returns the endpoint for a session's next attempt, nil if it gets none. A session that finds only
// overloaded endpoints gets none, or they would stay overloaded.
func (b *Balancer) admit(s *session) *endpoint {
	if b.isDraining() {
		return nil
	}
	if b.isRetryBudgetSpent(s) && b.isRetrySafe(s) {
		return nil
	}
	return b.selectEndpoint(s, relaxEjection)
}

// finalAnswer gives a session its final finalAnswer.
func (b *Balancer) finalAnswer(s *session) Decision {
	s.hasAnswer = true
	b.rejectsInARow++
	delete(b.sessions, s.id)
	if !b.isRetrySafe(s) {
		return Decision{Action: Fail, Session: s.id}
	}
	decision := Decision{Action: Reject, Session: s.id}
	if b.config.CanSendRetryAfter {
		decision.Duration = b.random.jitter(b.config.MaxRetryAfter * 2 / 3)
	}
	return decision
}

func (b *Balancer) startAttempt(s *session, e *endpoint) Decision {
	b.assign(s, e)
	if b.isWarmingUp(e) {
		e.warmupAttempts = append(e.warmupAttempts, warmupAttempt{b.now, b.relativeLoad(s)})
	}
	s.state = stateAttempting
	s.attempted = append(s.attempted, e)
	s.attemptedAt = b.now
	s.attempts++
	e.attemptedAt = b.now
	b.pendingAttempts++
	b.lastAttemptAt = b.now
	b.rejectsInARow = 0
	return Decision{Action: StartAttempt, Session: s.id, Endpoint: e.ID, Duration: b.attemptTimeout(s)}
}

// attemptTimeout is the time that an attempt gets. While another attempt is possible, time is left for it:
// half of what remains, or in large deployments, where each attempt is expensive, only the setup objective.
func (b *Balancer) attemptTimeout(s *session) time.Duration {
	timeout := s.deadline - b.now
	if s.attempts < s.maxAttempts && s.class.Idempotency != NonIdempotent && !b.areRetriesFutile() {
		halfRemaining := max(timeout/2, min(timeout, s.class.SetupObjective))
		timeout -= s.class.SetupObjective
		if timeout < halfRemaining || b.isSmallDeployment() {
			timeout = halfRemaining
		}
	}
	return max(timeout, minAttemptTimeout)
}
