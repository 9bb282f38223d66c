package policy

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var coldPoints = flag.Int("cold", 120, "deployments drawn for TestColdServersStand; 5000 take some two minutes")

// trouble is what brings the circuits to the cold servers.
type trouble int

const (
	groupsHome trouble = iota // the members of a few groups all come within a second
	wave                      // a third of all clients come again within a second
	herd                      // seven in ten balancers are killed and are back within two seconds, under a release
	join                      // six in ten servers are replaced within seven seconds
	lateLists                 // as groupsHome, and three in ten balancers learn of the starts two seconds late
	troubles
)

func (x trouble) String() string {
	return [...]string{"groups", "wave", "herd", "join", "late lists"}[x]
}

// coldWorld is a deployment and its stand-in servers. What a server bears is worked out here, from a capacity that the balancers
// are never told, and by no constant of the package under test.
type coldWorld struct {
	trouble  trouble
	uneven   bool // a tenth of the balancers get seven in ten of all that comes
	dep      Config
	servers  int
	capacity float64 // connections of mean work that fill the larger kind of server once it is warm
	smaller  float64 // capacity of the other kind, as a part of it
	held     float64 // of the fleet's capacity, while all servers are warm
	cores    float64 // of the smaller kind, in cores of the yardstick
	heavy    float64 // work of one connection in ten, over that of the others
	sigma    float64 // of the lognormal work within a class
}

func (w coldWorld) String() string {
	return fmt.Sprintf("%v: %d balancers (uneven %v), %d servers of %.1f connections and %.2f times that, %.2f full, %.1f cores, heavy %.1f, sigma %.2f, "+
		"cold from %.2f for %v, window %v, multiple %.2f", w.trouble, w.dep.Balancers, w.uneven, w.servers, w.capacity, w.smaller, w.held, w.cores, w.heavy,
		w.sigma, w.dep.SlowStartFloor, w.dep.SlowStartWindow, w.dep.OverloadWindow, w.dep.OverloadMultiple)
}

// drawColdWorld draws a deployment over the whole space; connections are bounded for the time it takes.
func drawColdWorld(seed uint64) coldWorld {
	const mostConnections = 6000
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(least, most float64) float64 { return least * math.Pow(most/least, r.Float64()) }
	for {
		w := coldWorld{
			trouble: trouble(seed % uint64(troubles)), uneven: r.IntN(3) == 0, dep: *deployment(), servers: int(between(9, 500)),
			capacity: between(4, 800), smaller: between(0.25, 1), held: between(0.1, 0.8), cores: between(1, 4), heavy: between(1, 30),
			sigma: r.Float64(),
		}
		w.dep.Balancers, w.dep.CanHealthCheck = int(between(2, 350)), false
		w.dep.Classes = append(w.dep.Classes, w.dep.Classes[0]) // the heavy class
		w.dep.SlowStartFloor, w.dep.OverloadMultiple = between(0.05, 0.4), between(1.5, 4)
		w.dep.SlowStartWindow = time.Duration(between(5, 60) * float64(time.Second))
		w.dep.OverloadWindow = time.Duration(between(0.5, 6) * float64(time.Second))
		connections := w.held * w.capacity * float64(w.servers)
		bears := w.bears(0, w.dep.SlowStartWindow/2)
		if connections <= mostConnections && 3 <= w.held*w.capacity && 1 <= bears && bears <= 200 {
			return w
		}
	}
}

// full is what a server carries once it is warm, in connections of mean work; every third server is of the smaller kind.
func (w coldWorld) full(server int) float64 {
	if server%3 == 2 {
		return w.capacity * w.smaller
	}
	return w.capacity
}

// bears is N of the rule: FallMultiple times the work that comes in one window where a server fills over its warm-up, at its warmth.
func (w coldWorld) bears(server int, age time.Duration) float64 {
	warmth := min(1, w.dep.SlowStartFloor+(1-w.dep.SlowStartFloor)*float64(age)/float64(w.dep.SlowStartWindow))
	return w.dep.OverloadMultiple * warmth * w.full(server) * w.dep.OverloadWindow.Seconds() / w.dep.SlowStartWindow.Seconds()
}

type coldClient struct {
	key, group uint64
	grade      int
	work       float64 // of its class, in the mean's unit: what the rule counts
	noted      float64 // its own, which load notes tell
	balancer   int     // that holds it, -1 while none
	server     int
	circuit    SessionID
	due        time.Duration // it comes then, while none holds it
}

type coldSend struct {
	at   time.Duration
	told bool
	work float64
}

// coldRun is a world under way.
type coldRun struct {
	coldWorld
	*rand.Rand
	now      time.Duration
	list     []Endpoint
	all      []*Balancer
	born     []time.Duration
	told     []bool
	clients  []*coldClient
	by       []map[SessionID]*coldClient
	load     []float64 // work held at each server
	sent     [][]coldSend
	next     SessionID
	workUnit float64 // microseconds a second of the mean
	cold     map[int]bool
}

const coldStep = 50 * ms

func (x *coldRun) pick() int {
	if x.uneven && x.IntN(10) < 7 {
		return x.IntN(max(1, x.dep.Balancers/10))
	}
	return x.IntN(x.dep.Balancers)
}

func (x *coldRun) start(k int) {
	own := x.dep
	own.Index = k
	x.all[k], x.by[k], x.born[k], x.told[k] = New(&own, x.Uint64()), map[SessionID]*coldClient{}, x.now, false
}

// tell hands a balancer the list, with starts by its own clock; one that is not told has the servers as warm.
func (x *coldRun) tell(k int, knows bool) {
	own := slices.Clone(x.list)
	for i := range own {
		if own[i].StartedAt == StartedLongAgo || !knows {
			own[i].StartedAt = StartedLongAgo
		} else {
			own[i].StartedAt -= x.born[k]
		}
	}
	x.told[k] = knows
	x.all[k].UpdateEndpoints(own, true)
}

func newColdRun(w coldWorld, seed uint64) *coldRun {
	x := &coldRun{coldWorld: w, Rand: rand.New(rand.NewPCG(seed, 2)), cold: map[int]bool{}}
	peers := w.dep.Balancers
	x.all, x.born, x.told, x.by = make([]*Balancer, peers), make([]time.Duration, peers), make([]bool, peers), make([]map[SessionID]*coldClient, peers)
	x.list = fleet(w.servers)
	fleetFull := 0.0
	for i := range x.list {
		if i%3 == 2 {
			x.list[i].MachineType = 1
		}
		fleetFull += w.full(i)
	}
	x.load, x.sent = make([]float64, w.servers), make([][]coldSend, w.servers)
	x.workUnit = coreOfYardstick * w.cores / (w.capacity * w.smaller)
	x.now = -time.Minute
	for k := range x.all {
		x.start(k)
		x.tell(k, true)
	}
	// The members of a group are five to sixty, a few groups have most.
	groups := 1 + int(w.held*fleetFull/25)
	mean := 0.9 + 0.1*w.heavy
	for range int(w.held * fleetFull) {
		c := &coldClient{key: x.Uint64(), group: 1 + uint64(float64(groups)*math.Pow(x.Float64(), 1.5)), balancer: -1, work: 1 / mean}
		if x.IntN(10) == 0 {
			c.grade, c.work = 1, w.heavy/mean
		}
		c.noted = c.work * math.Exp(w.sigma*x.NormFloat64()-w.sigma*w.sigma/2)
		x.clients = append(x.clients, c)
	}
	return x
}

// settle places all clients on the servers that are warm, in proportion to their size, as a fleet that has run for long.
func (x *coldRun) settle(cold int) {
	for n, c := range x.clients {
		k, i := x.pick(), cold+n%(x.servers-cold)
		x.next++
		x.all[k].AdoptSession(SessionRequest{ID: x.next, Key: c.key, Group: c.group, Class: c.grade}, x.list[i].ID)
		x.all[k].RecordLoad(x.next, 0, c.noted*x.workUnit)
		x.stands(c, k, i, x.next)
	}
	for _, b := range x.all { // rounds of some seconds, in which what is held is learned
		for at := 40 * time.Second; at < time.Minute; at += 250 * ms {
			b.AdvanceClock(at)
			pull(b)
		}
	}
}

func (x *coldRun) stands(c *coldClient, k, i int, id SessionID) {
	c.balancer, c.server, c.circuit, x.by[k][id] = k, i, id, c
	x.load[i] += c.work
}

// leaves has a client that stands come again after a while.
func (x *coldRun) leaves(c *coldClient, after time.Duration) {
	delete(x.by[c.balancer], c.circuit)
	x.load[c.server] -= c.work
	c.balancer, c.due = -1, x.now+after
}

func (x *coldRun) soon(within time.Duration) time.Duration {
	return time.Duration(x.Float64() * float64(within))
}

func (x *coldRun) breaks(c *coldClient, how Outcome, after time.Duration) {
	x.all[c.balancer].AttemptEnded(c.circuit, 0, true, how)
	x.leaves(c, after)
}

// restart has servers of the list stand there as started now, or so long ago.
func (x *coldRun) restart(i int, age time.Duration) {
	x.list[i].StartedAt, x.cold[i] = x.now-age, true
}

func (x *coldRun) tellAll() {
	for k := range x.all {
		x.tell(k, x.trouble != lateLists || k%10 >= 3 || x.now > 2*time.Second)
	}
}

// play runs a world and answers the first fall of those told, "" where none fell.
func (w coldWorld) play(seed uint64) (fall string, used float64) {
	x := newColdRun(w, seed)
	cold := max(1, x.servers/3)
	if w.trouble == join {
		cold = 0
	}
	x.settle(cold)
	x.now = 0
	for i := range cold {
		x.restart(i, x.soon(x.dep.SlowStartWindow*3/4))
	}
	x.tellAll()
	ends := max(4*time.Second, 2*x.dep.OverloadWindow)
	if w.trouble == join {
		ends = 12 * time.Second
	}
	replaced := 0
	for ; x.now < ends; x.now += coldStep {
		switch {
		case w.trouble == join:
			due := min(x.servers*6/10, int(float64(x.servers*6/10)*x.now.Seconds()/7))
			if due > replaced && x.now%(500*ms) == 0 {
				x.replace(replaced, due)
				replaced = due
			}
		case x.now == 500*ms:
			x.strike()
		}
		if w.trouble == lateLists && x.now == 2100*ms {
			x.tellAll()
		}
		x.step()
	}
	got, bears := 0.0, 0.0
	for i, all := range x.sent {
		if !x.cold[i] {
			continue
		}
		if fall == "" {
			fall = x.judge(i, all)
		}
		for _, s := range all {
			if x.isCold(i, s.at) {
				got += s.work
			}
		}
		for at := max(0, x.list[i].StartedAt); at < ends && x.isCold(i, at); at += coldStep {
			bears += x.bears(i, at-x.list[i].StartedAt) * coldStep.Seconds() / x.dep.OverloadWindow.Seconds()
		}
	}
	return fall, got / max(bears, 1e-9)
}

// replace has some servers restart: their clients are asked to leave, and what stands there is cold.
func (x *coldRun) replace(from, to int) {
	for i := from; i < to; i++ {
		for _, c := range x.clients {
			if c.balancer >= 0 && c.server == i {
				x.breaks(c, Cancelled, x.soon(2*time.Second))
			}
		}
		x.restart(i, 0)
	}
	x.tellAll()
}

// strike has the trouble happen.
func (x *coldRun) strike() {
	if x.trouble == herd {
		for k := range x.all {
			if x.IntN(10) < 7 {
				for _, c := range x.clients { // in their order: chance is drawn for each
					if c.balancer != k {
						continue
					}
					if c.server >= 0 {
						x.load[c.server] -= c.work
					}
					c.balancer, c.due = -1, x.now+x.soon(2*time.Second)
				}
				x.start(k)
				x.tell(k, true)
			}
		}
		return
	}
	hit := map[uint64]bool{}
	for range 3 {
		hit[x.clients[x.IntN(len(x.clients))].group] = true
	}
	for n, c := range x.clients {
		if c.balancer >= 0 && c.server >= 0 && (x.trouble == wave && n%3 == 0 || x.trouble != wave && hit[c.group]) {
			x.breaks(c, Cancelled, x.soon(time.Second))
		}
	}
}

// step has what is due come, crowded servers tell of it, and all balancers decide.
func (x *coldRun) step() {
	for _, c := range x.clients {
		if c.balancer < 0 && c.due <= x.now {
			k := x.pick()
			x.next++
			c.balancer, c.circuit, c.server = k, x.next, -1
			x.by[k][x.next] = c
			x.all[k].AdvanceClock(x.now - x.born[k])
			x.all[k].AddSession(SessionRequest{ID: x.next, Key: c.key, Group: c.group, Class: c.grade, Timeout: 1800 * ms})
		}
	}
	for k, b := range x.all {
		b.AdvanceClock(x.now - x.born[k])
		if x.now%time.Second == 0 {
			x.notes(k)
		}
		for _, d := range pull(b) {
			x.carryOut(k, d)
		}
	}
}

func (x *coldRun) notes(k int) {
	seen := map[int]bool{}
	for _, c := range x.by[k] {
		if c.server >= 0 && !seen[c.server] && x.load[c.server] > 0.9*x.full(c.server) {
			seen[c.server] = true
		}
	}
	for _, i := range slices.Sorted(maps.Keys(seen)) {
		x.all[k].RecordLatency(x.list[i].ID, 60*ms)
	}
}

func (x *coldRun) carryOut(k int, d Decision) {
	c := x.by[k][d.Session]
	switch d.Action {
	case StartAttempt:
		i := int(d.Endpoint - 100)
		x.sent[i] = append(x.sent[i], coldSend{x.now, x.told[k], c.work})
		x.all[k].AttemptEstablished(d.Session, 0, ms)
		x.all[k].RecordLoad(d.Session, 0, c.noted*x.workUnit)
		x.stands(c, k, i, d.Session)
	case Migrate:
		x.breaks(c, Cancelled, x.soon(time.Second))
	case Reject, Fail:
		delete(x.by[k], d.Session)
		c.balancer, c.due = -1, x.now+500*ms
	}
}

// isCold tells whether server i's newest process runs and is cold: not the one before, and not once it is warm.
func (x *coldRun) isCold(i int, at time.Duration) bool {
	return at >= x.list[i].StartedAt && at < x.list[i].StartedAt+x.dep.SlowStartWindow
}

// judge looks at each window that ends with a send, as the rule does: the first fall counts, and breaks the rule where over two
// thirds of what came was sent by those who had been told.
func (x *coldRun) judge(i int, all []coldSend) string {
	slices.SortStableFunc(all, func(a, b coldSend) int { return cmp.Compare(a.at, b.at) })
	all = slices.DeleteFunc(slices.Clone(all), func(s coldSend) bool { return !x.isCold(i, s.at) })
	from, got, knew := 0, 0.0, 0.0
	for n, s := range all {
		got += s.work
		if s.told {
			knew += s.work
		}
		for ; s.at >= all[from].at+x.dep.OverloadWindow; from++ {
			got -= all[from].work
			if all[from].told {
				knew -= all[from].work
			}
		}
		bears := x.bears(i, s.at-x.list[i].StartedAt)
		if got > bears+2*math.Sqrt(bears)+2 {
			if 3*knew > 2*got {
				return fmt.Sprintf("server %d got %.1f of mean work in %d circuits within %v, it bears %.1f", i, got, n+1-from, x.dep.OverloadWindow, bears)
			}
			return ""
		}
	}
	return ""
}

// TestColdServersStand has balancers that share nothing send, all together, no cold server more in any window than it bears and two
// roots of that and two, whatever brings the circuits and whatever the deployment is like. With a budget that went by a dozen
// connections and a third of the warm-up 28 of 120 points fell.
func TestColdServersStand(t *testing.T) {
	used := make([]float64, *coldPoints) // what cold servers got on the mean, as a part of what they bear in as many windows
	t.Run("points", func(t *testing.T) {
		for n := range *coldPoints {
			w := drawColdWorld(uint64(n))
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				fall, part := w.play(uint64(n))
				used[n] = part
				if fall != "" {
					t.Errorf("%v: %s", w, fall)
				}
			})
		}
	})
	sum := 0.0
	for _, part := range used {
		sum += part
	}
	mean := sum / float64(*coldPoints)
	t.Logf("cold servers got %.3f of what they bear", mean)
	if mean < leastUsed {
		t.Errorf("cold servers got %.3f of what they bear: they stand because nothing is sent", mean)
	}
}

// leastUsed is the part of what cold servers bear that they get at the least, on the mean of all points.
const leastUsed = 0.05

// coreOfYardstick is the work of a core in the unit of load notes, by the wire's page: microseconds a second.
const coreOfYardstick = 1e6
