// Package experiment owns experiment files: their form, their units and what is wrong with one, by file, line and column.
// It must never run an experiment.
package experiment

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

// Modes of an experiment.
const (
	Sockets = "sockets"
	Virtual = "virtual"
)

// The bounds of what one machine can run.
const (
	mostSocketBalancers = 16
	mostSocketServers   = 200
	mostSocketClients   = 20000
	mostBalancers       = 10000
	mostServers         = 5000
	mostClients         = 2000000
	longestRun          = time.Hour
)

// Breaks are the ways in which the lab's own balancer can be broken on purpose.
var Breaks = []string{"answers-twice", "sends-to-drained", "two-tries", "never-answers"}

// Arm is one thing under test.
type Arm struct {
	Name   string
	Policy string // a policy behind the reference host; empty if the arm is a program
	Binary string // a build of the balancer, on sockets; empty: the one beside the lab
	Broken string // a fault of the lab's own balancer, on sockets
	Env    []string
	Limits topology.Limits // of its balancers; the world's if the arm has none
}

// Experiment is what a file says.
type Experiment struct {
	Name  string
	Title string
	Mode  string
	Seeds []uint64
	World topology.World
	Arms  []Arm
}

// reader gathers what is wrong with one file.
type reader struct{ *hclconfig.Reader }

// Load reads a file; the error is blocks.Faults where its content is wrong.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads an experiment; path is its name in messages.
func Parse(text []byte, path string) (*Experiment, error) {
	r := reader{&hclconfig.Reader{}}
	body := r.Parse(text, path)
	if body == nil {
		return nil, r.Diagnostics
	}
	top := r.Block("the file", body, hclconfig.FileStart(path), "", hcl.BlockHeaderSchema{Type: "experiment"}, hcl.BlockHeaderSchema{Type: "world"},
		hcl.BlockHeaderSchema{Type: "load"}, hcl.BlockHeaderSchema{Type: "fault", LabelNames: []string{"kind"}},
		hcl.BlockHeaderSchema{Type: "arm", LabelNames: []string{"name"}})
	x := &Experiment{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	head, world, people := top.Single("experiment", true), top.Single("world", true), top.Single("load", true)
	length := longestRun
	if head != nil {
		length = r.head(x, head)
	}
	if world != nil {
		r.world(x, world)
	}
	if people != nil {
		r.load(x, people, length)
	}
	for _, b := range top.Blocks["fault"] {
		r.fault(x, b, length)
	}
	r.arms(x, top)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return x, nil
}

func (r reader) head(x *Experiment, in *hcl.Block) time.Duration {
	b := r.Block("experiment", in.Body, in.DefRange, "title mode length seeds")
	b.Require("mode", "length")
	x.Title = b.String("title", x.Name)
	x.Mode = b.String("mode", Sockets, Sockets, Virtual)
	x.Seeds = b.UintList("seeds", []uint64{1}, 100)
	return b.Duration("length", 30*time.Second, time.Second, longestRun)
}

// bound is the one for sockets or the one for virtual time.
func (x *Experiment) bound(sockets, virtual int) int {
	if x.Mode == Sockets {
		return sockets
	}
	return virtual
}

var effects = map[string]policy.Idempotency{"idempotent": policy.Idempotent, "deduplicated": policy.IdempotentWithKey, "unrepeatable": policy.NonIdempotent}
var scopes = map[string]policy.KeyScope{"all": policy.KeyScopeAll, "zone": policy.KeyScopeZone, "cell": policy.KeyScopeFailureDomain}

func (r reader) world(x *Experiment, in *hcl.Block) {
	b := r.Block("world", in.Body, in.DefRange, "balancers zones cells drain_grace message_goal message_each outer_limit setup_goal "+
		"connect_within tries probes advice crossing_price group_cost sheds sends_away notice silent_notice client_way near_way cross_way",
		hcl.BlockHeaderSchema{Type: "warmup"}, hcl.BlockHeaderSchema{Type: "store"}, hcl.BlockHeaderSchema{Type: "fleet"}, hcl.BlockHeaderSchema{Type: "limits"},
		hcl.BlockHeaderSchema{Type: "server", LabelNames: []string{"kind"}}, hcl.BlockHeaderSchema{Type: "grade", LabelNames: []string{"name"}})
	const ms, s = time.Millisecond, time.Second
	w := &x.World
	w.Balancers = b.Int("balancers", 1, 1, x.bound(mostSocketBalancers, mostBalancers))
	w.Zones = b.Int("zones", 1, 1, 64)
	cells := b.Int("cells", 1, 1, 1000)
	w.DrainGrace = b.Duration("drain_grace", 750*ms, 0, time.Minute)
	w.MessageObjective = b.Duration("message_goal", 250*ms, ms, time.Minute)
	w.MessageInterval = b.Duration("message_each", s, 5*ms, time.Minute)
	w.ConnectTimeout = b.Duration("connect_within", 200*ms, ms, time.Minute)
	w.GroupCost = b.Number("group_cost", 0, 0, 100)
	w.ShedBacklog = b.Duration("sheds", 0, 0, time.Minute)
	w.MovesClients = b.Bool("sends_away", true)
	w.ListDelay = b.DurationRange("notice", [2]time.Duration{200 * ms, s}, time.Minute)
	w.DetectionDelay = b.DurationRange("silent_notice", [2]time.Duration{s, 3 * s}, time.Minute)
	w.ClientDelay, w.ZoneDelay, w.CrossZoneDelay = b.Duration("client_way", ms/2, 0, s), b.Duration("near_way", ms/5, 0, s), b.Duration("cross_way", ms, 0, s)
	limit, goal := b.Duration("outer_limit", 1800*ms, 10*ms, time.Minute), b.Duration("setup_goal", 300*ms, ms, time.Minute)
	d := &w.Deployment
	d.MaxAttempts = b.Int("tries", 6, 1, 100)
	probes := b.String("probes", "report", "none", "ping", "report")
	d.CanHealthCheck, d.HasLoadReports = probes != "none", probes == "report"
	d.MaxRetryAfter = b.Duration("advice", s, 0, time.Minute)
	d.CanSendRetryAfter = d.MaxRetryAfter > 0
	d.CrossZoneCost = b.Number("crossing_price", 0.02, 0, 1)
	if in := b.Single("warmup", false); in != nil {
		u := r.Block("warmup", in.Body, in.DefRange, "from for multiple within")
		w.Warmup = model.Warmup{Floor: u.Fraction("from", 0.2), Window: u.Duration("for", 20*s, ms, time.Hour),
			OverloadMultiple: u.Number("multiple", 3, 1, 1000), OverloadWindow: u.Duration("within", 1500*ms, ms, time.Minute)}
	} else {
		w.Warmup = model.Warmup{Floor: 0.2, Window: 20 * s, OverloadMultiple: 3, OverloadWindow: 1500 * ms}
	}
	d.SlowStartFloor, d.SlowStartWindow, d.OverloadMultiple, d.OverloadWindow = w.Warmup.Floor, w.Warmup.Window, w.Warmup.OverloadMultiple, w.Warmup.OverloadWindow
	if in := b.Single("store", false); in != nil {
		u := r.Block("store", in.Body, in.DefRange, "rate time wait")
		u.Require("rate")
		w.Store = model.Store{Rate: u.Number("rate", 100, 0.001, 1e9), Time: u.Duration("time", 5*ms, 0, time.Minute),
			Wait: u.Duration("wait", s, 0, time.Minute)}
	}
	if in := b.Single("fleet", false); in != nil {
		u := r.Block("fleet", in.Body, in.DefRange, "copies")
		w.ReplicationFactor = u.Int("copies", 3, 1, 7)
		if x.Mode == Virtual {
			r.Errorf(in.DefRange, "world: a fleet has no meaning in virtual time")
		}
	}
	w.Limits = r.limits(b, topology.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024})
	r.grades(x, b, limit, goal)
	for _, in := range b.Blocks["server"] {
		u := r.Block("server", in.Body, in.DefRange, "count cores speed fills most setup message")
		u.Require("count")
		k := model.MachineType{Name: in.Labels[0], Cores: u.Int("cores", 2, 1, 1024), Speed: u.Number("speed", 1, 0.01, 100),
			SessionsPerCore: u.Int("fills", 30, 1, 1000000), Setup: u.Duration("setup", 8*ms, 0, s), Message: u.Duration("message", 10*ms, 0, s)}
		k.MaxSessions = u.Int("most", 4*k.Cores*k.SessionsPerCore, 1, 100000000)
		for range u.Int("count", 1, 1, x.bound(mostSocketServers, mostServers)) {
			i := len(w.Machines)
			if i > x.bound(mostSocketServers, mostServers) {
				break // one too many is said once, below
			}
			w.Machines = append(w.Machines, topology.Machine{Type: k, Zone: i % w.Zones, FailureDomain: i % w.Zones * cells / w.Zones})
		}
	}
	if most := x.bound(mostSocketServers, mostServers); len(w.Machines) == 0 || len(w.Machines) > most {
		r.Errorf(in.DefRange, "world: wants 1 to %d servers (blocks \"server\"), has %d", most, len(w.Machines))
	}
}

// limits reads a block of limits if there is one; limits that it lacks stay as they are.
func (r reader) limits(b *hclconfig.Block, l topology.Limits) topology.Limits {
	in := b.Single("limits", false)
	if in == nil {
		return l
	}
	u := r.Block("limits", in.Body, in.DefRange, "cores memory_mb sockets")
	return topology.Limits{Cores: u.Number("cores", l.Cores, 0.01, 64), MemoryMB: u.Int("memory_mb", l.MemoryMB, 16, 1<<20),
		Sockets: u.Int("sockets", l.Sockets, 64, 1<<20)}
}

func (r reader) grades(x *Experiment, b *hclconfig.Block, limit, goal time.Duration) {
	const ms = time.Millisecond
	w := &x.World
	for _, in := range b.Blocks["grade"] {
		u := r.Block("grade", in.Body, in.DefRange, "effect scope window outer_limit setup_goal utility")
		if slices.Contains(w.ClassNames, in.Labels[0]) {
			r.Errorf(in.DefRange, "grade %q stands twice", in.Labels[0])
		}
		g := policy.Class{
			Idempotency:    effects[u.String("effect", "idempotent", slices.Sorted(maps.Keys(effects))...)],
			KeyScope:       scopes[u.String("scope", "all", slices.Sorted(maps.Keys(scopes))...)],
			KeyTTL:         u.Duration("window", 5*time.Second, 0, time.Hour),
			SetupObjective: u.Duration("setup_goal", goal, ms, time.Minute), MessageObjective: w.MessageObjective,
			PriorityWeight: u.Number("utility", 1, 0, 1e6),
		}
		outer := u.Duration("outer_limit", limit, 10*ms, time.Minute)
		if outer < g.SetupObjective {
			r.Errorf(in.DefRange, "grade %q: the outer limit %v is shorter than the set-up goal %v", in.Labels[0], outer, g.SetupObjective)
		}
		w.ClassNames, w.Deadlines = append(w.ClassNames, in.Labels[0]), append(w.Deadlines, outer)
		w.Deployment.Classes = append(w.Deployment.Classes, g)
	}
	if len(w.ClassNames) > 0 {
		return
	}
	if limit < goal {
		r.Errorf(b.Range, "world: the outer limit %v is shorter than the set-up goal %v", limit, goal)
	}
	w.ClassNames, w.Deadlines = []string{"feed"}, []time.Duration{limit}
	w.Deployment.Classes = []policy.Class{{SetupObjective: goal, MessageObjective: w.MessageObjective, PriorityWeight: 1}}
}

func (r reader) load(x *Experiment, in *hcl.Block, length time.Duration) {
	b := r.Block("load", in.Body, in.DefRange, "shape rate standing fill life groups spread wait wait_most move break",
		hcl.BlockHeaderSchema{Type: "burst"})
	b.Require("life")
	const ms, s = time.Millisecond, time.Second
	most := x.bound(mostSocketClients, mostClients)
	p := &x.World.Load
	*p = load.Plan{
		Shape: load.Shape(b.String("shape", string(load.Poisson), string(load.Poisson), string(load.Constant))),
		Rate:  b.Number("rate", 0, 0, 1e6), Standing: b.Int("standing", 0, 0, most), WarmupTime: b.Duration("fill", 0, 0, longestRun),
		MeanLifetime: b.Duration("life", 20*s, ms, 24*time.Hour), Groups: b.Int("groups", 0, 0, 10000000), Loads: b.Number("spread", 0, 0, 3),
		Classes: len(x.World.ClassNames), Length: length,
	}
	for _, in := range b.Blocks["burst"] {
		u := r.Block("burst", in.Body, in.DefRange, "at for times")
		u.Require("at", "for", "times")
		p.Bursts = append(p.Bursts, load.Burst{At: u.Duration("at", 0, 0, length), For: u.Duration("for", s, ms, length), Factor: u.Number("times", 2, 0, 1000)})
	}
	if p.WarmupTime >= length {
		r.Errorf(in.DefRange, "load: nothing is left to measure: fill %v of a length of %v", p.WarmupTime, length)
	}
	if p.Standing > 0 && p.WarmupTime == 0 {
		r.Errorf(in.DefRange, "load: standing clients want a time to come in: fill")
	}
	if p.Standing == 0 && p.Rate == 0 {
		r.Errorf(in.DefRange, "load: nobody comes: neither standing nor rate")
	}
	if all := p.Rate * (length - p.WarmupTime).Seconds(); all > float64(most) {
		r.Errorf(in.DefRange, "load: %.0f clients are more than the %d that can be run", all, most)
	}
	x.World.Retry = load.RetryPolicy{Backoff: b.Duration("wait", 100*ms, 0, time.Minute), MaxDelay: b.Duration("wait_most", 2*s, 0, time.Hour),
		MoveDelay: b.Duration("move", 100*ms, 0, time.Minute), BreakDelay: b.Duration("break", 300*ms, 0, time.Minute)}
}

func (r reader) fault(x *Experiment, in *hcl.Block, length time.Duration) {
	names := make([]string, 0, len(faults.Kinds))
	for k := range faults.Kinds {
		names = append(names, string(k))
	}
	slices.Sort(names)
	kind := faults.Kind(in.Labels[0])
	wants, known := faults.Kinds[kind]
	if !known {
		r.Errorf(in.LabelRanges[0], "fault %q is none of %s%s", kind, strings.Join(names, ", "), hclconfig.Suggestion(string(kind), names))
		return
	}
	if x.Mode == Virtual && faults.SocketsOnly(kind) {
		r.Errorf(in.LabelRanges[0], "fault %q has no meaning in virtual time", kind)
	}
	if faults.BetweenMembers(kind) && x.World.ReplicationFactor == 0 {
		r.Errorf(in.LabelRanges[0], "fault %q wants a fleet: a block \"fleet\" in the world", kind)
	}
	b := r.Block(fmt.Sprintf("fault %q", kind), in.Body, in.DefRange, "at for part batch drain times rate late ways")
	b.Require(append([]string{"at"}, wants...)...)
	f := faults.Fault{Kind: kind, At: b.Duration("at", 0, 0, length), For: b.Duration("for", 0, 0, longestRun), Part: b.Fraction("part", 0),
		Batch: b.Fraction("batch", 0.2), Drain: b.Duration("drain", 4*time.Second, 0, time.Minute), Times: b.Number("times", 1, 1, 10000),
		Rate: b.Number("rate", 0, 0, 10000), Late: b.Duration("late", 0, 0, time.Minute),
		Ways: b.String("ways", "both", "both", "in", "out")}
	if slices.Contains([]faults.Kind{faults.MembersLossy, faults.MembersReorder}, kind) && f.Rate > 1 {
		r.Errorf(in.DefRange, "fault %q: rate is a share of what passes, 1 at most", kind)
	}
	if kind == faults.Errors && f.Rate > 1 {
		r.Errorf(in.DefRange, "fault %q: rate is a share of the set-ups, 1 at most", kind)
	}
	x.World.Faults = append(x.World.Faults, f)
}

func (r reader) arms(x *Experiment, top *hclconfig.Block) {
	for _, in := range top.Blocks["arm"] {
		b := r.Block("arm", in.Body, in.DefRange, "policy binary broken env", hcl.BlockHeaderSchema{Type: "limits"})
		a := Arm{Name: in.Labels[0], Policy: b.String("policy", "", baseline.Names...), Binary: b.String("binary", ""), Broken: b.String("broken", "", Breaks...)}
		if env := b.String("env", ""); env != "" {
			a.Env = strings.Fields(env)
		}
		a.Limits = r.limits(b, x.World.Limits)
		told := 0
		for _, s := range []string{a.Policy, a.Binary, a.Broken} {
			if s != "" {
				told++
			}
		}
		if told > 1 {
			r.Errorf(in.DefRange, "arm %q: policy, binary and broken rule each other out", a.Name)
		}
		if x.Mode == Virtual && (a.Binary != "" || a.Broken != "" || len(a.Env) > 0) {
			r.Errorf(in.DefRange, "arm %q: in virtual time there are only policies", a.Name)
		}
		if x.Mode == Virtual && a.Policy == "" {
			a.Policy = baseline.Ours
		}
		if slices.ContainsFunc(x.Arms, func(o Arm) bool { return o.Name == a.Name }) {
			r.Errorf(in.DefRange, "arm %q stands twice", a.Name)
		}
		x.Arms = append(x.Arms, a)
	}
	if len(x.Arms) == 0 {
		x.Arms = []Arm{{Name: "ours", Limits: x.World.Limits}}
		if x.Mode == Virtual {
			x.Arms[0].Policy = baseline.Ours
		}
	}
}
