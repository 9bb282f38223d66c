package changefeed

import (
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// Bounds of a subscriber.
const (
	targetPublishers           = 2
	maxCandidates              = 4096 // further publishers and seeds are ignored
	maxPendingRenewals         = 8    // the oldest is dropped first
	maxConnectionConfirmations = 4    // of versions that the state does not have yet, for each connection
	recentDigestCount          = 64   // versions whose digests are remembered to detect a conflicting history of a publisher that lags
	ackThresholdBytes          = 64 << 10
)

// subscriberSeedStream distinguishes a subscriber's random numbers from those of other users of the same seed.
const subscriberSeedStream = 0xf0110

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	ID          string
	Name        string
	Incarnation uint64 // grows with each start
	Machine     string
	Zone        string
	Site        string
	Fleet       string        // empty where it is not known yet
	Seeds       []string      // addresses of publishers, ranked after those that the state names
	Lease       time.Duration // zero: DefaultLease
	Seed        uint64
}

// SubscriberSend is a message to one publisher.
type SubscriberSend struct {
	Addr    string
	Message Message
}

// Update is one step of the state: the items that changed or, if Complete, all items.
type Update struct {
	Version  uint64
	Items    []Item
	Complete bool
}

// SubscriberReady contains the actions to be taken, in this order.
type SubscriberReady struct {
	Updates []Update
	Sends   []SubscriberSend
	Close   []string // addresses of connections, or dials, to be ended after their messages; their end is not reported back
	Dial    []string // addresses; each dial ends with Connected, DialFailed, or by Close
	Events  []Event
}

// SubscriberStats counts what a subscriber did.
type SubscriberStats struct {
	Changes          uint64 // applied
	Snapshots        uint64 // installed
	Duplicates       uint64 // changes and snapshots that were not newer than the state
	Gaps             uint64
	DigestMismatches uint64
	Conflicts        uint64
	InvalidMessages  uint64
	LeaseExpiries    uint64 // times that the state became stale
	SyncRequests     uint64
	Dials            uint64
	DialFailures     uint64
	Rejections       uint64 // by publishers
}

// Subscriber is the core of a balancer's side of the changefeed. It decides which publishers to follow and applies what they send. It
// belongs to one goroutine.
//
// The cost of a tick or a message does not depend on the size of the fleet, except for a pass over the list of publishers.
type Subscriber struct {
	config SubscriberConfig
	rng    *rand.Rand
	now    time.Duration

	state          *State
	recentDigests  [recentDigestCount]versionDigest // of the newest versions, indexed by version modulo the length
	digestMismatch bool                             // the last change did not fit the state; a snapshot is awaited

	confirmed   bool          // confirmedAt is set
	confirmedAt time.Duration // the latest time at which nothing newer than the state was agreed
	stale       bool          // EventStale was emitted after the last EventCurrent
	staleSince  time.Duration

	members    map[string]shardmap.Member // publishers that the state names, by ID
	candidates map[string]*candidate      // by address
	ranked     []*candidate               // the listed ones, best first
	active     []*candidate               // dialing or open, in the order in which they were dialed; at most targetPublishers+1

	replaceAt       time.Duration // when a better candidate is dialed; zero: no replacement is scheduled
	replaceSoon     bool          // the replacement was scheduled because an active publisher is failing
	replaceAttempts int           // consecutive replacements of failing publishers
	nextDialAt      time.Duration // earliest dial of a failed candidate while no connection is open

	ready SubscriberReady
	Stats SubscriberStats
}

// versionDigest is the digest of the state at a version.
type versionDigest struct {
	version uint64
	digest  uint64
}

// NewSubscriber returns a subscriber with an empty state, which knows its seeds.
func NewSubscriber(config SubscriberConfig, now time.Duration) *Subscriber {
	if config.Lease <= 0 {
		config.Lease = DefaultLease
	}
	s := &Subscriber{
		config:     config,
		rng:        rand.New(rand.NewPCG(config.Seed, subscriberSeedStream)),
		now:        now,
		state:      NewState(),
		stale:      true,
		staleSince: now,
		members:    map[string]shardmap.Member{},
		candidates: map[string]*candidate{},
		nextDialAt: now,
	}
	s.rankCandidates()
	return s
}

// State returns the newest known state, which must not be modified.
func (s *Subscriber) State() *State { return s.state }

// Age is how long ago the state was known to be the newest; false where it never was.
func (s *Subscriber) Age(now time.Duration) (time.Duration, bool) {
	return now - s.confirmedAt, s.confirmed
}

// IsCurrent reports whether the state was confirmed within the lease. It has to be evaluated anew for each use.
func (s *Subscriber) IsCurrent(now time.Duration) bool {
	return s.confirmed && now-s.confirmedAt <= s.config.Lease
}

// Publishers returns the addresses of the open connections, in the order in which they were dialed.
func (s *Subscriber) Publishers() []string {
	var addresses []string
	for _, c := range s.active {
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

// Tick advances the time, renews leases and replaces publishers that fail. It is called about ten times a second. Messages are sent at
// the time of the newest Tick or later, never before it.
func (s *Subscriber) Tick(now time.Duration) {
	sinceLastTick := now - s.now
	s.now = max(s.now, now)
	active := slices.Clone(s.active)
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
		if c.state == stateOpen && c.standby && s.now-c.stateSince > s.config.Lease { // the synchronizing publisher is slow
			s.requestSync(c, false)
		}
	}
	s.updateStaleness()
	s.reconcile()
}

// resetTimeouts restarts all timeouts after a suspension of this process: the publishers' messages may wait in socket buffers.
func (s *Subscriber) resetTimeouts(suspended time.Duration) {
	s.emit(Event{Kind: EventResumed, Duration: suspended})
	for _, c := range s.active {
		c.lastReceived = s.now
		c.lastAnswered = s.now
		c.nextRenewAt = s.now
		if c.state == stateDialing {
			c.stateSince = s.now
		}
	}
}

// updateStaleness reports once when the state becomes stale, and when it is current again.
func (s *Subscriber) updateStaleness() {
	current := s.IsCurrent(s.now)
	if current != s.stale {
		return
	}
	s.stale = !current
	if current {
		s.emit(Event{Kind: EventCurrent, Version: s.state.Version(), Duration: s.now - s.staleSince})
		return
	}
	s.staleSince = s.now
	s.Stats.LeaseExpiries++
	s.emit(Event{Kind: EventStale, Version: s.state.Version(), Duration: s.now - s.confirmedAt})
}

func (s *Subscriber) send(c *candidate, message Message) {
	s.ready.Sends = append(s.ready.Sends, SubscriberSend{Addr: c.address, Message: message})
}

func (s *Subscriber) emit(event Event) {
	if len(s.ready.Events) < maxEvents {
		s.ready.Events = append(s.ready.Events, event)
	}
}

// jitter returns a random duration between a half and one and a half of a mean, so that subscribers do not act in step.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.rng.Float64()*float64(mean))
}
