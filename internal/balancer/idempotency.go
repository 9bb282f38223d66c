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
// allowed it, and no success is sent to a client before the fleet has committed it. The loop never blocks on the fleet.

const (
	// maxWriteWait and maxCommitWait bound the requests to the fleet. Each request is also limited to half of the time that is left
	// until the session's deadline.
	maxWriteWait = time.Second
	// After maxCommitWait the client gets its answer uncommitted, as its request was served.
	maxCommitWait = 300 * time.Millisecond
)

// idempotencyRecord is the loop's state of a session's replicated record.
type idempotencyRecord struct {
	*fleet.IdempotentSession

	requestInFlight bool     // whether a request to the fleet is in flight
	onIdle          []func() // functions to call after that request

	// writeAllowed is set once the newest attempt may write its request. The permission ends at writeDeadline, a time on the boot-time
	// clock, which continues while the process is stopped.
	writeAllowed   bool
	writeDeadline  time.Duration
	onWriteAllowed func() // continues an established connection's attempt when writeAllowed is set, nil if none waits
	requestWritten bool   // whether the request may have been written to a server, at least in part

	committing     bool // whether the server's answer is being committed
	upstreamClosed bool // whether the server's connection has ended while committing was set
}

// UseFleet makes the loop replicate the sessions of the fleet's idempotent classes and store the endpoint list in the fleet. It must
// be called before Run.
func (l *Loop) UseFleet(f *fleet.Fleet) {
	l.fleet = f
	l.scheduleListRecovery()
}

// isReplicated reports whether the fleet records the sessions of a class. The record then decides whether a request may run again under
// its ID, at whichever balancer.
func (l *Loop) isReplicated(class string) bool {
	return l.fleet != nil && l.fleet.IsIdempotentClass(class)
}

// beginRecord creates the record of a session if its class is replicated.
func (l *Loop) beginRecord(session *session) {
	if !l.isReplicated(session.request.Class) {
		return
	}
	l.Replicated.Add(1)
	session.record = &idempotencyRecord{IdempotentSession: l.fleet.NewIdempotentSession(session.request.ID)}
}

// requestWrite asks the fleet for permission to write the request in the newest attempt, while the server is being dialed.
func (l *Loop) requestWrite(session *session) {
	record := session.record
	record.writeAllowed = false
	record.onWriteAllowed = nil
	record.whenIdle(func() { // an earlier attempt's request to the fleet may be in flight
		if !l.isCurrent(session) || !session.attemptActive {
			return
		}
		generation := session.generation
		record.requestInFlight = true
		timeout := min(maxWriteWait, (session.deadline-l.now)/2)
		record.Begin(session.upstream.entry.UID, timeout, func(decision fleet.IdempotencyDecision) {
			l.post(event{session: session, run: func() { l.writeDecided(session, generation, decision) }})
		})
	})
}

// whenIdle calls run once no request to the fleet is in flight.
func (r *idempotencyRecord) whenIdle(run func()) {
	if r.requestInFlight {
		r.onIdle = append(r.onIdle, run)
		return
	}
	run()
}

// requestDone records the end of a request to the fleet and calls the functions that waited for it.
func (r *idempotencyRecord) requestDone() {
	r.requestInFlight = false
	for len(r.onIdle) > 0 && !r.requestInFlight {
		run := r.onIdle[0]
		r.onIdle = r.onIdle[1:]
		run()
	}
}

// writeDecided handles the fleet's decision on whether the attempt may write.
func (l *Loop) writeDecided(session *session, generation int, decision fleet.IdempotencyDecision) {
	record := session.record
	defer record.requestDone()
	if !l.isCurrent(session) {
		return
	}
	switch decision.Decision {
	case idempotency.Proceed:
		if session.isActive(generation) {
			record.allowWrite(decision.WriteDeadline)
		}
	case idempotency.Replay:
		l.RepeatedAnswers.Add(1)
		l.log.Info("fleet: repeating the recorded answer", zap.Stringer("circuit", session), zap.ByteString("answer", decision.Answer))
		l.endWithAnswer(session, decision.Answer)
	case idempotency.Abandoned:
		l.log.Info("fleet: session failed, as another owner may have served it", zap.Stringer("circuit", session))
		l.failSession(session, protocol.FailLine)
	default:
		l.NotReplicated.Add(1)
		l.Rejected.Add(1)
		l.endWithAnswer(session, protocol.RejectLine(l.retryAfter()))
	}
}

// allowWrite records the permission to write until a time on the boot-time clock, and continues an attempt that waits for it.
func (r *idempotencyRecord) allowWrite(until time.Duration) {
	r.writeAllowed = true
	r.writeDeadline = until
	if run := r.onWriteAllowed; run != nil {
		r.onWriteAllowed = nil
		run()
	}
}

// mayWrite reports whether the request may be written now. If not, run is called once it may.
func (l *Loop) mayWrite(session *session, run func()) bool {
	record := session.record
	switch {
	case record == nil:
		return true
	case !record.writeAllowed:
		record.onWriteAllowed = run
		return false
	case boottime.Now() >= record.writeDeadline: // after a stall of the process, another owner may have failed the session
		l.requestWrite(session)
		record.onWriteAllowed = run
		return false
	}
	return true
}

// commitAnswer has the fleet commit a server's success before it is sent to the client. The attempt's timeout no longer applies.
func (l *Loop) commitAnswer(session *session, line protocol.Line) {
	record := session.record
	session.generation++
	record.committing = true
	record.whenIdle(func() {
		record.requestInFlight = true
		timeout := max(0, min(maxCommitWait, (session.deadline-l.now)/2))
		record.Complete(line.Raw, timeout, func(decision fleet.IdempotencyDecision) {
			l.post(event{session: session, run: func() { l.answerCommitted(session, line, decision) }})
		})
	})
}

// answerCommitted handles the fleet's answer to the commit of a server's success.
func (l *Loop) answerCommitted(session *session, line protocol.Line, decision fleet.IdempotencyDecision) {
	record := session.record
	defer record.requestDone()
	if !l.isCurrent(session) {
		return
	}
	record.committing = false
	hasOtherAnswer := decision.Decision == idempotency.Replay && !bytes.Equal(decision.Answer, line.Raw)
	switch {
	case decision.Decision == idempotency.Abandoned || hasOtherAnswer:
		l.log.Info("fleet: session failed by another owner before its answer was committed", zap.Stringer("circuit", session))
		l.failSession(session, protocol.FailLine)
	case record.upstreamClosed:
		l.endWithAnswer(session, line.Raw)
	default:
		if decision.Decision == idempotency.Unavailable {
			l.NotReplicated.Add(1)
			l.log.Warn("fleet: sending an answer that is not committed", zap.Stringer("circuit", session))
		}
		l.sessionEstablished(session, line)
	}
}

// withdraw tells the fleet that a session's request was never written to a server.
func (l *Loop) withdraw(session *session) {
	if record := session.record; record != nil {
		record.whenIdle(record.Withdraw)
	}
}
