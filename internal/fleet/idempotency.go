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

// writePermissionTTL is how long the permission to write a first byte is valid from the time of the request. A process that was
// suspended meanwhile asks anew.
const writePermissionTTL = time.Second

// IsIdempotentClass reports whether the sessions of a service class are recorded in the fleet before they go to an upstream.
func (f *Fleet) IsIdempotentClass(class string) bool {
	return slices.ContainsFunc(f.config.IdempotentClasses, func(c config.Class) bool { return c.Name == class })
}

// IdempotentSession records one session in the fleet, so that it is executed once at most whichever balancer it reaches. Its methods are
// called one at a time: none before the callback of the previous one. Callbacks are called once, by another goroutine, within the given
// time or a little later; they must not wait.
type IdempotentSession struct {
	fleet *Fleet
	claim *idempotency.Claim
}

// NewIdempotentSession returns the record of the session with an ID. Nothing is written yet.
func (f *Fleet) NewIdempotentSession(id uint64) *IdempotentSession {
	return &IdempotentSession{fleet: f, claim: idempotency.New(id, rand.Text(), time.Now().Unix())}
}

// IdempotencyDecision is the answer to a step of a session.
type IdempotencyDecision struct {
	idempotency.Decision
	Answer        []byte        // with idempotency.Replay
	WriteDeadline time.Duration // with idempotency.Proceed: when the permission to write ends, by the clock of package boottime
}

// Begin asks for the permission to write to an endpoint.
func (s *IdempotentSession) Begin(endpoint string, within time.Duration, done func(IdempotencyDecision)) {
	deadline := boottime.Now() + writePermissionTTL
	s.submit(s.claim.Begin(endpoint), within, func(decision IdempotencyDecision) {
		decision.WriteDeadline = deadline
		done(decision)
	})
}

// Complete records the final answer.
func (s *IdempotentSession) Complete(answer []byte, within time.Duration, done func(IdempotencyDecision)) {
	s.submit(s.claim.RecordAnswer(answer), within, done)
}

// Withdraw records that the session was never executed, if it may have been recorded. It is the last call, and has no callback.
func (s *IdempotentSession) Withdraw() {
	if s.claim.NeedsWithdrawal() {
		s.submit(s.claim.Withdraw(), operationTimeout, func(IdempotencyDecision) {})
	}
}

func (s *IdempotentSession) submit(op replication.Operation, within time.Duration, done func(IdempotencyDecision)) {
	store, _ := s.fleet.currentStore()
	if store == nil {
		done(IdempotencyDecision{Decision: idempotency.Unavailable})
		return
	}
	s.submitUntilDecided(store, op, time.Now().Add(within), done)
}

// submitUntilDecided submits an operation and those that follow from its result, until the claim has decided.
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
