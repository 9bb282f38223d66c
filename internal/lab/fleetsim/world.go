// Package fleetsim plays the members of a fleet in virtual time: the cores that ship, on disks and a network in memory,
// with faults by seed. It owns what happens to them and the history of the clients' operations. It must never reach
// into a core: what it knows of one comes out of it as it would on sockets.
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
	viewInterval          = 200 * time.Millisecond
	networkDelay          = 500 * time.Microsecond
	delayJitter           = 4 * time.Millisecond
	failureDetectionTime  = 3 * time.Second // so long until a member that is away is seen so
	recoveryDetectionTime = 300 * time.Millisecond
	evictAfter            = 5 * time.Second
	operationTimeout      = 1500 * time.Millisecond
)

// Defect is a defect of the cores that a history puts in, to show that the checker finds it.
type Defect string

// The defects that a history can put in.
const (
	NoDefect             Defect = ""
	EarlyAcknowledgement Defect = "acknowledged-before-copied" // writes are acknowledged before they are replicated
	MissingFence         Defect = "old-owner-not-fenced"       // a replica acknowledges the writes of a deposed primary
	NoRepair             Defect = "repair-left-out"            // no replica is ever added
	MissingWrite         Defect = "records-not-written"        // records are never written to disk
)

// Plan describes one history.
type Plan struct {
	Seed              uint64
	Members           int
	ReplicationFactor int
	Length            time.Duration // of the time with faults
	Rate              float64       // operations a second
	Keys              int
	Faults            float64 // a second
	LoseMachines      bool    // with their disks, as far as the fleet has to survive it
	Loss              float64 // share of packets lost, and of packets duplicated, during that fault
	Defect            Defect
}

// Operation is one operation as its client saw it.
type Operation struct {
	Request            replication.Operation
	Client             int
	StartedAt, EndedAt time.Duration
	Result             replication.Result
	HasResult          bool
	Withdrawn          bool // the client's own process ended before the result
}

// World is a history under way.
type World struct {
	plan          Plan
	rng           *rand.Rand
	now           time.Duration
	queue         eventqueue.Queue
	members       []*member
	byID          map[string]*member
	lastMember    int
	isCut         func(from, to int) bool
	loss          float64
	faultsOver    bool
	lastOperation int

	Operations     []*Operation
	operationByID  map[string]*Operation
	MachinesLost   int // with their disks
	Kills          int
	Stalls         int
	Cuts           int
	Configurations int // versions of the shard map

	Undecided  int                            // keys whose order took too long to check
	lastWrites map[[3]int]replication.Message // for MissingFence: the newest write by sender, receiver and shard
	digest     uint64
	err        error
}

// member is one machine with one member at a time.
type member struct {
	index        int
	id           string
	incarnation  uint64
	core         *node.Node
	disk         *disk
	up           bool
	stalledUntil time.Duration
	deafUntil    time.Duration // until then only replication messages reach it
	draining     bool          // it has announced that it leaves
	diskLost     bool          // until the machine comes back as another member
	deferred     []func()
	self         shardmap.Member
	views        []view
	lastView     []placement.MemberStatus // as of the newest view
	nextViewAt   time.Duration
	starts       uint64 // number of processes so far, so that events of an earlier one are dropped
}

type view struct {
	alive      bool
	since      time.Duration
	trulyAlive bool // whether it is reachable, and since when
	trulySince time.Duration
	id         string
}

// New returns a world in which all members start with empty disks.
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

func (w *World) after(d time.Duration, do func()) {
	w.queue.Schedule(w.now+d, do)
}

func describeMember(n *member) shardmap.Member {
	return shardmap.Member{ID: n.id, Addr: fmt.Sprintf("m%d", n.index), Machine: fmt.Sprintf("m%d", n.index), Zone: fmt.Sprintf("z%d", n.index%3), Site: "s"}
}

// replaceMember gives a machine an empty disk, and so a new member.
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

func (w *World) startMember(n *member) {
	n.incarnation++
	n.starts++
	repair := 8
	if w.plan.Defect == NoRepair {
		repair = 0
	}
	c, err := node.New(node.Config{Self: n.self, Incarnation: n.incarnation, BootstrapID: fmt.Sprintf("f%d", w.lastMember), CanBootstrap: n.index == 0, Seeds: []string{"m0", "m1", "m2"}, VoterCount: 3,
		ReplicationFactor: w.plan.ReplicationFactor, EvictAfter: evictAfter, MaxJoiningShards: repair, Seed: w.plan.Seed<<20 ^ uint64(n.index)<<10 ^ n.starts, MaxKeys: 1 << 20, MaxBytes: 1 << 30, MaxPendingOperations: 4096}, n.disk.read(), w.now)
	if err != nil {
		w.fail("%d does not start: %v", n.index, err)
		return
	}
	n.core, n.up, n.stalledUntil, n.deafUntil, n.deferred = c, true, 0, 0, nil
	n.draining = false
}

func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("seed %d at %v: %s", w.plan.Seed, w.now, fmt.Sprintf(format, args...))
	}
}
