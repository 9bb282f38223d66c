package changefeed

import (
	"fmt"
	"slices"
	"time"
)

// Timeouts and backoffs of a subscriber's connections.
const (
	initialBackoff          = time.Second // doubled with each consecutive failure
	maxBackoff              = 30 * time.Second
	failureResetAfter       = 10 * time.Second // a publisher that served this long has no failures
	invalidPublisherBackoff = time.Minute      // after invalid messages, or those of another fleet or history
	minRetryAfter           = time.Second      // bounds of what a publisher may ask for
	maxRetryAfter           = 5 * time.Minute
	transferTimeout         = time.Minute // for one message, while bytes of it arrive

	isolatedBackoff       = 1500 * time.Millisecond // mean backoff while no connection is open
	isolatedRejectBackoff = 4 * time.Second         // the same after a Reject
)

// connectionState is the state of the connection to a candidate.
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

// candidate is a publisher that a subscriber may follow, known by its address.
type candidate struct {
	address      string
	id           string // empty for a seed
	zone         string
	site         string
	score        uint64
	isListed     bool // the state or the seeds name it
	dialedAsSeed bool // it was dialed as a seed and was not chosen since

	failures   int // consecutive
	hasFailed  bool
	failedAt   time.Duration
	avoidUntil time.Duration
	rejected   bool // avoidUntil was set by a Reject

	state      connectionState
	stateSince time.Duration // dialing or open
	connection
}

// connection is the part of a candidate that belongs to one connection.
type connection struct {
	lastReceived time.Duration // of a message, or of bytes of one
	lastAnswered time.Duration // of a RenewResponse
	receiving    bool          // bytes of an incomplete message have arrived
	healthy      bool          // it answered with an age within the lease
	synced       bool          // it once had nothing newer than the state
	standby      bool          // another publisher brings the subscriber up to date

	nextRenewAt          time.Duration
	lastSequence         uint64 // of the renewals
	lastResponse         uint64 // sequence of the newest response
	pendingRenewals      []pendingRenewal
	pendingConfirmations []confirmation

	syncPending  bool   // a SyncRequest is unanswered
	syncSequence uint64 // responses up to this sequence preceded the SyncRequest
	syncVersion  uint64 // of the SyncRequest
	syncSnapshot bool   // it asked for a snapshot
	unackedBytes int
}

// pendingRenewal is a RenewRequest without a response.
type pendingRenewal struct {
	sequence uint64
	sentAt   time.Duration
}

// dialTimeout is how long a dial may take.
func (s *Subscriber) dialTimeout() time.Duration { return s.config.Lease / 5 }

// silenceTimeout is how long a publisher may send nothing, or not answer. It leaves time to follow another one within the lease.
func (s *Subscriber) silenceTimeout() time.Duration { return s.config.Lease / 2 }

// timeoutReason returns why an active publisher has to be dropped, empty where it has not.
func (s *Subscriber) timeoutReason(c *candidate) string {
	switch {
	case c.state == stateDialing && s.now-c.stateSince >= s.dialTimeout():
		return "dial timeout"
	case c.state != stateOpen:
		return ""
	case s.now-c.lastReceived >= s.silenceTimeout():
		return fmt.Sprintf("silent for %v", s.now-c.lastReceived)
	case s.now-c.lastAnswered >= s.silenceTimeout() && !c.receiving, s.now-c.lastAnswered >= transferTimeout:
		return fmt.Sprintf("no answer for %v", s.now-c.lastAnswered)
	}
	return ""
}

func (s *Subscriber) dial(c *candidate) {
	s.Stats.Dials++
	c.state = stateDialing
	c.stateSince = s.now
	c.rejected = false
	c.dialedAsSeed = c.id == ""
	c.healthy = false
	c.avoidUntil = 0
	s.active = append(s.active, c)
	s.ready.Dial = append(s.ready.Dial, c.address)
}

// dropFailed closes the connection to a publisher that failed and avoids it for a while.
func (s *Subscriber) dropFailed(c *candidate, reason string) {
	s.emit(Event{Kind: EventUnsubscribed, Addr: c.address, Detail: reason})
	s.recordFailure(c)
	s.closeConnection(c)
}

// dropInvalid drops a publisher that sent an invalid message.
func (s *Subscriber) dropInvalid(c *candidate, kind EventKind, err error) {
	s.emit(Event{Kind: kind, PeerID: c.id, Addr: c.address, Detail: err.Error()})
	s.dropFailed(c, "invalid message")
	c.avoidUntil = s.now + s.jitter(invalidPublisherBackoff)
	s.reconcile()
}

// dropConflicting drops a publisher that has another history.
func (s *Subscriber) dropConflicting(c *candidate, err error) {
	s.Stats.Conflicts++
	s.emit(Event{Kind: EventHistoryConflict, PeerID: c.id, Addr: c.address, Version: s.state.Version(), Detail: err.Error()})
	s.dropFailed(c, "conflicting history")
	c.avoidUntil = s.now + s.jitter(invalidPublisherBackoff)
	s.reconcile()
}

// dropRejecting drops a publisher that sent a Reject.
func (s *Subscriber) dropRejecting(c *candidate, reject *Reject) {
	s.Stats.Rejections++
	s.dropFailed(c, "rejected: "+reject.Reason)
	c.failures = 0
	c.hasFailed = false
	c.rejected = true
	c.avoidUntil = s.now + min(max(reject.RetryAfter, minRetryAfter), maxRetryAfter)
	s.reconcile()
}

// connectionLost handles the end of a connection or dial that the subscriber did not end itself.
func (s *Subscriber) connectionLost(c *candidate) {
	s.recordFailure(c)
	s.deactivate(c)
	s.reconcile()
}

func (s *Subscriber) closeConnection(c *candidate) {
	s.ready.Close = append(s.ready.Close, c.address)
	s.deactivate(c)
}

// deactivate removes a candidate from the active ones. If it was to bring the subscriber up to date, a standby connection takes over.
func (s *Subscriber) deactivate(c *candidate) {
	wasSyncing := c.state == stateOpen && !c.standby && !c.synced
	c.state = stateIdle
	c.connection = connection{}
	s.active = slices.DeleteFunc(s.active, func(other *candidate) bool { return other == c })
	if !c.isListed {
		delete(s.candidates, c.address)
	}
	if !wasSyncing {
		return
	}
	for _, other := range s.active {
		if other.state == stateOpen && other.standby {
			s.requestSync(other, false)
			return
		}
	}
}

// recordFailure avoids a candidate for a time that doubles with each consecutive failure.
func (s *Subscriber) recordFailure(c *candidate) {
	c.hasFailed = true
	c.failedAt = s.now
	c.avoidUntil = max(c.avoidUntil, s.now+s.backoff(c.failures))
	c.failures++
}

// backoff is a jittered time that doubles with each failure, up to maxBackoff.
func (s *Subscriber) backoff(failures int) time.Duration {
	const maxDoublings = 10 // prevents overflow
	return s.jitter(min(initialBackoff<<min(failures, maxDoublings), maxBackoff))
}
