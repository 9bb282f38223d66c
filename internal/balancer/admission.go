package balancer

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/protocol"
	"sabletally/policy"
)

const (
	deadlineMargin = 10 * time.Millisecond // a client gets its answer this long before its deadline
	// rejectReserve is the part of all descriptors, as a divisor, that is kept for clients that are rejected at once.
	rejectReserve = 8
)

// handleFirstLine handles a line of a client that has no session.
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

// answerPing answers whether clients are welcome, as soon as this balancer is ready.
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

// rejectMalformed ends a client whose first line is no request; err is nil for a line that can be read but is no client's.
func (l *Loop) rejectMalformed(c *conn, err error) {
	if err != nil {
		l.log.Info("bad line", zap.Error(err))
	}
	if errors.Is(err, protocol.ErrUnexpectedData) {
		l.UnexpectedLines.Add(1)
	}
	l.Malformed.Add(1)
	l.closeWithLine(c, protocol.SyntaxErrorLine)
}

// admit begins a session, which is owed one final answer from here on, or ends the client.
func (l *Loop) admit(c *conn, request *protocol.SessionRequest) {
	if l.isHandingOver() { // nothing new is begun here
		l.handOverClient(c, request.Raw())
		return
	}
	l.Sessions.Add(1)
	if last := l.refusal(request); last != nil {
		l.closeWithLine(c, last)
		return
	}
	left := request.Timeout - c.sinceLastByte() - deadlineMargin
	l.lastSessionID++
	session := &session{
		id:            l.lastSessionID,
		request:       request,
		client:        c,
		deadline:      l.now + left,
		policyRequest: l.policyRequestOf(l.lastSessionID, request, left),
	}
	c.session = session
	l.sessions[session.id] = session
	l.sessionsByClientID[request.ID] = session
	if request.StickyEndpoint != "" {
		session.reattaching = true
		session.deadline = max(session.deadline, l.now+reattachTimeout)
		l.reattach(session)
		return
	}
	l.beginRecord(session)
	l.policy.AddSession(session.policyRequest)
}

// refusal returns the last line for a client that is not admitted, nil for one that is.
func (l *Loop) refusal(request *protocol.SessionRequest) []byte {
	// Servers reject requests without a class or a deadline, and must not be judged by that.
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
	if l.sessionsByClientID[request.ID] != nil { // another client's session
		l.DuplicateIDs.Add(1)
		return protocol.SyntaxErrorLine
	}
	return nil
}

// hasRoomForUpstream reports whether there is a descriptor for a server's side, if need be that of a session that has ended.
func (l *Loop) hasRoomForUpstream() bool {
	for l.descriptors.Load() >= l.availableDescriptors()-l.descriptorLimit/rejectReserve {
		if !l.relay.CloseLingering() && !l.relay.CloseHalfClosed() {
			return false
		}
	}
	return true
}

// policyRequestOf describes a session to the policy under the current settings.
func (l *Loop) policyRequestOf(id policy.SessionID, request *protocol.SessionRequest, left time.Duration) policy.SessionRequest {
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
		Timeout: left,
		Load:    request.LoadHint,
	}
}
