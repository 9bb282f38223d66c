package changefeed

import (
	"container/list"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

var (
	walkDepth  = flag.Int("walk-depth", 4, "steps of the walk with two followers")
	walkDeeper = flag.Int("walk-deeper", 5, "steps of the walk with one")
)

// The names of what the walk finds.
const (
	wentBack   = "a follower went back"
	mixed      = "a state that never was"
	falselyNew = "current beyond the lease"
	forgotten  = "a follower was forgotten"
)

// walkBreak is a fault of a follower's own, put in around it to see that it is found.
type walkBreak string

const (
	sound            walkBreak = ""
	digestUnchecked  walkBreak = "digest not checked"
	snapshotOver     walkBreak = "snapshot over a newer state"
	leaseNotLookedAt walkBreak = "lease not looked at"
)

// small is the small world: two relays, some followers, a source of three more versions, and every order of what can happen.
type small struct {
	now     time.Duration
	source  *Log
	truth   []time.Duration // when each version was agreed
	digests []uint64
	relays  [2]*smallRelay
	follow  []*smallFollower
	conns   uint64
	left    budget
	broken  walkBreak
	err     string
}

// budget is how often each thing may still happen.
type budget struct{ versions, beats, sleeps, losses, doubles, stalls, restarts, harms int }

type smallRelay struct {
	addr    string
	log     *Log
	core    *Publisher
	stopped bool
	life    int
}

type smallFollower struct {
	id      string
	core    *Subscriber
	stopped bool
	life    uint64
	taken   uint64
	conns   map[string]*smallConn
}

type smallConn struct {
	num  uint64
	r    int
	ways [2][]*Message // to the relay, to the follower; nil is the connection's end
	open bool          // at the relay
}

func newSmall(t testing.TB, followers int, left budget, broken walkBreak) *small {
	w := &small{source: NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20}), left: left, broken: broken, truth: []time.Duration{0}, digests: []uint64{0}}
	w.agree(Item{Key: FleetKey, Value: []byte("f")},
		memberItem(t, shardmap.Member{ID: "r0", Addr: "r0", Zone: "z0", Site: "s"}), memberItem(t, shardmap.Member{ID: "r1", Addr: "r1", Zone: "z1", Site: "s"}))
	for i := range w.relays {
		w.relays[i] = &smallRelay{addr: fmt.Sprintf("r%d", i)}
		w.startRelay(i)
	}
	for i := range followers {
		f := &smallFollower{id: fmt.Sprintf("b%d", i)}
		w.follow = append(w.follow, f)
		w.startFollower(i)
	}
	for range 12 { // all at the first version, nothing under way
		w.beat()
		w.learn(0)
		w.learn(1)
		w.calm()
	}
	w.left = left
	return w
}

func (w *small) agree(items ...Item) {
	c, err := w.source.Append(items)
	if err != nil {
		panic(err)
	}
	w.truth, w.digests = append(w.truth, w.now), append(w.digests, c.DigestAfter)
}

func (w *small) startRelay(i int) {
	r := w.relays[i]
	log := NewLog(LogConfig{MaxChanges: 2, MaxBytes: 1 << 20}) // so short that three versions cut it
	from := w.source
	if r.log != nil {
		from = r.log
	}
	if err := log.Install(*from.Snapshot()); err != nil {
		panic(err)
	}
	r.life++
	r.log, r.stopped = log, false
	r.core = NewPublisher(PublisherConfig{ID: r.addr, MaxSubscribers: 10, WindowBytes: 1 << 10, SnapshotBytesPerSecond: 1 << 20, Seed: uint64(r.life)}, log, w.now)
}

func (w *small) startFollower(i int) {
	f := w.follow[i]
	f.life++
	f.taken, f.stopped, f.conns = 0, false, map[string]*smallConn{}
	f.core = NewSubscriber(SubscriberConfig{ID: f.id, Incarnation: f.life, Site: "s", Seeds: []string{"r0", "r1"}, Seed: f.life}, w.now)
}

func (w *small) fail(name, format string, args ...any) {
	if w.err == "" {
		w.err = name + ": " + fmt.Sprintf(format, args...)
	}
}

// beat lets a second pass, in which those that are not stopped have one beat each.
func (w *small) beat() {
	w.now += time.Second
	for i, r := range w.relays {
		if !r.stopped {
			r.core.Tick(w.now)
			w.relay(i)
		}
	}
	for _, f := range w.follow {
		w.check(f)
		if !f.stopped {
			f.core.Tick(w.now)
			w.follower(f)
			w.check(f)
		}
	}
}

// learn has a relay hear of all that is agreed.
func (w *small) learn(i int) {
	r := w.relays[i]
	cs, ok := w.source.ChangesSince(r.log.Version(), r.log.Digest())
	if !ok {
		panic("the source has a short ring")
	}
	for _, c := range cs {
		if err := r.log.Apply(*c); err != nil {
			w.fail(mixed, "relay %d: %v", i, err)
		}
	}
	r.core.LogChanged()
	r.core.ConfirmVersion(w.now, w.source.Version())
	w.relay(i)
}

func (w *small) conn(num uint64) (*smallFollower, *smallConn) {
	for _, f := range w.follow {
		for _, a := range []string{"r0", "r1"} {
			if c := f.conns[a]; c != nil && c.num == num {
				return f, c
			}
		}
	}
	return nil, nil
}

func (w *small) relay(i int) {
	out := w.relays[i].core.Ready()
	for _, s := range out.Sends {
		if _, c := w.conn(s.Conn); c != nil {
			c.ways[1] = append(c.ways[1], &s.Message.Content)
		}
	}
	for _, num := range out.Close {
		if _, c := w.conn(num); c != nil {
			c.open = false
			c.ways[1] = append(c.ways[1], nil)
		}
	}
}

func (w *small) follower(f *smallFollower) {
	out := f.core.Ready()
	for _, a := range out.Updates {
		w.applied(f, a)
	}
	for _, l := range out.Events {
		if l.IsAlert() {
			w.fail(mixed, "%v", l)
		}
	}
	for _, s := range out.Sends {
		if c := f.conns[s.Addr]; c != nil {
			c.ways[0] = append(c.ways[0], &s.Message)
		}
	}
	for _, a := range out.Close {
		if c := f.conns[a]; c != nil {
			w.hung(f, c)
		}
	}
	for _, a := range out.Dial {
		w.conns++
		f.conns[a] = &smallConn{num: w.conns, r: int(a[1] - '0'), open: true}
		f.core.Connected(a)
		w.follower(f)
	}
}

// hung is a follower's end of a connection: what it has sent before still arrives.
func (w *small) hung(f *smallFollower, c *smallConn) {
	r := w.relays[c.r]
	delete(f.conns, r.addr)
	if c.open {
		for _, m := range c.ways[0] {
			w.arrive(c, m)
		}
		r.core.ConnectionClosed(c.num)
		w.relay(c.r)
	}
}

func (w *small) applied(f *smallFollower, a Update) {
	switch {
	case a.Version <= f.taken:
		w.fail(wentBack, "%s from %d to %d", f.id, f.taken, a.Version)
	case !a.Complete && a.Version != f.taken+1:
		w.fail(mixed, "%s from %d to %d by a change", f.id, f.taken, a.Version)
	}
	f.taken = a.Version
}

// check judges what a follower has, and says of itself.
func (w *small) check(f *smallFollower) {
	st := f.core.State()
	fresh := NewState() // by what is there, not by the digest that was carried forward
	if _, _, err := fresh.evaluate(st.Items("")); err != nil {
		w.fail(mixed, "%s: %v", f.id, err)
	}
	sum, _, _ := fresh.evaluate(st.Items(""))
	if got := sum + mixBits(st.Version()); st.Version() >= uint64(len(w.digests)) || got != w.digests[st.Version()] {
		w.fail(mixed, "%s at version %d", f.id, st.Version())
		return
	}
	current := f.core.IsCurrent(w.now)
	if w.broken == leaseNotLookedAt {
		current = f.core.confirmed
	}
	if current && w.versionAt(w.now-DefaultLease) > st.Version() {
		w.fail(falselyNew, "%s at version %d, %d was agreed a lease ago", f.id, st.Version(), w.versionAt(w.now-DefaultLease))
	}
	if age, known := f.core.Age(w.now); known && w.versionAt(w.now-age) > st.Version() {
		w.fail(falselyNew, "%s at version %d as of %v ago, %d was agreed then", f.id, st.Version(), age, w.versionAt(w.now-age))
	}
}

// versionAt is what was agreed before a time: at that very time is not before it.
func (w *small) versionAt(at time.Duration) (v uint64) {
	for i, t := range w.truth {
		if t < at {
			v = uint64(i)
		}
	}
	return v
}

// arrive has a relay take a message.
func (w *small) arrive(c *smallConn, m *Message) {
	r := w.relays[c.r]
	switch {
	case !c.open:
	case m.Hello != nil:
		_ = r.core.Connected(w.now, c.num, *m.Hello)
	default:
		_ = r.core.Step(w.now, c.num, *m)
	}
	w.relay(c.r)
}

// step has a follower take a message, through the break that is put in.
func (w *small) step(f *smallFollower, addr string, m Message) {
	st := f.core.state
	switch {
	case w.broken == digestUnchecked && m.Change != nil && m.Change.Version == st.Version()+1:
		c := *m.Change
		if next, err := st.nextChange(c.Items); err == nil {
			c.DigestBefore, c.DigestAfter = next.DigestBefore, next.DigestAfter
		}
		m.Change = &c
	case w.broken == snapshotOver && m.Snapshot != nil && m.Snapshot.Version < st.Version():
		*st = *NewState()
	}
	_ = f.core.Step(addr, m)
}

// take delivers the first message of a way, harmed if so.
func (w *small) take(f *smallFollower, addr string, way int, harm bool) {
	c := f.conns[addr]
	m := c.ways[way][0]
	c.ways[way] = c.ways[way][1:]
	if harm {
		h := *m.Change
		h.Items = slices.Clone(h.Items)
		h.Items[0].Value = []byte("harmed")
		m = &Message{Change: &h}
	}
	switch {
	case way == 0:
		w.arrive(c, m)
	case m == nil:
		delete(f.conns, addr)
		f.core.ConnectionClosed(addr)
	default:
		w.step(f, addr, *m)
	}
	w.follower(f)
	w.check(f)
}

// calm delivers all that is under way, and what follows from it.
func (w *small) calm() {
	for range 10000 {
		some := false
		for _, f := range w.follow {
			for _, a := range []string{"r0", "r1"} {
				for way := range 2 {
					if c := f.conns[a]; c != nil && len(c.ways[way]) > 0 {
						some = true
						w.take(f, a, way, false)
					}
				}
			}
		}
		if !some {
			return
		}
	}
	w.fail(forgotten, "there is no end of messages")
}

// moves are all that can happen next, by name.
func (w *small) moves() (all []string) {
	add := func(is bool, format string, args ...any) {
		if is {
			all = append(all, fmt.Sprintf(format, args...))
		}
	}
	for i, f := range w.follow {
		for _, a := range []string{"r0", "r1"} {
			c := f.conns[a]
			if c == nil {
				continue
			}
			for way := range 2 {
				if len(c.ways[way]) == 0 || way == 0 && w.relays[c.r].stopped || way == 1 && f.stopped {
					continue
				}
				m := c.ways[way][0]
				add(true, "take %d %s %d", i, a, way)
				add(m != nil && w.left.losses > 0, "lose %d %s %d", i, a, way)
				add(m != nil && w.left.doubles > 0, "double %d %s %d", i, a, way)
				add(m != nil && m.Change != nil && w.left.harms > 0, "harm %d %s %d", i, a, way)
			}
		}
		add(f.stopped || w.left.stalls > 0, "stop follower %d", i)
		add(w.left.restarts > 0, "restart follower %d", i)
	}
	for i, r := range w.relays {
		add(!r.stopped, "learn %d", i)
		add(r.stopped || w.left.stalls > 0, "stop relay %d", i)
		add(w.left.restarts > 0, "restart relay %d", i)
	}
	add(w.left.versions > 0, "agree")
	add(w.left.beats > 0, "beat")
	add(w.left.sleeps > 0, "sleep")
	return all
}

func (w *small) move(m string) {
	var verb, what, addr string
	var i, way int
	switch verb, _, _ = strings.Cut(m, " "); verb {
	case "take", "lose", "double", "harm":
		_, _ = fmt.Sscanf(m, "%s %d %s %d", &verb, &i, &addr, &way)
		f := w.follow[i]
		switch verb {
		case "take":
			w.take(f, addr, way, false)
		case "lose":
			w.left.losses--
			f.conns[addr].ways[way] = f.conns[addr].ways[way][1:]
		case "double":
			w.left.doubles-- // it comes once more, at once or later
			c := f.conns[addr]
			c.ways[way] = slices.Insert(c.ways[way], 0, c.ways[way][0])
			w.take(f, addr, way, false)
		case "harm":
			w.left.harms--
			w.take(f, addr, way, true)
		}
	case "stop":
		_, _ = fmt.Sscanf(m, "%s %s %d", &verb, &what, &i)
		at := &w.relays[i%2].stopped
		if what == "follower" {
			at = &w.follow[i].stopped
		}
		if *at = !*at; *at {
			w.left.stalls--
		}
	case "restart":
		_, _ = fmt.Sscanf(m, "%s %s %d", &verb, &what, &i)
		w.left.restarts--
		if what == "relay" {
			w.startRelay(i)
			for _, f := range w.follow {
				if c := f.conns[w.relays[i].addr]; c != nil {
					c.open = false
					c.ways = [2][]*Message{nil, {nil}}
				}
			}
			return
		}
		f := w.follow[i]
		for _, a := range []string{"r0", "r1"} {
			if c := f.conns[a]; c != nil {
				w.hung(f, c)
			}
		}
		w.startFollower(i)
	case "learn":
		_, _ = fmt.Sscanf(m, "%s %d", &verb, &i)
		w.learn(i)
	case "agree":
		w.left.versions--
		w.agree(configItem(len(w.truth)))
	case "beat":
		w.left.beats--
		w.beat()
	case "sleep": // more than a lease, in which nothing arrives
		w.left.sleeps--
		for range 6 {
			w.beat()
		}
	}
	for _, f := range w.follow {
		w.check(f)
	}
}

// settles ends all faults and tells whether everybody has the newest and knows it.
func (w *small) settles() {
	for i, r := range w.relays {
		r.stopped = false
		w.learn(i)
	}
	for _, f := range w.follow {
		f.stopped = false
	}
	for range 60 {
		w.beat()
		w.learn(0)
		w.learn(1)
		w.calm()
	}
	for _, f := range w.follow {
		if f.core.State().Version() != w.source.Version() || !f.core.IsCurrent(w.now) || len(f.core.Publishers()) != 2 {
			w.fail(forgotten, "%s is at version %d of %d and follows %v", f.id, f.core.State().Version(), w.source.Version(), f.core.Publishers())
		}
	}
}

var walkSeed = maphash.MakeSeed()

// print is a state's, times as of now: two states of one print go on alike, but for what chance draws later.
func (w *small) print() uint64 {
	var h maphash.Hash
	h.SetSeed(walkSeed)
	ago := func(d time.Duration) time.Duration { return max(w.now-d, -time.Minute) }
	_, _ = fmt.Fprint(&h, w.left, w.source.Version(), w.err)
	for _, t := range w.truth {
		_, _ = fmt.Fprint(&h, " ", min(ago(t), time.Minute))
	}
	for _, r := range w.relays {
		_, _ = fmt.Fprint(&h, "|", r.log.Version(), r.log.Changes(), r.stopped, r.core.confirmed, ago(r.core.latest.at), ago(r.core.now), len(r.core.pendingConfirmations), len(r.core.snapshotQueue))
		for e := r.core.order.Front(); e != nil; e = e.Next() {
			p := e.Value.(*session)
			_, _ = fmt.Fprint(&h, ";", p.hello.ID, p.hello.Incarnation, ago(p.lastReceived), p.ackedVersion, p.sentVersion, p.standby, p.awaitingResume, p.forceSnapshot, p.awaitingSnapshot, len(p.inFlight), p.inFlightBytes, p.lastAnswered, p.lastResponse, p.syncPending)
		}
	}
	for _, f := range w.follow {
		c := f.core
		_, _ = fmt.Fprint(&h, "|", c.state.Version(), c.confirmed, ago(c.confirmedAt), c.stale, f.stopped, ago(c.now), c.digestMismatch, ago(c.replaceAt), c.replaceSoon)
		for _, a := range []string{"r0", "r1"} {
			if y := c.candidates[a]; y != nil {
				_, _ = fmt.Fprint(&h, ";", y.state, ago(y.stateSince), ago(y.lastReceived), ago(y.lastAnswered), y.healthy, y.synced, y.standby, y.lastSequence, y.lastResponse, len(y.pendingRenewals), y.pendingConfirmations, ago(y.nextRenewAt), y.syncPending, y.syncSequence,
					y.syncVersion, y.syncSnapshot, y.unackedBytes, y.failures, y.hasFailed, ago(y.avoidUntil), y.rejected)
			}
			if s := f.conns[a]; s != nil {
				for way := range s.ways {
					_, _ = fmt.Fprint(&h, "/", s.open, len(s.ways[way]))
					for _, m := range s.ways[way] {
						if m != nil {
							switch {
							case m.RenewRequest != nil:
								_, _ = fmt.Fprint(&h, *m.RenewRequest)
							case m.RenewResponse != nil:
								_, _ = fmt.Fprint(&h, *m.RenewResponse)
							case m.Change != nil:
								_, _ = fmt.Fprint(&h, "c", m.Change.Version)
							case m.Snapshot != nil:
								_, _ = fmt.Fprint(&h, "s", m.Snapshot.Version)
							case m.SyncRequest != nil:
								_, _ = fmt.Fprint(&h, *m.SyncRequest)
							case m.Ack != nil:
								_, _ = fmt.Fprint(&h, *m.Ack)
							case m.Hello != nil:
								_, _ = fmt.Fprint(&h, *m.Hello)
							default:
								_, _ = fmt.Fprint(&h, "?")
							}
						}
					}
				}
			}
		}
	}
	return h.Sum64()
}

// clone is a copy that shares nothing that changes. What chance draws begins anew in it, so that what follows from a state is the
// state's alone, whatever way led there.
func (w *small) clone() *small {
	n := *w
	n.source, n.truth, n.digests = w.source.clone(), slices.Clone(w.truth), slices.Clone(w.digests)
	for i, r := range w.relays {
		c := *r
		c.log = r.log.clone()
		c.core = r.core.clone(c.log)
		n.relays[i] = &c
	}
	n.follow = nil
	for _, f := range w.follow {
		c := *f
		c.core = f.core.clone()
		c.conns = map[string]*smallConn{}
		for a, one := range f.conns {
			o := *one
			o.ways = [2][]*Message{slices.Clone(one.ways[0]), slices.Clone(one.ways[1])}
			c.conns[a] = &o
		}
		n.follow = append(n.follow, &c)
	}
	return &n
}

func (s *State) clone() *State {
	n := *s
	n.items = maps.Clone(s.items)
	return &n
}

func (l *Log) clone() *Log {
	n := *l
	n.state, n.entries = l.state.clone(), slices.Clone(l.entries)
	return &n
}

func (r *Publisher) clone(log *Log) *Publisher {
	n := *r
	n.log, n.rng = log, rand.New(rand.NewPCG(1, 1))
	n.pendingConfirmations = slices.Clone(r.pendingConfirmations)
	n.sessions, n.sessionsByID, n.order, n.expiries, n.snapshotQueue, n.snapshotsInFlight = map[uint64]*session{}, map[string]*session{}, list.New(), make(expiryQueue, len(r.expiries)), nil, maps.Clone(r.snapshotsInFlight)
	of := map[*session]*session{}
	for e := r.order.Front(); e != nil; e = e.Next() {
		p := *e.Value.(*session)
		p.inFlight = slices.Clone(p.inFlight)
		p.position = n.order.PushBack(&p)
		n.sessions[p.connID], n.sessionsByID[p.hello.ID] = &p, &p
		of[e.Value.(*session)] = &p
	}
	for i, p := range r.expiries {
		n.expiries[i] = of[p]
	}
	for _, p := range r.snapshotQueue {
		n.snapshotQueue = append(n.snapshotQueue, of[p])
	}
	return &n
}

func (f *Subscriber) clone() *Subscriber {
	n := *f
	n.state, n.rng, n.candidates, n.members, n.active, n.ranked = f.state.clone(), rand.New(rand.NewPCG(1, 1)), map[string]*candidate{}, maps.Clone(f.members), nil, nil
	for a, w := range f.candidates {
		c := *w
		c.pendingRenewals, c.pendingConfirmations = slices.Clone(w.pendingRenewals), slices.Clone(w.pendingConfirmations)
		n.candidates[a] = &c
	}
	for _, w := range f.active {
		n.active = append(n.active, n.candidates[w.address])
	}
	for _, w := range f.ranked {
		n.ranked = append(n.ranked, n.candidates[w.address])
	}
	return &n
}

// walked is one state of the walk, and the way to it.
type walked struct {
	world *small
	from  *walked
	by    string
}

func (s *walked) way() string {
	var all []string
	for ; s.from != nil; s = s.from {
		all = append(all, s.by)
	}
	slices.Reverse(all)
	return strings.Join(all, ", ")
}

// walk goes through the small world, every order of moves to a depth, each state once; each so manieth of them is brought to rest,
// and must come there. It answers how many states there are, and what was found first, with the way to it.
func walk(t testing.TB, followers, depth int, left budget, broken walkBreak, settleEach int, prefix ...string) (states int, found string) {
	first := &walked{world: newSmall(t, followers, left, broken)}
	for _, m := range prefix {
		if !slices.Contains(first.world.moves(), m) {
			return 0, "no such move: " + m
		}
		first.world.move(m)
		first = &walked{world: first.world, from: first, by: m}
	}
	seen := map[uint64]bool{first.world.print(): true}
	level := []*walked{first}
	for d := 0; d <= depth; d++ {
		var next []*walked
		for _, s := range level {
			states++
			if states%settleEach == 0 {
				w := s.world.clone()
				w.settles()
				if w.err != "" {
					return states, fmt.Sprintf("%s, by %s, then calm", w.err, s.way())
				}
			}
			if d == depth {
				continue
			}
			for _, m := range s.world.moves() {
				n := &walked{world: s.world.clone(), from: s, by: m}
				n.world.move(m)
				if n.world.err != "" {
					return states, fmt.Sprintf("%s, by %s", n.world.err, n.way())
				}
				if p := n.world.print(); !seen[p] {
					seen[p] = true
					next = append(next, n)
				}
			}
			s.world = nil
		}
		level = next
	}
	return states, ""
}

// TestTheWalkOfTheSmallWorld goes through it with two followers, and deeper with one.
func TestTheWalkOfTheSmallWorld(t *testing.T) {
	left := budget{versions: 3, beats: 4, sleeps: 1, losses: 1, doubles: 1, stalls: 1, restarts: 1, harms: 1}
	for _, one := range []struct{ followers, depth int }{{2, *walkDepth}, {1, *walkDeeper}} {
		began := time.Now()
		states, found := walk(t, one.followers, one.depth, left, sound, 50)
		t.Logf("%d followers: %d states to depth %d, in %v", one.followers, states, one.depth, time.Since(began).Round(10*time.Millisecond))
		if found != "" {
			t.Error(found)
		}
	}
}

// TestTheWalkFindsWhatIsBrokenOnPurpose puts each break around a follower: a walk that finds nothing proves nothing.
func TestTheWalkFindsWhatIsBrokenOnPurpose(t *testing.T) {
	for broken, one := range map[walkBreak]struct {
		name   string
		depth  int
		left   budget
		prefix []string
	}{
		digestUnchecked:  {mixed, 4, budget{versions: 1, beats: 1, harms: 1}, nil},
		leaseNotLookedAt: {falselyNew, 4, budget{versions: 1, beats: 1, sleeps: 1, stalls: 1}, nil},
		// From where both relays' rings are cut, and a snapshot of one of them is under way.
		snapshotOver: {wentBack, 5, budget{versions: 5, beats: 1}, []string{"agree", "agree", "agree", "learn 0", "beat", "take 0 r0 0", "agree", "learn 1"}},
	} {
		t.Run(string(broken), func(t *testing.T) {
			states, found := walk(t, 1, one.depth, one.left, broken, 1<<30, one.prefix...)
			if !strings.HasPrefix(found, one.name) {
				t.Errorf("%d states: %q", states, found)
			}
			t.Logf("%d states: %s", states, found)
			if states, found := walk(t, 1, one.depth, one.left, sound, 1<<30, one.prefix...); found != "" {
				t.Errorf("without it, %d states: %s", states, found)
			} else {
				t.Logf("without it: %d states, nothing", states)
			}
		})
	}
}
