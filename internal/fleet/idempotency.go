// This file owns the second kind of holding: intents, for circuits of the grades that the file names.

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

// goFor is how long the right to write a first byte holds from when it was asked for. Whoever was stopped meanwhile asks anew.
const goFor = time.Second

// IsIdempotentClass tells whether circuits of a grade are held for others.
func (f *Fleet) IsIdempotentClass(grade string) bool {
	return slices.ContainsFunc(f.file.IdempotentClasses, func(g config.Class) bool { return g.Name == grade })
}

// IdempotentSession is one circuit's. Its methods are called by one goroutine, one at a time: none before the one before has called back.
// What they call back comes from another goroutine, once, within the span or a little later, and must not wait.
type IdempotentSession struct {
	of     *Fleet
	intent *idempotency.Claim
}

// NewIdempotentSession begins for a circuit's id.
func (f *Fleet) NewIdempotentSession(id uint64) *IdempotentSession {
	return &IdempotentSession{of: f, intent: idempotency.New(id, rand.Text(), time.Now().Unix())}
}

// Verdict of a question: with Go the first byte may go out until Until, by the clock of package boottime; with Same Answer
// is the word.
type Verdict struct {
	idempotency.Decision
	Answer []byte
	Until  time.Duration
}

// Begin asks for the right to write to a server.
func (h *IdempotentSession) Begin(server string, within time.Duration, done func(Verdict)) {
	until := boottime.Now() + goFor
	h.ask(h.intent.Begin(server), within, func(v Verdict) { v.Until = until; done(v) })
}

// Complete has the final answer held.
func (h *IdempotentSession) Complete(answer []byte, within time.Duration, done func(Verdict)) {
	h.ask(h.intent.RecordAnswer(answer), within, done)
}

// Withdraw says that it never ran, if it may have been held. It is the last call, and nobody waits for it.
func (h *IdempotentSession) Withdraw() {
	if h.intent.NeedsWithdrawal() {
		h.ask(h.intent.Withdraw(), wordTry, func(Verdict) {})
	}
}

func (h *IdempotentSession) ask(op replication.Operation, within time.Duration, done func(Verdict)) {
	hold, _ := h.of.holding()
	if hold == nil {
		done(Verdict{Decision: idempotency.Unavailable})
		return
	}
	h.step(hold, op, time.Now().Add(within), done)
}

func (h *IdempotentSession) step(hold asker, op replication.Operation, end time.Time, done func(Verdict)) {
	hold.Submit(op, time.Until(end), func(r replication.Result) {
		v, next := h.intent.HandleResult(r)
		if v == idempotency.Wait {
			h.step(hold, next, end, done)
			return
		}
		done(Verdict{Decision: v, Answer: h.intent.Answer})
	})
}
