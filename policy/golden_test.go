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

// goldenScenario is one deployment. All input methods of its balancers are called at random, under a fixed seed.
type goldenScenario struct {
	name      string
	balancers int // number of balancers in the test; the configuration may state more
	endpoints int
	groups    int  // number of groups from which sessions are drawn
	warming   bool // a third of the endpoints are warming up at the start
	config    Config
}

// goldenSession is what the test knows about a session that has no final answer yet.
type goldenSession struct {
	attempts                int
	attempting, established bool
	endpoint                EndpointID
}

// goldenMessage is a gossip message that is delivered at a time.
type goldenMessage struct {
	at       time.Duration
	from, to int
	message  GossipMessage
}

// goldenRun simulates one scenario and hashes the decisions of the balancers.
type goldenRun struct {
	goldenScenario
	*rand.Rand
	now           time.Duration
	list          []Endpoint
	instances     []*Balancer
	sessions      []map[SessionID]*goldenSession
	sessionOrder  [][]SessionID  // session IDs of each balancer, in the order of their arrival
	pendingChecks [][]EndpointID // health checks in progress at each balancer
	messages      []goldenMessage
	lastID        SessionID
	digest        hash.Hash
	counts        [SendGossip + 1]int
}

func goldenScenarios() []goldenScenario {
	base := func(change func(d *Config)) Config {
		d := *testConfig()
		d.Classes = []Class{
			{SetupObjective: 300 * ms, MessageObjective: 100 * ms, KeyTTL: 5 * time.Second, PriorityWeight: 1},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeAll, SetupObjective: 200 * ms, MessageObjective: 80 * ms, KeyTTL: 900 * ms, PriorityWeight: 3},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeZone, SetupObjective: 400 * ms, MessageObjective: 150 * ms, KeyTTL: 2 * time.Second, PriorityWeight: 0.5},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeFailureDomain, SetupObjective: 300 * ms, KeyTTL: 2 * time.Second, PriorityWeight: 2},
			{Idempotency: NonIdempotent, SetupObjective: 500 * ms, MessageObjective: 100 * ms, PriorityWeight: 10},
		}
		d.Tenants = []Tenant{{ConnectionQuota: 20}, {}, {ConnectionQuota: 300}}
		d.OverQuotaFactor, d.CrossZoneCost = 0.25, 0.03
		change(&d)
		return d
	}
	return []goldenScenario{
		{"one balancer", 1, 9, 12, true, base(func(*Config) {})},
		{"one balancer without health checks", 1, 7, 5, false, base(func(d *Config) { d.CanHealthCheck, d.CanSendRetryAfter = false, false })},
		{"one balancer that polls load reports", 1, 12, 20, true, base(func(d *Config) { d.HasLoadReports = true })},
		{"one balancer with endpoint reports", 1, 12, 20, true, base(func(d *Config) { d.HasLoadReports, d.HasEndpointReports, d.CrossZoneCost = true, true, 0.08 })},
		{"three balancers", 3, 10, 15, true, base(func(d *Config) { d.Balancers = 3 })},
		{"three balancers that gossip", 3, 10, 15, true, base(func(d *Config) { d.Balancers, d.CanGossip = 3, true })},
		{"three balancers, exact weights", 3, 16, 40, false, base(func(d *Config) { d.Balancers, d.HasExactWeights = 3, true })},
		{"three balancers, gossip, exact weights, load reports", 3, 14, 9, true, base(func(d *Config) { d.Balancers, d.CanGossip, d.HasExactWeights, d.HasLoadReports = 3, true, true, true })},
		{"three balancers with endpoint reports", 3, 14, 9, true, base(func(d *Config) { d.Balancers, d.HasLoadReports, d.HasEndpointReports = 3, true, true })},
		{"four of eighty balancers", 4, 24, 10, true, base(func(d *Config) { d.Balancers = 80 })},
		{"four of eighty balancers that gossip", 4, 6, 10, true, base(func(d *Config) { d.Balancers, d.CanGossip = 80, true })},
		{"four of eighty balancers with endpoint reports", 4, 24, 30, true, base(func(d *Config) {
			d.Balancers = 80
			d.HasLoadReports = true
			d.HasEndpointReports = true
			d.CanSendRetryAfter = false
		})},
		{"four of eighty balancers, load reports, one attempt", 4, 20, 3, false, base(func(d *Config) { d.Balancers, d.HasLoadReports, d.MaxAttempts = 80, true, 1 })},
		{"slow warm-up", 2, 12, 6, true, base(func(d *Config) {
			d.Balancers = 2
			d.SlowStartWindow = 60 * time.Second
			d.SlowStartFloor = 0.05
			d.OverloadWindow = 500 * ms
			d.OverloadMultiple = 2
		})},
		{"no message objective", 2, 8, 6, true, base(func(d *Config) {
			d.Balancers = 2
			for i := range d.Classes {
				d.Classes[i].MessageObjective = 0
			}
			d.Tenants = nil
		})},
		{"hundreds of endpoints", 2, 300, 50, true, base(func(d *Config) { d.Balancers, d.HasLoadReports = 300, true })},
	}
}

func (g goldenScenario) run(seed uint64) *goldenRun {
	r := &goldenRun{goldenScenario: g, Rand: rand.New(rand.NewPCG(seed, 29)), digest: sha256.New()}
	for i := range g.endpoints {
		l := Endpoint{ID: EndpointID(1000 + 7*i), Zone: i % 3, FailureDomain: i % 2, MachineType: uint64(i % 4), Weight: 1 + float64(i%5)/2, StartedAt: StartedLongAgo}
		if g.warming && i%3 == 0 {
			l.StartedAt = time.Duration(i) * -100 * ms
		}
		r.list = append(r.list, l)
	}
	for k := range g.balancers {
		r.instances = append(r.instances, New(r.settings(k), seed+uint64(k)*7919))
		r.instances[k].UpdateEndpoints(r.list, true)
		r.sessions = append(r.sessions, map[SessionID]*goldenSession{})
	}
	r.sessionOrder, r.pendingChecks = make([][]SessionID, g.balancers), make([][]EndpointID, g.balancers)
	for step := range goldenSteps {
		r.simulateStep(step)
	}
	return r
}

func (r *goldenRun) settings(k int) *Config {
	d := r.config
	d.Index, d.Zone = k, k%3
	return &d
}

func (r *goldenRun) simulateStep(step int) {
	r.now += time.Duration(r.IntN(60)) * ms
	var undelivered []goldenMessage
	for _, m := range r.messages {
		if m.at > r.now {
			undelivered = append(undelivered, m)
			continue
		}
		r.instances[m.to].AdvanceClock(r.now)
		r.instances[m.to].ReceiveGossip(m.from, m.message)
	}
	r.messages = undelivered
	if step%40 == 7 {
		r.changeEndpointList(step)
	}
	for k, b := range r.instances {
		b.AdvanceClock(r.now)
		r.simulateRareEvent(k, b, step)
		for range r.IntN(3) {
			r.addSession(k, b)
		}
		r.recordLatencies(b, step)
		r.endHealthChecks(k, b)
		for _, id := range r.sessionOrder[k] {
			if c := r.sessions[k][id]; c != nil {
				r.simulateSessionEvent(k, b, id, c, step)
			}
		}
		if len(r.sessionOrder[k]) > 300 {
			r.sessionOrder[k] = r.sessionOrder[k][1:]
		}
		r.decide(k, b)
	}
}

// goldenPhase returns 0 while the deployment is healthy, 1 while attempts fail, and 2 while endpoints are slow.
func goldenPhase(step int) int { return step / 150 % 3 }

func (r *goldenRun) changeEndpointList(step int) {
	i := r.IntN(len(r.list))
	switch l := &r.list[i]; r.IntN(5) {
	case 0:
		l.State = Draining
	case 1:
		l.State = Removed
	case 2:
		l.State, l.StartedAt = Ready, r.now
	case 3:
		l.Weight = 0.5 + 3*r.Float64()
	case 4:
		l.State = Ready
	}
	for _, b := range r.instances {
		b.AdvanceClock(r.now)
		if step%3 == 0 {
			b.UpdateEndpoints(r.list, true)
		} else {
			b.UpdateEndpoints(r.list[i:i+1], false)
		}
	}
}

// simulateRareEvent simulates events that are rare: a new configuration, draining, new weights, requested health
// checks and adopted sessions.
func (r *goldenRun) simulateRareEvent(k int, b *Balancer, step int) {
	id := r.list[r.IntN(len(r.list))].ID
	switch {
	case step == 500:
		d := r.settings(k)
		d.MaxAttempts++
		d.Classes = append(append([]Class(nil), d.Classes[1:]...), d.Classes[0])
		d.Tenants = append([]Tenant{{ConnectionQuota: 7}}, d.Tenants...)
		b.Reconfigure(d, []int{4, 0, 1, 2, 3}, []int{1, 2, 3})
	case step == 700:
		b.Reconfigure(r.settings(k), []int{1, 2, 3, 4, -1}, []int{-1, 0, 1, 2})
	case step == 900 && k == 0:
		b.StartDraining(r.now+300*ms, r.now+3*time.Second)
	case step == 960 && k == 0:
		b.StopDraining()
	case step == 1000:
		b.PauseSlowStart()
	case r.IntN(40) == 0:
		b.SetWeight(id, 0.5+2*r.Float64())
	case r.IntN(40) == 0:
		b.RequestHealthCheck(id)
	case r.IntN(60) == 0:
		r.lastID++
		b.AdoptSession(r.request(), id)
		r.sessions[k][r.lastID] = &goldenSession{attempts: 1, established: true, endpoint: id}
		r.sessionOrder[k] = append(r.sessionOrder[k], r.lastID)
	}
}

func (r *goldenRun) request() SessionRequest {
	a := SessionRequest{
		ID: r.lastID, Key: uint64(1 + r.IntN(400)), Tenant: r.IntN(5), Class: r.IntN(len(r.config.Classes)),
		Timeout: time.Duration(200+r.IntN(2500)) * ms,
	}
	if r.IntN(3) > 0 {
		a.Group = uint64(1 + r.IntN(r.groups))
	}
	if r.IntN(3) == 0 {
		a.Load = float64(1000 + r.IntN(30000))
	}
	return a
}

func (r *goldenRun) addSession(k int, b *Balancer) {
	r.lastID++
	b.AddSession(r.request())
	r.sessions[k][r.lastID] = &goldenSession{}
	r.sessionOrder[k] = append(r.sessionOrder[k], r.lastID)
}

func (r *goldenRun) recordLatencies(b *Balancer, step int) {
	id := r.list[r.IntN(len(r.list))].ID
	if goldenPhase(step) == 2 && r.IntN(3) == 0 {
		b.RecordLatency(id, time.Duration(r.IntN(180))*ms)
	}
	if r.IntN(8) == 0 {
		b.RecordLatency(id, time.Duration(r.IntN(40))*ms)
	}
	if r.IntN(12) == 0 {
		b.RecordLoadReport(id, r.report(step))
	}
}

func (r *goldenRun) report(step int) LoadReport {
	demand := 0.7 * r.Float64()
	if goldenPhase(step) == 2 {
		demand *= 2.5
	}
	switch r.IntN(4) {
	case 0:
		return LoadReport{Demand: -1, Backlog: -1, Utilization: demand}
	case 1:
		return NoLoadReport
	default:
		return LoadReport{Demand: demand, Backlog: demand / 3, Utilization: min(1, demand)}
	}
}

func (r *goldenRun) endHealthChecks(k int, b *Balancer) {
	var stillPending []EndpointID
	for _, id := range r.pendingChecks[k] {
		switch r.IntN(4) {
		case 0:
			stillPending = append(stillPending, id)
		case 1:
			b.HealthCheckEnded(id, Outcome(r.IntN(int(NeverSent)+1)))
		default:
			b.RecordLoadReport(id, r.report(0))
			b.HealthCheckEnded(id, Succeeded)
		}
	}
	r.pendingChecks[k] = stillPending
}

func (r *goldenRun) simulateSessionEvent(k int, b *Balancer, id SessionID, c *goldenSession, step int) {
	attempt := c.attempts - 1
	failures, slowest := 80, 60 // one attempt in so many fails in a step; longest setup in ms
	if goldenPhase(step) > 0 {
		failures, slowest = 16, 250
	}
	switch {
	case c.attempting && r.IntN(4) == 0 && (goldenPhase(step) != 1 || r.IntN(2) == 0 || c.endpoint%2 == 0):
		b.AttemptEstablished(id, attempt, time.Duration(r.IntN(slowest))*ms)
		c.attempting, c.established = false, true
	case c.attempting && r.IntN(failures) == 0:
		outcome := Outcome(1 + r.IntN(int(NeverSent)))
		finished := r.IntN(9) == 0
		b.AttemptEnded(id, attempt, finished, outcome)
		if c.attempting = false; finished {
			delete(r.sessions[k], id)
		}
	case c.established && r.IntN(10) == 0:
		b.RecordLoad(id, attempt, float64(r.IntN(40000)))
	case c.established && r.IntN(60) == 0:
		b.AttemptEnded(id, attempt, true, [...]Outcome{Succeeded, Succeeded, Reset, Cancelled}[r.IntN(4)])
		delete(r.sessions[k], id)
	case r.IntN(300) == 0:
		b.ClientDisconnected(id)
		if !c.established && !c.attempting {
			delete(r.sessions[k], id)
		}
	case r.IntN(300) == 0: // late events of an earlier attempt
		b.AttemptEstablished(id, attempt-1, ms)
		b.AttemptEnded(id, attempt-1, false, Failed)
		b.RecordLoad(id, attempt-1, 5)
	}
}

func (r *goldenRun) decide(k int, b *Balancer) {
	for d, ok := b.Next(); ok; d, ok = b.Next() {
		r.counts[d.Action]++
		_, _ = fmt.Fprintf(r.digest, "%d %d %d %d %d %d %d %d", r.now, k, d.Action, d.Session, d.Endpoint, d.Duration, d.Gossip.VersionHash, d.Gossip.Offset)
		for n, load := range d.Gossip.Loads {
			_, _ = fmt.Fprintf(r.digest, " %x %v", math.Float64bits(load), d.Gossip.Overloaded[n])
		}
		_, _ = fmt.Fprintln(r.digest)
		r.carryOut(k, b, d)
	}
	at, ok := b.NextWakeup()
	_, _ = fmt.Fprintln(r.digest, "wake", at, ok)
}

func (r *goldenRun) carryOut(k int, b *Balancer, d Decision) {
	c := r.sessions[k][d.Session]
	switch d.Action {
	case StartAttempt:
		c.attempts++
		c.attempting, c.endpoint = true, d.Endpoint
	case Reject, Fail:
		delete(r.sessions[k], d.Session)
	case Migrate:
		b.AttemptEnded(d.Session, c.attempts-1, true, Cancelled)
		delete(r.sessions[k], d.Session)
	case HealthCheck:
		r.pendingChecks[k] = append(r.pendingChecks[k], d.Endpoint)
	case SendGossip:
		for to := range r.instances {
			if to != k && r.IntN(5) > 0 {
				r.messages = append(r.messages, goldenMessage{r.now + time.Duration(r.IntN(3000))*ms, k, to, d.Gossip})
			}
		}
	}
}

// TestDecisionsAreAsBefore guards against unintended changes of any decision: it compares a digest of all
// decisions under fixed seeds with the digests in testdata. After an intended change, write them anew with
// -update.
func TestDecisionsAreAsBefore(t *testing.T) {
	var got []string
	for n, g := range goldenScenarios() {
		r := g.run(uint64(n) + 1)
		got = append(got, fmt.Sprintf("%s: attempts %d, rejects %d, fails %d, migrations %d, health checks %d, messages %d, sha256 %x",
			g.name, r.counts[StartAttempt], r.counts[Reject], r.counts[Fail], r.counts[Migrate], r.counts[HealthCheck], r.counts[SendGossip], r.digest.Sum(nil)))
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
		t.Fatalf("there are %d scenarios, but %d lines in %s", len(got), len(lines), goldenFile)
	}
	for n, line := range got {
		if line != lines[n] {
			t.Errorf("got  %s\nwant %s", line, lines[n])
		}
	}
}
