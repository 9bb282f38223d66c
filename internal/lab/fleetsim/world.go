// Package fleetsim simulates the members of a fleet in virtual time: the production cores on in-memory disks and an
// in-memory network, with faults drawn from a seed. It owns the faults, the history of the clients' operations and its
// check. It must never change the internal state of a core: members interact only by the output that their cores would send
// on sockets.
package fleetsim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/lab/eventqueue"
)

const (
	tickInterval          = 50 * time.Millisecond
	viewInterval          = 200 * time.Millisecond // time between two updates of the member list that a member observes
	networkDelay          = 500 * time.Microsecond
	delayJitter           = 4 * time.Millisecond   // upper limit of the random delay that is added
	failureDetectionTime  = 3 * time.Second        // time until an unreachable member is observed as dead
	recoveryDetectionTime = 300 * time.Millisecond // time until a member that is reachable again is observed as alive
	evictAfter            = 5 * time.Second
	operationTimeout      = 1500 * time.Millisecond
)

// Defect is a defect that a history injects into the cores, to show that the checker detects it.
type Defect string

// The defects that a history can inject.
const (
	NoDefect             Defect = ""
	EarlyAcknowledgement Defect = "acknowledged-before-copied" // writes are acknowledged before they are replicated
	MissingFence         Defect = "old-owner-not-fenced"       // a replica acknowledges the writes of a deposed primary
	NoRepair             Defect = "repair-left-out"            // no replica is ever added
	MissingWrite         Defect = "records-not-written"        // records are never written to disk
)

// Plan holds the parameters of one history.
type Plan struct {
	Seed              uint64
	Members           int
	ReplicationFactor int
	Length            time.Duration // length of the time with faults
	Rate              float64       // operations per second
	Keys              int
	Faults            float64 // faults per second
	LoseMachines      bool    // whether machines are lost with their disks, as far as the fleet has to survive that
	Loss              float64 // share of packets that are lost, and share that are duplicated, while the fault that loses packets lasts
	Defect            Defect
}

// Operation is an operation and its result as its client observed them.
type Operation struct {
	Request            replication.Operation
	Client             int // index of the member that the operation was submitted to
	StartedAt, EndedAt time.Duration
	Result             replication.Result
	HasResult          bool
	Withdrawn          bool // whether the client's own process ended before the result
}

// World is a running history: the members, the network between them and the operations of clients.
type World struct {
	plan          Plan
	rng           *rand.Rand
	now           time.Duration
	queue         eventqueue.Queue
	members       []*member
	byID          map[string]*member
	lastMember    int
	isCut         func(from, to int) bool
	loss          float64 // current share of packets lost
	faultsOver    bool    // true once settleTime has begun
	lastOperation int

	Operations      []*Operation
	operationByID   map[string]*Operation
	MachinesLost    int // machines lost with their disks
	Kills           int
	Stalls          int
	NetworkCuts     int
	ShardMapVersion int // version of the shard map at the end

	Undecided  int                            // keys whose linearizability took too long to check
	lastWrites map[[3]int]replication.Message // newest write by sender, receiver and shard, for the defect MissingFence
	digest     uint64                         // digest of all packets so far
	err        error                          // first violation
}

// member is a machine with the member that runs on it. A machine that lost its disk comes back with a new member.
type member struct {
	index                int
	id                   string
	incarnation          uint64
	core                 *node.Node
	disk                 *disk
	up                   bool
	stalledUntil         time.Duration
	replicationOnlyUntil time.Duration // time until which only packets with replication messages reach the member
	draining             bool          // whether the member has announced that it leaves
	diskLost             bool          // true from the loss of the disk until the machine comes back as another member
	deferred             []func()      // actions to run once a stall ends
	self                 shardmap.Member
	views                []view
	lastView             []placement.MemberStatus // result of the newest observation
	nextViewAt           time.Duration
	starts               uint64 // number of processes so far; events that belong to an earlier one are dropped
}

// view is the state of another member as a member observes it.
type view struct {
	alive          bool          // whether the failure detector reports the other member as alive
	aliveSince     time.Duration // time of the last change of alive
	reachable      bool          // whether the member can actually be reached
	reachableSince time.Duration // time of the last change of reachable
	id             string        // member ID that the view is about
}

// New returns a world in which all members have just started with empty disks.
func New(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0xf1ee)), byID: map[string]*member{}, operationByID: map[string]*Operation{}, lastWrites: map[[3]int]replication.Message{},
		isCut: func(int, int) bool { return false }}
	for i := range p.Members {
		n := &member{index: i, views: make([]view, p.Members)}
		w.members = append(w.members, n)
		w.replaceMember(n)
		w.startMember(n)
	}
	for i := range w.members {
		w.after(time.Duration(w.rng.Int64N(int64(tickInterval))), func() { w.tick(w.members[i]) })
	}
	return w
}

// after schedules an action.
func (w *World) after(d time.Duration, action func()) {
	w.queue.Schedule(w.now+d, action)
}

// describeMember returns the entry of a member in the shard map.
func describeMember(n *member) shardmap.Member {
	return shardmap.Member{ID: n.id, Addr: fmt.Sprintf("m%d", n.index), Machine: fmt.Sprintf("m%d", n.index), Zone: fmt.Sprintf("z%d", n.index%3), Site: "s"}
}

// replaceMember gives a machine an empty disk and a new member.
func (w *World) replaceMember(n *member) {
	w.lastMember++
	delete(w.byID, n.id)
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.plan.Seed, w.lastMember)
	n.id = fmt.Sprintf("%016x%016x", h.Sum64(), w.lastMember)
	w.byID[n.id] = n
	n.self = describeMember(n)
	n.disk, n.incarnation, n.diskLost = newDisk(), 0, false
}

// startMember starts a process of a member with the state on its disk.
func (w *World) startMember(n *member) {
	n.incarnation++
	n.starts++
	maxJoiningShards := 8
	if w.plan.Defect == NoRepair {
		maxJoiningShards = 0
	}
	c, err := node.New(node.Config{Self: n.self, Incarnation: n.incarnation, BootstrapID: fmt.Sprintf("f%d", w.lastMember), CanBootstrap: n.index == 0, Seeds: []string{"m0", "m1", "m2"}, VoterCount: 3,
		ReplicationFactor: w.plan.ReplicationFactor, EvictAfter: evictAfter, MaxJoiningShards: maxJoiningShards, Seed: w.plan.Seed<<20 ^ uint64(n.index)<<10 ^ n.starts, MaxKeys: 1 << 20, MaxBytes: 1 << 30, MaxPendingOperations: 4096}, n.disk.read(), w.now)
	if err != nil {
		w.fail("start member %d: %v", n.index, err)
		return
	}
	n.core, n.up, n.stalledUntil, n.replicationOnlyUntil, n.deferred = c, true, 0, 0, nil
	n.draining = false
}

// fail records a violation; the first one ends the history.
func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("seed %d at %v: %s", w.plan.Seed, w.now, fmt.Sprintf(format, args...))
	}
}
