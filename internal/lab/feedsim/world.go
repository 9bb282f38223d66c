// Package feedsim simulates the publishers and subscribers of the changefeed in virtual time: the production cores on
// in-memory connections, with faults drawn from a seed. It owns the faults, a log in place of the consensus (versions are
// committed at one place and reach the publishers late), and a record of what each subscriber applied. It must never
// access the internal state of a core: it sees only the output that the core would send on sockets.
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
	regionalDelay          = 500 * time.Microsecond  // one-way delay within a region
	interRegionDelay       = 20 * time.Millisecond   // one-way delay between regions
	delayJitter            = 5 * time.Millisecond    // upper limit of the random delay that is added
	maxHeldMessages        = 512                     // messages that a cut holds back on a connection before the connection is reset
	electionTimeout        = 1500 * time.Millisecond // time from the loss of the leader to the election of the next one
	voters                 = 5
	inForceDeadline        = 7 * time.Second  // time limit from a commit until the change is in force at every reachable subscriber
	firstSnapshotTimeout   = 10 * time.Second // time from a subscriber's start to its first snapshot, within which no change is due at it
	maxUnackedBytes        = 64 << 10
	snapshotBytesPerSecond = 32 << 20
)

// Plan holds the parameters of one history.
type Plan struct {
	Seed        uint64
	Publishers  int
	Zones       int
	Regions     int
	Subscribers int
	Length      time.Duration // length of the time with faults
	Rate        float64       // changes per second
	Faults      float64       // faults per second
	Loss        float64       // share of messages that are lost, and share that are duplicated, while the fault that loses messages lasts
}

// DefaultPlan returns the plan of a history with 17 publishers in 3 regions and 11 zones.
func DefaultPlan(seed uint64, subscribers int) Plan {
	return Plan{Seed: seed, Publishers: 17, Zones: 11, Regions: 3, Subscribers: subscribers, Length: 45 * time.Second, Rate: 1, Faults: 0.5, Loss: 0.2}
}

// World is a running history: the processes, the network between them and the committed versions.
type World struct {
	plan           Plan
	rng            *rand.Rand
	now            time.Duration
	queue          eventqueue.Queue
	publishers     []*publisher
	subscribers    []*subscriber
	lastConnNumber uint64
	heldConns      []*conn // connections with messages that a cut holds back
	isCut          func(from, to *process) bool
	cutActive      bool    // true during a cut
	loss           float64 // current share of messages lost
	faultsOver     bool    // true once settleTime has begun
	changesOver    bool    // true once quietTime has begun

	log               *changefeed.Log
	versions          []version         // committed versions, by number
	expectedHashes    map[string]uint64 // hashes of the items of the newest committed version, by key
	leader            int               // index of the publisher that leads, -1 for none
	leaderReachableAt time.Duration     // last time at which the leader could reach a quorum
	puts              int               // changes committed by putChange

	Kills, Stalls, NetworkCuts, Resets, FullRestarts int // FullRestarts counts restarts of all publishers at once
	Messages, Snapshots, Changes                     int
	MaxPropagationTime                               time.Duration // longest time from a commit until the change was in force at a reachable subscriber
	DueChanges                                       int           // changes checked to be in force, counted for each reachable subscriber
	LeaseExpiries, SyncRequests, DigestMismatches    uint64
	RejectedMessages                                 int // messages that subscribers rejected

	// Functions that tests set: replaceMessage replaces messages that subscribers receive, isCurrent their reports of whether they are
	// current.
	replaceMessage func(sub *subscriber, addr string, m changefeed.Message) changefeed.Message
	isCurrent      func(sub *subscriber, now time.Duration) bool

	digest uint64 // digest of all deliveries so far
	err    error  // first violation
}

// version holds the commit time and the state of a committed version.
type version struct {
	at        time.Duration
	digest    uint64
	itemsHash uint64 // sum of itemHash over all items
}

// process is the part that publishers and subscribers have in common: a process on a machine.
type process struct {
	index         int
	zone, region  int
	up            bool
	machineOff    bool // true while the machine is lost with the process: no kernel responds at its address
	incarnation   uint64
	stalledUntil  time.Duration
	clockOffset   time.Duration // difference of the process's clock to the time of the simulation
	deferred      []func()      // actions to run once a stall ends
	unreachableAt time.Duration // last time at which the process could not be reached
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
	applied appliedState
}

// conn is a connection between a subscriber and a publisher. It delivers the messages of each direction in order.
type conn struct {
	number                uint64
	subscriber            *subscriber
	publisher             *publisher
	subscriberIncarnation uint64
	publisherIncarnation  uint64
	subscriberOpen        bool
	publisherOpen         bool
	lastArrival           [2]time.Duration         // arrival time of the newest message, by direction
	held                  [2][]*changefeed.Message // messages held back by a cut, by direction; a nil message is the end of the connection
	isHeld                bool                     // true while World.heldConns contains the connection
}

// Directions of a connection.
const (
	toPublisher  = 0
	toSubscriber = 1
)

// New returns a world in which all processes have just started.
func New(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0xfeed3)), now: time.Hour, log: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 400, MaxBytes: 1 << 20}),
		versions: []version{{}}, isCut: func(*process, *process) bool { return false }}
	items := []changefeed.Item{{Key: changefeed.FleetKey, Value: fmt.Appendf(nil, "fleet%d", p.Seed)}}
	for i := range p.Publishers {
		pub := &publisher{process: w.newProcess(i), addr: fmt.Sprintf("c%d", i)}
		pub.zone, pub.region = i%p.Zones, i%p.Zones%p.Regions
		text, err := json.Marshal(shardmap.Member{ID: pub.addr, Addr: pub.addr, Machine: pub.addr, Zone: fmt.Sprintf("z%d", pub.zone), Site: fmt.Sprintf("s%d", pub.region)})
		if err != nil {
			panic(err) // a struct of strings can always be encoded
		}
		items = append(items, changefeed.Item{Key: changefeed.MemberPrefix + pub.addr, Value: text})
		w.publishers = append(w.publishers, pub)
	}
	w.commit(items)
	for _, pub := range w.publishers {
		w.startPublisher(pub)
		w.after(w.randomDuration(logPollInterval), func() { w.pollLog(pub) })
		w.after(w.randomDuration(heartbeatInterval), func() { w.tickPublisher(pub) })
	}
	for i := range p.Subscribers {
		sub := &subscriber{process: w.newProcess(p.Publishers + i)}
		sub.zone, sub.region = i%p.Zones, i%p.Zones%p.Regions
		w.subscribers = append(w.subscribers, sub)
		w.startSubscriber(sub)
		w.after(w.randomDuration(heartbeatInterval), func() { w.tickSubscriber(sub) })
	}
	w.after(checkInterval, w.watchLeader)
	return w
}

func (w *World) newProcess(num int) process {
	return process{index: num, clockOffset: time.Duration(w.rng.Int64N(int64(100 * time.Hour)))}
}

// after schedules an action.
func (w *World) after(d time.Duration, action func()) {
	w.queue.Schedule(w.now+d, action)
}

// randomDuration draws a duration below a limit.
func (w *World) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

// fail records a violation; the first one ends the history.
func (w *World) fail(violation, format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("seed %d at %v: %s: %s", w.plan.Seed, w.now-time.Hour, violation, fmt.Sprintf(format, args...))
	}
}

// clock returns the current time by a process's own clock.
func (w *World) clock(n *process) time.Duration { return w.now + n.clockOffset }
