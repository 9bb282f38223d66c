package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/consensus"
	"sabletally/internal/fleet/placement"
	"sabletally/internal/fleet/shardmap"
)

const (
	step  = 50 * time.Millisecond
	evict = 10 * time.Second
)

// world is cores in virtual time, their packets carried in one step. It has no disks: nobody is started again.
type world struct {
	t     *testing.T
	now   time.Duration
	cfgs  []Config
	cores []*Node
	down  map[int]bool
	since map[int]time.Duration // as it is
	cut   func(from, to int) bool
	form  map[int]int // that one speaks, where it is not this program's
	way   []carried
	puts  map[string]shardmap.PutResult // how puts ended
	lines []string
	each  func() // after each step
}

type carried struct {
	from, to int
	p        Packet
}

func id(i int) string { return fmt.Sprintf("%016x%016x", i+1, i+1) }

// newWorld makes members at sites, in the order told; each is on a machine of its own, and in a zone of its own unless the site
// is told with one, as in "a/1".
func newWorld(t *testing.T, voters int, sites ...string) *world {
	w := &world{t: t, down: map[int]bool{}, since: map[int]time.Duration{}, form: map[int]int{}, puts: map[string]shardmap.PutResult{},
		cut: func(int, int) bool { return false }, each: func() {}}
	for _, s := range sites {
		w.join(voters, s)
	}
	return w
}

func (w *world) join(voters int, site string) int {
	w.t.Helper()
	i := len(w.cores)
	site, zone, told := strings.Cut(site, "/")
	if !told {
		zone = fmt.Sprint("of ", i)
	}
	cfg := Config{Self: shardmap.Member{ID: id(i), Addr: fmt.Sprintf("m%d", i), Machine: fmt.Sprintf("m%d", i), Zone: zone, Site: site}, Incarnation: 1,
		BootstrapID: "f", CanBootstrap: i == 0, Seeds: []string{"m0"}, VoterCount: voters, ReplicationFactor: 1, EvictAfter: evict, MaxJoiningShards: 8, Seed: uint64(i), MaxKeys: 10, MaxBytes: 1 << 20, MaxPendingOperations: 10}
	c, err := New(cfg, PersistentState{}, w.now)
	if err != nil {
		w.t.Fatal(err)
	}
	w.cfgs, w.cores = append(w.cfgs, cfg), append(w.cores, c)
	w.since[i] = w.now
	return i
}

func (w *world) turn(i int, end bool) {
	w.down[i], w.since[i] = end, w.now
}

func (w *world) run(span time.Duration) {
	w.t.Helper()
	for end := w.now + span; w.now < end; {
		w.now += step
		way := w.way
		w.way = nil
		for i, c := range w.cores {
			if w.down[i] {
				continue
			}
			var seen []placement.MemberStatus
			for j := range w.cores {
				if form, is := w.form[j]; j != i {
					if !is {
						form = ProtocolVersion
					}
					seen = append(seen, placement.MemberStatus{Member: w.cfgs[j].Self, Alive: !w.down[j], StateAge: w.now - w.since[j], Form: form})
				}
			}
			c.Tick(w.now, seen)
			for _, one := range way {
				if one.to == i && !w.cut(one.from, i) {
					if err := c.Step(one.p); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) { // an answer of one that votes no more
						w.t.Fatalf("%d: %v", i, err)
					}
				}
			}
			r, err := c.Ready()
			if err != nil {
				w.t.Fatalf("%d: %v", i, err)
			}
			for _, p := range r.Packets {
				to := slices.IndexFunc(w.cfgs, func(c Config) bool { return c.Self.ID == p.To })
				w.way = append(w.way, carried{i, to, p})
			}
			for _, d := range r.PutResults {
				w.puts[d.OperationID] = d
			}
			for _, l := range r.Events {
				if l.IsAlert {
					w.lines = append(w.lines, fmt.Sprintf("%d: %s: %s", i, l.Message, l.Detail))
				}
			}
		}
		w.each()
	}
}

// until runs until something is so.
func (w *world) until(what string, within time.Duration, is func() bool) {
	w.t.Helper()
	for end := w.now + within; !is(); w.run(step) {
		if w.now >= end {
			w.t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func (w *world) leader() int {
	for i, c := range w.cores {
		if c.IsLeader() && !w.down[i] {
			return i
		}
	}
	return -1
}

// voters are those of the leader's log, by index.
func (w *world) voters() (all []int) {
	if at := w.leader(); at >= 0 {
		for _, n := range w.cores[at].Voters() {
			all = append(all, slices.IndexFunc(w.cfgs, func(c Config) bool { return consensus.NodeID(c.Self.ID) == n }))
		}
	}
	slices.Sort(all)
	return all
}

func (w *world) bySite(voters []int) (counts []int) {
	at := map[string]int{}
	for _, i := range voters {
		at[w.cfgs[i].Self.Site]++
	}
	counts = slices.Collect(maps.Values(at))
	slices.Sort(counts)
	return counts
}

// same tells whether all that are up know the same.
func (w *world) same() bool {
	var first *changefeed.State
	for i, c := range w.cores {
		if w.down[i] {
			continue
		}
		if first == nil {
			first = c.FeedState()
		}
		if c.FeedState().Version() != first.Version() || c.FeedState().Digest() != first.Digest() {
			return false
		}
	}
	return true
}

func (w *world) put(i int, p shardmap.Put) shardmap.PutResult {
	w.t.Helper()
	delete(w.puts, p.OperationID)
	w.cores[i].Put(p, 5*time.Second)
	w.until("the put "+p.OperationID+" is answered", 6*time.Second, func() bool { _, is := w.puts[p.OperationID]; return is })
	return w.puts[p.OperationID]
}

// TestVotersSpread has five voters among nine members of three sites, whose numbers run site by site. Guards against a majority that
// is lost with one site.
func TestVotersSpread(t *testing.T) {
	w := newWorld(t, 5, "a", "a", "a", "a", "a", "b", "b", "c", "c")
	w.until("there are five voters", 30*time.Second, func() bool { return len(w.voters()) == 5 })
	if got := w.bySite(w.voters()); !slices.Equal(got, []int{1, 2, 2}) {
		t.Errorf("voters by site %v, wanted 2, 2 and 1", got)
	}

	w = newWorld(t, 3, "a/1", "a/1", "a/1", "a/2", "a/2", "a/3")
	w.until("there are three voters", 30*time.Second, func() bool { return len(w.voters()) == 3 })
	zones := map[string]bool{}
	for _, i := range w.voters() {
		zones[w.cfgs[i].Self.Zone] = true
	}
	if len(zones) != 3 {
		t.Errorf("three voters of one site are in zones %v", zones)
	}
}

// TestACrowdedSiteGivesVotersAway has all five voters at one site when two more sites come, one of them with a voter away. Guards
// against two that are replaced at once, one that is replaced while another is away, and two sites that hand one to and fro.
func TestACrowdedSiteGivesVotersAway(t *testing.T) {
	w := newWorld(t, 5, "a", "a", "a", "a", "a")
	w.until("there are five voters", 30*time.Second, func() bool { return len(w.voters()) == 5 })
	first := w.voters()
	away := first[4]
	if away == w.leader() {
		away = first[3]
	}
	w.turn(away, true)
	for _, site := range []string{"b", "b", "c", "c"} {
		w.join(5, site)
	}
	w.run(evict * 3 / 4)
	if got := w.voters(); !slices.Equal(got, first) {
		t.Fatalf("voters %v became %v while one was away", first, got)
	}
	w.turn(away, false)
	last := first
	w.each = func() {
		now := w.voters()
		if now == nil {
			return
		}
		gone := 0
		for _, i := range last {
			if !slices.Contains(now, i) {
				gone++
			}
		}
		if gone > 1 || len(now) < 5 {
			t.Errorf("voters %v became %v in one step", last, now)
		}
		last = now
	}
	w.until("no site has a majority", time.Minute, func() bool { return slices.Equal(w.bySite(w.voters()), []int{1, 2, 2}) })
	rest := w.voters()
	w.run(20 * time.Second)
	if got := w.voters(); !slices.Equal(got, rest) {
		t.Errorf("voters moved on from %v to %v", rest, got)
	}

	two := newWorld(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	two.until("there are five voters", 30*time.Second, func() bool { return len(two.voters()) == 5 })
	rest = two.voters()
	two.run(20 * time.Second)
	if got := two.voters(); !slices.Equal(got, rest) {
		t.Errorf("of two sites: voters moved from %v to %v", rest, got)
	}
}

// TestKnowledgeHasAnAge cuts a leader off with a minority and looks at what each member says of the age of what it knows: never younger than
// it can be. Guards against a leader that takes itself for one, and members that believe it.
func TestKnowledgeHasAnAge(t *testing.T) {
	w := newWorld(t, 3, "a", "a", "a", "a", "a")
	if _, known := w.cores[4].AsOf(); known {
		t.Error("an age is known before anything was heard")
	}
	fresh := func(i int) bool {
		at, known := w.cores[i].AsOf()
		return known && w.now-at < 2*time.Second
	}
	all := func() bool {
		return len(w.voters()) == 3 && !slices.ContainsFunc([]int{0, 1, 2, 3, 4}, func(i int) bool { return !fresh(i) })
	}
	w.until("all know up to when they know", 30*time.Second, all)
	lead := w.leader()
	var voters, others []int
	for i := range w.cores {
		if slices.Contains(w.voters(), i) {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	apart := map[int]bool{lead: true, others[0]: true} // the old leader, and one that asks it
	at := w.now
	w.cut = func(from, to int) bool { return apart[from] != apart[to] }
	w.each = func() {
		for i := range apart {
			if asOf, _ := w.cores[i].AsOf(); asOf > at {
				t.Fatalf("%d knows up to %v, and was cut off from the majority at %v", i, asOf, at)
			}
		}
	}
	w.until("the others go on", 20*time.Second, func() bool {
		for _, i := range append(slices.Clone(voters), others[1]) {
			if !apart[i] && !fresh(i) {
				return false
			}
		}
		return true
	})
	w.run(5 * time.Second)
	w.each = func() {}
	w.cut = func(int, int) bool { return false }
	w.until("all know again", 20*time.Second, all)
}

// TestALeadersLossLeavesKnowledgeYoung cuts the leader of seventeen off. Guards against followers everywhere whose lease ends with each
// change of leader: what a member knows may be as old as their lease, less the longest time between two of their questions.
func TestALeadersLossLeavesKnowledgeYoung(t *testing.T) {
	for n := range 6 {
		w := newWorld(t, 5, strings.Split(strings.Repeat("a b c ", 6)[:33], " ")...)
		w.until("there are five voters", 30*time.Second, func() bool { return len(w.voters()) == 5 })
		w.run(10*time.Second + time.Duration(n)*130*time.Millisecond)
		lead, oldest := w.leader(), time.Duration(0)
		w.cut = func(from, to int) bool { return from == lead || to == lead }
		w.each = func() {
			for i, c := range w.cores {
				if at, known := c.AsOf(); i != lead && known {
					oldest = max(oldest, w.now-at)
				}
			}
		}
		w.run(15 * time.Second)
		t.Logf("the oldest was %v", oldest)
		if oldest > changefeed.DefaultLease-changefeed.RenewInterval*5/4 {
			t.Errorf("what somebody knew was %v old", oldest)
		}
	}
}

// TestPutsAreAgreed puts items by members that vote and that do not. Guards against a put that is done twice, half or without being
// agreed, and states that differ by the way that they were come by.
func TestPutsAreAgreed(t *testing.T) {
	w := newWorld(t, 3, "a", "a", "a", "a", "a")
	w.until("there are three voters", 30*time.Second, func() bool { return len(w.voters()) == 3 && w.same() })
	w.run(5 * time.Second) // views settle
	w.until("all know the same", 5*time.Second, w.same)
	for i := range w.cores {
		was := w.cores[i].FeedState().Version()
		p := shardmap.Put{Key: fmt.Sprintf("config/%d", i), Value: []byte{byte(i)}, OperationID: fmt.Sprintf("op-%d", i)}
		d := w.put(i, p)
		if d.Rejection != "" || d.Version != was+1 {
			t.Fatalf("put by %d on version %d: %+v", i, was, d)
		}
		if again := w.put((i+1)%5, p); again != d {
			t.Errorf("asked again: %+v, before %+v", again, d)
		}
		w.until("all know the same", 5*time.Second, w.same)
		if v, _ := w.cores[0].FeedState().Get(p.Key); string(v) != string(p.Value) || w.cores[0].FeedState().Version() != d.Version {
			t.Errorf("%s is %q at version %d", p.Key, v, w.cores[0].FeedState().Version())
		}
	}
	was := w.cores[0].FeedState().Version()
	for _, c := range []struct {
		put  shardmap.Put
		want string
	}{
		{shardmap.Put{Key: "member/x", OperationID: "a"}, "none of operators'"},
		{shardmap.Put{Key: "config/x"}, "an operation's name"},
		{shardmap.Put{Key: "config/x", OperationID: "b", Value: make([]byte, shardmap.MaxValueBytes+1)}, "262144 are the most"},
		{shardmap.Put{Key: "config/0", OperationID: "c", Conditional: true}, "is in force, not 0"},
		{shardmap.Put{Key: "config/none", OperationID: "d", Delete: true}, "there is no config/none"},
	} {
		if d := w.put(2, c.put); !strings.Contains(d.Rejection, c.want) || d.Version != 0 {
			t.Errorf("%+v: wanted %q", d, c.want)
		}
	}
	if now := w.cores[0].FeedState().Version(); now != was {
		t.Errorf("what was refused made version %d of %d", now, was)
	}
	if d := w.put(3, shardmap.Put{Key: "config/0", Delete: true, OperationID: "gone"}); d.Version != was+1 {
		t.Errorf("%+v", d)
	}
	late := w.join(3, "a") // it has it by a snapshot
	w.until("one that came later knows the same", 20*time.Second, func() bool { return w.same() && len(w.cores[late].State().Members) == 6 })
	w.until("and the same by the log, built anew", time.Second, func() bool {
		st := w.cores[w.leader()].log.State()
		return consensus.SnapshotOf(st).Digest == w.cores[late].FeedState().Digest()
	})
	if v, is := w.cores[late].FeedState().Get("config/4"); !is || v[0] != 4 {
		t.Errorf("config/4 there: %v %v", v, is)
	}
	if len(w.lines) > 0 {
		t.Errorf("%q", w.lines)
	}
}

// TestAnOlderProgramCountsNoOtherVersions has a member of an older program in the fleet. Guards against puts that it would not count, and
// against an answer that it can't read.
func TestAnOlderProgramCountsNoOtherVersions(t *testing.T) {
	w := newWorld(t, 3, "a", "a", "a", "a")
	w.form[3] = 1
	w.until("all are members", 30*time.Second, func() bool {
		return len(w.voters()) == 3 && len(w.cores[0].State().Members) == 4 && w.same()
	})
	if d := w.put(1, shardmap.Put{Key: "config/a", OperationID: "a"}); !strings.Contains(d.Rejection, id(3)) {
		t.Errorf("%+v", d)
	}
	w.turn(3, true)
	w.until("it is no member any more", 30*time.Second, func() bool { return len(w.cores[0].State().Members) == 3 })
	if d := w.put(1, shardmap.Put{Key: "config/a", OperationID: "b"}); d.Version == 0 {
		t.Errorf("%+v", d)
	}

	c := w.cores[0]
	_ = c.Step(Packet{From: id(3), PollRequest: &PollRequest{}})
	r, err := c.Ready()
	if err != nil {
		t.Fatal(err)
	}
	told := r.Packets[len(r.Packets)-1].PollResponse
	if len(told.Members) != 3 || len(told.Shards) == 0 || told.Changes != nil || told.Snapshot != nil || told.Version != c.State().Version {
		t.Errorf("an older one is told %+v", told)
	}
	// One that knows nothing of items takes that answer; one that has them does not, as it would lose them.
	old := *told
	old.ProtocolVersion, old.Digest, old.HasAge = 0, 0, false
	young, err := New(w.cfgs[3], PersistentState{}, w.now)
	if err != nil {
		t.Fatal(err)
	}
	_ = young.Step(Packet{From: id(0), PollResponse: &old})
	if young.FeedState().Version() != old.Version || len(young.State().Members) != 3 || young.FeedState().Len() == 0 {
		t.Errorf("it has version %d, %d keys", young.FeedState().Version(), young.FeedState().Len())
	}
	old.Version += 7
	was := c.FeedState().Version()
	_ = c.Step(Packet{From: id(3), PollResponse: &old})
	if c.FeedState().Version() != was {
		t.Error("an older member's answer took the place of a state with items")
	}
}

// TestTwoHistoriesAreTold hands a member a state of its own version with other contents. Guards against one that mixes them.
func TestTwoHistoriesAreTold(t *testing.T) {
	w := newWorld(t, 1, "a", "a")
	w.until("all know the same", 20*time.Second, func() bool { return w.cores[1].FeedState().Version() > 1 && w.same() })
	c := w.cores[1]
	was := c.FeedState().Digest()
	other := changefeed.NewSnapshot("f", c.FeedState().Version(), []changefeed.Item{{Key: "epoch", Value: []byte("9")}, {Key: "fleet", Value: []byte("f")}})
	for range 2 {
		_ = c.Step(Packet{From: id(0), PollResponse: &PollResponse{FleetID: "f", ProtocolVersion: ProtocolVersion, Version: other.Version, Digest: other.Digest, Snapshot: other}})
	}
	r, _ := c.Ready()
	if c.FeedState().Digest() != was || r.Snapshot != nil {
		t.Error("it was taken")
	}
	if n := len(slices.DeleteFunc(r.Events, func(l Event) bool { return !l.IsAlert })); n != 1 {
		t.Errorf("told %d times", n)
	}
}
