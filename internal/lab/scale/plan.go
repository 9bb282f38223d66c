// Package scale owns the scale test's decisions: where balancers and control processes stand, which changes are due when, which
// faults come when, what counts as in force and as missed, and the verdict. It is pure: the same options give the same plan, the same
// observations the same verdict. It must never start a process, open a socket or read a clock.
package scale

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of faults that a run may have.
const (
	FaultsNone   = "none"
	FaultsDay    = "day"    // an ordinary day's restarts and losses
	FaultsRack   = "rack"   // all that shares a rack is killed and comes back
	FaultsZone   = "zone"   // all of a zone
	FaultsRegion = "region" // the control processes of a region are cut off from the others
)

// Faults are the kinds of faults, as options name them.
var Faults = []string{FaultsNone, FaultsDay, FaultsRack, FaultsZone, FaultsRegion}

const (
	mostBalancers = 10000 // followers that a file may allow a control process
	mostControl   = 64    // a fleet's file names so many seeds
	mostZones     = 64
	mostPerDay    = 50_000_000
	mostBurst     = 10000
	leastFor      = 10 * time.Second
	mostFor       = 24 * time.Hour
	day           = 24 * time.Hour

	// Keys is how many settings the changes go round: changes of one key follow each other, so that order shows.
	Keys       = 64
	leastValue = 100 // bytes of a change's value
	mostValue  = 400

	// An ordinary day of 4,600 balancers, and the least of it in one run, however short.
	dayBalancers = 4600
	dayRestarts  = 1700
	dayLosses    = 30
	leastRestart = 5 // and one in a hundred
	leastLosses  = 2
	dayControl   = 2 // control processes that are lost in one run: one killed, one ended as planned

	restartFor = time.Second     // a balancer's restart
	lostFor    = 5 * time.Second // and a lost one's time until it is replaced
	controlFor = 2 * time.Second // until a control process is started again
	rackOf     = 20              // balancers in a rack

	leastFault = 6 * time.Second // longer than a lease
	mostFault  = 30 * time.Second
)

// Options are the options of a run.
type Options struct {
	Balancers, Control, Zones, Regions int
	PerDay, Burst                      int // changes of configuration: a day, and in one second
	For                                time.Duration
	Seed                               uint64
	Faults                             string
}

// BadArgument is an option that is wrong.
type BadArgument struct{ Flag, What string }

func (b BadArgument) Error() string { return "--" + b.Flag + ": " + b.What }

// Check names the first option that is wrong, as a BadArgument.
func (o *Options) Check() error {
	for _, f := range []struct {
		flag           string
		is, least, max int
	}{{"balancers", o.Balancers, 1, mostBalancers}, {"control", o.Control, 1, mostControl}, {"zones", o.Zones, 1, mostZones},
		{"regions", o.Regions, 1, max(1, o.Zones)}, {"changes-per-day", o.PerDay, 0, mostPerDay}, {"burst", o.Burst, 0, mostBurst}} {
		if f.is < f.least || f.is > f.max {
			return BadArgument{f.flag, fmt.Sprintf("%d lies outside %d to %d", f.is, f.least, f.max)}
		}
	}
	if o.For < leastFor || o.For > mostFor {
		return BadArgument{"for", fmt.Sprintf("%v lies outside %v to %v", o.For, leastFor, mostFor)}
	}
	if !slices.Contains(Faults, o.Faults) {
		return BadArgument{"faults", fmt.Sprintf("%q is none; there are %v", o.Faults, Faults)}
	}
	if o.Faults != FaultsNone && o.Control < 2 {
		return BadArgument{"faults", fmt.Sprintf("%s wants 2 control processes at least", o.Faults)}
	}
	if o.Faults == FaultsZone && o.Zones < 2 {
		return BadArgument{"faults", "zone wants 2 zones at least"}
	}
	if o.Faults == FaultsRegion && o.Regions < 2 {
		return BadArgument{"faults", "region wants 2 regions at least"}
	}
	return nil
}

// Place is where a process stands.
type Place struct {
	Region, Zone int
	Rack         int // within the zone
}

// Change is one change of configuration.
type Change struct {
	Due   time.Duration // when it should be put, since the run's begin
	Key   int           // of Keys
	Bytes int           // of its value
}

// Action is what a step does.
type Action string

// What steps do.
const (
	Kill    Action = "kill"    // control processes, outright
	End     Action = "end"     // control processes, as planned
	Start   Action = "start"   // the same ones again, with their directories
	Cut     Action = "cut"     // the ways between those control processes and all others; balancers reach both
	Heal    Action = "heal"    // these
	Down    Action = "down"    // balancers
	Up      Action = "up"      // balancers, with nothing of what they knew
	ZoneOff Action = "zone"    // all processes of balancers of one zone, outright
	ZoneOn  Action = "zone-on" // anew
)

// Step is one thing of a fault.
type Step struct {
	At     time.Duration
	Action Action
	Who    []int // control processes or balancers; for a zone its number
}

// Plan is all that a run will do.
type Plan struct {
	Options
	Voters   int
	Control  []Place
	Balancer []Place
	Changes  []Change // by time
	Steps    []Step   // by time
	Says     string   // the faults in words
}

// Voters is how many of so many control processes vote.
func Voters(control int) int { return min(5, control-(control+1)%2) }

// NewPlan draws a plan.
func NewPlan(o Options) (*Plan, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	p := &Plan{Options: o, Voters: Voters(o.Control), Control: make([]Place, o.Control), Balancer: make([]Place, o.Balancers)}
	perZone := (o.Balancers + o.Zones - 1) / o.Zones
	racks := (perZone + rackOf - 1) / rackOf
	place := func(i, rack int) Place {
		z := i % o.Zones
		return Place{Region: z % o.Regions, Zone: z, Rack: rack % racks}
	}
	for i := range p.Control {
		p.Control[i] = place(i, i/o.Zones)
	}
	for i := range p.Balancer {
		p.Balancer[i] = place(i, i/o.Zones/rackOf)
	}
	p.changes(rand.New(rand.NewPCG(o.Seed, 1)))
	p.faults(rand.New(rand.NewPCG(o.Seed, 2)))
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p, nil
}

// begins is when a fault that comes once begins; the burst is due while it is on.
func (p *Plan) begins() time.Duration { return p.For * 2 / 5 }

func (p *Plan) changes(rng *rand.Rand) {
	add := func(due time.Duration) {
		p.Changes = append(p.Changes, Change{Due: due, Key: rng.IntN(Keys), Bytes: leastValue + rng.IntN(mostValue-leastValue+1)})
	}
	if p.PerDay > 0 {
		mean := float64(day) / float64(p.PerDay)
		for at := mean * rng.ExpFloat64(); at < float64(p.For); at += mean * rng.ExpFloat64() {
			add(time.Duration(at))
		}
	}
	for i := range p.Burst {
		add(p.begins() + time.Second + time.Second*time.Duration(i)/time.Duration(p.Burst))
	}
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return int(a.Due - b.Due) })
}

func (p *Plan) faults(rng *rand.Rand) {
	at := p.begins()
	long := min(max(p.For/5, leastFault), mostFault)
	which := func(all []Place, is func(Place) bool) (who []int) {
		for i, where := range all {
			if is(where) {
				who = append(who, i)
			}
		}
		return who
	}
	pair := func(off, on Action, from, for_ time.Duration, who []int) {
		if len(who) > 0 {
			p.Steps = append(p.Steps, Step{from, off, who}, Step{from + for_, on, who})
		}
	}
	switch p.Faults {
	case FaultsNone:
		p.Says = "none"
	case FaultsDay:
		scaled := func(aDay, least int) int {
			n := float64(aDay) * float64(p.Balancers) / dayBalancers * float64(p.For) / float64(day)
			return min(p.Balancers, max(least, int(n+0.5)))
		}
		restarts, losses := scaled(dayRestarts, max(leastRestart, p.Balancers/100)), scaled(dayLosses, leastLosses)
		span := float64(p.For - p.For/10 - lostFor) // all are back within the run
		who := rng.Perm(p.Balancers)
		losses = min(losses, p.Balancers-min(restarts, p.Balancers))
		for i, b := range who[:min(restarts+losses, p.Balancers)] {
			long := restartFor
			if i >= restarts {
				long = lostFor
			}
			pair(Down, Up, p.For/10+time.Duration(rng.Float64()*span), long, []int{b})
		}
		for i, c := range rng.Perm(p.Options.Control)[:min(dayControl, p.Options.Control-1)] {
			pair([]Action{Kill, End}[i%2], Start, at+time.Duration(i)*p.For/4, controlFor, []int{c})
		}
		p.Says = fmt.Sprintf("day: %d balancers restart (away %v), %d are lost (away %v), one control process is killed and one ended as planned (away %v each); "+
			"a day's 1,700 and 30 of 4,600 scaled to %v, but %d and %d at least", restarts, restartFor, losses, lostFor, controlFor, p.For,
			min(p.Balancers, max(leastRestart, p.Balancers/100)), leastLosses)
	case FaultsRack:
		of := p.Control[rng.IntN(p.Options.Control)]
		is := func(o Place) bool { return o == of }
		control, balancers := which(p.Control, is), which(p.Balancer, is)
		pair(Kill, Start, at, long, control)
		pair(Down, Up, at, long, balancers)
		p.Says = fmt.Sprintf("rack: %d control processes and %d balancers of zone %d, rack %d, are gone for %v", len(control), len(balancers), of.Zone, of.Rack, long)
	case FaultsZone:
		zone := p.Control[rng.IntN(p.Options.Control)].Zone
		is := func(o Place) bool { return o.Zone == zone }
		control, balancers := which(p.Control, is), which(p.Balancer, is)
		pair(Kill, Start, at, long, control)
		pair(ZoneOff, ZoneOn, at, long, []int{zone})
		p.Says = fmt.Sprintf("zone: %d control processes and %d balancers of zone %d are killed, and back after %v", len(control), len(balancers), zone, long)
	case FaultsRegion:
		region := p.Control[rng.IntN(p.Options.Control)].Region
		control := which(p.Control, func(o Place) bool { return o.Region == region })
		pair(Cut, Heal, at, long, control)
		p.Says = fmt.Sprintf("region: the %d control processes of region %d (%d of them vote) are cut off from the others for %v; balancers reach both sides",
			len(control), region, len(which(p.Control[:p.Voters], func(o Place) bool { return o.Region == region })), long)
	}
}

// LastFault is when the last step is due; 0 where there is none.
func (p *Plan) LastFault() (at time.Duration) {
	for _, s := range p.Steps {
		at = max(at, s.At)
	}
	return at
}

// Hosts deals the balancers out to processes of at most so many, each process with balancers of one zone alone where a zone is to be
// lost whole.
func (p *Plan) Hosts(most int) (hosts [][]int) {
	groups := [][]int{nil}
	if p.Faults == FaultsZone {
		groups = make([][]int, p.Zones)
	}
	for i, where := range p.Balancer {
		g := where.Zone % len(groups)
		groups[g] = append(groups[g], i)
	}
	for _, g := range groups {
		for part := range slices.Chunk(g, most) {
			hosts = append(hosts, part)
		}
	}
	return hosts
}
