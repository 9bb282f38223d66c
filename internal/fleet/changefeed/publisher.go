package changefeed

import (
	"cmp"
	"container/heap"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"
)

// Durations that publishers and subscribers share.
const (
	// DefaultLease is how long a session lives without a message of the subscriber, and how long a confirmed state counts as current.
	DefaultLease = 5 * time.Second
	// RenewInterval is the mean interval of a subscriber's renewals at each publisher; each is jittered by a quarter.
	RenewInterval = time.Second

	pauseThreshold = time.Second // a tick that comes later than this shows that the process was suspended
)

// Bounds and timeouts of a publisher.
const (
	ackTimeout         = 30 * time.Second // a session with unacknowledged messages ends after this time without an acknowledgement
	fullRetryAfter     = 15 * time.Second // for a subscriber beyond MaxSubscribers; like the next two, jittered up to twice as long
	drainRetryAfter    = 30 * time.Second // for the subscribers of a publisher that drains
	protocolRetryAfter = 60 * time.Second // for a subscriber of another fleet or a newer protocol

	maxUnreadResponses        = 16   // renew responses that one subscriber has not confirmed to have read
	maxUnackedMessages        = 1024 // to one subscriber
	maxDistinctSnapshots      = 4    // different snapshots in flight
	maxPublisherConfirmations = 8    // of versions that the log does not have yet
	maxNameBytes              = 256  // of each name in a Hello
)

// publisherSeedStream distinguishes a publisher's random numbers from those of other users of the same seed.
const publisherSeedStream = 0xfeed

// PublisherConfig configures a Publisher. MaxSubscribers and WindowBytes bound its memory.
type PublisherConfig struct {
	ID                     string
	Fleet                  string        // empty: the fleet of the log
	MaxSubscribers         int           // at once; further ones are rejected
	WindowBytes            int           // in flight to one subscriber; a larger message is sent alone
	SnapshotBytesPerSecond int           // to all subscribers together
	Lease                  time.Duration // zero: DefaultLease
	Seed                   uint64
}

// PublisherSend is a message to one connection. Messages to one connection are sent in the order in which they are returned.
type PublisherSend struct {
	Conn    uint64
	Message *SharedMessage
}

// PublisherReady contains the actions to be taken, in this order: the messages, then the connections to be closed after their messages.
type PublisherReady struct {
	Sends  []PublisherSend
	Close  []uint64
	Events []Event
}

// PublisherStats counts what a publisher did.
type PublisherStats struct {
	Changes           uint64 // sent
	Snapshots         uint64 // sent
	Bytes             uint64 // of changes and snapshots, by their Size
	Accepted          uint64 // sessions
	LeaseExpiries     uint64
	SlowSubscribers   uint64 // sessions closed as they acknowledged nothing
	RejectedFull      uint64 // beyond MaxSubscribers
	RejectedForeign   uint64 // of another fleet
	RejectedNewer     uint64 // of a newer protocol version
	MalformedMessages uint64
}

// Publisher is the core of a control process's side of the changefeed. It decides which messages go to which subscriber. It belongs to
// one goroutine, which also owns the log.
//
// A tick costs what is due in it; a change costs each of the publisher's own subscribers once.
type Publisher struct {
	config    PublisherConfig
	log       *Log
	rng       *rand.Rand
	now       time.Duration
	resumedAt time.Duration // end of the last suspension of this process; silence before it does not count against a subscriber

	latest               confirmation   // the newest one whose version the log has
	confirmed            bool           // latest is set
	pendingConfirmations []confirmation // of versions that the log does not have yet

	sessions          map[uint64]*session
	sessionsByID      map[string]*session
	order             *list.List // of all sessions, in the order in which they were accepted
	expiries          expiryQueue
	snapshotQueue     []*session
	snapshotBudget    float64        // bytes of snapshots that may be sent now
	snapshotsInFlight map[uint64]int // number of unacknowledged messages by the snapshot's version
	draining          bool

	ready PublisherReady
	Stats PublisherStats
}

// NewPublisher returns a publisher without subscribers, of a state whose age is unknown.
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
		order:             list.New(),
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

// Age returns how long ago the log was confirmed to be up to date; false if it never was.
func (p *Publisher) Age(now time.Duration) (time.Duration, bool) {
	return now - p.latest.at, p.confirmed
}

// Tick advances the time, closes expired sessions and sends snapshots that are due. It is called about ten times a second.
func (p *Publisher) Tick(now time.Duration) {
	if now-p.now > pauseThreshold {
		p.resumedAt = now
		p.emit(Event{Kind: EventResumed, Duration: now - p.now})
	}
	p.advance(now)
	for len(p.expiries) > 0 && p.expiries[0].nextExpiryCheck <= now {
		p.checkExpiry(p.expiries[0], now)
	}
	p.sendSnapshots()
}

// checkExpiry closes a session that is silent or acknowledges nothing, or schedules the next check.
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

// advance sets the time and refills the budget for snapshots. The time of an event has to be read after the event: an answer that is
// computed with an earlier time would make old knowledge look newer than it is.
func (p *Publisher) advance(now time.Duration) {
	if now <= p.now {
		return
	}
	rate := float64(p.config.SnapshotBytesPerSecond)
	p.snapshotBudget = min(p.snapshotBudget+rate*(now-p.now).Seconds(), rate)
	p.now = now
}

// LogChanged has the publisher send what was added to the log.
func (p *Publisher) LogChanged() {
	p.confirm()
	for e := p.order.Front(); e != nil; e = e.Next() {
		p.sendChanges(e.Value.(*session))
	}
	p.sendSnapshots()
}

// ConfirmVersion records that version was the newest agreed one at a time of this clock, which was read before the read-index request to
// the log's leader was sent. It takes effect once the log has the version.
func (p *Publisher) ConfirmVersion(at time.Duration, version uint64) {
	if len(p.pendingConfirmations) < maxPublisherConfirmations {
		p.pendingConfirmations = append(p.pendingConfirmations, confirmation{at: at, version: version})
	}
	p.confirm()
}

// confirm applies the pending confirmations whose version the log has, and drops those that are too old to be of use.
func (p *Publisher) confirm() {
	p.pendingConfirmations = slices.DeleteFunc(p.pendingConfirmations, func(c confirmation) bool {
		if c.version > p.log.Version() {
			return p.now-c.at > p.config.Lease
		}
		if !p.confirmed || c.at > p.latest.at {
			p.confirmed = true
			p.latest = c
		}
		return true
	})
}

// Drain ends all sessions and accepts no further ones, as this process will end. The subscribers follow other publishers.
func (p *Publisher) Drain() {
	p.draining = true
	for e := p.order.Front(); e != nil; {
		s := e.Value.(*session)
		e = e.Next()
		p.sendReject(s.connID, drainRetryAfter, errDraining)
		p.closeSession(s)
	}
}

// SubscriberCounts is the number of a publisher's subscribers by state.
type SubscriberCounts struct {
	Connected        int
	Current          int    // acknowledged the newest version
	AwaitingSnapshot int    // queued for a snapshot
	Standby          int    // brought up to date by another publisher
	Blocked          int    // their window is full
	LowestVersion    uint64 // acknowledged by any of them; the log's version where there is none
}

// SubscriberCounts counts all subscribers. It visits each of them, so it is meant for operators, not for each tick.
func (p *Publisher) SubscriberCounts() SubscriberCounts {
	counts := SubscriberCounts{Connected: len(p.sessions), LowestVersion: p.log.Version()}
	for e := p.order.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		counts.LowestVersion = min(counts.LowestVersion, s.ackedVersion)
		switch {
		case s.ackedVersion >= p.log.Version():
			counts.Current++
		case s.awaitingSnapshot:
			counts.AwaitingSnapshot++
		case s.standby:
			counts.Standby++
		case s.sentVersion < p.log.Version():
			counts.Blocked++
		}
	}
	return counts
}

func (p *Publisher) fleet() string { return cmp.Or(p.config.Fleet, p.log.Fleet()) }

func (p *Publisher) send(connID uint64, message Message) {
	p.ready.Sends = append(p.ready.Sends, PublisherSend{Conn: connID, Message: &SharedMessage{Content: message}})
}

func (p *Publisher) emit(event Event) {
	if len(p.ready.Events) < maxEvents {
		p.ready.Events = append(p.ready.Events, event)
	}
}

// jitter returns a random duration below a bound.
func (p *Publisher) jitter(bound time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(bound))
}
