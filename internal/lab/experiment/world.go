// This file reads the world of an experiment: its balancers, servers and service classes, and how they behave.

package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/model"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

// Limits of the numbers of zones and failure domains.
const (
	maxZones          = 64
	maxFailureDomains = 1000
)

// Values of "probes".
const (
	probesNone   = "none"   // no health checks
	probesPing   = "ping"   // health checks without load reports
	probesReport = "report" // health checks with load reports
)

// idempotencies and keyScopes map the values of "effect" and "scope" to the policy's values.
var (
	idempotencies = map[string]policy.Idempotency{
		"idempotent":   policy.Idempotent,
		"deduplicated": policy.IdempotentWithKey,
		"unrepeatable": policy.NonIdempotent,
	}
	keyScopes = map[string]policy.KeyScope{
		"all":  policy.KeyScopeAll,
		"zone": policy.KeyScopeZone,
		"cell": policy.KeyScopeFailureDomain,
	}
)

// classDefaults are the values for classes that do not set them.
type classDefaults struct {
	deadline       time.Duration
	setupObjective time.Duration
}

// readWorld reads the block "world".
func (r *reader) readWorld(in *hcl.Block) {
	b := r.Block("world", in.Body, in.DefRange, "balancers zones cells drain_grace message_goal message_each outer_limit setup_goal "+
		"connect_within tries probes advice crossing_price group_cost sheds sends_away notice silent_notice client_way near_way cross_way",
		hcl.BlockHeaderSchema{Type: "warmup"},
		hcl.BlockHeaderSchema{Type: "store"},
		hcl.BlockHeaderSchema{Type: "fleet"},
		hcl.BlockHeaderSchema{Type: "limits"},
		hcl.BlockHeaderSchema{Type: "server", LabelNames: []string{"kind"}},
		hcl.BlockHeaderSchema{Type: "grade", LabelNames: []string{"name"}})
	w := &r.experiment.World
	w.Balancers = b.Int("balancers", 1, 1, r.limit(maxSocketBalancers, maxVirtualBalancers))
	w.Zones = b.Int("zones", 1, 1, maxZones)
	failureDomains := b.Int("cells", 1, 1, maxFailureDomains)
	r.readBehavior(b)
	defaults := classDefaults{
		deadline:       b.Duration("outer_limit", 1800*time.Millisecond, 10*time.Millisecond, time.Minute),
		setupObjective: b.Duration("setup_goal", 300*time.Millisecond, time.Millisecond, time.Minute),
	}
	r.readDeployment(b)
	r.readWarmup(b)
	r.readStore(b)
	r.readFleet(b)
	w.Limits = r.readLimits(b, topology.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024})
	r.readClasses(b, defaults)
	for _, server := range b.Blocks["server"] {
		r.readServers(server, failureDomains)
	}
	if limit := r.limit(maxSocketServers, maxVirtualServers); len(w.Machines) == 0 || len(w.Machines) > limit {
		r.Errorf(in.DefRange, "world: wants 1 to %d servers (blocks \"server\"), has %d", limit, len(w.Machines))
	}
}

// readBehavior reads how servers, clients and the network behave.
func (r *reader) readBehavior(b *hclconfig.Block) {
	const ms, s = time.Millisecond, time.Second
	w := &r.experiment.World
	w.DrainGrace = b.Duration("drain_grace", 750*ms, 0, time.Minute)
	w.MessageObjective = b.Duration("message_goal", 250*ms, ms, time.Minute)
	w.MessageInterval = b.Duration("message_each", s, 5*ms, time.Minute)
	w.ConnectTimeout = b.Duration("connect_within", 200*ms, ms, time.Minute)
	w.GroupCost = b.Number("group_cost", 0, 0, 100)
	w.ShedBacklog = b.Duration("sheds", 0, 0, time.Minute)
	w.MovesClients = b.Bool("sends_away", true)
	w.ListDelay = b.DurationRange("notice", [2]time.Duration{200 * ms, s}, time.Minute)
	w.DetectionDelay = b.DurationRange("silent_notice", [2]time.Duration{s, 3 * s}, time.Minute)
	w.ClientDelay = b.Duration("client_way", ms/2, 0, s)
	w.ZoneDelay = b.Duration("near_way", ms/5, 0, s)
	w.CrossZoneDelay = b.Duration("cross_way", ms, 0, s)
}

// readDeployment reads the configuration of the policy, except for classes and slow start.
func (r *reader) readDeployment(b *hclconfig.Block) {
	d := &r.experiment.World.Deployment
	d.MaxAttempts = b.Int("tries", 6, 1, 100)
	probes := b.String("probes", probesReport, probesNone, probesPing, probesReport)
	d.CanHealthCheck = probes != probesNone
	d.HasLoadReports = probes == probesReport
	d.MaxRetryAfter = b.Duration("advice", time.Second, 0, time.Minute)
	d.CanSendRetryAfter = d.MaxRetryAfter > 0
	d.CrossZoneCost = b.Number("crossing_price", 0.02, 0, 1)
}

// readWarmup reads how servers warm up. The policy gets the same values for its slow start.
func (r *reader) readWarmup(b *hclconfig.Block) {
	w := &r.experiment.World
	w.Warmup = model.Warmup{
		Floor:            0.2,
		Window:           20 * time.Second,
		OverloadMultiple: 3,
		OverloadWindow:   1500 * time.Millisecond,
	}
	if in := b.Single("warmup", false); in != nil {
		warmup := r.Block("warmup", in.Body, in.DefRange, "from for multiple within")
		w.Warmup = model.Warmup{
			Floor:            warmup.Fraction("from", w.Warmup.Floor),
			Window:           warmup.Duration("for", w.Warmup.Window, time.Millisecond, time.Hour),
			OverloadMultiple: warmup.Number("multiple", w.Warmup.OverloadMultiple, 1, 1000),
			OverloadWindow:   warmup.Duration("within", w.Warmup.OverloadWindow, time.Millisecond, time.Minute),
		}
	}
	d := &w.Deployment
	d.SlowStartFloor = w.Warmup.Floor
	d.SlowStartWindow = w.Warmup.Window
	d.OverloadMultiple = w.Warmup.OverloadMultiple
	d.OverloadWindow = w.Warmup.OverloadWindow
}

// readStore reads the block "store" if there is one: the store that all servers share.
func (r *reader) readStore(b *hclconfig.Block) {
	in := b.Single("store", false)
	if in == nil {
		return
	}
	store := r.Block("store", in.Body, in.DefRange, "rate time wait")
	store.Require("rate")
	r.experiment.World.Store = model.Store{
		Rate: store.Number("rate", 100, 0.001, 1e9),
		Time: store.Duration("time", 5*time.Millisecond, 0, time.Minute),
		Wait: store.Duration("wait", time.Second, 0, time.Minute),
	}
}

// readFleet reads the block "fleet" if there is one: the balancers are then members of a fleet.
func (r *reader) readFleet(b *hclconfig.Block) {
	in := b.Single("fleet", false)
	if in == nil {
		return
	}
	fleet := r.Block("fleet", in.Body, in.DefRange, "copies")
	r.experiment.World.ReplicationFactor = fleet.Int("copies", 3, 1, 7)
	if r.isVirtual() {
		r.Errorf(in.DefRange, "world: a fleet is not supported in virtual time")
	}
}

// readLimits reads the block "limits" if there is one. Limits that it does not set are taken from defaults.
func (r *reader) readLimits(b *hclconfig.Block, defaults topology.Limits) topology.Limits {
	in := b.Single("limits", false)
	if in == nil {
		return defaults
	}
	limits := r.Block("limits", in.Body, in.DefRange, "cores memory_mb sockets")
	return topology.Limits{
		Cores:    limits.Number("cores", defaults.Cores, 0.01, 64),
		MemoryMB: limits.Int("memory_mb", defaults.MemoryMB, 16, 1<<20),
		Sockets:  limits.Int("sockets", defaults.Sockets, 64, 1<<20),
	}
}

// readServers reads a block "server": a number of servers of one machine type, which are assigned to the zones in turn.
func (r *reader) readServers(in *hcl.Block, failureDomains int) {
	b := r.Block("server", in.Body, in.DefRange, "count cores speed fills most setup message")
	b.Require("count")
	machineType := model.MachineType{
		Name:            in.Labels[0],
		Cores:           b.Int("cores", 2, 1, 1024),
		Speed:           b.Number("speed", 1, 0.01, 100),
		SessionsPerCore: b.Int("fills", 30, 1, 1000000),
		Setup:           b.Duration("setup", 8*time.Millisecond, 0, time.Second),
		Message:         b.Duration("message", 10*time.Millisecond, 0, time.Second),
	}
	machineType.MaxSessions = b.Int("most", 4*machineType.Cores*machineType.SessionsPerCore, 1, 100000000)
	w := &r.experiment.World
	limit := r.limit(maxSocketServers, maxVirtualServers)
	for range b.Int("count", 1, 1, limit) {
		index := len(w.Machines)
		if index > limit {
			break // readWorld reports that there are too many
		}
		zone := index % w.Zones
		w.Machines = append(w.Machines, topology.Machine{Type: machineType, Zone: zone, FailureDomain: zone * failureDomains / w.Zones})
	}
}

// readClasses reads the service classes. If there are none, it adds one with the defaults.
func (r *reader) readClasses(b *hclconfig.Block, defaults classDefaults) {
	w := &r.experiment.World
	for _, in := range b.Blocks["grade"] {
		r.readClass(in, defaults)
	}
	if len(w.ClassNames) > 0 {
		return
	}
	if defaults.deadline < defaults.setupObjective {
		r.Errorf(b.Range, "world: the outer limit %v is shorter than the set-up goal %v", defaults.deadline, defaults.setupObjective)
	}
	w.ClassNames = []string{"feed"}
	w.Deadlines = []time.Duration{defaults.deadline}
	w.Deployment.Classes = []policy.Class{{
		SetupObjective:   defaults.setupObjective,
		MessageObjective: w.MessageObjective,
		PriorityWeight:   1,
	}}
}

// readClass reads a block "grade": a service class.
func (r *reader) readClass(in *hcl.Block, defaults classDefaults) {
	w := &r.experiment.World
	name := in.Labels[0]
	b := r.Block("grade", in.Body, in.DefRange, "effect scope window outer_limit setup_goal utility")
	if slices.Contains(w.ClassNames, name) {
		r.Errorf(in.DefRange, "grade %q is declared twice", name)
	}
	class := policy.Class{
		Idempotency:      idempotencies[b.String("effect", "idempotent", slices.Sorted(maps.Keys(idempotencies))...)],
		KeyScope:         keyScopes[b.String("scope", "all", slices.Sorted(maps.Keys(keyScopes))...)],
		KeyTTL:           b.Duration("window", 5*time.Second, 0, time.Hour),
		SetupObjective:   b.Duration("setup_goal", defaults.setupObjective, time.Millisecond, time.Minute),
		MessageObjective: w.MessageObjective,
		PriorityWeight:   b.Number("utility", 1, 0, 1e6),
	}
	deadline := b.Duration("outer_limit", defaults.deadline, 10*time.Millisecond, time.Minute)
	if deadline < class.SetupObjective {
		r.Errorf(in.DefRange, "grade %q: the outer limit %v is shorter than the set-up goal %v", name, deadline, class.SetupObjective)
	}
	w.ClassNames = append(w.ClassNames, name)
	w.Deadlines = append(w.Deadlines, deadline)
	w.Deployment.Classes = append(w.Deployment.Classes, class)
}
