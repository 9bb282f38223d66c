package changefeed

import (
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// Limits of a subscriber.
const (
	targetPublishers           = 2        // number of publishers that a subscriber follows; one more while it replaces one
	maxCandidates              = 4096     // maximum number of ranked publishers and seeds; further ones are ignored
	maxPendingRenewals         = 8        // maximum number of unanswered renewals of a connection; the oldest one is dropped first
	maxConnectionConfirmations = 4        // maximum number of pending confirmations of a connection, of versions that the state does not have yet
	recentDigestCount          = 64       // number of newest versions whose digests are kept, to detect a conflicting history of a publisher that lags
	ackThresholdBytes          = 64 << 10 // size of the changes from one publisher after which an Ack is sent before the next renewal
)

// subscriberSeedStream separates a subscriber's random number sequence from others with the same seed.
const subscriberSeedStream = 0xf0110

// SubscriberConfig identifies a subscriber, its place and its publishers.
type SubscriberConfig struct {
	ID          string
	Name        string
	Incarnation uint64 // increases with each start of the process
	Machine     string
	Zone        string
	Site        string
	Fleet       string        // ID of the fleet; empty means the fleet of the first state that is received
	Seeds       []string      // addresses of publishers, ranked after the publishers that the state names
	Lease       time.Duration // lease of the state; zero means DefaultLease
	Seed        uint64        // seed of the random numbers that jitter intervals and delays
}

// SubscriberSend is a message to be sent to one publisher.
type SubscriberSend struct {
	Addr    string
	Message Message
}

// Update describes one applied change or snapshot: it has the items that changed or, if Complete is set, all items of the state.
type Update struct {
	Version  uint64
	Items    []Item
	Complete bool
}

// SubscriberReady contains the actions that the caller has to take, in the order of the fields.
type SubscriberReady struct {
	Updates    []Update
	Sends      []SubscriberSend
	CloseAddrs []string // addresses of connections or dials to be ended after their messages; their end is not reported back
	DialAddrs  []string // addresses to be dialed; the result is reported by Connected or DialFailed, unless CloseAddrs ends the dial
	Events     []Event
}

// SubscriberStats counts a subscriber's actions since its start.
type SubscriberStats struct {
	Changes          uint64 // changes applied
	Snapshots        uint64 // snapshots installed
	Duplicates       uint64 // changes and snapshots that were not newer than the state
	Gaps             uint64 // number of times that a message was found missing
	DigestMismatches uint64 // changes and snapshots with a digest that does not match
	Conflicts        uint64 // messages that showed a conflicting history
	InvalidMessages  uint64 // invalid messages, and messages of another fleet
	LeaseExpiries    uint64 // number of times that the state became stale
	SyncRequests     uint64 // SyncRequests sent
	Dials            uint64 // dials started
	DialFailures     uint64 // dials reported as failed
	Rejections       uint64 // Rejects received
}

// Subscriber is the changefeed core of a balancer. It decides which publishers to follow and applies the changes and snapshots that they
// send. It belongs to one goroutine.
//
// The cost of a tick or a message does not depend on the size of the fleet, except for one pass over the list of publishers.
type Subscriber struct {
	config SubscriberConfig
	rng    *rand.Rand
	now    time.Duration

	state          *State
	recentDigests  [recentDigestCount]versionDigest // digests of the newest versions, indexed by version modulo the length
	digestMismatch bool                             // a change did not match the state's digest, and no update has been applied since

	hasConfirmation bool          // confirmedAt is set
	confirmedAt     time.Duration // latest time at which the state is known to have been the newest agreed one
	isStale         bool          // the state was not current at the last check; initially true
	staleSince      time.Duration // start of the current or last period of staleness

	members          map[string]shardmap.Member // publishers that the state names, by ID
	candidates       map[string]*candidate      // known publishers by address
	rankedCandidates []*candidate               // listed candidates, best first
	activeCandidates []*candidate               // candidates that are dialing or open, in the order in which they were dialed; at most targetPublishers+1

	replacementDueAt    time.Duration // time at which a better candidate is dialed; zero: no replacement is scheduled
	replacementIsUrgent bool          // the replacement was scheduled because an active publisher is failing
	urgentReplacements  int           // number of consecutive replacements of failing publishers, which determines the backoff
	nextDialAt          time.Duration // earliest time to dial a failed candidate while no connection is open

	ready SubscriberReady
	Stats SubscriberStats
}

// versionDigest is the digest of the state at a version.
type versionDigest struct {
	version uint64
	digest  uint64
}

// NewSubscriber returns a subscriber with an empty state. Its first publishers are the configured seeds.
func NewSubscriber(config SubscriberConfig, now time.Duration) *Subscriber {
	if config.Lease <= 0 {
		config.Lease = DefaultLease
	}
	s := &Subscriber{
		config:     config,
		rng:        rand.New(rand.NewPCG(config.Seed, subscriberSeedStream)),
		now:        now,
		state:      NewState(),
		isStale:    true,
		staleSince: now,
		members:    map[string]shardmap.Member{},
		candidates: map[string]*candidate{},
		nextDialAt: now,
	}
	s.rankCandidates()
	return s
}

// State returns the newest known state. The caller must not modify it.
func (s *Subscriber) State() *State { return s.state }

// Age returns how long ago the state was last known to be the newest agreed one; false if it never was.
func (s *Subscriber) Age(now time.Duration) (time.Duration, bool) {
	return now - s.confirmedAt, s.hasConfirmation
}

// IsCurrent reports whether the state was confirmed within the lease. The result expires with time, so it has to be evaluated for each
// use.
func (s *Subscriber) IsCurrent(now time.Duration) bool {
	return s.hasConfirmation && now-s.confirmedAt <= s.config.Lease
}

// Publishers returns the addresses of the open connections, in the order in which they were dialed.
func (s *Subscriber) Publishers() []string {
	var addresses []string
	for _, c := range s.activeCandidates {
		if c.state == stateOpen {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// Ready returns the pending actions and clears them.
func (s *Subscriber) Ready() SubscriberReady {
	ready := s.ready
	s.ready = SubscriberReady{}
	return ready
}

// Tick advances the time, renews leases and replaces publishers that fail. It has to be called about ten times a second. The messages that
// Ready returns must not be sent before the time of the newest Tick.
func (s *Subscriber) Tick(now time.Duration) {
	sinceLastTick := now - s.now
	s.now = max(s.now, now)
	active := slices.Clone(s.activeCandidates)
	if sinceLastTick > pauseThreshold {
		s.resetTimeouts(sinceLastTick)
	}
	for _, c := range active {
		if reason := s.timeoutReason(c); reason != "" {
			s.dropFailed(c, reason)
			continue
		}
		if c.state == stateOpen && c.nextRenewAt <= s.now {
			s.sendRenewal(c)
		}
		if c.state == stateOpen && c.isStandby && s.now-c.stateSince > s.config.Lease { // the publisher that brings the state up to date is slow
			s.requestSync(c, false)
		}
	}
	s.updateStaleness()
	s.reconcile()
}

// resetTimeouts restarts all timeouts after a suspension of this process, because messages from the publishers may still be in socket
// buffers.
func (s *Subscriber) resetTimeouts(suspended time.Duration) {
	s.emit(Event{Kind: EventResumed, Duration: suspended})
	for _, c := range s.activeCandidates {
		c.lastReceived = s.now
		c.lastAnswered = s.now
		c.nextRenewAt = s.now
		if c.state == stateDialing {
			c.stateSince = s.now
		}
	}
}

// updateStaleness emits an event when the state becomes stale, and when it becomes current again.
func (s *Subscriber) updateStaleness() {
	current := s.IsCurrent(s.now)
	if current != s.isStale {
		return
	}
	s.isStale = !current
	if current {
		s.emit(Event{Kind: EventCurrent, Version: s.state.Version(), Duration: s.now - s.staleSince})
		return
	}
	s.staleSince = s.now
	s.Stats.LeaseExpiries++
	s.emit(Event{Kind: EventStale, Version: s.state.Version(), Duration: s.now - s.confirmedAt})
}

// send sends a message to a publisher.
func (s *Subscriber) send(c *candidate, message Message) {
	s.ready.Sends = append(s.ready.Sends, SubscriberSend{Addr: c.address, Message: message})
}

// emit adds an event to the pending actions, unless there are maxEvents already.
func (s *Subscriber) emit(event Event) {
	if len(s.ready.Events) < maxEvents {
		s.ready.Events = append(s.ready.Events, event)
	}
}

// jitter returns a random duration between half and one and a half times a mean, so that subscribers do not act simultaneously.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.rng.Float64()*float64(mean))
}
