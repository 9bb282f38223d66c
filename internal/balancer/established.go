package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

const (
	detachRetryDelay  = time.Millisecond       // while a line is being written to the client
	relayStartTimeout = 500 * time.Millisecond // lines may be held for a second in all
	lingerTimeout     = time.Second            // a finished connection that the other side does not end is closed then
)

// sessionEstablished handles a server's acceptance of a session.
func (l *Loop) sessionEstablished(session *session, line protocol.Line) {
	l.log.Debug("stands",
		zap.Stringer("circuit", session),
		zap.String("server", session.upstream.listed.UID),
		zap.Duration("after", l.now-session.attemptStart),
		zap.Int("tries", session.attempts),
		zap.Uint64("group", session.policyRequest.Group))
	session.generation++
	session.attemptActive = false
	session.established = true
	session.establishedAt = l.now
	l.addOpenSession()
	l.Served.Add(1)
	if session.reattaching {
		session.reattaching = false
		session.attempts = 1
		l.policy.AdoptSession(session.policyRequest, session.upstream.id)
	} else {
		l.policy.AttemptEstablished(session.id, session.attempts-1, l.now-session.attemptStart)
	}
	l.startRelay(session, line.Raw)
}

// startRelay hands both connections to the relay, on a goroutine of its own. firstLine is the server's, which goes to the client
// first. The end of a client meanwhile is an event of its own; a server's connection that the loop closes meanwhile is not relayed.
func (l *Loop) startRelay(session *session, firstLine []byte) {
	if !l.isCurrent(session) {
		return
	}
	if l.now >= session.establishedAt+relayStartTimeout { // no descriptor for the client's side, or a writer that hangs
		l.DescriptorShortages.Add(1)
		l.relayTimedOut(session)
		return
	}
	server := session.upstreamConn
	serverID := uint64(session.upstream.id)
	go func() {
		fd, result := session.client.detach()
		switch result {
		case detachWriting: // an earlier line must go first
			l.post(event{session: session, run: func() {
				l.after(detachRetryDelay, func() { l.startRelay(session, firstLine) })
			}})
			return
		case detachClosed:
			return
		}
		pair, err := l.relay.Join(fd, server, firstLine, serverID, session)
		l.post(event{session: session, run: func() { l.relayStarted(session, pair, err) }})
	}()
}

// relayTimedOut ends an established session that can't be relayed: its client is owed an answer.
func (l *Loop) relayTimedOut(session *session) {
	session.closeUpstream(false)
	l.establishedEnded(session, policy.Reset)
	l.closeWithLine(session.client, protocol.FailLine)
}

// relayStarted takes the relayed connections, if the session has not ended.
func (l *Loop) relayStarted(session *session, pair *relay.Pair, err error) {
	session.client.finished = true
	current := l.isCurrent(session)
	switch {
	case err != nil && current:
		l.logRelayError(err)
		session.closeUpstream(false)
		l.establishedEnded(session, policy.Reset)
		return
	case err != nil:
		return
	case !current:
		pair.Abort()
		return
	}
	session.pair = pair
	session.upstreamConn = nil
	switch {
	case session.migrationPending:
		l.migrate(session, policy.Cancelled)
	case l.isHandingOver():
		l.handOverSession(session)
	}
}

// migrate sends a session's client MOVE between two lines and ends both sides.
func (l *Loop) migrate(session *session, outcome policy.Outcome) {
	if session.established && session.pair == nil {
		session.migrationPending = true
		return
	}
	if session.pair == nil || !session.pair.CloseWithLine(protocol.MigrateLine, outcome == policy.Reset) {
		return // its end is on its way
	}
	l.log.Debug("migrated",
		zap.Stringer("circuit", session),
		zap.String("why", outcomeNames[outcome]),
		zap.String("server", session.upstream.listed.UID))
	l.Migrations.Add(1)
	l.establishedEnded(session, outcome)
}

// relayEnded handles the end of a relayed session; the relay has ended the other side in the same way.
func (l *Loop) relayEnded(session *session, end relay.PairEnd) {
	if !l.isCurrent(session) {
		return
	}
	l.logRelayEnd(session, end)
	outcome := policy.Reset
	switch {
	case end.EndedBy == relay.Client:
		outcome = policy.Cancelled
	case end.Pair.Completed():
		outcome = policy.Succeeded
	case end.Pair.MoveRequested():
		outcome = policy.Cancelled
	}
	l.establishedEnded(session, outcome)
}

// logRelayEnd logs which side has ended a relayed session and why, and what either side was still owed then.
func (l *Loop) logRelayEnd(session *session, end relay.PairEnd) {
	fields := []zap.Field{
		zap.Stringer("circuit", session),
		zap.String("server", session.upstream.listed.UID),
		zap.Stringer("by", end.EndedBy),
		zap.Bool("abrupt", end.Abrupt),
		zap.NamedError("cause", end.Cause),
		zap.Int("client-buffered", end.Pending[relay.Client].Buffered),
		zap.Int("client-unacknowledged", end.Pending[relay.Client].Unacknowledged),
		zap.Int("server-buffered", end.Pending[relay.Server].Buffered),
		zap.Int("server-unacknowledged", end.Pending[relay.Server].Unacknowledged),
	}
	l.log.Debug("relay ended", fields...)
	if end.Fault != nil {
		l.Errors.Add(1)
		l.log.Info("connection broken", append(fields, zap.Error(end.Fault))...)
	}
}

// establishedEnded ends an established session whose connections are closed, relayed or handed over.
func (l *Loop) establishedEnded(session *session, outcome policy.Outcome) {
	l.log.Debug("stood",
		zap.Stringer("circuit", session),
		zap.String("how", outcomeNames[outcome]),
		zap.String("server", session.upstream.listed.UID))
	l.Outcomes[outcome].Add(1)
	l.removeSession(session)
	l.policy.AttemptEnded(session.id, session.attempts-1, true, outcome)
}
