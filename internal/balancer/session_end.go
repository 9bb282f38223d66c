package balancer

import (
	"errors"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/policy"
)

// closeWithLine sends a client without a session its last line.
func (l *Loop) closeWithLine(c *conn, last []byte) {
	c.send(last)
	l.closeGracefully(c)
}

// closeGracefully ends a connection once all is written, and closes it a little later if the client has not.
func (l *Loop) closeGracefully(c *conn) {
	if c == nil || c.finished {
		return
	}
	c.finished = true
	c.closeWrite()
	if c.idle != nil {
		l.idle.add(c, l.idle.ended)
	}
	l.after(lingerTimeout, c.close)
}

// endUnserved gives a session that was not established its final answer.
func (l *Loop) endUnserved(session *session, last []byte) {
	l.log.Debug("not served",
		zap.Stringer("circuit", session),
		zap.ByteString("answer", last),
		zap.Int("tries", session.attempts),
		zap.Duration("left", session.deadline-l.now))
	l.removeSession(session)
	l.closeWithLine(session.client, last)
}

// unexpectedLine ends a session whose client sent more before its answer.
func (l *Loop) unexpectedLine(session *session) {
	l.UnexpectedLines.Add(1)
	l.failSession(session, protocol.SyntaxErrorLine)
}

// clientDisconnected handles the end of a client's connection that this balancer did not ask for.
func (l *Loop) clientDisconnected(c *conn, disconnect *DisconnectError) {
	session := c.session
	current := session != nil && l.isCurrent(session)
	if !errors.Is(disconnect.Cause, errPeerClosed) {
		l.Errors.Add(1)
		l.log.Info("connection broken", zap.Error(disconnect))
		if current && !session.established {
			l.failSession(session, protocol.FailLine) // its client is still owed the answer
			return
		}
		c.abort()
	}
	c.finished = true
	if !current {
		return
	}
	if !session.established {
		l.ClientsLeft.Add(1)
	}
	l.cancelSession(session, disconnect.Abrupt)
}

// failSession ends a session with its final answer for a reason that the policy does not know of.
func (l *Loop) failSession(session *session, last []byte) {
	l.Failed.Add(1)
	l.endWithAnswer(session, last)
}

// endWithAnswer ends a session with its final answer, whatever the policy has under way for it.
func (l *Loop) endWithAnswer(session *session, last []byte) {
	l.cancelSession(session, false)
	l.closeWithLine(session.client, last)
}

// cancelSession ends the server's side of a session, with a reset if abrupt, and withdraws it from the policy.
func (l *Loop) cancelSession(session *session, abrupt bool) {
	holdsServer := session.attemptActive || session.established
	if !session.established {
		l.policy.ClientDisconnected(session.id)
	}
	if session.record != nil && !session.record.written {
		l.withdraw(session)
	}
	l.removeSession(session)
	session.closeUpstream(abrupt)
	if holdsServer && !session.reattaching {
		l.Outcomes[policy.Cancelled].Add(1)
		l.policy.AttemptEnded(session.id, session.attempts-1, true, policy.Cancelled)
	}
}
