package fleet

import (
	"crypto/rand"
	"slices"
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/fleet/replication"
)

// writePermissionTTL is how long after the request the permission to write the first byte is valid. A process that was suspended for longer
// has to ask again.
const writePermissionTTL = time.Second

// IsIdempotentClass reports whether the sessions of a service class are recorded in the fleet before they are sent to an upstream.
func (f *Fleet) IsIdempotentClass(class string) bool {
	return slices.ContainsFunc(f.config.IdempotentClasses, func(c config.Class) bool { return c.Name == class })
}

// IdempotentSession records one session in the fleet, so that it is executed at most once, whichever balancers it reaches. A method may be
// called only after the callback of the previous one. Each callback is called once, at the latest shortly after the timeout, and usually from
// another goroutine; it must not block.
type IdempotentSession struct {
	fleet *Fleet
	claim *idempotency.Claim
}

// NewIdempotentSession returns the IdempotentSession of a session ID. It does not write a record yet.
func (f *Fleet) NewIdempotentSession(id uint64) *IdempotentSession {
	return &IdempotentSession{fleet: f, claim: idempotency.New(id, rand.Text(), time.Now().Unix())}
}

// IdempotencyDecision is the result of a method of IdempotentSession.
type IdempotencyDecision struct {
	idempotency.Decision
	Answer        []byte        // recorded answer, if the decision is idempotency.Replay
	WriteDeadline time.Duration // end of the permission to write, by the clock of package boottime, if the decision is idempotency.Proceed
}

// Begin requests the permission to write the session's first byte to an endpoint.
func (s *IdempotentSession) Begin(endpoint string, timeout time.Duration, done func(IdempotencyDecision)) {
	deadline := boottime.Now() + writePermissionTTL
	s.submit(s.claim.Begin(endpoint), timeout, func(decision IdempotencyDecision) {
		decision.WriteDeadline = deadline
		done(decision)
	})
}

// Complete records the session's final answer.
func (s *IdempotentSession) Complete(answer []byte, timeout time.Duration, done func(IdempotencyDecision)) {
	s.submit(s.claim.RecordAnswer(answer), timeout, done)
}

// Withdraw records that the session was never executed, if its record may exist. It must be the last call, and has no callback.
func (s *IdempotentSession) Withdraw() {
	if s.claim.NeedsWithdrawal() {
		s.submit(s.claim.Withdraw(), operationTimeout, func(IdempotencyDecision) {})
	}
}

// submit submits an operation of the claim to the current store. Without a store the decision is idempotency.Unavailable.
func (s *IdempotentSession) submit(op replication.Operation, timeout time.Duration, done func(IdempotencyDecision)) {
	store, _ := s.fleet.currentStore()
	if store == nil {
		done(IdempotencyDecision{Decision: idempotency.Unavailable})
		return
	}
	s.submitUntilDecided(store, op, time.Now().Add(timeout), done)
}

// submitUntilDecided submits an operation, and then those that the claim requires after each result, until the claim has decided.
func (s *IdempotentSession) submitUntilDecided(store recordStore, op replication.Operation, deadline time.Time, done func(IdempotencyDecision)) {
	store.Submit(op, time.Until(deadline), func(result replication.Result) {
		decision, next := s.claim.HandleResult(result)
		if decision == idempotency.Wait {
			s.submitUntilDecided(store, next, deadline, done)
			return
		}
		done(IdempotencyDecision{Decision: decision, Answer: s.claim.Answer})
	})
}
