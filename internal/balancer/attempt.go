package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file makes a session's attempts: it dials the server, sends the request and handles the server's answer.

const (
	reattachTimeout  = 38 * time.Second       // time in which a session from before the start is reattached to its server, or failed
	reattachInterval = 300 * time.Millisecond // time between two tries to reattach a session
)

// startAttempt starts an attempt that the policy has decided. It ends after the decision's timeout at the latest.
func (l *Loop) startAttempt(session *session, decision policy.Decision) {
	l.Attempts.Add(1)
	session.attempts++
	session.attemptActive = true
	session.attemptStart = l.now
	session.attemptDeadline = l.now + decision.Duration
	session.sendDeadline = decision.SendDeadline
	l.dialUpstream(session, l.servers[decision.Endpoint])
}

// dialUpstream dials the server of a session's attempt and, for a replicated session, asks the fleet at the same time for permission
// to write to it.
func (l *Loop) dialUpstream(session *session, server *upstream) {
	session.generation++
	session.upstream = server
	session.requestSent = false
	generation := session.generation
	timeout := session.attemptDeadline - l.now
	l.stopAttemptTimers(session)
	session.attemptTimer = l.after(timeout, func() {
		if session.isActive(generation) {
			l.attemptTimedOut(session, nil)
		}
	})
	l.endUnsentAtDeadline(session, generation)
	if session.record != nil {
		l.requestWrite(session)
	}
	session.dial = l.dial(server.address, timeout, session, func(c *relay.Conn, err error) {
		l.upstreamDialed(session, generation, c, err)
	})
}

// endUnsentAtDeadline schedules the end of an attempt whose request was not sent by its send deadline, if it has one.
func (l *Loop) endUnsentAtDeadline(session *session, generation int) {
	if session.sendDeadline == 0 {
		return
	}
	session.sendTimer = l.after(session.sendDeadline-l.now, func() {
		if session.isActive(generation) && !session.requestSent {
			l.attemptEnded(session, policy.NeverSent, nil)
		}
	})
}

// stopAttemptTimers stops the timers of a session's newest attempt.
func (l *Loop) stopAttemptTimers(session *session) {
	l.stop(session.attemptTimer)
	l.stop(session.sendTimer)
	session.attemptTimer, session.sendTimer = nil, nil
}

// upstreamDialed handles the result of a dial: it sends the session's request on the new connection if the attempt is still active.
// While the request has to wait, for a fresh endpoint list or for permission to write, it returns and is called again later.
func (l *Loop) upstreamDialed(session *session, generation int, c *relay.Conn, err error) {
	if !session.isActive(generation) {
		if c != nil {
			c.Close()
		}
		return
	}
	session.dial = nil
	session.upstreamConn = c
	resume := func() { l.upstreamDialed(session, generation, c, nil) }
	switch {
	case isDescriptorShortage(err):
		l.DescriptorShortages.Add(1)
		l.attemptEnded(session, policy.NeverSent, err)
	case err != nil:
		l.attemptEnded(session, policy.ConnectFailed, err)
	case session.upstream.state != policy.Ready && !session.reattaching: // the endpoint list has changed during the dial
		l.attemptEnded(session, policy.NeverSent, nil)
	case session.sendTimeout(l.now) <= 0: // after a stall or a wait, this event is handled before the timers of the attempt's deadlines
		l.attemptEnded(session, policy.NeverSent, nil)
	case !session.reattaching && l.deferUntilFresh(resume):
	case !l.mayWrite(session, resume):
	default:
		if session.record != nil {
			session.record.requestWritten = true
		}
		l.sendRequest(session, generation, c)
	}
}

// postIfActive posts a function that the loop calls if the attempt is still active by then.
func (l *Loop) postIfActive(session *session, generation int, run func()) {
	l.post(event{session: session, run: func() {
		if session.isActive(generation) {
			run()
		}
	}})
}

// attemptTimedOut ends an attempt that has timed out. An attempt whose request was not sent had no effect on the server.
func (l *Loop) attemptTimedOut(session *session, cause error) {
	outcome := policy.NeverSent
	if session.requestSent {
		outcome = policy.TimedOut
	}
	l.attemptEnded(session, outcome, cause)
}

// attemptEnded ends an attempt that did not establish the session. It closes the connection before it tells the policy.
func (l *Loop) attemptEnded(session *session, outcome policy.Outcome, cause error) {
	if record := session.record; record != nil && record.committing { // answerCommitted continues once the answer is committed
		record.upstreamClosed = true
		return
	}
	l.log.Debug("attempt ended",
		zap.Stringer("circuit", session),
		zap.String("how", outcomeNames[outcome]),
		zap.String("server", session.upstream.entry.UID),
		zap.Duration("after", l.now-session.attemptStart),
		zap.Error(cause))
	l.Outcomes[outcome].Add(1)
	session.generation++
	session.attemptActive = false
	l.stopAttemptTimers(session)
	session.closeUpstream(false)
	if session.reattaching {
		l.retryReattach(session)
		return
	}
	l.policy.AttemptEnded(session.id, session.attempts-1, false, outcome)
}

// handleResponse handles a server's line that arrives before the session is established.
func (l *Loop) handleResponse(session *session, line protocol.Line) {
	switch {
	case line.Err != nil && line.Kind != protocol.KindRejected:
		l.attemptEnded(session, policy.Failed, line.Err)
	case line.Kind == protocol.KindEstablished && session.record != nil:
		l.commitAnswer(session, line)
	case line.Kind == protocol.KindEstablished:
		l.sessionEstablished(session, line)
	case line.Kind == protocol.KindRejected:
		l.attemptEnded(session, policy.Rejected, nil)
	case line.Kind == protocol.KindLoad:
		l.recordLoad(session, line.Value)
		session.upstreamConn.AwaitLine()
	case line.Kind == protocol.KindMigrate:
		l.attemptEnded(session, policy.Cancelled, nil)
	case line.Kind == protocol.KindEnded:
		l.servedWithoutSession(session, line)
	default:
		l.attemptEnded(session, policy.Failed, nil)
	}
}

// recordLoad records the load of a session as its server reports it.
func (l *Loop) recordLoad(session *session, load float64) {
	session.policyRequest.Load = load
	l.policy.RecordLoad(session.id, max(session.attempts-1, 0), load)
}

// servedWithoutSession ends a session that its server has served with a single answer, without establishing it.
func (l *Loop) servedWithoutSession(session *session, line protocol.Line) {
	l.Outcomes[policy.Succeeded].Add(1)
	l.Served.Add(1)
	l.removeSession(session)
	session.closeUpstream(false)
	if !session.reattaching {
		l.policy.AttemptEnded(session.id, session.attempts-1, true, policy.Succeeded)
	}
	l.closeWithLine(session.client, line.Raw)
}

// reattach dials the server at which the session was open before this balancer started.
func (l *Loop) reattach(session *session) {
	if !l.isCurrent(session) {
		return
	}
	server := l.serversByUID[session.request.StickyEndpoint]
	if server == nil || server.address == "" {
		l.retryReattach(session)
		return
	}
	session.attemptActive = true
	session.attemptStart = l.now
	session.attemptDeadline = session.deadline
	l.dialUpstream(session, server)
}

// retryReattach schedules the next try to reattach a session, or fails the session if it would be after the deadline.
func (l *Loop) retryReattach(session *session) {
	if l.now+reattachInterval >= session.deadline {
		l.Failed.Add(1)
		l.endUnserved(session, protocol.FailLine)
		return
	}
	l.after(reattachInterval, func() { l.reattach(session) })
}
