// Package feedsim plays a control tier and its followers in virtual time: the cores of internal/fleet/changefeed that ship, on
// connections in memory, with faults by seed. It owns what happens to them, the log's stand-in (versions that are agreed at one place
// and learned by the relays late), and the record of what each follower took. It must never reach into a core: what it knows comes
// out of a core as it would on sockets.
package feedsim

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/shardmap"
	"sabletally/internal/lab/eventqueue"
)

const (
	beatEach    = 200 * time.Millisecond
	pollEach    = 250 * time.Millisecond
	lookEach    = 500 * time.Millisecond
	wayNear     = 500 * time.Microsecond // one way within a region,
	wayFar      = 20 * time.Millisecond  // and between two
	wayJitter   = 5 * time.Millisecond
	heldMost    = 512 // messages that a cut holds back on a connection before it is reset
	electAfter  = 1500 * time.Millisecond
	voters      = 5
	inForce     = 7 * time.Second
	upFor       = 10 * time.Second // a follower that began so long ago has had its first snapshot
	windowBytes = 64 << 10
	snapPace    = 32 << 20
)

// Plan is one history.
type Plan struct {
	Seed      uint64
	Relays    int
	Zones     int
	Regions   int
	Followers int
	Length    time.Duration // of faults; the end is without any
	Rate      float64       // changes a second
	Faults    float64       // a second
	Loss      float64       // of messages, and as many doubled, while that fault is on
}

// DefaultPlan is a history of the size that is wanted: 17 relays in 3 regions and 11 zones.
func DefaultPlan(seed uint64, followers int) Plan {
	return Plan{Seed: seed, Relays: 17, Zones: 11, Regions: 3, Followers: followers, Length: 45 * time.Second, Rate: 1, Faults: 0.5, Loss: 0.2}
}

// World is one history under way.
type World struct {
	plan      Plan
	rng       *rand.Rand
	now       time.Duration
	queue     eventqueue.Queue
	relays    []*relay
	followers []*follower
	conns     uint64
	held      []*conn // that a cut holds something back on
	cut       func(from, to *node) bool
	cutting   bool
	loss      float64
	calm      bool // no faults any more,
	quiet     bool // and no changes

	truth     *changefeed.Log
	agreed    []agreed
	model     map[string]uint64 // own hashes of what is agreed now
	leader    int               // -1: nobody
	leaderBad time.Duration
	putN      int

	Kills, Stalls, Cuts, Resets, Restarts int // Restarts: of all relays at once
	Messages, Snapshots, Changes          int
	Late                                  time.Duration // the longest that a change took to who could be reached
	Due                                   int           // pairs of a change and a follower that could be reached
	Lapses, Wants, Mismatches             uint64
	Refused                               int // messages that a follower did not take

	// What tests put in around a follower: what it is given in place of a message, and what it believes of itself.
	given    func(f *follower, addr string, m changefeed.Message) changefeed.Message
	believes func(f *follower, now time.Duration) bool

	sum uint64
	err error
}

// agreed is a version's time, and what the state was then.
type agreed struct {
	at     time.Duration
	digest uint64
	sum    uint64 // of the items, by this package's own hash
}

// node is what relays and followers have in common: a process on a machine.
type node struct {
	num          int
	zone, region int
	up           bool
	dark         bool // the machine is off: who calls hears nothing
	born         uint64
	stopped      time.Duration
	clock        time.Duration // its clock is off from the world's by so much
	waiting      []func()
	badAt        time.Duration // the last time that it could not be reached
	bornAt       time.Duration
}

type relay struct {
	node
	addr  string
	log   *changefeed.Log
	core  *changefeed.Publisher
	conns map[uint64]*conn
}

type follower struct {
	node
	life  uint64
	core  *changefeed.Subscriber
	conns map[string]*conn
	took  record
}

// conn is a connection: each way in order.
type conn struct {
	num          uint64
	f            *follower
	r            *relay
	fBorn, rBorn uint64
	fOpen, rOpen bool
	last         [2]time.Duration         // when the newest message of each way arrives, 0: to the relay
	wait         [2][]*changefeed.Message // held back by a cut; nil is the connection's end
	listed       bool
}

const (
	toRelay    = 0
	toFollower = 1
)

// New makes a world in which all begin.
func New(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 0xfeed3)), now: time.Hour, truth: changefeed.NewLog(changefeed.LogConfig{MaxChanges: 400, MaxBytes: 1 << 20}),
		agreed: []agreed{{}}, cut: func(*node, *node) bool { return false }}
	items := []changefeed.Item{{Key: changefeed.FleetKey, Value: fmt.Appendf(nil, "fleet%d", p.Seed)}}
	for i := range p.Relays {
		r := &relay{node: w.node(i), addr: fmt.Sprintf("c%d", i)}
		r.zone, r.region = i%p.Zones, i%p.Zones%p.Regions
		text, err := json.Marshal(shardmap.Member{ID: r.addr, Addr: r.addr, Machine: r.addr, Zone: fmt.Sprintf("z%d", r.zone), Site: fmt.Sprintf("s%d", r.region)})
		if err != nil {
			panic(err) // plain values
		}
		items = append(items, changefeed.Item{Key: changefeed.MemberPrefix + r.addr, Value: text})
		w.relays = append(w.relays, r)
	}
	w.agree(items)
	for _, r := range w.relays {
		w.startRelay(r)
		w.after(w.chance(pollEach), func() { w.poll(r) })
		w.after(w.chance(beatEach), func() { w.beatRelay(r) })
	}
	for i := range p.Followers {
		f := &follower{node: w.node(p.Relays + i)}
		f.zone, f.region = i%p.Zones, i%p.Zones%p.Regions
		w.followers = append(w.followers, f)
		w.startFollower(f)
		w.after(w.chance(beatEach), func() { w.beatFollower(f) })
	}
	w.after(lookEach, w.look)
	return w
}

func (w *World) node(num int) node {
	return node{num: num, clock: time.Duration(w.rng.Int64N(int64(100 * time.Hour)))}
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

// time is a node's own clock.
func (w *World) time(n *node) time.Duration { return w.now + n.clock }

// ---- Processes.

func (w *World) startRelay(r *relay) {
	old := r.log
	r.log = changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 256 << 10})
	if old != nil && w.rng.IntN(3) > 0 { // what was on its disk, but for the changes that led there
		if err := r.log.Install(*old.Snapshot()); err != nil {
			w.fail(Broken, "relay %d does not start: %v", r.num, err)
		}
	}
	r.born++
	r.up, r.dark, r.stopped, r.waiting, r.conns, r.bornAt, r.badAt = true, false, 0, nil, map[uint64]*conn{}, w.now, w.now
	r.core = changefeed.NewPublisher(changefeed.PublisherConfig{ID: r.addr, MaxSubscribers: 4 * w.plan.Followers, WindowBytes: windowBytes, SnapshotBytesPerSecond: snapPace, Seed: w.plan.Seed<<16 ^ uint64(r.num)<<8 ^ r.born},
		r.log, w.time(&r.node))
}

func (w *World) startFollower(f *follower) {
	f.life++
	f.born++
	var seeds []string
	for i := range 5 {
		seeds = append(seeds, w.relays[(f.num*7+i*3)%len(w.relays)].addr)
	}
	f.up, f.dark, f.stopped, f.waiting, f.conns, f.bornAt, f.badAt = true, false, 0, nil, map[string]*conn{}, w.now, w.now
	f.took = newRecord()
	f.core = changefeed.NewSubscriber(changefeed.SubscriberConfig{ID: fmt.Sprintf("b%d", f.num), Incarnation: f.life, Zone: fmt.Sprintf("z%d", f.zone), Site: fmt.Sprintf("s%d", f.region),
		Seeds: seeds, Seed: w.plan.Seed<<20 ^ uint64(f.num)<<4 ^ f.born}, w.time(&f.node))
}

// run has a process do something now, or once it is no longer stopped; nothing where it has ended meanwhile.
func (w *World) run(n *node, do func()) {
	if n.stopped > w.now || len(n.waiting) > 0 {
		n.waiting = append(n.waiting, do)
		return
	}
	do()
}

// wakes does what came while a process was stopped: before its first beat, or after it.
func (w *World) wakes(n *node, beat func()) {
	waiting := n.waiting
	n.waiting = nil
	first := len(waiting) > 0 && w.rng.IntN(2) == 0
	if !first {
		beat()
	}
	born := n.born
	for _, do := range waiting {
		if n.up && n.born == born {
			do()
		}
	}
	if first && n.up && n.born == born {
		beat()
	}
}

func (w *World) beatRelay(r *relay) {
	w.after(beatEach, func() { w.beatRelay(r) })
	if !r.up || r.stopped > w.now {
		return
	}
	w.wakes(&r.node, func() {
		r.core.Tick(w.time(&r.node))
		w.readyRelay(r)
	})
}

func (w *World) beatFollower(f *follower) {
	w.after(beatEach, func() { w.beatFollower(f) })
	if !f.up || f.stopped > w.now {
		return
	}
	w.current(f) // before its beat: it may have been stopped until now
	w.wakes(&f.node, func() {
		f.core.Tick(w.time(&f.node))
		w.readyFollower(f)
	})
	w.current(f)
}

func (w *World) readyRelay(r *relay) {
	out := r.core.Ready()
	for _, s := range out.Sends {
		if c := r.conns[s.Conn]; c != nil {
			switch {
			case s.Message.Content.Snapshot != nil:
				w.Snapshots++
			case s.Message.Content.Change != nil:
				w.Changes++
			}
			w.pass(c, toFollower, &s.Message.Content)
		}
	}
	for _, num := range out.Close {
		if c := r.conns[num]; c != nil {
			delete(r.conns, num)
			c.rOpen = false
			w.pass(c, toFollower, nil)
		}
	}
}

func (w *World) readyFollower(f *follower) {
	out := f.core.Ready()
	for _, a := range out.Updates {
		w.applied(f, a)
	}
	for _, l := range out.Events {
		if l.IsAlert() {
			w.fail(Broken, "follower %d: %v", f.num, l)
		}
	}
	for _, s := range out.Sends {
		if c := f.conns[s.Addr]; c != nil {
			w.pass(c, toRelay, &s.Message)
		}
	}
	for _, addr := range out.Close {
		if c := f.conns[addr]; c != nil {
			delete(f.conns, addr)
			c.fOpen = false
			w.pass(c, toRelay, nil)
		}
	}
	for _, addr := range out.Dial {
		w.dial(f, addr)
	}
}

// ---- Ways.

func (w *World) way(a, b *node) time.Duration {
	d := wayNear
	if a.region != b.region {
		d = wayFar
	}
	return d + w.chance(wayJitter)
}

// dial opens a connection; a process that is stopped has it accepted by its kernel.
func (w *World) dial(f *follower, addr string) {
	var r *relay
	for _, one := range w.relays {
		if one.addr == addr {
			r = one
		}
	}
	w.conns++
	c := &conn{num: w.conns, f: f, r: r, fBorn: f.born, fOpen: true}
	f.conns[addr] = c
	w.after(w.way(&f.node, &r.node), func() {
		if w.cut(&f.node, &r.node) || r.dark {
			return
		}
		took := r.up
		if took {
			c.rBorn, c.rOpen = r.born, true
			r.conns[c.num] = c
		}
		c.last[toFollower] = w.now + w.way(&r.node, &f.node)
		w.after(c.last[toFollower]-w.now, func() {
			if w.cut(&r.node, &f.node) || !f.up || f.born != c.fBorn {
				return
			}
			w.run(&f.node, func() {
				if f.conns[addr] != c {
					return
				}
				if took {
					f.core.Connected(addr)
				} else {
					delete(f.conns, addr)
					f.core.DialFailed(addr)
				}
				w.readyFollower(f)
			})
		})
	})
}

// pass sends a message on a connection; nil is its end, which is not lost.
func (w *World) pass(c *conn, way int, m *changefeed.Message) {
	times := 1
	if m != nil && w.loss > 0 {
		switch roll := w.rng.Float64(); {
		case roll < w.loss:
			return
		case roll < 2*w.loss:
			times = 2
		}
	}
	for range times {
		c.last[way] = max(c.last[way], w.now+w.way(&c.f.node, &c.r.node))
		w.after(c.last[way]-w.now, func() { w.arrive(c, way, m) })
	}
}

func (w *World) arrive(c *conn, way int, m *changefeed.Message) {
	from, to := &c.f.node, &c.r.node
	if way == toFollower {
		from, to = to, from
	}
	if w.cut(from, to) || len(c.wait[way]) > 0 {
		if c.wait[way] = append(c.wait[way], m); len(c.wait[way]) > heldMost {
			w.reset(c)
			return
		}
		if !c.listed {
			c.listed = true
			w.held = append(w.held, c)
		}
		return
	}
	w.deliver(c, way, m)
}

// healed passes on what a cut has held back.
func (w *World) healed() {
	held := w.held
	w.held = nil
	for _, c := range held {
		c.listed = false
		for way := range c.wait {
			all := c.wait[way]
			c.wait[way] = nil
			for _, m := range all {
				c.last[way] = max(c.last[way], w.now+w.way(&c.f.node, &c.r.node))
				w.after(c.last[way]-w.now, func() { w.arrive(c, way, m) })
			}
		}
	}
}

func (w *World) deliver(c *conn, way int, m *changefeed.Message) {
	w.note(c, way, m)
	w.Messages++
	if way == toRelay {
		r := c.r
		if !r.up || r.born != c.rBorn || !c.rOpen {
			if m != nil && !r.dark && c.fOpen {
				w.pass(c, toFollower, nil) // its kernel knows of no such connection
			}
			return
		}
		w.run(&r.node, func() {
			if !c.rOpen || r.born != c.rBorn {
				return
			}
			switch {
			case m == nil:
				c.rOpen = false
				delete(r.conns, c.num)
				r.core.ConnectionClosed(c.num)
			case m.Hello != nil:
				_ = r.core.Connected(w.time(&r.node), c.num, *m.Hello)
			default:
				_ = r.core.Step(w.time(&r.node), c.num, *m)
			}
			w.readyRelay(r)
		})
		return
	}
	f := c.f
	addr := c.r.addr
	if !f.up || f.born != c.fBorn || !c.fOpen {
		if m != nil && !f.dark && c.rOpen {
			w.pass(c, toRelay, nil)
		}
		return
	}
	w.run(&f.node, func() {
		if !c.fOpen || f.born != c.fBorn || f.conns[addr] != c {
			return
		}
		if m == nil {
			c.fOpen = false
			delete(f.conns, addr)
			f.core.ConnectionClosed(addr)
		} else {
			one := *m
			if w.given != nil {
				one = w.given(f, addr, one)
			}
			if err := f.core.Step(addr, one); err != nil {
				w.Refused++
			}
		}
		w.readyFollower(f)
		w.current(f)
	})
}

// reset ends a connection at both ends, and what is under way on it.
func (w *World) reset(c *conn) {
	w.Resets++
	c.wait = [2][]*changefeed.Message{}
	f, r := c.f, c.r
	if r.up && r.born == c.rBorn && c.rOpen {
		w.run(&r.node, func() {
			if c.rOpen && r.born == c.rBorn {
				c.rOpen = false
				delete(r.conns, c.num)
				r.core.ConnectionClosed(c.num)
				w.readyRelay(r)
			}
		})
	}
	if f.up && f.born == c.fBorn && c.fOpen {
		w.run(&f.node, func() {
			if c.fOpen && f.born == c.fBorn && f.conns[r.addr] == c {
				c.fOpen = false
				delete(f.conns, r.addr)
				f.core.ConnectionClosed(r.addr)
				w.readyFollower(f)
			}
		})
	}
}

// note keeps a sum over all that arrived: the same seed gives the same one.
func (w *World) note(c *conn, way int, m *changefeed.Message) {
	h := fnv.New64a()
	var b [8]byte
	for _, v := range []uint64{w.sum, uint64(w.now), c.num, uint64(way), kind(m)} {
		binary.LittleEndian.PutUint64(b[:], v)
		h.Write(b[:])
	}
	w.sum = h.Sum64()
}

func kind(m *changefeed.Message) uint64 {
	switch {
	case m == nil:
		return 0
	case m.Change != nil:
		return 1 + m.Change.Version<<4
	case m.Snapshot != nil:
		return 2 + m.Snapshot.Version<<4
	case m.RenewRequest != nil:
		return 3 + m.RenewRequest.Version<<4
	case m.RenewResponse != nil:
		return 4 + m.RenewResponse.Version<<4 + uint64(m.RenewResponse.Age)<<32
	case m.SyncRequest != nil:
		return 5 + m.SyncRequest.Version<<4
	}
	return 6
}

// Digest tells two histories apart.
func (w *World) Digest() uint64 { return w.sum }
