package scale

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// An ordinary day of a deployment with 4,600 balancers; scaled to a run, but not below a minimum.
	referenceBalancers = 4600
	referenceRestarts  = 1700
	referenceLosses    = 30
	minRestarts        = 5 // or one in a hundred balancers
	minLosses          = 2
	controlLosses      = 2 // control processes lost in a run: one killed, one shut down

	restartTime        = time.Second     // until a balancer is back after a restart
	replacementTime    = 5 * time.Second // until a lost balancer is replaced
	controlRestartTime = 2 * time.Second // until a control process is started again

	minFaultLength = 6 * time.Second // longer than a lease
	maxFaultLength = 30 * time.Second
)

// drawFaults draws the steps of the fault schedule, not yet in order, and describes them.
func (p *Plan) drawFaults(rng *rand.Rand) {
	switch p.Faults {
	case FaultsNone:
		p.FaultDescription = "none"
	case FaultsDay:
		p.drawDay(rng)
	case FaultsRack:
		p.drawRack(rng)
	case FaultsZone:
		p.drawZone(rng)
	case FaultsRegion:
		p.drawRegion(rng)
	}
}

// faultLength is the length of a single fault.
func (p *Plan) faultLength() time.Duration {
	return min(max(p.Length/5, minFaultLength), maxFaultLength)
}

// addFault adds the two steps of a fault, unless it affects no process.
func (p *Plan) addFault(begin, end Action, at, length time.Duration, who []int) {
	if len(who) == 0 {
		return
	}
	p.Steps = append(p.Steps,
		Step{At: at, Action: begin, Targets: who},
		Step{At: at + length, Action: end, Targets: who})
}

// drawControlPlace draws the place of a control process.
func (p *Plan) drawControlPlace(rng *rand.Rand) Place {
	return p.ControlPlaces[rng.IntN(p.Options.Control)]
}

// matching returns the indices of the places that match.
func matching(places []Place, match func(Place) bool) (indices []int) {
	for i, place := range places {
		if match(place) {
			indices = append(indices, i)
		}
	}
	return indices
}

// scaleDay scales a number of an ordinary day to the balancers and the length of the run.
func (p *Plan) scaleDay(perDay, minimum int) int {
	scaled := float64(perDay) * float64(p.Balancers) / referenceBalancers * float64(p.Length) / float64(day)
	return min(p.Balancers, max(minimum, int(scaled+0.5)))
}

func (p *Plan) drawDay(rng *rand.Rand) {
	leastRestarts := max(minRestarts, p.Balancers/100)
	restarts := p.scaleDay(referenceRestarts, leastRestarts)
	losses := min(p.scaleDay(referenceLosses, minLosses), p.Balancers-restarts)
	span := float64(p.Length - p.Length/10 - replacementTime) // all are back within the run
	balancers := rng.Perm(p.Balancers)[:restarts+losses]
	for i, balancer := range balancers {
		length := restartTime
		if i >= restarts {
			length = replacementTime
		}
		p.addFault(StopBalancers, StartBalancers, p.Length/10+time.Duration(rng.Float64()*span), length, []int{balancer})
	}
	endings := []Action{KillControl, StopControl}
	for i, control := range rng.Perm(p.Options.Control)[:min(controlLosses, p.Options.Control-1)] {
		at := p.faultStart() + time.Duration(i)*p.Length/4
		p.addFault(endings[i%len(endings)], StartControl, at, controlRestartTime, []int{control})
	}
	p.FaultDescription = fmt.Sprintf("day: %d balancers restart (away %v), %d are lost (away %v), one control process is killed and one ended as planned (away %v each); "+
		"a day's 1,700 and 30 of 4,600 scaled to %v, but %d and %d at least",
		restarts, restartTime, losses, replacementTime, controlRestartTime, p.Length, min(p.Balancers, leastRestarts), minLosses)
}

func (p *Plan) drawRack(rng *rand.Rand) {
	rack := p.drawControlPlace(rng)
	isInRack := func(place Place) bool { return place == rack }
	control := matching(p.ControlPlaces, isInRack)
	balancers := matching(p.BalancerPlaces, isInRack)
	length := p.faultLength()
	p.addFault(KillControl, StartControl, p.faultStart(), length, control)
	p.addFault(StopBalancers, StartBalancers, p.faultStart(), length, balancers)
	p.FaultDescription = fmt.Sprintf("rack: %d control processes and %d balancers of zone %d, rack %d, are gone for %v",
		len(control), len(balancers), rack.Zone, rack.Rack, length)
}

func (p *Plan) drawZone(rng *rand.Rand) {
	zone := p.drawControlPlace(rng).Zone
	isInZone := func(place Place) bool { return place.Zone == zone }
	control := matching(p.ControlPlaces, isInZone)
	balancers := matching(p.BalancerPlaces, isInZone)
	length := p.faultLength()
	p.addFault(KillControl, StartControl, p.faultStart(), length, control)
	p.addFault(KillZone, StartZone, p.faultStart(), length, []int{zone})
	p.FaultDescription = fmt.Sprintf("zone: %d control processes and %d balancers of zone %d are killed, and back after %v",
		len(control), len(balancers), zone, length)
}

func (p *Plan) drawRegion(rng *rand.Rand) {
	region := p.drawControlPlace(rng).Region
	isInRegion := func(place Place) bool { return place.Region == region }
	control := matching(p.ControlPlaces, isInRegion)
	voters := matching(p.ControlPlaces[:p.Voters], isInRegion)
	length := p.faultLength()
	p.addFault(CutLinks, RestoreLinks, p.faultStart(), length, control)
	p.FaultDescription = fmt.Sprintf("region: the %d control processes of region %d (%d of them vote) are cut off from the others for %v; balancers reach both sides",
		len(control), region, len(voters), length)
}
