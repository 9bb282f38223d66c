package balancer

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/idempotency"
	"sabletally/internal/protocol"
)

// This file is the loop's side of sessions whose outcome the fleet replicates: nothing is written to a server before the fleet has
// allowed it, and no success is sent to a client before it is committed. The loop never waits for the fleet.

const (
	// Both are also at most half of the time that is left to the session's deadline.
	maxWriteWait  = time.Second
	maxCommitWait = 300 * time.Millisecond // after that the client gets its answer uncommitted, as its request was served
)

// idempotencyRecord is what the loop knows of the replicated record of a session.
type idempotencyRecord struct {
	*fleet.IdempotentSession

	// requesting is set while a request to the fleet is in flight. waiting are the functions that wait for its end.
	requesting bool
	waiting    []func()

	// writeAllowed is set once the newest attempt may write. The right ends at writeDeadline, on the clock that does not stop with
	// the process.
	writeAllowed   bool
	writeDeadline  time.Duration
	onWriteAllowed func() // waits for writeAllowed, on a connection that is up
	written        bool   // a byte may have been written to a server

	committing     bool // the server's answer is being committed
	upstreamClosed bool // its connection has ended meanwhile
}

// UseFleet replicates sessions of the classes that the fleet names, and keeps the endpoint list there. It is called before Run.
func (l *Loop) UseFleet(f *fleet.Fleet) {
	l.fleet = f
	l.scheduleListRecovery()
}

// beginRecord begins the record of a session whose class is replicated.
func (l *Loop) beginRecord(session *session) {
	if l.fleet == nil || !l.fleet.IsIdempotentClass(session.request.Class) {
		return
	}
	l.Replicated.Add(1)
	session.record = &idempotencyRecord{IdempotentSession: l.fleet.NewIdempotentSession(session.request.ID)}
}

// requestWrite asks the fleet for the right to write in the newest attempt, beside its dial.
func (l *Loop) requestWrite(session *session) {
	record := session.record
	record.writeAllowed = false
	record.onWriteAllowed = nil
	record.whenIdle(func() { // an earlier attempt's request may be in flight
		if !l.isCurrent(session) || !session.attemptActive {
			return
		}
		generation := session.generation
		record.requesting = true
		timeout := min(maxWriteWait, (session.deadline-l.now)/2)
		record.Begin(session.upstream.listed.UID, timeout, func(verdict fleet.IdempotencyDecision) {
			l.post(event{session: session, run: func() { l.writeDecided(session, generation, verdict) }})
		})
	})
}

// whenIdle runs a function once no request is in flight.
func (r *idempotencyRecord) whenIdle(run func()) {
	if r.requesting {
		r.waiting = append(r.waiting, run)
		return
	}
	run()
}

// requestDone notes that no request is in flight any more, and runs what waited for that.
func (r *idempotencyRecord) requestDone() {
	r.requesting = false
	for len(r.waiting) > 0 && !r.requesting {
		run := r.waiting[0]
		r.waiting = r.waiting[1:]
		run()
	}
}

// writeDecided handles the fleet's verdict on writing.
func (l *Loop) writeDecided(session *session, generation int, verdict fleet.IdempotencyDecision) {
	record := session.record
	defer record.requestDone()
	if !l.isCurrent(session) {
		return
	}
	switch verdict.Decision {
	case idempotency.Proceed:
		if session.isActive(generation) {
			record.allowWrite(verdict.WriteDeadline)
		}
	case idempotency.Replay:
		l.RepeatedAnswers.Add(1)
		l.log.Info("fleet: answered before", zap.Stringer("circuit", session), zap.ByteString("answer", verdict.Answer))
		l.endWithAnswer(session, verdict.Answer)
	case idempotency.Abandoned:
		l.log.Info("fleet: failed, as another owner may have served it", zap.Stringer("circuit", session))
		l.failSession(session, protocol.FailLine)
	default:
		l.NotReplicated.Add(1)
		l.Rejected.Add(1)
		l.endWithAnswer(session, protocol.RejectLine(l.retryAfter()))
	}
}

func (r *idempotencyRecord) allowWrite(until time.Duration) {
	r.writeAllowed = true
	r.writeDeadline = until
	if run := r.onWriteAllowed; run != nil {
		r.onWriteAllowed = nil
		run()
	}
}

// mayWrite reports whether the request may be written now; if not, the function runs once it may.
func (l *Loop) mayWrite(session *session, run func()) bool {
	record := session.record
	switch {
	case record == nil:
		return true
	case !record.writeAllowed:
		record.onWriteAllowed = run
		return false
	case boottime.Now() >= record.writeDeadline: // the process was stopped: another owner may have failed the session
		l.requestWrite(session)
		record.onWriteAllowed = run
		return false
	}
	return true
}

// commitAnswer commits a server's success before it goes to the client. The attempt's timeout does not apply any more.
func (l *Loop) commitAnswer(session *session, line protocol.Line) {
	record := session.record
	session.generation++
	record.committing = true
	record.whenIdle(func() {
		record.requesting = true
		timeout := max(0, min(maxCommitWait, (session.deadline-l.now)/2))
		record.Complete(line.Raw, timeout, func(verdict fleet.IdempotencyDecision) {
			l.post(event{session: session, run: func() { l.answerCommitted(session, line, verdict) }})
		})
	})
}

// answerCommitted handles the fleet's verdict on a success.
func (l *Loop) answerCommitted(session *session, line protocol.Line, verdict fleet.IdempotencyDecision) {
	record := session.record
	defer record.requestDone()
	if !l.isCurrent(session) {
		return
	}
	record.committing = false
	hasOtherAnswer := verdict.Decision == idempotency.Replay && !bytes.Equal(verdict.Answer, line.Raw)
	switch {
	case verdict.Decision == idempotency.Abandoned || hasOtherAnswer:
		l.log.Info("fleet: failed by another owner before its answer was committed", zap.Stringer("circuit", session))
		l.failSession(session, protocol.FailLine)
	case record.upstreamClosed:
		l.endWithAnswer(session, line.Raw)
	default:
		if verdict.Decision == idempotency.Unavailable {
			l.NotReplicated.Add(1)
			l.log.Warn("fleet: an answer is sent that is not committed", zap.Stringer("circuit", session))
		}
		l.sessionEstablished(session, line)
	}
}

// withdraw notifies the fleet that a session's request was never written to a server.
func (l *Loop) withdraw(session *session) {
	if record := session.record; record != nil {
		record.whenIdle(record.Withdraw)
	}
}
