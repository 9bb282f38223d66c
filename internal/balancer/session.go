package balancer

import (
	"fmt"
	"time"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// session is one client's session, from the request in its first line to its end. The loop owns it.
//
// A session is admitted (admission.go), makes attempts until a server accepts one (attempt.go), is then established and relayed
// without the loop (established.go), and ends (session_end.go).
type session struct {
	id            policy.SessionID
	request       *protocol.SessionRequest
	client        *conn
	policyRequest policy.SessionRequest // request as the policy knows it, with the newest load that the server reported
	// deadline is the loop time by which the client must have its answer.
	deadline time.Duration
	// reattaching is set while the session waits for the server at which it was open before this balancer started. The policy
	// does not know the session until it is established.
	reattaching bool
	record      *idempotencyRecord // replicated record of the session, nil for classes that are not replicated

	// attempts is the number of attempts that the policy has started. The newest attempt's index is attempts-1.
	attempts int
	// generation is incremented when an attempt starts and when it ends, so that late events of an earlier attempt are ignored.
	generation int
	// attemptActive is set from the start of an attempt to its end.
	attemptActive bool
	// requestSent is set once the active attempt's request may have reached the server.
	requestSent     bool
	attemptStart    time.Duration // loop time at which the newest attempt started
	attemptDeadline time.Duration // loop time at which the newest attempt times out
	sendDeadline    time.Duration // loop time before which the newest attempt's request must be written, 0 if there is none
	attemptTimer    *timer        // ends the newest attempt at attemptDeadline, nil once it has ended
	sendTimer       *timer        // ends the newest attempt at sendDeadline if its request is not sent, nil if there is none
	upstream        *upstream     // server of the newest attempt
	dial            *upstreamDial // dial of the newest attempt, nil once it is connected
	upstreamConn    *relay.Conn   // server connection of the newest attempt, nil once the session is relayed

	established   bool
	establishedAt time.Duration // loop time at which the session was established
	pair          *relay.Pair   // the relayed connections of client and server, nil before the session is relayed
	// migrationPending is set if the session is to be migrated as soon as it is relayed.
	migrationPending bool
}

// String identifies the session in the log.
func (s *session) String() string { return fmt.Sprintf("%d (%x)", s.id, s.request.ID) }

// closeUpstream cancels the dial or closes the server connection of the newest attempt, with a reset if abrupt is set.
func (s *session) closeUpstream(abrupt bool) {
	if s.dial != nil {
		s.dial.cancel()
		s.dial = nil
	}
	conn := s.upstreamConn
	s.upstreamConn = nil
	switch {
	case conn == nil:
	case abrupt:
		conn.Abort()
	default:
		conn.Close()
	}
}

// sendTimeout returns the time that is left, as of the loop time now, to write the request of the newest attempt.
func (s *session) sendTimeout(now time.Duration) time.Duration {
	left := s.attemptDeadline - now
	if s.sendDeadline > 0 {
		left = min(left, s.sendDeadline-now)
	}
	return left
}

// isCurrent reports whether a session is still in the session table.
func (l *Loop) isCurrent(session *session) bool { return l.sessions[session.id] == session }

// isActive reports whether the attempt of the given generation is still active.
func (s *session) isActive(generation int) bool { return s.generation == generation && s.attemptActive }

// addOpenSession counts a session that has been established.
func (l *Loop) addOpenSession() {
	l.openSessions++
	l.Open.Store(int64(l.openSessions))
}

// removeSession removes a session from the session table: its client is owed no further answer.
func (l *Loop) removeSession(session *session) {
	if session.established {
		l.openSessions--
		l.Open.Store(int64(l.openSessions))
	}
	session.generation++
	session.attemptActive = false
	session.established = false
	l.stopAttemptTimers(session)
	delete(l.sessions, session.id)
	if l.sessionsByClientID[session.request.ID] == session {
		delete(l.sessionsByClientID, session.request.ID)
		l.announceRelease(session)
	}
}
