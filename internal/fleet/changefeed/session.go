package changefeed

import (
	"container/heap"
	"container/list"
	"fmt"
	"slices"
	"time"
)

// session is a subscriber's connection, as its publisher sees it.
type session struct {
	connID       uint64
	hello        Hello
	position     *list.Element // in Publisher.order
	lastReceived time.Duration

	nextExpiryCheck time.Duration // no later than the end of the lease
	heapIndex       int           // in Publisher.expiries

	ackedVersion uint64
	ackedDigest  uint64
	sentVersion  uint64 // sent by this connection, or reported by the subscriber
	sentDigest   uint64

	standby          bool // another publisher brings the subscriber up to date
	awaitingResume   bool // the log does not reach back to it: its next message shows whether it still needs a snapshot
	forceSnapshot    bool // it asked for a snapshot even if the log has the changes
	awaitingSnapshot bool // it is in Publisher.snapshotQueue

	inFlight      []inFlightMessage // sent and unacknowledged, in order
	inFlightBytes int
	lastProgress  time.Duration // the last time of an acknowledgement, or when nothing was in flight

	lastAnswered uint64 // sequence of the newest renewal that was answered
	lastResponse uint64 // sequence of the newest response that the subscriber has read
	syncPending  bool   // a SyncRequest was handled since the subscriber read lastResponse
}

// inFlightMessage is a change or snapshot that is not acknowledged.
type inFlightMessage struct {
	version    uint64
	size       int
	isSnapshot bool
}

// noteResponse records that the subscriber has read the response to a renewal.
func (s *session) noteResponse(sequence uint64) {
	if sequence > s.lastResponse && sequence <= s.lastAnswered {
		s.lastResponse = sequence
		s.syncPending = false
	}
}

// Connected handles a subscriber's first message on a connection. After an error the connection ends.
func (p *Publisher) Connected(now time.Duration, connID uint64, hello Hello) error {
	p.advance(now)
	if p.sessions[connID] != nil {
		return p.rejectMalformed(connID, fmt.Errorf("%w: a second hello", ErrMalformedMessage))
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
		standby:         hello.Standby,
		awaitingResume:  true,
		lastProgress:    now,
	}
	s.position = p.order.PushBack(s)
	p.sessions[connID] = s
	p.sessionsByID[hello.ID] = s
	heap.Push(&p.expiries, s)
	p.resume(s)
	p.sendSnapshots()
	return nil
}

// admit decides whether a subscriber is accepted. An older session of the same subscriber is closed; a rejected subscriber receives the
// text of the error, which is part of the protocol.
func (p *Publisher) admit(connID uint64, hello Hello) error {
	if !isValidHello(hello) {
		return p.rejectMalformed(connID, fmt.Errorf("%w: a hello without an ID or protocol version, or with a name over %d bytes", ErrMalformedMessage, maxNameBytes))
	}
	if fleet := p.fleet(); hello.Fleet != "" && fleet != "" && hello.Fleet != fleet {
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
		return p.rejectMalformed(connID, fmt.Errorf("%w: a hello of incarnation %d after one of %d", ErrMalformedMessage, hello.Incarnation, previous.hello.Incarnation))
	}
	if p.draining {
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

// reject tells a subscriber that has no session to follow another publisher.
func (p *Publisher) reject(connID uint64, retryAfter time.Duration, reason error) error {
	p.sendReject(connID, retryAfter, reason)
	p.ready.Close = append(p.ready.Close, connID)
	return reason
}

func (p *Publisher) sendReject(connID uint64, retryAfter time.Duration, reason error) {
	p.send(connID, Message{Reject: &Reject{RetryAfter: retryAfter + p.jitter(retryAfter), Reason: reason.Error()}})
}

// rejectMalformed closes a connection, with its session if it has one.
func (p *Publisher) rejectMalformed(connID uint64, reason error) error {
	p.Stats.MalformedMessages++
	p.emit(Event{Kind: EventMalformedMessage, Detail: reason.Error()})
	if s := p.sessions[connID]; s != nil {
		p.closeSession(s)
	} else {
		p.ready.Close = append(p.ready.Close, connID)
	}
	return reason
}

// Step handles a message of an open connection. After an error the connection ends. Messages of a closed session are ignored.
func (p *Publisher) Step(now time.Duration, connID uint64, message Message) error {
	p.advance(now)
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
		return p.rejectMalformed(connID, fmt.Errorf("%w: nothing in it that this process knows", ErrMalformedMessage))
	}
	p.sendSnapshots()
	return nil
}

// handleRenewRequest takes the acknowledgement in a renewal and answers it, unless too many answers are unread.
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
		AgeKnown:    p.confirmed,
		Standby:     s.standby,
	}
	if p.confirmed {
		response.Age = max(0, now-p.latest.at)
	}
	p.send(s.connID, Message{RenewResponse: response})
}

// handleSyncRequest starts over from the version that the subscriber has. It returns false for a request that is ignored: the subscriber
// has not read yet what followed from its previous one, and its next renewal shows whether it still needs it.
func (p *Publisher) handleSyncRequest(s *session, request *SyncRequest) bool {
	s.noteResponse(request.LastResponse)
	if s.syncPending && !s.standby {
		return false
	}
	s.syncPending = true
	s.standby = false
	s.forceSnapshot = request.ForceSnapshot
	p.releaseAll(s)
	s.ackedVersion = request.Version
	s.ackedDigest = request.Digest
	s.sentVersion = request.Version
	s.sentDigest = request.Digest
	s.awaitingResume = true
	p.resume(s)
	return true
}

// ConnectionClosed reports the end of a connection that the publisher did not close itself.
func (p *Publisher) ConnectionClosed(connID uint64) {
	if s := p.sessions[connID]; s != nil {
		p.removeSession(s)
	}
	p.sendSnapshots()
}

// closeSession closes a session and its connection.
func (p *Publisher) closeSession(s *session) {
	p.ready.Close = append(p.ready.Close, s.connID)
	p.removeSession(s)
}

func (p *Publisher) removeSession(s *session) {
	p.releaseAll(s)
	if s.awaitingSnapshot {
		p.snapshotQueue = slices.DeleteFunc(p.snapshotQueue, func(other *session) bool { return other == s })
	}
	heap.Remove(&p.expiries, s.heapIndex)
	p.order.Remove(s.position)
	delete(p.sessions, s.connID)
	if p.sessionsByID[s.hello.ID] == s {
		delete(p.sessionsByID, s.hello.ID)
	}
}
