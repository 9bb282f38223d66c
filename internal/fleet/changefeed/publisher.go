package changefeed

import (
	"cmp"
	"container/heap"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"
)

// Durations that publishers and subscribers have in common.
const (
	// DefaultLease is how long a session stays open without a message from the subscriber, and how long a confirmed state counts as
	// current.
	DefaultLease = 5 * time.Second
	// RenewInterval is the mean interval between a subscriber's renewals at each publisher; each interval is jittered by up to a
	// quarter.
	RenewInterval = time.Second

	pauseThreshold = time.Second // a longer interval between two ticks means that the process was suspended
)

// Limits and timeouts of a publisher.
const (
	ackTimeout         = 30 * time.Second // a session with messages in flight is closed after this time without an acknowledgement
	fullRetryAfter     = 15 * time.Second // retry time in a Reject beyond MaxSubscribers; like the next two, jittered to between one and two times this
	drainRetryAfter    = 30 * time.Second // retry time in a Reject by a draining publisher
	protocolRetryAfter = 60 * time.Second // retry time in a Reject of a subscriber of another fleet or with a newer protocol

	maxUnreadResponses        = 16   // maximum number of renew responses of a session that the subscriber has not confirmed to have read
	maxUnackedMessages        = 1024 // maximum number of messages in flight of a session
	maxDistinctSnapshots      = 4    // maximum number of different snapshots in flight to all sessions
	maxPublisherConfirmations = 8    // maximum number of pending confirmations of versions that the log does not have yet
	maxNameBytes              = 256  // maximum length of the ID and of each name in a Hello
)

// publisherSeedStream separates a publisher's random number sequence from others with the same seed.
const publisherSeedStream = 0xfeed

// PublisherConfig configures a Publisher. MaxSubscribers and WindowBytes limit its memory.
type PublisherConfig struct {
	ID                     string
	Fleet                  string        // ID of the fleet; empty means the fleet of the log
	MaxSubscribers         int           // maximum number of open sessions; further subscribers are rejected
	WindowBytes            int           // maximum number of bytes in flight to one subscriber; a larger message is sent alone
	SnapshotBytesPerSecond int           // rate limit of snapshots to all subscribers together
	Lease                  time.Duration // lease of the sessions; zero means DefaultLease
	Seed                   uint64        // seed of the random numbers that jitter retry times
}

// PublisherSend is a message to be sent on one connection. The messages to a connection have to be sent in the order in which Ready returns
// them.
type PublisherSend struct {
	Conn    uint64
	Message *SharedMessage
}

// PublisherReady contains the actions that the caller has to take: send the messages, then close the connections once their messages have
// been sent.
type PublisherReady struct {
	Sends      []PublisherSend
	CloseConns []uint64 // IDs of the connections to close
	Events     []Event
}

// PublisherStats counts a publisher's actions since its start.
type PublisherStats struct {
	Changes           uint64 // changes sent
	Snapshots         uint64 // snapshots sent
	Bytes             uint64 // sum of the Size of the changes and snapshots sent
	Accepted          uint64 // sessions opened
	LeaseExpiries     uint64 // sessions closed because the subscriber was silent for a lease
	SlowSubscribers   uint64 // sessions closed because the subscriber acknowledged nothing for ackTimeout
	RejectedFull      uint64 // subscribers rejected because MaxSubscribers was reached
	RejectedForeign   uint64 // subscribers rejected because they are of another fleet
	RejectedNewer     uint64 // subscribers rejected because of a newer protocol version
	MalformedMessages uint64 // malformed messages received; each closes its connection
}

// Publisher is the changefeed core of a control process. It decides which messages are sent to which subscriber. It belongs to one
// goroutine, which also owns the log.
//
// The cost of a tick is proportional to the expiry checks and snapshots that are due; the cost of a change is proportional to the number of
// the publisher's own subscribers.
type Publisher struct {
	config    PublisherConfig
	log       *Log
	rng       *rand.Rand
	now       time.Duration
	resumedAt time.Duration // end of this process's last suspension; a subscriber's silence before it is ignored

	latestConfirmation   confirmation   // the newest confirmation of a version that the log has
	hasConfirmation      bool           // latestConfirmation is set
	pendingConfirmations []confirmation // confirmations of versions that the log does not have yet

	sessions          map[uint64]*session
	sessionsByID      map[string]*session
	sessionOrder      *list.List // all sessions, in the order in which they were accepted
	expiries          expiryQueue
	snapshotQueue     []*session
	snapshotBudget    float64        // bytes of snapshots that may be sent now; negative after a snapshot larger than the budget
	snapshotsInFlight map[uint64]int // number of unacknowledged snapshot messages, by version
	isDraining        bool           // Drain was called: subscribers are rejected

	ready PublisherReady
	Stats PublisherStats
}

// NewPublisher returns a publisher of the log's state, without subscribers and without a confirmation of the state's age.
func NewPublisher(config PublisherConfig, log *Log, now time.Duration) *Publisher {
	if config.Lease <= 0 {
		config.Lease = DefaultLease
	}
	return &Publisher{
		config:            config,
		log:               log,
		rng:               rand.New(rand.NewPCG(config.Seed, publisherSeedStream)),
		now:               now,
		resumedAt:         now,
		sessions:          map[uint64]*session{},
		sessionsByID:      map[string]*session{},
		sessionOrder:      list.New(),
		snapshotBudget:    float64(config.SnapshotBytesPerSecond),
		snapshotsInFlight: map[uint64]int{},
	}
}

// Ready returns the pending actions and clears them.
func (p *Publisher) Ready() PublisherReady {
	ready := p.ready
	p.ready = PublisherReady{}
	return ready
}

// Age returns how long ago the log was last confirmed to be up to date; false if it never was.
func (p *Publisher) Age(now time.Duration) (time.Duration, bool) {
	return now - p.latestConfirmation.at, p.hasConfirmation
}

// Tick advances the time, closes expired sessions and sends snapshots within the budget. It has to be called about ten times a second.
func (p *Publisher) Tick(now time.Duration) {
	if now-p.now > pauseThreshold {
		p.resumedAt = now
		p.emit(Event{Kind: EventResumed, Duration: now - p.now})
	}
	p.advanceTime(now)
	for len(p.expiries) > 0 && p.expiries[0].nextExpiryCheck <= now {
		p.checkExpiry(p.expiries[0], now)
	}
	p.sendSnapshots()
}

// checkExpiry closes a session that is silent or acknowledges nothing; otherwise it schedules the session's next check.
func (p *Publisher) checkExpiry(s *session, now time.Duration) {
	leaseEnd := max(s.lastReceived, p.resumedAt) + p.config.Lease
	ackDeadline := max(s.lastProgress, p.resumedAt) + ackTimeout
	switch {
	case leaseEnd <= now:
		p.Stats.LeaseExpiries++
		p.emit(Event{Kind: EventLeaseExpired, PeerID: s.hello.ID, Duration: now - s.lastReceived})
		p.closeSession(s)
	case len(s.inFlight) > 0 && ackDeadline <= now:
		p.Stats.SlowSubscribers++
		p.emit(Event{Kind: EventSlowSubscriber, PeerID: s.hello.ID, Duration: now - s.lastProgress})
		p.closeSession(s)
	default:
		s.nextExpiryCheck = leaseEnd
		heap.Fix(&p.expiries, s.heapIndex)
	}
}

// advanceTime sets the time and refills the budget for snapshots. The caller has to read the clock after it has received a message: a
// response that is computed with an earlier time would make the state look newer than it is.
func (p *Publisher) advanceTime(now time.Duration) {
	if now <= p.now {
		return
	}
	rate := float64(p.config.SnapshotBytesPerSecond)
	p.snapshotBudget = min(p.snapshotBudget+rate*(now-p.now).Seconds(), rate)
	p.now = now
}

// LogChanged sends the changes that were added to the log. It has to be called after each change of the log.
func (p *Publisher) LogChanged() {
	p.applyConfirmations()
	for e := p.sessionOrder.Front(); e != nil; e = e.Next() {
		p.sendChanges(e.Value.(*session))
	}
	p.sendSnapshots()
}

// ConfirmVersion records that version was the newest agreed version at a time, which has to be read from this process's clock before the
// read-index request is sent to the log's leader. It takes effect once the log has the version.
func (p *Publisher) ConfirmVersion(at time.Duration, version uint64) {
	if len(p.pendingConfirmations) < maxPublisherConfirmations {
		p.pendingConfirmations = append(p.pendingConfirmations, confirmation{at: at, version: version})
	}
	p.applyConfirmations()
}

// applyConfirmations applies the pending confirmations of versions that the log has, and drops those that are older than a lease.
func (p *Publisher) applyConfirmations() {
	p.pendingConfirmations = slices.DeleteFunc(p.pendingConfirmations, func(c confirmation) bool {
		if c.version > p.log.Version() {
			return p.now-c.at > p.config.Lease
		}
		if !p.hasConfirmation || c.at > p.latestConfirmation.at {
			p.hasConfirmation = true
			p.latestConfirmation = c
		}
		return true
	})
}

// Drain rejects all subscribers, present and future, because this process is about to end. They follow other publishers.
func (p *Publisher) Drain() {
	p.isDraining = true
	for e := p.sessionOrder.Front(); e != nil; {
		s := e.Value.(*session)
		e = e.Next()
		p.sendReject(s.connID, drainRetryAfter, errDraining)
		p.closeSession(s)
	}
}

// SubscriberCounts contains the numbers of a publisher's subscribers by their progress. A subscriber that fits several of Current,
// AwaitingSnapshot, Standby and Blocked counts for the first of them.
type SubscriberCounts struct {
	Connected        int    // open sessions
	Current          int    // sessions that acknowledged the newest version
	AwaitingSnapshot int    // sessions that are queued for a snapshot
	Standby          int    // sessions that another publisher brings up to date
	Blocked          int    // sessions that lack a change which was not sent yet, usually because their window is full
	LowestVersion    uint64 // lowest version that a session acknowledged, at most the log's version
}

// SubscriberCounts counts all subscribers. It visits every session, so it is meant for reports to operators, not for each tick.
func (p *Publisher) SubscriberCounts() SubscriberCounts {
	counts := SubscriberCounts{Connected: len(p.sessions), LowestVersion: p.log.Version()}
	for e := p.sessionOrder.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		counts.LowestVersion = min(counts.LowestVersion, s.ackedVersion)
		switch {
		case s.ackedVersion >= p.log.Version():
			counts.Current++
		case s.awaitingSnapshot:
			counts.AwaitingSnapshot++
		case s.isStandby:
			counts.Standby++
		case s.sentVersion < p.log.Version():
			counts.Blocked++
		}
	}
	return counts
}

// fleetID returns the configured ID of the fleet, or that of the log.
func (p *Publisher) fleetID() string { return cmp.Or(p.config.Fleet, p.log.Fleet()) }

// send sends a message to one connection.
func (p *Publisher) send(connID uint64, message Message) {
	p.ready.Sends = append(p.ready.Sends, PublisherSend{Conn: connID, Message: &SharedMessage{Content: message}})
}

// emit adds an event to the pending actions, unless there are maxEvents already.
func (p *Publisher) emit(event Event) {
	if len(p.ready.Events) < maxEvents {
		p.ready.Events = append(p.ready.Events, event)
	}
}

// jitter returns a random duration between zero and a bound.
func (p *Publisher) jitter(bound time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(bound))
}
