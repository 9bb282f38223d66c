package balancer

import (
	"fmt"
	"time"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// session is one client's request, from its first line to its end. The loop owns it.
//
// A session is admitted (admission.go), makes attempts until one is accepted by a server (attempt.go), is then established and
// relayed without the loop (established.go), and ends (session_end.go).
type session struct {
	id            policy.SessionID
	request       *protocol.SessionRequest
	client        *conn
	policyRequest policy.SessionRequest // with the newest load that its server reported
	// deadline is when the client must have its answer, on the loop's clock.
	deadline time.Duration
	// reattaching is set while the session waits for the server at which it was open before this balancer started. The policy
	// does not know of it until it is established.
	reattaching bool
	record      *idempotencyRecord // nil for classes that are not replicated

	// attempts is the number of attempts that the policy has decided; the newest has this number less one.
	attempts int
	// generation changes with every attempt and its end, so that late events of an earlier one are recognised.
	generation int
	// attemptActive is set from the start of an attempt to its end.
	attemptActive bool
	// requestSent is set once the active attempt's request may have reached the server.
	requestSent     bool
	attemptStart    time.Duration
	attemptDeadline time.Duration
	upstream        *upstream     // of the newest attempt
	dial            *upstreamDial // of the newest attempt, until it is connected
	upstreamConn    *relay.Conn   // of the newest attempt, until the session is relayed

	established   bool
	establishedAt time.Duration
	pair          *relay.Pair // both connections, once they are relayed
	// migrationPending is set if the session is to be migrated as soon as it is relayed.
	migrationPending bool
}

// String names a session in the log.
func (s *session) String() string { return fmt.Sprintf("%d (%x)", s.id, s.request.ID) }

// closeUpstream closes the connection of the newest attempt, with a reset if abrupt.
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

// isCurrent reports whether a session has not ended.
func (l *Loop) isCurrent(session *session) bool { return l.sessions[session.id] == session }

// isActive reports whether the attempt of that generation is still active.
func (s *session) isActive(generation int) bool { return s.generation == generation && s.attemptActive }

func (l *Loop) addOpenSession() {
	l.openSessions++
	l.Open.Store(int64(l.openSessions))
}

// removeSession takes a session out of the table: its client is owed nothing more.
func (l *Loop) removeSession(session *session) {
	if session.established {
		l.openSessions--
		l.Open.Store(int64(l.openSessions))
	}
	session.generation++
	session.attemptActive = false
	session.established = false
	delete(l.sessions, session.id)
	if l.sessionsByClientID[session.request.ID] == session {
		delete(l.sessionsByClientID, session.request.ID)
	}
}
