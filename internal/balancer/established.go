package balancer

import (
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/internal/relay"
	"sabletally/policy"
)

// This file establishes sessions, starts their relay, and handles their migration and end.

const (
	// detachRetryDelay is the time between two tries to detach a client's connection.
	detachRetryDelay = time.Millisecond
	// relayStartTimeout bounds the time from a session's establishment to the start of its relay, as lines must not be delayed for
	// more than a second in all.
	relayStartTimeout = 500 * time.Millisecond
	// lingerTimeout is how long a finished connection stays open for the client to close it.
	lingerTimeout = time.Second
)

// sessionEstablished handles a server's acceptance of a session.
func (l *Loop) sessionEstablished(session *session, line protocol.Line) {
	l.log.Debug("session established",
		zap.Stringer("circuit", session),
		zap.String("server", session.upstream.entry.UID),
		zap.Duration("after", l.now-session.attemptStart),
		zap.Int("tries", session.attempts),
		zap.Uint64("group", session.policyRequest.Group))
	session.generation++
	session.attemptActive = false
	l.stopAttemptTimers(session)
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

// startRelay passes both connections of a session to the relay, on a separate goroutine. firstLine is the server's answer, which the
// relay sends to the client first. If the client disconnects meanwhile, a separate event reports it. If the loop closes the server's
// connection meanwhile, the session is not relayed.
func (l *Loop) startRelay(session *session, firstLine []byte) {
	if !l.isCurrent(session) {
		return
	}
	if l.now >= session.establishedAt+relayStartTimeout { // no descriptor was free, or an earlier line could not be written
		l.DescriptorShortages.Add(1)
		l.relayTimedOut(session)
		return
	}
	server := session.upstreamConn
	serverID := uint64(session.upstream.id)
	go func() {
		fd, _, result := session.client.detach()
		switch result {
		case detachRetry:
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

// relayTimedOut ends an established session that could not be relayed in time. Its client is still owed a final answer.
func (l *Loop) relayTimedOut(session *session) {
	session.closeUpstream(false)
	l.establishedEnded(session, policy.Reset)
	l.closeWithLine(session.client, protocol.FailLine)
}

// relayStarted handles the result of startRelay. If the session has ended meanwhile, the relayed connections are reset.
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

// migrate sends a session's client the MOVE line and closes both sides, now or as soon as the session is relayed.
func (l *Loop) migrate(session *session, outcome policy.Outcome) {
	if session.established && session.pair == nil {
		session.migrationPending = true
		return
	}
	if session.pair == nil || !session.pair.CloseWithLine(protocol.MigrateLine, outcome == policy.Reset) {
		return // the relay has ended the session already, and reports that
	}
	l.log.Debug("session migrated",
		zap.Stringer("circuit", session),
		zap.String("why", outcomeNames[outcome]),
		zap.String("server", session.upstream.entry.UID))
	l.Migrations.Add(1)
	l.establishedEnded(session, outcome)
}

// relayEnded handles the end of a relayed session. When one side ends, the relay ends the other side in the same way.
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

// logRelayEnd logs which side has ended a relayed session and why, and how many bytes were not delivered to each side then.
func (l *Loop) logRelayEnd(session *session, end relay.PairEnd) {
	fields := []zap.Field{
		zap.Stringer("circuit", session),
		zap.String("server", session.upstream.entry.UID),
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

// establishedEnded removes an established session whose connections have been closed or handed over, and reports its outcome to the
// policy.
func (l *Loop) establishedEnded(session *session, outcome policy.Outcome) {
	l.log.Debug("session ended",
		zap.Stringer("circuit", session),
		zap.String("how", outcomeNames[outcome]),
		zap.String("server", session.upstream.entry.UID))
	l.Outcomes[outcome].Add(1)
	l.removeSession(session)
	l.policy.AttemptEnded(session.id, session.attempts-1, true, outcome)
}
