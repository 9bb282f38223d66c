package scale

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// Restarts and losses of balancers on an ordinary day of a deployment with 4,600 balancers. They are scaled to the run, but not below a
	// minimum.
	referenceBalancers = 4600
	referenceRestarts  = 1700
	referenceLosses    = 30
	minRestarts        = 5 // lowest number of restarts in a run, or one in a hundred balancers if that is more
	minLosses          = 2 // lowest number of losses in a run
	controlLosses      = 2 // number of control processes lost in a run: one is killed, one is shut down

	restartTime        = time.Second     // time until a balancer is back after a restart
	replacementTime    = 5 * time.Second // time until a lost balancer is replaced
	controlRestartTime = 2 * time.Second // time until a lost control process is started again

	minFaultLength = 6 * time.Second  // lower limit of the length of a single fault; longer than a lease
	maxFaultLength = 30 * time.Second // upper limit of the length of a single fault
)

// drawFaults draws the steps of the fault schedule, in any order, and describes them.
func (p *Plan) drawFaults(rng *rand.Rand) {
	switch p.Faults {
	case FaultsNone:
		p.FaultDescription = "none"
	case FaultsDay:
		p.drawDay(rng)
	case FaultsRack:
		p.drawRack(rng)
	case FaultsZone:
		p.drawZoneLoss(rng)
	case FaultsRegion:
		p.drawRegion(rng)
	}
}

// faultLength returns the length of a single fault.
func (p *Plan) faultLength() time.Duration {
	return min(max(p.Length/5, minFaultLength), maxFaultLength)
}

// addFault adds the two steps of a fault, unless it has no targets.
func (p *Plan) addFault(begin, end Action, at, length time.Duration, targets []int) {
	if len(targets) == 0 {
		return
	}
	p.Steps = append(p.Steps,
		Step{At: at, Action: begin, Targets: targets},
		Step{At: at + length, Action: end, Targets: targets})
}

// drawControlPlace draws the place of a control process.
func (p *Plan) drawControlPlace(rng *rand.Rand) Place {
	return p.ControlPlaces[rng.IntN(p.Control)]
}

// matchingPlaces returns the indices of the places that match.
func matchingPlaces(places []Place, match func(Place) bool) (indices []int) {
	for i, place := range places {
		if match(place) {
			indices = append(indices, i)
		}
	}
	return indices
}

// scaleDay scales a number of events of an ordinary day to the balancers and the length of the run.
func (p *Plan) scaleDay(perDay, minimum int) int {
	scaled := float64(perDay) * float64(p.Balancers) / referenceBalancers * float64(p.Length) / float64(day)
	return min(p.Balancers, max(minimum, int(scaled+0.5)))
}

// drawDay draws the faults of an ordinary day: restarts and losses of balancers, and of control processes.
func (p *Plan) drawDay(rng *rand.Rand) {
	lowestRestarts := max(minRestarts, p.Balancers/100)
	restarts := p.scaleDay(referenceRestarts, lowestRestarts)
	losses := min(p.scaleDay(referenceLosses, minLosses), p.Balancers-restarts)
	span := float64(p.Length - p.Length/10 - replacementTime) // all balancers are back before the run ends
	balancers := rng.Perm(p.Balancers)[:restarts+losses]
	for i, balancer := range balancers {
		length := restartTime
		if i >= restarts {
			length = replacementTime
		}
		p.addFault(StopBalancers, StartBalancers, p.Length/10+time.Duration(rng.Float64()*span), length, []int{balancer})
	}
	endActions := []Action{KillControl, StopControl}
	for i, control := range rng.Perm(p.Control)[:min(controlLosses, p.Control-1)] {
		at := p.faultStart() + time.Duration(i)*p.Length/4
		p.addFault(endActions[i%len(endActions)], StartControl, at, controlRestartTime, []int{control})
	}
	p.FaultDescription = fmt.Sprintf("day: %d balancers restart (away %v), %d are lost (away %v), one control process is killed and one ended as planned (away %v each); "+
		"a day's 1,700 and 30 of 4,600 scaled to %v, but %d and %d at least",
		restarts, restartTime, losses, replacementTime, controlRestartTime, p.Length, min(p.Balancers, lowestRestarts), minLosses)
}

// drawRack draws the loss of a rack with a control process.
func (p *Plan) drawRack(rng *rand.Rand) {
	rack := p.drawControlPlace(rng)
	isInRack := func(place Place) bool { return place == rack }
	control := matchingPlaces(p.ControlPlaces, isInRack)
	balancers := matchingPlaces(p.BalancerPlaces, isInRack)
	length := p.faultLength()
	p.addFault(KillControl, StartControl, p.faultStart(), length, control)
	p.addFault(StopBalancers, StartBalancers, p.faultStart(), length, balancers)
	p.FaultDescription = fmt.Sprintf("rack: %d control processes and %d balancers of zone %d, rack %d, are gone for %v",
		len(control), len(balancers), rack.Zone, rack.Rack, length)
}

// drawZoneLoss draws the loss of a zone with a control process.
func (p *Plan) drawZoneLoss(rng *rand.Rand) {
	zone := p.drawControlPlace(rng).Zone
	isInZone := func(place Place) bool { return place.Zone == zone }
	control := matchingPlaces(p.ControlPlaces, isInZone)
	balancers := matchingPlaces(p.BalancerPlaces, isInZone)
	length := p.faultLength()
	p.addFault(KillControl, StartControl, p.faultStart(), length, control)
	p.addFault(KillZone, StartZone, p.faultStart(), length, []int{zone})
	p.FaultDescription = fmt.Sprintf("zone: %d control processes and %d balancers of zone %d are killed, and back after %v",
		len(control), len(balancers), zone, length)
}

// drawRegion draws the partition of a region with a control process from the other control processes.
func (p *Plan) drawRegion(rng *rand.Rand) {
	region := p.drawControlPlace(rng).Region
	isInRegion := func(place Place) bool { return place.Region == region }
	control := matchingPlaces(p.ControlPlaces, isInRegion)
	voters := matchingPlaces(p.ControlPlaces[:p.Voters], isInRegion)
	length := p.faultLength()
	p.addFault(CutLinks, RestoreLinks, p.faultStart(), length, control)
	p.FaultDescription = fmt.Sprintf("region: the %d control processes of region %d (%d of them vote) are cut off from the others for %v; balancers reach both sides",
		len(control), region, len(voters), length)
}
