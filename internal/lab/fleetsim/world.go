// Package fleetsim plays a fleet in virtual time: the cores that ship, on disks and ways in memory, with faults by seed. It owns
// what happens to them and the record of what was promised to whom. It must never reach into a core: what it knows comes out of
// a core as it would on sockets, but for the disk, which it keeps for it.
package fleetsim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/lab/eventqueue"
)

const (
	turnEach  = 50 * time.Millisecond
	lookEach  = 200 * time.Millisecond
	wayUsual  = 500 * time.Microsecond
	wayJitter = 4 * time.Millisecond
	goneSeen  = 3 * time.Second // so long until a member that is away is seen so
	hereSeen  = 300 * time.Millisecond
	evict     = 5 * time.Second
	askWithin = 1500 * time.Millisecond
)

// Defect is a fault of the cores' own, put in to see that it is found.
type Defect string

// The faults that a history can put in.
const (
	NoDefect   Defect = ""
	TooSoon    Defect = "acknowledged-before-copied" // results are told before any copy is made
	NotFenced  Defect = "old-owner-not-fenced"       // a holder tells an overtaken primary that it has its write
	NoRepair   Defect = "repair-left-out"            // nobody begins to be a holder
	NotWritten Defect = "records-not-written"        // what goes out does not wait for the disk, and records never come there
)

// Plan is one history.
type Plan struct {
	Seed     uint64
	Members  int
	Copies   int
	Length   time.Duration // of faults; the end is without any
	Rate     float64       // operations a second
	Keys     int
	Faults   float64 // a second
	Machines bool    // machines are lost with their disks, as far as the table says that this is stood
	Loss     float64 // of packets, doubled as often
	Defect   Defect
}

// Operation is one operation as its client saw it.
type Operation struct {
	Op        replication.Operation
	Client    int
	From, To  time.Duration
	Result    replication.Result
	Answered  bool
	Withdrawn bool // the client's own process ended: nobody heard
}

// World is one history under way.
type World struct {
	plan  Plan
	rng   *rand.Rand
	now   time.Duration
	queue eventqueue.Queue
	nodes []*member
	byID  map[string]*member
	ids   int
	cut   func(from, to int) bool
	loss  float64
	calm  bool
	opN   int

	Operations []*Operation
	byOp       map[string]*Operation
	Lost       int // machines
	Kills      int
	Waits      int // stalls
	Cuts       int
	Views      int // changes of what is agreed

	Undecided int                            // keys whose order took too long to judge
	wrote     map[[3]int]replication.Message // of NotFenced: what was written last, by from, to and slot
	sum       uint64
	err       error
}

// member is one machine with one member at a time.
type member struct {
	num     int
	id      string
	life    uint64
	core    *node.Node
	disk    *disk
	up      bool
	stopped time.Duration // until then nothing of it runs
	deaf    time.Duration // until then only what concerns copies comes to it
	going   bool          // it said that it will go
	gone    bool          // its disk, until it comes back as another
	waiting []func()
	self    shardmap.Member
	seen    []sight
	looked  []placement.MemberStatus // as of the newest look
	looksAt time.Duration
	born    uint64 // counts lives, so that what was meant for one finds no other
}

type sight struct {
	here  bool
	since time.Duration
	is    bool // what it truly is, and since when
	from  time.Duration
	id    string
}

// New makes a world in which all members begin with empty disks.
func New(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0xf1ee)), byID: map[string]*member{}, byOp: map[string]*Operation{}, wrote: map[[3]int]replication.Message{},
		cut: func(int, int) bool { return false }}
	for i := range p.Members {
		n := &member{num: i, seen: make([]sight, p.Members)}
		w.nodes = append(w.nodes, n)
		w.fresh(n)
		w.start(n)
	}
	for i := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(turnEach))), func() { w.turn(w.nodes[i]) })
	}
	return w
}

func (w *World) after(d time.Duration, do func()) {
	w.queue.Schedule(w.now+d, do)
}

func memberOf(n *member) shardmap.Member {
	return shardmap.Member{ID: n.id, Addr: fmt.Sprintf("m%d", n.num), Machine: fmt.Sprintf("m%d", n.num), Zone: fmt.Sprintf("z%d", n.num%3), Site: "s"}
}

// fresh gives a machine an empty disk, and so another member.
func (w *World) fresh(n *member) {
	w.ids++
	delete(w.byID, n.id)
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.plan.Seed, w.ids)
	n.id = fmt.Sprintf("%016x%016x", h.Sum64(), w.ids)
	w.byID[n.id] = n
	n.self = memberOf(n)
	n.disk, n.life, n.gone = newDisk(), 0, false
}

func (w *World) start(n *member) {
	n.life++
	n.born++
	repair := 8
	if w.plan.Defect == NoRepair {
		repair = 0
	}
	c, err := node.New(node.Config{Self: n.self, Incarnation: n.life, BootstrapID: fmt.Sprintf("f%d", w.ids), CanBootstrap: n.num == 0, Seeds: []string{"m0", "m1", "m2"}, VoterCount: 3,
		ReplicationFactor: w.plan.Copies, EvictAfter: evict, MaxJoiningShards: repair, Seed: w.plan.Seed<<20 ^ uint64(n.num)<<10 ^ n.born, MaxKeys: 1 << 20, MaxBytes: 1 << 30, MaxPendingOperations: 4096}, n.disk.read(), w.now)
	if err != nil {
		w.fail("%d does not start: %v", n.num, err)
		return
	}
	n.core, n.up, n.stopped, n.deaf, n.waiting = c, true, 0, 0, nil
	n.going = false
}

func (w *World) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("seed %d at %v: %s", w.plan.Seed, w.now, fmt.Sprintf(format, args...))
	}
}

// ---- One member's turn.

// run has a member do something now, or once it is no longer stopped; nothing where its process has ended meanwhile.
func (w *World) run(n *member, born uint64, do func()) {
	switch {
	case !n.up || n.born != born:
	case n.stopped > w.now:
		n.waiting = append(n.waiting, do)
	default:
		do()
		w.ready(n)
	}
}

func (w *World) turn(n *member) {
	w.after(turnEach, func() { w.turn(n) })
	if !n.up || n.stopped > w.now {
		return
	}
	for _, do := range n.waiting {
		do()
	}
	n.waiting = nil
	n.core.Tick(w.now, w.sight(n))
	n.core.SetWallClock(int64(w.now / time.Second))
	w.ready(n)
}

// ready does what a core has to be done. A process may end between any two of its steps.
func (w *World) ready(n *member) {
	born := n.born
	r, err := n.core.Ready()
	if err != nil {
		w.fail("%d: %v", n.num, err)
		return
	}
	send := func() {
		for _, p := range r.Packets {
			w.send(n, p)
		}
		for _, one := range r.Results {
			w.answer(one)
		}
	}
	if w.plan.Defect == TooSoon {
		for _, one := range r.ShardWrites {
			for _, rec := range one.Records {
				if !one.ReplaceAll {
					w.answer(replication.Result{OperationID: rec.OperationID, Outcome: replication.OutcomeCommitted, Record: rec})
				}
			}
		}
	}
	if w.crashes() {
		w.kill(n)
		return
	}
	if w.plan.Defect == NotWritten {
		r.ShardWrites = nil
	}
	n.disk.write(r)
	if w.crashes() {
		w.kill(n)
		return
	}
	if n.born == born {
		send()
	}
}

// crashes draws whether a process ends right here.
func (w *World) crashes() bool {
	return !w.calm && w.now > 15*time.Second && w.rng.Float64() < w.plan.Faults/40000
}

func (w *World) kill(n *member) {
	if n.up {
		w.Kills++
		n.up = false
		born := n.born
		w.after(time.Duration(w.rng.Int64N(int64(8*time.Second))), func() {
			if !n.up && n.born == born && !n.gone {
				w.start(n)
			}
		})
	}
}

// ---- Ways.

func (w *World) send(from *member, p node.Packet) {
	to := w.byID[p.To]
	if to == nil {
		return
	}
	if w.plan.Defect == NotFenced {
		p.Replication = w.unfenced(from, to, p.Replication)
	}
	w.note(from.num, to.num, p)
	if w.cut(from.num, to.num) || to.deaf > w.now && len(p.Replication) == 0 || w.rng.Float64() < w.loss {
		return
	}
	times := 1
	if w.rng.Float64() < w.loss {
		times = 2
	}
	for range times {
		late := wayUsual + time.Duration(w.rng.Int64N(int64(wayJitter)))
		if w.rng.Float64() < w.loss { // far out of order
			late += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
		}
		w.after(late, func() {
			if t := w.byID[p.To]; t != nil {
				w.run(t, t.born, func() { _ = t.core.Step(p) })
			}
		})
	}
}

// unfenced has a holder tell an overtaken primary that it has what was written last.
func (w *World) unfenced(from, to *member, msgs []replication.Message) []replication.Message {
	msgs = slices.Clone(msgs)
	for i, m := range msgs {
		at := [3]int{from.num, to.num, m.Shard}
		back := [3]int{to.num, from.num, m.Shard}
		switch m.Kind {
		case replication.MessageWrite:
			w.wrote[at] = m
		case replication.MessageStaleBallot:
			if last, is := w.wrote[back]; is {
				msgs[i].Kind, msgs[i].Ballot, msgs[i].Sequence = replication.MessageWriteAck, last.Ballot, last.Sequence
			}
		}
	}
	return msgs
}

// note keeps a sum over all that was said: the same seed gives the same one.
func (w *World) note(from, to int, p node.Packet) {
	h := fnv.New64a()
	var b [8]byte
	for _, v := range []uint64{w.sum, uint64(w.now), uint64(from), uint64(to), uint64(len(p.Raft)), uint64(len(p.Replication))} {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
	h.Write(p.Raft)
	for _, m := range p.Replication {
		_, _ = fmt.Fprint(h, m.Kind, m.Shard, m.Ballot, m.Sequence)
	}
	w.sum = h.Sum64()
}

// Digest tells two histories apart.
func (w *World) Digest() uint64 { return w.sum }

// sight is how a member sees the others: late, and not by what it can't know.
func (w *World) sight(n *member) []placement.MemberStatus {
	if w.now < n.looksAt {
		return n.looked
	}
	n.looksAt = w.now + lookEach
	all := make([]placement.MemberStatus, 0, len(w.nodes))
	for _, o := range w.nodes {
		if o == n {
			continue
		}
		s := n.seen[o.num]
		is := o.up && o.stopped <= w.now && !w.cut(n.num, o.num) && !w.cut(o.num, n.num)
		if is != s.is || s.id != o.id {
			s.is, s.from = is, w.now
		}
		if s.id != o.id {
			s.here, s.since, s.id = false, w.now, o.id
		}
		if wait := map[bool]time.Duration{true: hereSeen, false: goneSeen}[is]; is != s.here && w.now-s.from >= wait {
			s.here, s.since = is, w.now
		}
		n.seen[o.num] = s
		all = append(all, placement.MemberStatus{Member: o.self, Alive: s.here, Draining: o.going, StateAge: w.now - s.since, Form: node.ProtocolVersion})
	}
	n.looked = all
	return all
}
