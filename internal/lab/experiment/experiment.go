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
	Policy string // a policy behind the lab's own host; empty where a program is told
	Binary string // a build of the balancer, on sockets; empty: the one beside the lab
	Broken string // a fault of the lab's own balancer, on sockets
	Env    []string
	Limits topology.Limits // of its balancers; the world's where the arm tells none
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
	body := r.File(text, path)
	if body == nil {
		return nil, r.Faults
	}
	top := r.Open("the file", body, hclconfig.Start(path), "", hcl.BlockHeaderSchema{Type: "experiment"}, hcl.BlockHeaderSchema{Type: "world"},
		hcl.BlockHeaderSchema{Type: "load"}, hcl.BlockHeaderSchema{Type: "fault", LabelNames: []string{"kind"}},
		hcl.BlockHeaderSchema{Type: "arm", LabelNames: []string{"name"}})
	x := &Experiment{Name: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))}
	head, world, people := top.Only("experiment", true), top.Only("world", true), top.Only("load", true)
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
	for _, b := range top.In["fault"] {
		r.fault(x, b, length)
	}
	r.arms(x, top)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return x, nil
}

func (r reader) head(x *Experiment, in *hcl.Block) time.Duration {
	b := r.Open("experiment", in.Body, in.DefRange, "title mode length seeds")
	b.Must("mode", "length")
	x.Title = b.Text("title", x.Name)
	x.Mode = b.Text("mode", Sockets, Sockets, Virtual)
	x.Seeds = b.Numbers("seeds", []uint64{1}, 100)
	return b.Span("length", 30*time.Second, time.Second, longestRun)
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
	b := r.Open("world", in.Body, in.DefRange, "balancers zones cells drain_grace message_goal message_each outer_limit setup_goal "+
		"connect_within tries probes advice crossing_price group_cost sheds sends_away notice silent_notice client_way near_way cross_way",
		hcl.BlockHeaderSchema{Type: "warmup"}, hcl.BlockHeaderSchema{Type: "store"}, hcl.BlockHeaderSchema{Type: "fleet"}, hcl.BlockHeaderSchema{Type: "limits"},
		hcl.BlockHeaderSchema{Type: "server", LabelNames: []string{"kind"}}, hcl.BlockHeaderSchema{Type: "grade", LabelNames: []string{"name"}})
	const ms, s = time.Millisecond, time.Second
	w := &x.World
	w.Balancers = b.Whole("balancers", 1, 1, x.bound(mostSocketBalancers, mostBalancers))
	w.Zones = b.Whole("zones", 1, 1, 64)
	cells := b.Whole("cells", 1, 1, 1000)
	w.DrainGrace = b.Span("drain_grace", 750*ms, 0, time.Minute)
	w.MessageObjective = b.Span("message_goal", 250*ms, ms, time.Minute)
	w.MessageInterval = b.Span("message_each", s, 5*ms, time.Minute)
	w.ConnectTimeout = b.Span("connect_within", 200*ms, ms, time.Minute)
	w.GroupCost = b.Number("group_cost", 0, 0, 100)
	w.ShedBacklog = b.Span("sheds", 0, 0, time.Minute)
	w.MovesClients = b.Yes("sends_away", true)
	w.ListDelay = b.Spans("notice", [2]time.Duration{200 * ms, s}, time.Minute)
	w.DetectionDelay = b.Spans("silent_notice", [2]time.Duration{s, 3 * s}, time.Minute)
	w.ClientDelay, w.ZoneDelay, w.CrossZoneDelay = b.Span("client_way", ms/2, 0, s), b.Span("near_way", ms/5, 0, s), b.Span("cross_way", ms, 0, s)
	limit, goal := b.Span("outer_limit", 1800*ms, 10*ms, time.Minute), b.Span("setup_goal", 300*ms, ms, time.Minute)
	d := &w.Deployment
	d.MaxAttempts = b.Whole("tries", 6, 1, 100)
	probes := b.Text("probes", "report", "none", "ping", "report")
	d.CanHealthCheck, d.HasLoadReports = probes != "none", probes == "report"
	d.MaxRetryAfter = b.Span("advice", s, 0, time.Minute)
	d.CanSendRetryAfter = d.MaxRetryAfter > 0
	d.CrossZoneCost = b.Number("crossing_price", 0.02, 0, 1)
	if in := b.Only("warmup", false); in != nil {
		u := r.Open("warmup", in.Body, in.DefRange, "from for multiple within")
		w.Warmup = model.Warmup{Floor: u.Share("from", 0.2), Window: u.Span("for", 20*s, ms, time.Hour),
			OverloadMultiple: u.Number("multiple", 3, 1, 1000), OverloadWindow: u.Span("within", 1500*ms, ms, time.Minute)}
	} else {
		w.Warmup = model.Warmup{Floor: 0.2, Window: 20 * s, OverloadMultiple: 3, OverloadWindow: 1500 * ms}
	}
	d.SlowStartFloor, d.SlowStartWindow, d.OverloadMultiple, d.OverloadWindow = w.Warmup.Floor, w.Warmup.Window, w.Warmup.OverloadMultiple, w.Warmup.OverloadWindow
	if in := b.Only("store", false); in != nil {
		u := r.Open("store", in.Body, in.DefRange, "rate time wait")
		u.Must("rate")
		w.Store = model.Store{Rate: u.Number("rate", 100, 0.001, 1e9), Time: u.Span("time", 5*ms, 0, time.Minute),
			Wait: u.Span("wait", s, 0, time.Minute)}
	}
	if in := b.Only("fleet", false); in != nil {
		u := r.Open("fleet", in.Body, in.DefRange, "copies")
		w.ReplicationFactor = u.Whole("copies", 3, 1, 7)
		if x.Mode == Virtual {
			r.At(in.DefRange, "world: a fleet has no meaning in virtual time")
		}
	}
	w.Limits = r.limits(b, topology.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024})
	r.grades(x, b, limit, goal)
	for _, in := range b.In["server"] {
		u := r.Open("server", in.Body, in.DefRange, "count cores speed fills most setup message")
		u.Must("count")
		k := model.MachineType{Name: in.Labels[0], Cores: u.Whole("cores", 2, 1, 1024), Speed: u.Number("speed", 1, 0.01, 100),
			SessionsPerCore: u.Whole("fills", 30, 1, 1000000), Setup: u.Span("setup", 8*ms, 0, s), Message: u.Span("message", 10*ms, 0, s)}
		k.MaxSessions = u.Whole("most", 4*k.Cores*k.SessionsPerCore, 1, 100000000)
		for range u.Whole("count", 1, 1, x.bound(mostSocketServers, mostServers)) {
			i := len(w.Machines)
			if i > x.bound(mostSocketServers, mostServers) {
				break // one too many is said once, below
			}
			w.Machines = append(w.Machines, topology.Machine{Type: k, Zone: i % w.Zones, FailureDomain: i % w.Zones * cells / w.Zones})
		}
	}
	if most := x.bound(mostSocketServers, mostServers); len(w.Machines) == 0 || len(w.Machines) > most {
		r.At(in.DefRange, "world: wants 1 to %d servers (blocks \"server\"), has %d", most, len(w.Machines))
	}
}

// limits reads a block of limits, where there is one; what it does not tell stays as it is.
func (r reader) limits(b *hclconfig.Block, l topology.Limits) topology.Limits {
	in := b.Only("limits", false)
	if in == nil {
		return l
	}
	u := r.Open("limits", in.Body, in.DefRange, "cores memory_mb sockets")
	return topology.Limits{Cores: u.Number("cores", l.Cores, 0.01, 64), MemoryMB: u.Whole("memory_mb", l.MemoryMB, 16, 1<<20),
		Sockets: u.Whole("sockets", l.Sockets, 64, 1<<20)}
}

func (r reader) grades(x *Experiment, b *hclconfig.Block, limit, goal time.Duration) {
	const ms = time.Millisecond
	w := &x.World
	for _, in := range b.In["grade"] {
		u := r.Open("grade", in.Body, in.DefRange, "effect scope window outer_limit setup_goal utility")
		if slices.Contains(w.ClassNames, in.Labels[0]) {
			r.At(in.DefRange, "grade %q stands twice", in.Labels[0])
		}
		g := policy.Class{
			Idempotency:    effects[u.Text("effect", "idempotent", slices.Sorted(maps.Keys(effects))...)],
			KeyScope:       scopes[u.Text("scope", "all", slices.Sorted(maps.Keys(scopes))...)],
			KeyTTL:         u.Span("window", 5*time.Second, 0, time.Hour),
			SetupObjective: u.Span("setup_goal", goal, ms, time.Minute), MessageObjective: w.MessageObjective,
			PriorityWeight: u.Number("utility", 1, 0, 1e6),
		}
		outer := u.Span("outer_limit", limit, 10*ms, time.Minute)
		if outer < g.SetupObjective {
			r.At(in.DefRange, "grade %q: the outer limit %v is shorter than the set-up goal %v", in.Labels[0], outer, g.SetupObjective)
		}
		w.ClassNames, w.Deadlines = append(w.ClassNames, in.Labels[0]), append(w.Deadlines, outer)
		w.Deployment.Classes = append(w.Deployment.Classes, g)
	}
	if len(w.ClassNames) > 0 {
		return
	}
	if limit < goal {
		r.At(b.Where, "world: the outer limit %v is shorter than the set-up goal %v", limit, goal)
	}
	w.ClassNames, w.Deadlines = []string{"feed"}, []time.Duration{limit}
	w.Deployment.Classes = []policy.Class{{SetupObjective: goal, MessageObjective: w.MessageObjective, PriorityWeight: 1}}
}

func (r reader) load(x *Experiment, in *hcl.Block, length time.Duration) {
	b := r.Open("load", in.Body, in.DefRange, "shape rate standing fill life groups spread wait wait_most move break",
		hcl.BlockHeaderSchema{Type: "burst"})
	b.Must("life")
	const ms, s = time.Millisecond, time.Second
	most := x.bound(mostSocketClients, mostClients)
	p := &x.World.Load
	*p = load.Plan{
		Shape: load.Shape(b.Text("shape", string(load.Poisson), string(load.Poisson), string(load.Constant))),
		Rate:  b.Number("rate", 0, 0, 1e6), Standing: b.Whole("standing", 0, 0, most), WarmupTime: b.Span("fill", 0, 0, longestRun),
		MeanLifetime: b.Span("life", 20*s, ms, 24*time.Hour), Groups: b.Whole("groups", 0, 0, 10000000), Loads: b.Number("spread", 0, 0, 3),
		Classes: len(x.World.ClassNames), Length: length,
	}
	for _, in := range b.In["burst"] {
		u := r.Open("burst", in.Body, in.DefRange, "at for times")
		u.Must("at", "for", "times")
		p.Bursts = append(p.Bursts, load.Burst{At: u.Span("at", 0, 0, length), For: u.Span("for", s, ms, length), Factor: u.Number("times", 2, 0, 1000)})
	}
	if p.WarmupTime >= length {
		r.At(in.DefRange, "load: nothing is left to measure: fill %v of a length of %v", p.WarmupTime, length)
	}
	if p.Standing > 0 && p.WarmupTime == 0 {
		r.At(in.DefRange, "load: standing clients want a time to come in: fill")
	}
	if p.Standing == 0 && p.Rate == 0 {
		r.At(in.DefRange, "load: nobody comes: neither standing nor rate")
	}
	if all := p.Rate * (length - p.WarmupTime).Seconds(); all > float64(most) {
		r.At(in.DefRange, "load: %.0f clients are more than the %d that can be run", all, most)
	}
	x.World.Retry = load.RetryPolicy{Backoff: b.Span("wait", 100*ms, 0, time.Minute), MaxDelay: b.Span("wait_most", 2*s, 0, time.Hour),
		MoveDelay: b.Span("move", 100*ms, 0, time.Minute), BreakDelay: b.Span("break", 300*ms, 0, time.Minute)}
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
		r.At(in.LabelRanges[0], "fault %q is none of %s%s", kind, strings.Join(names, ", "), hclconfig.Nearest(string(kind), names))
		return
	}
	if x.Mode == Virtual && faults.SocketsOnly(kind) {
		r.At(in.LabelRanges[0], "fault %q has no meaning in virtual time", kind)
	}
	if faults.BetweenMembers(kind) && x.World.ReplicationFactor == 0 {
		r.At(in.LabelRanges[0], "fault %q wants a fleet: a block \"fleet\" in the world", kind)
	}
	b := r.Open(fmt.Sprintf("fault %q", kind), in.Body, in.DefRange, "at for part batch drain times rate late ways")
	b.Must(append([]string{"at"}, wants...)...)
	f := faults.Fault{Kind: kind, At: b.Span("at", 0, 0, length), For: b.Span("for", 0, 0, longestRun), Part: b.Share("part", 0),
		Batch: b.Share("batch", 0.2), Drain: b.Span("drain", 4*time.Second, 0, time.Minute), Times: b.Number("times", 1, 1, 10000),
		Rate: b.Number("rate", 0, 0, 10000), Late: b.Span("late", 0, 0, time.Minute),
		Ways: b.Text("ways", "both", "both", "in", "out")}
	if slices.Contains([]faults.Kind{faults.MembersLossy, faults.MembersReorder}, kind) && f.Rate > 1 {
		r.At(in.DefRange, "fault %q: rate is a share of what passes, 1 at most", kind)
	}
	if kind == faults.Errors && f.Rate > 1 {
		r.At(in.DefRange, "fault %q: rate is a share of the set-ups, 1 at most", kind)
	}
	x.World.Faults = append(x.World.Faults, f)
}

func (r reader) arms(x *Experiment, top *hclconfig.Block) {
	for _, in := range top.In["arm"] {
		b := r.Open("arm", in.Body, in.DefRange, "policy binary broken env", hcl.BlockHeaderSchema{Type: "limits"})
		a := Arm{Name: in.Labels[0], Policy: b.Text("policy", "", baseline.Names...), Binary: b.Text("binary", ""), Broken: b.Text("broken", "", Breaks...)}
		if env := b.Text("env", ""); env != "" {
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
			r.At(in.DefRange, "arm %q: policy, binary and broken rule each other out", a.Name)
		}
		if x.Mode == Virtual && (a.Binary != "" || a.Broken != "" || len(a.Env) > 0) {
			r.At(in.DefRange, "arm %q: in virtual time there are only policies", a.Name)
		}
		if x.Mode == Virtual && a.Policy == "" {
			a.Policy = baseline.Ours
		}
		if slices.ContainsFunc(x.Arms, func(o Arm) bool { return o.Name == a.Name }) {
			r.At(in.DefRange, "arm %q stands twice", a.Name)
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
