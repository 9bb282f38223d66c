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
	maxWriteWait  = time.Second            // a promise is waited for so long, or half of what is left to the outer limit
	maxCommitWait = 300 * time.Millisecond // that a success is held, before it is told all the same: it has run
)

// idempotencyRecord is what the loop knows of a circuit that is held.
type idempotencyRecord struct {
	*fleet.IdempotentSession
	requesting     bool          // a promise is out
	writeAllowed   bool          // the newest try may write
	writeDeadline  time.Duration // by the clock that goes on while the process is stopped
	written        bool          // a first byte may have gone to a server
	onWriteAllowed func()        // waits for the promise: the connection is up
	committing     bool          // the server said yes, and that is being promised
	upstreamClosed bool          // its connection has ended meanwhile
	waiting        []func()      // what waits for the promise that is out
}

// UseFleet has circuits of the grades that the fleet holds go by it, and the list of servers held there. It is called before Run.
func (l *Loop) UseFleet(f *fleet.Fleet) {
	l.fleet = f
	l.scheduleListRecovery()
}

// beginRecord begins for a circuit whose grade is held.
func (l *Loop) beginRecord(cir *session) {
	if l.fleet != nil && l.fleet.IsIdempotentClass(cir.request.Grade) {
		l.Replicated.Add(1)
		cir.record = &idempotencyRecord{IdempotentSession: l.fleet.NewIdempotentSession(cir.request.ID)}
	}
}

// requestWrite asks for the right to write for the newest try, beside its dial.
func (l *Loop) requestWrite(cir *session) {
	h := cir.record
	h.writeAllowed, h.onWriteAllowed = false, nil
	h.whenIdle(func() { // the try before may still have been asking
		if l.sessions[cir.id] != cir || !cir.attemptActive {
			return
		}
		turn := cir.generation
		h.requesting = true
		h.Begin(cir.upstream.listed.UID, min(maxWriteWait, (cir.deadline-l.now)/2), func(v fleet.IdempotencyDecision) {
			l.post(event{session: cir, run: func() { l.writeDecided(cir, turn, v) }})
		})
	})
}

// whenIdle runs something once no promise is out.
func (h *idempotencyRecord) whenIdle(do func()) {
	if h.requesting {
		h.waiting = append(h.waiting, do)
		return
	}
	do()
}

// requestDone notes that none is out any more.
func (h *idempotencyRecord) requestDone() {
	h.requesting = false
	for len(h.waiting) > 0 && !h.requesting {
		do := h.waiting[0]
		h.waiting = h.waiting[1:]
		do()
	}
}

// writeDecided takes the end of one.
func (l *Loop) writeDecided(cir *session, turn int, v fleet.IdempotencyDecision) {
	h := cir.record
	defer h.requestDone()
	if l.sessions[cir.id] != cir {
		return
	}
	switch v.Decision {
	case idempotency.Proceed:
		if cir.generation != turn || !cir.attemptActive {
			return
		}
		h.writeAllowed, h.writeDeadline = true, v.WriteDeadline
		if do := h.onWriteAllowed; do != nil {
			h.onWriteAllowed = nil
			do()
		}
	case idempotency.Replay:
		l.RepeatedAnswers.Add(1)
		l.log.Info("fleet: answered before", zap.Stringer("circuit", cir), zap.ByteString("answer", v.Answer))
		l.endWithAnswer(cir, v.Answer)
	case idempotency.Abandoned:
		l.log.Info("fleet: broken off, as another owner may have run it", zap.Stringer("circuit", cir))
		l.failSession(cir, protocol.ErrLine)
	default:
		l.NotReplicated.Add(1)
		l.Rejected.Add(1)
		l.endWithAnswer(cir, protocol.Turned(l.retryAfter()))
	}
}

// mayWrite tells whether the first byte may go now; where it may not yet, do runs once it may.
func (l *Loop) mayWrite(cir *session, do func()) bool {
	h := cir.record
	switch {
	case h == nil:
		return true
	case !h.writeAllowed:
		h.onWriteAllowed = do
		return false
	case boottime.Now() >= h.writeDeadline: // it was stopped since: another may have broken it off
		l.requestWrite(cir)
		h.onWriteAllowed = do
		return false
	}
	return true
}

// commitAnswer has a server's yes promised, then goes on with it. What ends meanwhile waits for that.
func (l *Loop) commitAnswer(cir *session, ln protocol.Line) {
	h := cir.record
	cir.generation++ // no time-out is the try's any more
	h.committing = true
	h.whenIdle(func() {
		h.requesting = true
		h.Complete(ln.Raw, max(0, min(maxCommitWait, (cir.deadline-l.now)/2)), func(v fleet.IdempotencyDecision) {
			l.post(event{session: cir, run: func() { l.answerCommitted(cir, ln, v) }})
		})
	})
}

func (l *Loop) answerCommitted(cir *session, ln protocol.Line, v fleet.IdempotencyDecision) {
	h := cir.record
	defer h.requestDone()
	if l.sessions[cir.id] != cir {
		return
	}
	h.committing = false
	switch {
	case v.Decision == idempotency.Abandoned || v.Decision == idempotency.Replay && string(v.Answer) != string(ln.Raw):
		l.log.Info("fleet: broken off by another owner before its answer was held", zap.Stringer("circuit", cir))
		l.failSession(cir, protocol.ErrLine)
	case h.upstreamClosed: // it ran, and stands no more
		l.endWithAnswer(cir, ln.Raw)
	default:
		if v.Decision == idempotency.Unavailable {
			l.NotReplicated.Add(1)
			l.log.Warn("fleet: an answer is told that is not held", zap.Stringer("circuit", cir))
		}
		l.sessionEstablished(cir, ln)
	}
}

// withdraw says that a circuit that is turned away never ran.
func (l *Loop) withdraw(cir *session) {
	if h := cir.record; h != nil {
		h.whenIdle(h.Withdraw)
	}
}
