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

// Holds tells whether circuits of a grade are held for others.
func (f *Fleet) Holds(grade string) bool {
	return slices.ContainsFunc(f.file.IdempotentClasses, func(g config.Class) bool { return g.Name == grade })
}

// Held is one circuit's. Its methods are called by one goroutine, one at a time: none before the one before has called back.
// What they call back comes from another goroutine, once, within the span or a little later, and must not wait.
type Held struct {
	of     *Fleet
	intent *idempotency.Circuit
}

// Hold begins for a circuit's id.
func (f *Fleet) Hold(id uint64) *Held {
	return &Held{of: f, intent: idempotency.New(id, rand.Text(), time.Now().Unix())}
}

// Verdict of a question: with Go the first byte may go out until Until, by the clock of package boottime; with Same Answer
// is the word.
type Verdict struct {
	idempotency.Verdict
	Answer []byte
	Until  time.Duration
}

// Begin asks for the right to write to a server.
func (h *Held) Begin(server string, within time.Duration, done func(Verdict)) {
	until := boottime.Now() + goFor
	h.ask(h.intent.Begin(server), within, func(v Verdict) { v.Until = until; done(v) })
}

// Tell has the final answer held.
func (h *Held) Tell(answer []byte, within time.Duration, done func(Verdict)) {
	h.ask(h.intent.Tell(answer), within, done)
}

// Withdraw says that it never ran, if it may have been held. It is the last call, and nobody waits for it.
func (h *Held) Withdraw() {
	if h.intent.Left() {
		h.ask(h.intent.Withdraw(), wordTry, func(Verdict) {})
	}
}

func (h *Held) ask(op replication.Op, within time.Duration, done func(Verdict)) {
	hold, _ := h.of.holding()
	if hold == nil {
		done(Verdict{Verdict: idempotency.CantSay})
		return
	}
	h.step(hold, op, time.Now().Add(within), done)
}

func (h *Held) step(hold asker, op replication.Op, end time.Time, done func(Verdict)) {
	hold.Ask(op, time.Until(end), func(r replication.Result) {
		v, next := h.intent.Ended(r)
		if v == idempotency.Wait {
			h.step(hold, next, end, done)
			return
		}
		done(Verdict{Verdict: v, Answer: h.intent.Answer})
	})
}
