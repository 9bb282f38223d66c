package changefeed

import (
	"fmt"
	"slices"
	"time"
)

// Timeouts and backoffs of a subscriber's connections to publishers.
const (
	initialBackoff          = time.Second      // mean backoff after the first failure; doubled with each consecutive one
	maxBackoff              = 30 * time.Second // limit of the mean backoff after failures
	failureResetAfter       = 10 * time.Second // a healthy connection of this age clears the publisher's failures
	invalidPublisherBackoff = time.Minute      // mean backoff after an invalid message, or a message of another fleet or history
	minRetryAfter           = time.Second      // minimum of the time that a publisher's Reject asks for
	maxRetryAfter           = 5 * time.Minute  // maximum of the time that a publisher's Reject asks for
	transferTimeout         = time.Minute      // limit for the transfer of one message while bytes of it arrive

	isolatedBackoff       = 1500 * time.Millisecond // mean backoff after a failure while no connection is open
	isolatedRejectBackoff = 4 * time.Second         // mean backoff after a Reject while no connection is open
)

// connectionState is the state of a subscriber's connection to a candidate.
type connectionState uint8

const (
	stateIdle connectionState = iota
	stateDialing
	stateOpen
)

// String returns the name of the state.
func (s connectionState) String() string {
	return [...]string{"idle", "dialing", "open"}[s]
}

// candidate is a publisher that a subscriber may follow, identified by its address, with the record of its failures and its connection.
type candidate struct {
	address      string
	id           string // empty if only a seed names the publisher
	zone         string
	site         string
	score        uint64 // rendezvousScore for this subscriber
	isListed     bool   // whether the state or the configured seeds name the publisher
	dialedAsSeed bool   // whether the publisher was dialed while its ID was unknown, and has not been chosen since

	consecutiveFailures int           // number of consecutive failures, which determines the backoff
	hasFailed           bool          // whether the publisher has failed, and no healthy connection has lasted for failureResetAfter since
	failedAt            time.Duration // time of the last failure
	avoidUntil          time.Duration // time before which the publisher is not chosen
	hasRejected         bool          // whether the last connection ended with a Reject, which set avoidUntil

	state      connectionState
	stateSince time.Duration // time at which the dial or the open connection began
	connection
}

// connection is the part of a candidate's data that lasts as long as one connection.
type connection struct {
	lastReceived time.Duration // time of the last message, or of the last bytes of an incomplete one
	lastAnswered time.Duration // time of the last RenewResponse
	isReceiving  bool          // bytes of an incomplete message have arrived since the last complete one
	isHealthy    bool          // the publisher has answered with an age within the lease
	isSynced     bool          // the publisher had nothing newer than the state at least once
	isStandby    bool          // another publisher brings the subscriber up to date; this one sends nothing before a SyncRequest

	nextRenewAt          time.Duration // time of the next RenewRequest
	lastSequence         uint64        // sequence of the newest RenewRequest sent
	lastResponse         uint64        // sequence of the newest RenewResponse received
	pendingRenewals      []pendingRenewal
	pendingConfirmations []confirmation

	syncPending        bool   // a SyncRequest is not answered yet
	syncSequence       uint64 // newest RenewRequest sent before the SyncRequest: responses up to it do not reflect the SyncRequest
	syncVersion        uint64 // version of the state in the SyncRequest
	syncForcesSnapshot bool   // the SyncRequest asked for a snapshot
	unackedBytes       int    // size of the changes applied since the last acknowledgement
}

// pendingRenewal is a RenewRequest that has not been answered, with the time at which it was sent.
type pendingRenewal struct {
	sequence uint64
	sentAt   time.Duration
}

// dialTimeout returns how long a dial may take.
func (s *Subscriber) dialTimeout() time.Duration { return s.config.Lease / 5 }

// silenceTimeout returns how long a publisher may send nothing, or leave renewals unanswered. It is short enough to follow another
// publisher before the lease expires.
func (s *Subscriber) silenceTimeout() time.Duration { return s.config.Lease / 2 }

// timeoutReason returns which timeout of an active candidate has expired, or an empty string if none has.
func (s *Subscriber) timeoutReason(c *candidate) string {
	switch {
	case c.state == stateDialing && s.now-c.stateSince >= s.dialTimeout():
		return "dial timeout"
	case c.state != stateOpen:
		return ""
	case s.now-c.lastReceived >= s.silenceTimeout():
		return fmt.Sprintf("no message for %v", s.now-c.lastReceived)
	case s.now-c.lastAnswered >= s.silenceTimeout() && !c.isReceiving, s.now-c.lastAnswered >= transferTimeout:
		return fmt.Sprintf("no renew response for %v", s.now-c.lastAnswered)
	}
	return ""
}

// dial starts a connection to a candidate and makes it active.
func (s *Subscriber) dial(c *candidate) {
	s.Stats.Dials++
	c.state = stateDialing
	c.stateSince = s.now
	c.hasRejected = false
	c.dialedAsSeed = c.id == ""
	c.isHealthy = false
	c.avoidUntil = 0
	s.activeCandidates = append(s.activeCandidates, c)
	s.ready.DialAddrs = append(s.ready.DialAddrs, c.address)
}

// dropFailed closes the connection to a publisher that failed, and avoids it until its backoff has passed.
func (s *Subscriber) dropFailed(c *candidate, reason string) {
	s.emit(Event{Kind: EventUnsubscribed, Addr: c.address, Detail: reason})
	s.recordFailure(c)
	s.closeConnection(c)
}

// dropInvalid drops a publisher that sent an invalid message, and avoids it for about invalidPublisherBackoff.
func (s *Subscriber) dropInvalid(c *candidate, kind EventKind, err error) {
	s.emit(Event{Kind: kind, PeerID: c.id, Addr: c.address, Detail: err.Error()})
	s.dropFailed(c, "invalid message")
	c.avoidUntil = s.now + s.jitter(invalidPublisherBackoff)
	s.reconcile()
}

// dropConflicting drops a publisher that has another history, and avoids it for about invalidPublisherBackoff.
func (s *Subscriber) dropConflicting(c *candidate, err error) {
	s.Stats.Conflicts++
	s.emit(Event{Kind: EventHistoryConflict, PeerID: c.id, Addr: c.address, Version: s.state.Version(), Detail: err.Error()})
	s.dropFailed(c, "conflicting history")
	c.avoidUntil = s.now + s.jitter(invalidPublisherBackoff)
	s.reconcile()
}

// dropRejecting drops a publisher that sent a Reject, and avoids it for the time that the Reject asks for. A Reject
// does not count as a failure.
func (s *Subscriber) dropRejecting(c *candidate, reject *Reject) {
	s.Stats.Rejections++
	s.dropFailed(c, "rejected: "+reject.Reason)
	c.consecutiveFailures = 0
	c.hasFailed = false
	c.hasRejected = true
	c.avoidUntil = s.now + min(max(reject.RetryAfter, minRetryAfter), maxRetryAfter)
	s.reconcile()
}

// connectionLost handles a dial that failed, or the end of a connection that the subscriber did not close itself.
func (s *Subscriber) connectionLost(c *candidate) {
	s.recordFailure(c)
	s.deactivate(c)
	s.reconcile()
}

// closeConnection closes a candidate's connection, or ends its dial.
func (s *Subscriber) closeConnection(c *candidate) {
	s.ready.CloseAddrs = append(s.ready.CloseAddrs, c.address)
	s.deactivate(c)
}

// deactivate removes a candidate from the active ones. If it was bringing the subscriber up to date, a standby connection takes over.
func (s *Subscriber) deactivate(c *candidate) {
	wasSyncing := c.state == stateOpen && !c.isStandby && !c.isSynced
	c.state = stateIdle
	c.connection = connection{}
	s.activeCandidates = slices.DeleteFunc(s.activeCandidates, func(other *candidate) bool { return other == c })
	if !c.isListed {
		delete(s.candidates, c.address)
	}
	if !wasSyncing {
		return
	}
	for _, other := range s.activeCandidates {
		if other.state == stateOpen && other.isStandby {
			s.requestSync(other, false)
			return
		}
	}
}

// recordFailure counts a failure of a candidate and avoids it for a time that doubles with each consecutive failure.
func (s *Subscriber) recordFailure(c *candidate) {
	c.hasFailed = true
	c.failedAt = s.now
	c.avoidUntil = max(c.avoidUntil, s.now+s.backoff(c.consecutiveFailures))
	c.consecutiveFailures++
}

// backoff returns a jittered time whose mean doubles with each failure, from initialBackoff up to maxBackoff.
func (s *Subscriber) backoff(failures int) time.Duration {
	const maxDoublings = 10 // limits the shift, which would overflow
	return s.jitter(min(initialBackoff<<min(failures, maxDoublings), maxBackoff))
}
