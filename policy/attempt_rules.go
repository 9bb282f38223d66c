package policy

// canAttempt reports whether a session's next attempt may go to an endpoint, under all four rules: a session
// gets one final answer, no effect happens twice, a draining endpoint gets nothing new, a warming one is not
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

// isRepeatSafeAt reports whether an attempt at an endpoint can't cause an effect twice.
func (b *Balancer) isRepeatSafeAt(s *session, e *endpoint) bool {
	first := s.mayHaveRunOn
	if first == nil || s.class.Idempotency == Idempotent {
		return true
	}
	if s.class.Idempotency == NonIdempotent || b.now >= s.mayHaveRunAt+s.class.KeyTTL {
		return false
	}
	switch s.class.KeyScope {
	case KeyScopeZone:
		return e.Zone == first.Zone
	case KeyScopeFailureDomain:
		return e.location() == first.location()
	default:
		return true
	}
}

// isRetrySafe reports whether a client may repeat a rejected session anywhere without causing an effect twice.
func (b *Balancer) isRetrySafe(s *session) bool {
	if s.mayHaveRunOn == nil || s.class.Idempotency == Idempotent {
		return true
	}
	return s.class.Idempotency == IdempotentWithKey && s.class.KeyScope == KeyScopeAll &&
		b.now < s.mayHaveRunAt+s.class.KeyTTL
}
