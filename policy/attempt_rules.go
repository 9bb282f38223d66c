package policy

import "time"

// canAttempt reports whether the next attempt of a session may go to an endpoint. It enforces the four rules
// that hold for every attempt: a session gets exactly one final answer, a request takes effect at most once
// unless it is idempotent, an endpoint that is not ready gets no new sessions, and a warming endpoint is not
// overloaded.
func (b *Balancer) canAttempt(s *session, e *endpoint) bool {
	if s.hasAnswer || s.isActive() || s.deadline <= b.now || s.attempts >= s.maxAttempts {
		return false
	}
	if !b.isRepeatSafeAt(s, e) || e.State != Ready {
		return false
	}
	return !b.isWarmingUp(e) || b.canAttemptWarming(s, e)
}

// isRepeatSafeAt reports whether an attempt at an endpoint cannot make the request of a session take effect
// twice.
func (b *Balancer) isRepeatSafeAt(s *session, e *endpoint) bool {
	firstEndpoint := s.mayHaveRunOn
	if firstEndpoint == nil || s.class.Idempotency == Idempotent {
		return true
	}
	if s.class.Idempotency == NonIdempotent || b.now >= s.repeatDeadline() {
		return false
	}
	switch s.class.KeyScope {
	case KeyScopeZone:
		return e.Zone == firstEndpoint.Zone
	case KeyScopeFailureDomain:
		return e.location() == firstEndpoint.location()
	default:
		return true
	}
}

// isRetrySafe reports whether the client of a rejected session may retry at any endpoint without the request
// taking effect twice.
func (b *Balancer) isRetrySafe(s *session) bool {
	if s.mayHaveRunOn == nil || s.class.Idempotency == Idempotent {
		return true
	}
	return s.class.Idempotency == IdempotentWithKey && s.class.KeyScope == KeyScopeAll && b.now < s.repeatDeadline()
}

// repeatDeadline returns the time from which endpoints no longer drop a repeat of a session's request, never if no
// repeat has to be dropped.
func (s *session) repeatDeadline() time.Duration {
	if s.mayHaveRunOn == nil || s.class.Idempotency != IdempotentWithKey {
		return never
	}
	return s.mayHaveRunAt + s.class.KeyTTL
}

// sendDeadline returns the SendDeadline of the next attempt of a session.
func (s *session) sendDeadline() time.Duration {
	if deadline := s.repeatDeadline(); deadline < never {
		return deadline
	}
	return 0
}
