package policy

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "write testdata/decisions.golden from the present build")

const (
	goldenFile  = "testdata/decisions.golden"
	goldenSteps = 1200
)

// goldenScenario is one deployment under a fixed seed; every input method is called at random.
type goldenScenario struct {
	name      string
	balancers int // that are played; the deployment may name more
	servers   int
	groups    int
	cold      bool // a third of the servers are warming up at the start
	dep       Deployment
}

// goldenCircuit is what the driver knows of a circuit that has no final answer yet.
type goldenCircuit struct {
	tries     int
	out, open bool
	server    ServerID
}

type goldenMessage struct {
	at       time.Duration
	from, to int
	told     Told
}

// goldenRun plays one scenario and hashes what the balancers answer.
type goldenRun struct {
	goldenScenario
	*rand.Rand
	now      time.Duration
	list     []Listed
	all      []*Balancer
	circuits []map[CircuitID]*goldenCircuit
	order    [][]CircuitID // of circuits, as they came
	probes   [][]ServerID  // out
	messages []goldenMessage
	next     CircuitID
	sum      hash.Hash
	counts   [Tell + 1]int
}

func goldenScenarios() []goldenScenario {
	base := func(change func(d *Deployment)) Deployment {
		d := *deployment()
		d.Grades = []Grade{
			{SetupGoal: 300 * ms, MessageGoal: 100 * ms, Window: 5 * time.Second, Utility: 1},
			{Effect: Deduplicated, Scope: ScopeAll, SetupGoal: 200 * ms, MessageGoal: 80 * ms, Window: 900 * ms, Utility: 3},
			{Effect: Deduplicated, Scope: ScopeZone, SetupGoal: 400 * ms, MessageGoal: 150 * ms, Window: 2 * time.Second, Utility: 0.5},
			{Effect: Deduplicated, Scope: ScopeCell, SetupGoal: 300 * ms, Window: 2 * time.Second, Utility: 2},
			{Effect: Unrepeatable, SetupGoal: 500 * ms, MessageGoal: 100 * ms, Utility: 10},
		}
		d.Tenants = []Tenant{{Connections: 20}, {}, {Connections: 300}}
		d.ExcessUtility, d.CrossingPrice = 0.25, 0.03
		change(&d)
		return d
	}
	return []goldenScenario{
		{"one balancer", 1, 9, 12, true, base(func(d *Deployment) {})},
		{"one balancer without health checks", 1, 7, 5, false, base(func(d *Deployment) { d.MayProbe, d.MayAdvise = false, false })},
		{"one balancer that polls load reports", 1, 12, 20, true, base(func(d *Deployment) { d.ReportsOnAsk = true })},
		{"one balancer whose servers tell", 1, 12, 20, true, base(func(d *Deployment) { d.ReportsOnAsk, d.ServersTell, d.CrossingPrice = true, true, 0.08 })},
		{"three balancers", 3, 10, 15, true, base(func(d *Deployment) { d.Peers = 3 })},
		{"three balancers that gossip", 3, 10, 15, true, base(func(d *Deployment) { d.Peers, d.MayTell = 3, true })},
		{"three balancers, exact weights", 3, 16, 40, false, base(func(d *Deployment) { d.Peers, d.HeftExact = 3, true })},
		{"three balancers, gossip, exact weights, load reports", 3, 14, 9, true, base(func(d *Deployment) { d.Peers, d.MayTell, d.HeftExact, d.ReportsOnAsk = 3, true, true, true })},
		{"three balancers whose servers tell", 3, 14, 9, true, base(func(d *Deployment) { d.Peers, d.ReportsOnAsk, d.ServersTell = 3, true, true })},
		{"four of eighty balancers", 4, 24, 10, true, base(func(d *Deployment) { d.Peers = 80 })},
		{"four of eighty balancers that gossip", 4, 6, 10, true, base(func(d *Deployment) { d.Peers, d.MayTell = 80, true })},
		{"four of eighty balancers whose servers tell", 4, 24, 30, true, base(func(d *Deployment) {
			d.Peers, d.ReportsOnAsk, d.ServersTell, d.MayAdvise = 80, true, true, false
		})},
		{"four of eighty balancers, reports, one try", 4, 20, 3, false, base(func(d *Deployment) { d.Peers, d.ReportsOnAsk, d.MostTries = 80, true, 1 })},
		{"slow warm-up", 2, 12, 6, true, base(func(d *Deployment) {
			d.Peers, d.ColdFor, d.ColdFrom, d.FallFor, d.FallMultiple = 2, 60*time.Second, 0.05, 500*ms, 2
		})},
		{"no message objective", 2, 8, 6, true, base(func(d *Deployment) {
			d.Peers = 2
			for i := range d.Grades {
				d.Grades[i].MessageGoal = 0
			}
			d.Tenants = nil
		})},
		{"hundreds of servers", 2, 300, 50, true, base(func(d *Deployment) { d.Peers, d.ReportsOnAsk = 300, true })},
	}
}

func (g goldenScenario) run(seed uint64) *goldenRun {
	r := &goldenRun{goldenScenario: g, Rand: rand.New(rand.NewPCG(seed, 29)), sum: sha256.New()}
	for i := range g.servers {
		l := Listed{Server: ServerID(1000 + 7*i), Zone: i % 3, Cell: i % 2, Kind: uint64(i % 4), Heft: 1 + float64(i%5)/2, Started: LongAgo}
		if g.cold && i%3 == 0 {
			l.Started = time.Duration(i) * -100 * ms
		}
		r.list = append(r.list, l)
	}
	for k := range g.balancers {
		r.all = append(r.all, New(r.settings(k), seed+uint64(k)*7919))
		r.all[k].ListArrived(r.list, true)
		r.circuits = append(r.circuits, map[CircuitID]*goldenCircuit{})
	}
	r.order, r.probes = make([][]CircuitID, g.balancers), make([][]ServerID, g.balancers)
	for step := range goldenSteps {
		r.step(step)
	}
	return r
}

func (r *goldenRun) settings(k int) *Deployment {
	d := r.dep
	d.Index, d.Zone = k, k%3
	return &d
}

func (r *goldenRun) step(step int) {
	r.now += time.Duration(r.IntN(60)) * ms
	var late []goldenMessage
	for _, m := range r.messages {
		if m.at > r.now {
			late = append(late, m)
			continue
		}
		r.all[m.to].Clock(r.now)
		r.all[m.to].PeerTold(m.from, m.told)
	}
	r.messages = late
	if step%40 == 7 {
		r.changeList(step)
	}
	for k, b := range r.all {
		b.Clock(r.now)
		r.rare(k, b, step)
		for range r.IntN(3) {
			r.arrive(k, b)
		}
		r.notes(b, step)
		r.probeEnds(k, b)
		for _, id := range r.order[k] {
			if c := r.circuits[k][id]; c != nil {
				r.circuitEvent(k, b, id, c, step)
			}
		}
		if len(r.order[k]) > 300 {
			r.order[k] = r.order[k][1:]
		}
		r.decide(k, b)
	}
}

// badPhase tells which part of the time is calm (0), has failures (1) or slow servers (2).
func badPhase(step int) int { return step / 150 % 3 }

func (r *goldenRun) changeList(step int) {
	i := r.IntN(len(r.list))
	switch l := &r.list[i]; r.IntN(5) {
	case 0:
		l.State = Draining
	case 1:
		l.State = Gone
	case 2:
		l.State, l.Started = Ready, r.now
	case 3:
		l.Heft = 0.5 + 3*r.Float64()
	case 4:
		l.State = Ready
	}
	for _, b := range r.all {
		b.Clock(r.now)
		if step%3 == 0 {
			b.ListArrived(r.list, true)
		} else {
			b.ListArrived(r.list[i:i+1], false)
		}
	}
}

// rare calls what happens seldom: new settings, a planned restart, weights and doubts.
func (r *goldenRun) rare(k int, b *Balancer, step int) {
	server := r.list[r.IntN(len(r.list))].Server
	switch {
	case step == 500:
		d := r.settings(k)
		d.MostTries++
		d.Grades = append(append([]Grade(nil), d.Grades[1:]...), d.Grades[0])
		d.Tenants = append([]Tenant{{Connections: 7}}, d.Tenants...)
		b.Reconfigure(d, []int{4, 0, 1, 2, 3}, []int{1, 2, 3})
	case step == 700:
		b.Reconfigure(r.settings(k), []int{1, 2, 3, 4, -1}, []int{-1, 0, 1, 2})
	case step == 900 && k == 0:
		b.Leave(r.now+300*ms, r.now+3*time.Second)
	case step == 960 && k == 0:
		b.Stay()
	case step == 1000:
		b.Spent()
	case r.IntN(40) == 0:
		b.Weighed(server, 0.5+2*r.Float64())
	case r.IntN(40) == 0:
		b.Doubted(server)
	case r.IntN(60) == 0:
		r.next++
		b.HandedOver(r.arrival(), server)
		r.circuits[k][r.next] = &goldenCircuit{tries: 1, open: true, server: server}
		r.order[k] = append(r.order[k], r.next)
	}
}

func (r *goldenRun) arrival() Arrival {
	a := Arrival{
		ID: r.next, Key: uint64(1 + r.IntN(400)), Tenant: r.IntN(5), Grade: r.IntN(len(r.dep.Grades)),
		Left: time.Duration(200+r.IntN(2500)) * ms,
	}
	if r.IntN(3) > 0 {
		a.Group = uint64(1 + r.IntN(r.groups))
	}
	if r.IntN(3) == 0 {
		a.Load = float64(1000 + r.IntN(30000))
	}
	return a
}

func (r *goldenRun) arrive(k int, b *Balancer) {
	r.next++
	b.CircuitArrived(r.arrival())
	r.circuits[k][r.next] = &goldenCircuit{}
	r.order[k] = append(r.order[k], r.next)
}

func (r *goldenRun) notes(b *Balancer, step int) {
	server := r.list[r.IntN(len(r.list))].Server
	if badPhase(step) == 2 && r.IntN(3) == 0 {
		b.DelayNoted(server, time.Duration(r.IntN(180))*ms)
	}
	if r.IntN(8) == 0 {
		b.DelayNoted(server, time.Duration(r.IntN(40))*ms)
	}
	if r.IntN(12) == 0 {
		b.Reported(server, r.report(step))
	}
}

func (r *goldenRun) report(step int) Report {
	asked := 0.7 * r.Float64()
	if badPhase(step) == 2 {
		asked *= 2.5
	}
	switch r.IntN(4) {
	case 0:
		return Report{Asked: -1, Piled: -1, Util: asked}
	case 1:
		return NoReport
	default:
		return Report{Asked: asked, Piled: asked / 3, Util: min(1, asked)}
	}
}

func (r *goldenRun) probeEnds(k int, b *Balancer) {
	var out []ServerID
	for _, server := range r.probes[k] {
		switch r.IntN(4) {
		case 0:
			out = append(out, server)
		case 1:
			b.ProbeAnswered(server, Outcome(r.IntN(int(NeverSent)+1)))
		default:
			b.Reported(server, r.report(0))
			b.ProbeAnswered(server, Succeeded)
		}
	}
	r.probes[k] = out
}

func (r *goldenRun) circuitEvent(k int, b *Balancer, id CircuitID, c *goldenCircuit, step int) {
	try := c.tries - 1
	failures, slowest := 80, 60 // one in so many ends badly a step; ms of a set-up
	if badPhase(step) > 0 {
		failures, slowest = 16, 250
	}
	switch {
	case c.out && r.IntN(4) == 0 && (badPhase(step) != 1 || r.IntN(2) == 0 || c.server%2 == 0):
		b.SetUp(id, try, time.Duration(r.IntN(slowest))*ms)
		c.out, c.open = false, true
	case c.out && r.IntN(failures) == 0:
		how := Outcome(1 + r.IntN(int(NeverSent)))
		finished := r.IntN(9) == 0
		b.TryEnded(id, try, finished, how)
		if c.out = false; finished {
			delete(r.circuits[k], id)
		}
	case c.open && r.IntN(10) == 0:
		b.LoadNoted(id, try, float64(r.IntN(40000)))
	case c.open && r.IntN(60) == 0:
		b.TryEnded(id, try, true, [...]Outcome{Succeeded, Succeeded, Reset, Cancelled}[r.IntN(4)])
		delete(r.circuits[k], id)
	case r.IntN(300) == 0:
		b.ClientLeft(id)
		if !c.open && !c.out {
			delete(r.circuits[k], id)
		}
	case r.IntN(300) == 0: // late news of an earlier try
		b.SetUp(id, try-1, ms)
		b.TryEnded(id, try-1, false, Failed)
		b.LoadNoted(id, try-1, 5)
	}
}

func (r *goldenRun) decide(k int, b *Balancer) {
	for d, ok := b.Next(); ok; d, ok = b.Next() {
		r.counts[d.Do]++
		fmt.Fprintf(r.sum, "%d %d %d %d %d %d %d %d", r.now, k, d.Do, d.Circuit, d.Server, d.For, d.Told.Mark, d.Told.First)
		for n, load := range d.Told.Loads {
			fmt.Fprintf(r.sum, " %x %v", math.Float64bits(load), d.Told.Jammed[n])
		}
		fmt.Fprintln(r.sum)
		r.carryOut(k, b, d)
	}
	at, ok := b.Wake()
	fmt.Fprintln(r.sum, "wake", at, ok)
}

func (r *goldenRun) carryOut(k int, b *Balancer, d Decision) {
	c := r.circuits[k][d.Circuit]
	switch d.Do {
	case Try:
		c.tries++
		c.out, c.server = true, d.Server
	case Nack, BreakOff:
		delete(r.circuits[k], d.Circuit)
	case Move:
		b.TryEnded(d.Circuit, c.tries-1, true, Cancelled)
		delete(r.circuits[k], d.Circuit)
	case Probe:
		r.probes[k] = append(r.probes[k], d.Server)
	case Tell:
		for to := range r.all {
			if to != k && r.IntN(5) > 0 {
				r.messages = append(r.messages, goldenMessage{r.now + time.Duration(r.IntN(3000))*ms, k, to, d.Told})
			}
		}
	}
}

// TestDecisionsAreAsBefore compares a digest of all decisions under fixed seeds with the digests in testdata. A change that
// is meant to decide otherwise writes them anew with -update.
func TestDecisionsAreAsBefore(t *testing.T) {
	var got []string
	for n, g := range goldenScenarios() {
		r := g.run(uint64(n) + 1)
		got = append(got, fmt.Sprintf("%s: tries %d, nacks %d, break-offs %d, moves %d, probes %d, messages %d, sha256 %x",
			g.name, r.counts[Try], r.counts[Nack], r.counts[BreakOff], r.counts[Move], r.counts[Probe], r.counts[Tell], r.sum.Sum(nil)))
	}
	text := strings.Join(got, "\n") + "\n"
	if *updateGolden {
		if err := os.WriteFile(goldenFile, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	if len(lines) != len(got) {
		t.Fatalf("%d scenarios, %d in %s", len(got), len(lines), goldenFile)
	}
	for n, line := range got {
		if line != lines[n] {
			t.Errorf("is  %s\nwas %s", line, lines[n])
		}
	}
}
