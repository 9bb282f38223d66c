// Package feedsim plays the publishers and subscribers of the changefeed in virtual time: the cores that ship, on
// connections in memory, with faults by seed. It owns what happens to them, a log in place of the consensus
// (versions are committed at one place and reach the publishers late), and a record of what each subscriber
// applied. It must never reach into a core: what it knows of one comes out of it as it would on sockets.
package feedsim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/lab/eventqueue"
)

const (
	heartbeatInterval      = 200 * time.Millisecond
	logPollInterval        = 250 * time.Millisecond
	checkInterval          = 500 * time.Millisecond
	regionalDelay          = 500 * time.Microsecond // one way within a region
	interRegionDelay       = 20 * time.Millisecond  // one way between regions
	delayJitter            = 5 * time.Millisecond
	maxHeldMessages        = 512 // messages that a cut holds back on a connection before it is reset
	electionTimeout        = 1500 * time.Millisecond
	voters                 = 5
	inForceDeadline        = 7 * time.Second
	firstSnapshotTimeout   = 10 * time.Second // from a subscriber's start to its first snapshot
	windowBytes            = 64 << 10
	snapshotBytesPerSecond = 32 << 20
)

// Plan describes one history.
type Plan struct {
	Seed        uint64
	Publishers  int
	Zones       int
	Regions     int
	Subscribers int
	Length      time.Duration // of the time with faults
	Rate        float64       // changes a second
	Faults      float64       // a second
	Loss        float64       // share of messages lost, and of messages duplicated, during that fault
}

// DefaultPlan is a history of 17 publishers in 3 regions and 11 zones.
func DefaultPlan(seed uint64, subscribers int) Plan {
	return Plan{Seed: seed, Publishers: 17, Zones: 11, Regions: 3, Subscribers: subscribers, Length: 45 * time.Second, Rate: 1, Faults: 0.5, Loss: 0.2}
}

// World is a history under way.
type World struct {
	plan        Plan
	rng         *rand.Rand
	now         time.Duration
	queue       eventqueue.Queue
	publishers  []*publisher
	subscribers []*subscriber
	lastConn    uint64
	held        []*conn // with messages that a cut holds back
	isCut       func(from, to *process) bool
	cutActive   bool
	loss        float64
	faultsOver  bool // settleTime has begun
	changesOver bool // quietTime has begun

	log          *changefeed.Log
	versions     []version
	expected     map[string]uint64 // hashes of the items that are committed now
	leader       int               // index of a publisher, -1 for none
	leaderLostAt time.Duration
	puts         int

	Kills, Stalls, Cuts, Resets, Restarts int // Restarts counts those of all publishers at once
	Messages, Snapshots, Changes          int
	Late                                  time.Duration // the longest time that a change took to a reachable subscriber
	Due                                   int           // changes times the subscribers that were reachable
	Lapses, Wants, Mismatches             uint64
	Refused                               int // messages that a subscriber rejected

	// Tests replace what a subscriber receives, or what it says of its own lease.
	replaceMessage func(f *subscriber, addr string, m changefeed.Message) changefeed.Message
	isCurrent      func(f *subscriber, now time.Duration) bool

	digest uint64
	err    error
}

// version is a committed version: its time and its state.
type version struct {
	at        time.Duration
	digest    uint64
	itemsHash uint64 // by itemHash
}

// process is a publisher's or subscriber's process on a machine.
type process struct {
	index         int
	zone, region  int
	up            bool
	machineOff    bool // nothing answers at its address
	incarnation   uint64
	stalledUntil  time.Duration
	clockOffset   time.Duration // of its clock against the world's
	deferred      []func()
	unreachableAt time.Duration // the last time that it could not be reached
	startedAt     time.Duration
}

type publisher struct {
	process
	addr  string
	log   *changefeed.Log
	core  *changefeed.Publisher
	conns map[uint64]*conn
}

type subscriber struct {
	process
	starts  uint64
	core    *changefeed.Subscriber
	conns   map[string]*conn
	applied applied
}

// conn is a connection; it delivers each direction in order.
type conn struct {
	number                uint64
	subscriber            *subscriber
	publisher             *publisher
	subscriberIncarnation uint64
	publisherIncarnation  uint64
	subscriberOpen        bool
	publisherOpen         bool
	lastArrival           [2]time.Duration         // of the newest message, by direction
	held                  [2][]*changefeed.Message // messages held back by a cut, by direction; nil is the connection's end
	isHeld                bool                     // World.held names it
}

const (
	toPublisher  = 0
	toSubscriber = 1
)

// New returns a world in which all processes start.
func New(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0xfeed3)), now: time.Hour, log: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 400, MaxBytes: 1 << 20}),
		versions: []version{{}}, isCut: func(*process, *process) bool { return false }}
	items := []changefeed.Item{{Key: changefeed.FleetKey, Value: fmt.Appendf(nil, "fleet%d", p.Seed)}}
	for i := range p.Publishers {
		pub := &publisher{process: w.newProcess(i), addr: fmt.Sprintf("c%d", i)}
		pub.zone, pub.region = i%p.Zones, i%p.Zones%p.Regions
		text, err := json.Marshal(shardmap.Member{ID: pub.addr, Addr: pub.addr, Machine: pub.addr, Zone: fmt.Sprintf("z%d", pub.zone), Site: fmt.Sprintf("s%d", pub.region)})
		if err != nil {
			panic(err) // it holds plain values only
		}
		items = append(items, changefeed.Item{Key: changefeed.MemberPrefix + pub.addr, Value: text})
		w.publishers = append(w.publishers, pub)
	}
	w.commit(items)
	for _, pub := range w.publishers {
		w.startPublisher(pub)
		w.after(w.chance(logPollInterval), func() { w.pollLog(pub) })
		w.after(w.chance(heartbeatInterval), func() { w.tickPublisher(pub) })
	}
	for i := range p.Subscribers {
		sub := &subscriber{process: w.newProcess(p.Publishers + i)}
		sub.zone, sub.region = i%p.Zones, i%p.Zones%p.Regions
		w.subscribers = append(w.subscribers, sub)
		w.startSubscriber(sub)
		w.after(w.chance(heartbeatInterval), func() { w.tickSubscriber(sub) })
	}
	w.after(checkInterval, w.watchLeader)
	return w
}

func (w *World) newProcess(num int) process {
	return process{index: num, clockOffset: time.Duration(w.rng.Int64N(int64(100 * time.Hour)))}
}

func (w *World) after(d time.Duration, do func()) {
	w.queue.Schedule(w.now+d, do)
}

func (w *World) chance(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *World) fail(name, format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("seed %d at %v: %s: %s", w.plan.Seed, w.now-time.Hour, name, fmt.Sprintf(format, args...))
	}
}

// clock returns the time by a process's own clock.
func (w *World) clock(n *process) time.Duration { return w.now + n.clockOffset }
