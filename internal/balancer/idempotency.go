// This file owns the loop's side of circuits that the fleet holds for others: no first byte goes to a server before it is promised,
// and no success to a client. It must never wait for a promise, and never touch a circuit of a grade that is not held.

package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/protocol"
)

const (
	promiseMost = time.Second            // a promise is waited for so long, or half of what is left to the outer limit
	tellMost    = 300 * time.Millisecond // that a success is held, before it is told all the same: it has run
)

// held is what the loop knows of a circuit that is held.
type held struct {
	*fleet.IdempotentSession
	asks  bool          // a promise is out
	may   bool          // the newest try may write
	until time.Duration // by the clock that goes on while the process is stopped
	wrote bool          // a first byte may have gone to a server
	write func()        // waits for the promise: the connection is up
	tells bool          // the server said yes, and that is being promised
	gone  bool          // its connection has ended meanwhile
	after []func()      // what waits for the promise that is out
}

// HoldFor has circuits of the grades that the fleet holds go by it, and the list of servers held there. It is called before Run.
func (l *Loop) HoldFor(f *fleet.Fleet) {
	l.fleet = f
	l.recall()
}

// hold begins for a circuit whose grade is held.
func (l *Loop) hold(cir *circuit) {
	if l.fleet != nil && l.fleet.IsIdempotentClass(cir.ask.Grade) {
		l.Held.Add(1)
		cir.held = &held{IdempotentSession: l.fleet.NewIdempotentSession(cir.ask.ID)}
	}
}

// promise asks for the right to write for the newest try, beside its dial.
func (l *Loop) promise(cir *circuit) {
	h := cir.held
	h.may, h.write = false, nil
	h.when(func() { // the try before may still have been asking
		if l.circuits[cir.id] != cir || !cir.out {
			return
		}
		turn := cir.turn
		h.asks = true
		h.Begin(cir.at.listedAs.UID, min(promiseMost, (cir.until-l.now)/2), func(v fleet.Verdict) {
			l.post(event{of: cir, do: func() { l.promised(cir, turn, v) }})
		})
	})
}

// when runs something once no promise is out.
func (h *held) when(do func()) {
	if h.asks {
		h.after = append(h.after, do)
		return
	}
	do()
}

// free notes that none is out any more.
func (h *held) free() {
	h.asks = false
	for len(h.after) > 0 && !h.asks {
		do := h.after[0]
		h.after = h.after[1:]
		do()
	}
}

// promised takes the end of one.
func (l *Loop) promised(cir *circuit, turn int, v fleet.Verdict) {
	h := cir.held
	defer h.free()
	if l.circuits[cir.id] != cir {
		return
	}
	switch v.Decision {
	case idempotency.Proceed:
		if cir.turn != turn || !cir.out {
			return
		}
		h.may, h.until = true, v.Until
		if do := h.write; do != nil {
			h.write = nil
			do()
		}
	case idempotency.Replay:
		l.Same.Add(1)
		l.log.Info("fleet: answered before", zap.Stringer("circuit", cir), zap.ByteString("answer", v.Answer))
		l.conclude(cir, v.Answer)
	case idempotency.Abandoned:
		l.log.Info("fleet: broken off, as another owner may have run it", zap.Stringer("circuit", cir))
		l.giveUp(cir, protocol.ErrLine)
	default:
		l.NotHeld.Add(1)
		l.Nacked.Add(1)
		l.conclude(cir, protocol.Turned(l.comeAgain()))
	}
}

// allowed tells whether the first byte may go now; where it may not yet, do runs once it may.
func (l *Loop) allowed(cir *circuit, do func()) bool {
	h := cir.held
	switch {
	case h == nil:
		return true
	case !h.may:
		h.write = do
		return false
	case boottime.Now() >= h.until: // it was stopped since: another may have broken it off
		l.promise(cir)
		h.write = do
		return false
	}
	return true
}

// confirm has a server's yes promised, then goes on with it. What ends meanwhile waits for that.
func (l *Loop) confirm(cir *circuit, ln protocol.Line) {
	h := cir.held
	cir.turn++ // no time-out is the try's any more
	h.tells = true
	h.when(func() {
		h.asks = true
		h.Complete(ln.Raw, max(0, min(tellMost, (cir.until-l.now)/2)), func(v fleet.Verdict) {
			l.post(event{of: cir, do: func() { l.confirmed(cir, ln, v) }})
		})
	})
}

func (l *Loop) confirmed(cir *circuit, ln protocol.Line, v fleet.Verdict) {
	h := cir.held
	defer h.free()
	if l.circuits[cir.id] != cir {
		return
	}
	h.tells = false
	switch {
	case v.Decision == idempotency.Abandoned || v.Decision == idempotency.Replay && string(v.Answer) != string(ln.Raw):
		l.log.Info("fleet: broken off by another owner before its answer was held", zap.Stringer("circuit", cir))
		l.giveUp(cir, protocol.ErrLine)
	case h.gone: // it ran, and stands no more
		l.conclude(cir, ln.Raw)
	default:
		if v.Decision == idempotency.Unavailable {
			l.NotHeld.Add(1)
			l.log.Warn("fleet: an answer is told that is not held", zap.Stringer("circuit", cir))
		}
		l.stands(cir, ln)
	}
}

// withdraw says that a circuit that is turned away never ran.
func (l *Loop) withdraw(cir *circuit) {
	if h := cir.held; h != nil {
		h.when(h.Withdraw)
	}
}
