package balancer

import (
	"errors"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/policy"
)

// This file ends sessions that are not relayed: with a final answer to the client, or because the client has disconnected.

// closeWithLine sends a client its final line and closes the connection gracefully.
func (l *Loop) closeWithLine(c *conn, finalLine []byte) {
	c.send(finalLine)
	l.closeGracefully(c)
}

// closeGracefully shuts down the sending side of a connection once all output is written, and closes the connection after
// lingerTimeout if the client has not closed it.
func (l *Loop) closeGracefully(c *conn) {
	if c == nil || c.finished {
		return
	}
	c.finished = true
	c.closeWrite()
	if c.idleConns != nil {
		l.idleConns.add(c, l.idleConns.ended)
	}
	c.lingerTimer = l.after(lingerTimeout, c.close)
}

// endUnserved ends a session that was not established, with a final answer.
func (l *Loop) endUnserved(session *session, finalLine []byte) {
	l.log.Debug("session not served",
		zap.Stringer("circuit", session),
		zap.ByteString("answer", finalLine),
		zap.Int("tries", session.attempts),
		zap.Duration("left", session.deadline-l.now))
	l.removeSession(session)
	l.closeWithLine(session.client, finalLine)
}

// unexpectedLine ends a session whose client has sent more input before it had its answer.
func (l *Loop) unexpectedLine(session *session) {
	l.UnexpectedLines.Add(1)
	l.failSession(session, protocol.SyntaxErrorLine)
}

// clientDisconnected handles the end of a client's connection that the client or a failure has caused.
func (l *Loop) clientDisconnected(c *conn, disconnect *DisconnectError) {
	session := c.session
	current := session != nil && l.isCurrent(session)
	if !errors.Is(disconnect.Cause, errPeerClosed) {
		l.Errors.Add(1)
		l.log.Info("connection broken", zap.Error(disconnect))
		if current && !session.established {
			l.failSession(session, protocol.FailLine) // the client is still owed a final answer
			return
		}
		c.abort()
	}
	c.finished = true
	if !current {
		return
	}
	if !session.established {
		l.ClientDisconnects.Add(1)
	}
	l.cancelSession(session, disconnect.Abrupt)
}

// failSession counts a session as failed and ends it with a final answer, for a reason that the policy does not know.
func (l *Loop) failSession(session *session, finalLine []byte) {
	l.Failed.Add(1)
	l.endWithAnswer(session, finalLine)
}

// endWithAnswer ends a session with a final answer and cancels its active attempt, if there is one.
func (l *Loop) endWithAnswer(session *session, finalLine []byte) {
	l.cancelSession(session, false)
	l.closeWithLine(session.client, finalLine)
}

// cancelSession closes the server's side of a session, with a reset if abrupt is set, and removes the session from the policy.
func (l *Loop) cancelSession(session *session, abrupt bool) {
	holdsServer := session.attemptActive || session.established
	outcome := policy.NeverSent
	if session.requestSent || session.established {
		outcome = policy.Cancelled
	}
	if !session.established {
		l.policy.ClientDisconnected(session.id)
	}
	if session.record != nil && !session.record.requestWritten {
		l.withdraw(session)
	}
	l.removeSession(session)
	session.closeUpstream(abrupt)
	if holdsServer && !session.reattaching {
		l.Outcomes[policy.Cancelled].Add(1)
		l.policy.AttemptEnded(session.id, session.attempts-1, true, outcome)
	}
}
