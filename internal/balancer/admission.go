package balancer

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/policy"
)

// This file answers clients that have no session yet: it admits their sessions, rejects them, or answers their pings.

const (
	deadlineMargin = 10 * time.Millisecond // time by which a client gets its answer before its deadline
	// rejectReserveDivisor sets the descriptors that are reserved for clients that are rejected at once: 1/8 of all.
	rejectReserveDivisor = 8
)

// handleFirstLine handles a line from a client that has no session.
func (l *Loop) handleFirstLine(c *conn, line protocol.Line) {
	switch {
	case line.Err == nil && line.Kind == protocol.KindPing:
		l.answerPing(c)
	case line.Err == nil && line.Kind == protocol.KindOpen:
		l.admit(c, line.Request)
	default:
		l.rejectMalformed(c, line.Err)
	}
}

// answerPing answers a client's PING once this balancer is ready.
func (l *Loop) answerPing(c *conn) {
	if l.ready {
		c.send(l.readinessLine())
		c.awaitsPong.Store(false)
		return
	}
	c.unansweredPings++
	if c.unansweredPings == 1 {
		l.pendingPings = append(l.pendingPings, c)
	}
}

// rejectMalformed answers a client whose first line is not a request. err is the parse error, nil for a valid line of a kind that
// clients may not send.
func (l *Loop) rejectMalformed(c *conn, err error) {
	if err != nil {
		l.log.Info("malformed first line", zap.Error(err))
	}
	if errors.Is(err, protocol.ErrUnexpectedData) {
		l.UnexpectedLines.Add(1)
	}
	l.Malformed.Add(1)
	l.closeWithLine(c, protocol.SyntaxErrorLine)
}

// admit creates a session for a client's request, or refuses the request. The client of an admitted session is owed exactly one final
// answer.
func (l *Loop) admit(c *conn, request *protocol.SessionRequest) {
	if l.isHandingOver() { // the successor serves new sessions
		l.handOverClient(c, request.Raw())
		return
	}
	l.Sessions.Add(1)
	if finalLine := l.refusal(request); finalLine != nil {
		l.closeWithLine(c, finalLine)
		return
	}
	remaining := request.Timeout - c.sinceLastByte() - deadlineMargin
	l.lastSessionID++
	session := &session{
		id:            l.lastSessionID,
		request:       request,
		client:        c,
		deadline:      l.now + remaining,
		policyRequest: l.policyRequestOf(l.lastSessionID, request, remaining),
	}
	if l.isForeignID(session) {
		l.DuplicateIDs.Add(1)
		l.closeWithLine(c, protocol.SyntaxErrorLine)
		return
	}
	c.session = session
	l.sessions[session.id] = session
	l.sessionsByClientID[request.ID] = session
	l.announceRequestID(session)
	if request.StickyEndpoint != "" {
		session.reattaching = true
		session.deadline = max(session.deadline, l.now+reattachTimeout)
		l.reattach(session)
		return
	}
	l.beginRecord(session)
	l.policy.AddSession(session.policyRequest)
}

// refusal returns the final line for a request that is not admitted, nil for a request that is.
func (l *Loop) refusal(request *protocol.SessionRequest) []byte {
	// Servers reject requests without a class or a deadline. That must not count against the server, so they are refused here.
	_, known := l.deployment.Classes[request.Class]
	if !known || !request.HasTimeout {
		l.Malformed.Add(1)
		return protocol.SyntaxErrorLine
	}
	if !l.hasRoomForUpstream() {
		l.DescriptorShortages.Add(1)
		l.Rejected.Add(1)
		return protocol.RejectLine(l.retryAfter())
	}
	return nil
}

// hasRoomForUpstream reports whether a descriptor is free for a connection to a server. If none is, it closes lingering connections of
// ended sessions to free one.
func (l *Loop) hasRoomForUpstream() bool {
	for l.descriptors.Load() >= l.availableDescriptors()-l.descriptorLimit/rejectReserveDivisor {
		if !l.relay.CloseLingering() && !l.relay.CloseHalfClosed() {
			return false
		}
	}
	return true
}

// policyRequestOf returns the policy's description of a session under the current settings. remaining is the time until its deadline.
func (l *Loop) policyRequestOf(id policy.SessionID, request *protocol.SessionRequest, remaining time.Duration) policy.SessionRequest {
	class, known := l.deployment.Classes[request.Class]
	if !known {
		class = len(l.deployment.Classes)
	}
	tenant, known := l.deployment.Tenants[request.Tenant]
	if !known {
		tenant = len(l.deployment.Tenants)
	}
	return policy.SessionRequest{
		ID:      id,
		Key:     request.Key,
		Group:   request.Group,
		Tenant:  tenant,
		Class:   class,
		Timeout: remaining,
		Load:    request.LoadHint,

		RequestID: request.ID,
		HasID:     !l.isReplicated(request.Class),
	}
}
