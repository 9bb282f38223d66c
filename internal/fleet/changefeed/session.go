package changefeed

import (
	"container/heap"
	"container/list"
	"fmt"
	"slices"
	"time"
)

// session is a publisher's record of one subscriber's connection.
type session struct {
	connID       uint64
	hello        Hello
	orderElement *list.Element // the session's element of Publisher.sessionOrder
	lastReceived time.Duration // time of the subscriber's last message

	nextExpiryCheck time.Duration // time of the next check, no later than the end of the lease
	heapIndex       int           // the session's index in Publisher.expiries

	ackedVersion uint64 // newest version that the subscriber acknowledged
	ackedDigest  uint64 // digest at ackedVersion
	sentVersion  uint64 // newest version that was sent on this connection, or that the subscriber reported
	sentDigest   uint64 // digest at sentVersion

	isStandby        bool // another publisher brings the subscriber up to date; nothing is sent before a SyncRequest
	awaitingResume   bool // the log may not reach back to sentVersion; this is decided when the subscriber reports its version
	forceSnapshot    bool // the subscriber asked for a snapshot even if the log has the changes
	awaitingSnapshot bool // the session is in Publisher.snapshotQueue

	inFlight      []inFlightMessage // messages sent and not acknowledged, in the order in which they were sent
	inFlightBytes int               // sum of the sizes of inFlight
	lastProgress  time.Duration     // last time at which an acknowledgement arrived or nothing was in flight

	lastAnswered uint64 // sequence of the newest RenewRequest that was answered
	lastResponse uint64 // sequence of the newest RenewResponse that the subscriber has confirmed to have read
	syncPending  bool   // a SyncRequest has been handled since lastResponse last increased
}

// inFlightMessage describes a change or snapshot that was sent and is not acknowledged yet.
type inFlightMessage struct {
	version    uint64
	size       int
	isSnapshot bool
}

// noteResponse records that the subscriber has read the response to the renewal with this sequence.
func (s *session) noteResponse(sequence uint64) {
	if sequence > s.lastResponse && sequence <= s.lastAnswered {
		s.lastResponse = sequence
		s.syncPending = false
	}
}

// Connected handles a subscriber's first message on a connection and opens a session. After an error, Ready returns the connection among
// those to be closed.
func (p *Publisher) Connected(now time.Duration, connID uint64, hello Hello) error {
	p.advanceTime(now)
	if p.sessions[connID] != nil {
		return p.rejectMalformed(connID, fmt.Errorf("%w: second hello on one connection", ErrMalformedMessage))
	}
	if err := p.admit(connID, hello); err != nil {
		return err
	}
	p.Stats.Accepted++
	s := &session{
		connID:          connID,
		hello:           hello,
		lastReceived:    now,
		nextExpiryCheck: now + p.config.Lease,
		ackedVersion:    hello.Version,
		ackedDigest:     hello.Digest,
		sentVersion:     hello.Version,
		sentDigest:      hello.Digest,
		isStandby:       hello.Standby,
		awaitingResume:  true,
		lastProgress:    now,
	}
	s.orderElement = p.sessionOrder.PushBack(s)
	p.sessions[connID] = s
	p.sessionsByID[hello.ID] = s
	heap.Push(&p.expiries, s)
	p.resumeSession(s)
	p.sendSnapshots()
	return nil
}

// admit decides whether a subscriber is accepted, and closes an older session of the same subscriber. A subscriber that gets a Reject
// receives the text of the error, which is therefore part of the protocol.
func (p *Publisher) admit(connID uint64, hello Hello) error {
	if !isValidHello(hello) {
		return p.rejectMalformed(connID, fmt.Errorf("%w: hello without an ID or protocol version, or with a name over %d bytes", ErrMalformedMessage, maxNameBytes))
	}
	if fleet := p.fleetID(); hello.Fleet != "" && fleet != "" && hello.Fleet != fleet {
		p.Stats.RejectedForeign++
		p.emit(Event{Kind: EventForeignFleet, PeerID: hello.ID, Detail: hello.Fleet})
		return p.reject(connID, protocolRetryAfter, fmt.Errorf("%w: %q, this one is %q", ErrForeignFleet, hello.Fleet, fleet))
	}
	if hello.ProtocolVersion > ProtocolVersion {
		p.Stats.RejectedNewer++
		p.emit(Event{Kind: EventNewerProtocol, PeerID: hello.ID, Detail: fmt.Sprint(hello.ProtocolVersion)})
		return p.reject(connID, protocolRetryAfter, fmt.Errorf("%w: form %d, this process speaks %d", ErrMalformedMessage, hello.ProtocolVersion, ProtocolVersion))
	}
	previous := p.sessionsByID[hello.ID]
	if previous != nil && hello.Incarnation < previous.hello.Incarnation {
		return p.rejectMalformed(connID, fmt.Errorf("%w: hello of incarnation %d after a session of incarnation %d", ErrMalformedMessage, hello.Incarnation, previous.hello.Incarnation))
	}
	if p.isDraining {
		return p.reject(connID, drainRetryAfter, errDraining)
	}
	if previous != nil {
		p.closeSession(previous)
	}
	if len(p.sessions) >= p.config.MaxSubscribers {
		p.Stats.RejectedFull++
		return p.reject(connID, fullRetryAfter, fmt.Errorf("%w: %d followers", ErrFull, len(p.sessions)))
	}
	return nil
}

// isValidHello reports whether a hello has an ID and a protocol version, and no name over maxNameBytes.
func isValidHello(hello Hello) bool {
	if hello.ID == "" || hello.ProtocolVersion < 1 {
		return false
	}
	for _, name := range []string{hello.ID, hello.Name, hello.Machine, hello.Zone, hello.Site} {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}

// reject sends a Reject to a subscriber that has no session, closes its connection and returns the reason.
func (p *Publisher) reject(connID uint64, retryAfter time.Duration, reason error) error {
	p.sendReject(connID, retryAfter, reason)
	p.ready.CloseConns = append(p.ready.CloseConns, connID)
	return reason
}

// sendReject tells a subscriber to follow another publisher, and to retry this one after retryAfter to twice retryAfter.
func (p *Publisher) sendReject(connID uint64, retryAfter time.Duration, reason error) {
	p.send(connID, Message{Reject: &Reject{RetryAfter: retryAfter + p.jitter(retryAfter), Reason: reason.Error()}})
}

// rejectMalformed reports a malformed message, closes its connection, with the session if there is one, and returns the reason.
func (p *Publisher) rejectMalformed(connID uint64, reason error) error {
	p.Stats.MalformedMessages++
	p.emit(Event{Kind: EventMalformedMessage, Detail: reason.Error()})
	if s := p.sessions[connID]; s != nil {
		p.closeSession(s)
	} else {
		p.ready.CloseConns = append(p.ready.CloseConns, connID)
	}
	return reason
}

// Step handles a message on a connection after its Hello. After an error, Ready returns the connection among those to be closed. Messages
// of a closed session are ignored.
func (p *Publisher) Step(now time.Duration, connID uint64, message Message) error {
	p.advanceTime(now)
	s := p.sessions[connID]
	if s == nil {
		return nil
	}
	s.lastReceived = now
	switch {
	case message.RenewRequest != nil:
		p.handleRenewRequest(now, s, message.RenewRequest)
	case message.Ack != nil:
		p.acknowledge(s, message.Ack.Version, message.Ack.Digest)
	case message.SyncRequest != nil:
		if handled := p.handleSyncRequest(s, message.SyncRequest); !handled {
			return nil
		}
	case message.Disconnect != nil:
		p.closeSession(s)
	case message.Operation != nil, message.PutRequest != nil, message.OperationResult != nil, message.PutResponse != nil:
	default:
		return p.rejectMalformed(connID, fmt.Errorf("%w: no known content", ErrMalformedMessage))
	}
	p.sendSnapshots()
	return nil
}

// handleRenewRequest processes the acknowledgement in a renewal and answers the renewal, unless too many responses are unread.
func (p *Publisher) handleRenewRequest(now time.Duration, s *session, request *RenewRequest) {
	p.acknowledge(s, request.Version, request.Digest)
	s.noteResponse(request.LastResponse)
	if request.Sequence <= s.lastAnswered || request.Sequence-s.lastResponse > maxUnreadResponses {
		return
	}
	s.lastAnswered = request.Sequence
	response := &RenewResponse{
		Sequence:    request.Sequence,
		Version:     p.log.Version(),
		Digest:      p.log.Digest(),
		SentVersion: s.sentVersion,
		AgeKnown:    p.hasConfirmation,
		Standby:     s.isStandby,
	}
	if p.hasConfirmation {
		response.Age = max(0, now-p.latestConfirmation.at)
	}
	p.send(s.connID, Message{RenewResponse: response})
}

// handleSyncRequest restarts delivery from the version that the subscriber has. It returns false for a request that is ignored because
// the subscriber has not yet read a response since its previous one; the next renewal shows whether it still lacks changes.
func (p *Publisher) handleSyncRequest(s *session, request *SyncRequest) bool {
	s.noteResponse(request.LastResponse)
	if s.syncPending && !s.isStandby {
		return false
	}
	s.syncPending = true
	s.isStandby = false
	s.forceSnapshot = request.ForceSnapshot
	p.releaseAllInFlight(s)
	s.ackedVersion = request.Version
	s.ackedDigest = request.Digest
	s.sentVersion = request.Version
	s.sentDigest = request.Digest
	s.awaitingResume = true
	p.resumeSession(s)
	return true
}

// ConnectionClosed handles the end of a connection that the publisher did not close itself.
func (p *Publisher) ConnectionClosed(connID uint64) {
	if s := p.sessions[connID]; s != nil {
		p.removeSession(s)
	}
	p.sendSnapshots()
}

// closeSession closes a session and its connection.
func (p *Publisher) closeSession(s *session) {
	p.ready.CloseConns = append(p.ready.CloseConns, s.connID)
	p.removeSession(s)
}

// removeSession removes a session from all lists and frees its window.
func (p *Publisher) removeSession(s *session) {
	p.releaseAllInFlight(s)
	if s.awaitingSnapshot {
		p.snapshotQueue = slices.DeleteFunc(p.snapshotQueue, func(other *session) bool { return other == s })
	}
	heap.Remove(&p.expiries, s.heapIndex)
	p.sessionOrder.Remove(s.orderElement)
	delete(p.sessions, s.connID)
	if p.sessionsByID[s.hello.ID] == s {
		delete(p.sessionsByID, s.hello.ID)
	}
}
