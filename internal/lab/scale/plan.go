package scale

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	day = 24 * time.Hour

	// Keys is the number of settings that are changed. It is low, so that changes of the same key follow each other and their order matters.
	Keys = 64

	minValueBytes    = 100 // size of the smallest value that is put
	maxValueBytes    = 400 // size of the largest value that is put
	balancersPerRack = 20
	maxVoters        = 5
)

// Place is the failure domains of a process.
type Place struct {
	Region int
	Zone   int
	Rack   int // number of the rack within the zone
}

// Change is one configuration change.
type Change struct {
	Due   time.Duration // time to put the change, since the start of the run
	Key   int           // number of the setting, less than Keys
	Bytes int           // size of the value
}

// Action is what a step of the fault schedule does.
type Action string

// The actions of steps. The Targets of a step are control processes, balancers or a zone.
const (
	KillControl    Action = "kill"    // kill control processes
	StopControl    Action = "end"     // shut control processes down gracefully
	StartControl   Action = "start"   // start control processes again, with their data
	CutLinks       Action = "cut"     // cut the links between these control processes and all others; balancers reach both sides
	RestoreLinks   Action = "heal"    // restore all links
	StopBalancers  Action = "down"    // stop balancers
	StartBalancers Action = "up"      // start balancers again, without any state
	KillZone       Action = "zone"    // kill all balancer processes of a zone
	StartZone      Action = "zone-on" // start the balancer processes of a zone again
)

// Step is one step of the fault schedule.
type Step struct {
	At      time.Duration // time since the start of the run
	Action  Action
	Targets []int // indices of control processes or of balancers, or the number of a zone
}

// Plan is everything that a run will do: the failure domains of all processes, the changes and the faults.
type Plan struct {
	Options
	Voters           int // number of control processes that vote: the first ones
	ControlPlaces    []Place
	BalancerPlaces   []Place
	Changes          []Change // changes in order of time
	Steps            []Step   // fault schedule in order of time
	FaultDescription string   // description of the faults
}

// Voters returns the number of voters among control processes: it is odd, and five at most.
func Voters(control int) int { return min(maxVoters, control-(control+1)%2) }

// NewPlan draws a plan from the seed of the options. The error is a BadArgument.
func NewPlan(o Options) (*Plan, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	p := &Plan{
		Options:        o,
		Voters:         Voters(o.Control),
		ControlPlaces:  make([]Place, o.Control),
		BalancerPlaces: make([]Place, o.Balancers),
	}
	for i := range p.ControlPlaces {
		p.ControlPlaces[i] = o.place(i, i/o.Zones)
	}
	for i := range p.BalancerPlaces {
		p.BalancerPlaces[i] = o.place(i, i/o.Zones/balancersPerRack)
	}
	p.drawChanges(rand.New(rand.NewPCG(o.Seed, 1)))
	p.drawFaults(rand.New(rand.NewPCG(o.Seed, 2)))
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p, nil
}

// place returns the place of a process: processes are assigned to zones in turn, and zones to regions.
func (o *Options) place(index, rack int) Place {
	balancersPerZone := (o.Balancers + o.Zones - 1) / o.Zones
	racks := (balancersPerZone + balancersPerRack - 1) / balancersPerRack
	zone := index % o.Zones
	return Place{Region: zone % o.Regions, Zone: zone, Rack: rack % racks}
}

// faultStart returns the time at which a single fault begins. The burst of changes follows a second later, during the fault.
func (p *Plan) faultStart() time.Duration { return p.Length * 2 / 5 }

// drawChanges draws the changes: at random times with the configured rate, and the burst.
func (p *Plan) drawChanges(rng *rand.Rand) {
	add := func(due time.Duration) {
		p.Changes = append(p.Changes, Change{
			Due:   due,
			Key:   rng.IntN(Keys),
			Bytes: minValueBytes + rng.IntN(maxValueBytes-minValueBytes+1),
		})
	}
	if p.ChangesPerDay > 0 {
		mean := float64(day) / float64(p.ChangesPerDay)
		for at := mean * rng.ExpFloat64(); at < float64(p.Length); at += mean * rng.ExpFloat64() {
			add(time.Duration(at))
		}
	}
	for i := range p.Burst {
		add(p.faultStart() + time.Second + time.Second*time.Duration(i)/time.Duration(p.Burst))
	}
	slices.SortStableFunc(p.Changes, func(a, b Change) int { return int(a.Due - b.Due) })
}

// LastFault returns the time of the last step, 0 if there is none.
func (p *Plan) LastFault() (at time.Duration) {
	for _, step := range p.Steps {
		at = max(at, step.At)
	}
	return at
}

// Hosts divides the balancers into host processes of at most maxPerHost balancers each, and returns the indices of the balancers of each
// process. If a zone will be lost, all balancers of a process are in one zone.
func (p *Plan) Hosts(maxPerHost int) (hosts [][]int) {
	groups := [][]int{nil}
	if p.Faults == FaultsZone {
		groups = make([][]int, p.Zones)
	}
	for i, place := range p.BalancerPlaces {
		group := place.Zone % len(groups)
		groups[group] = append(groups[group], i)
	}
	for _, group := range groups {
		for host := range slices.Chunk(group, maxPerHost) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
