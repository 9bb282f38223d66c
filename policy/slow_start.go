package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A warming endpoint is overloaded if all balancers together send it more than N + 2*sqrt(N) + 2 sessions of mean
// load within one OverloadWindow. N is OverloadMultiple times the slow-start factor of the endpoint times the
// load in that window if the endpoint is filled evenly over SlowStartWindow. The balancers do not coordinate:
// each one uses its own share of a lower bound of N.
const (
	coreCapacity       = 1e6 // work of one core in microseconds per second; an endpoint has at least one core
	priorSamples       = 4.0 // weight, in load samples, of the prior assumption that a core can handle no session
	maxArrivalMultiple = 1.0 // sessions assumed to reach a warming endpoint in a window, relative to its fair share of the active ones
	minHeavySessions   = 3.0 // number of sessions of a heavy class that a window must be able to admit
	minClassSamples    = 3   // number of load samples below which a class is taken for heavy if there are several classes
	minWindowCapacity  = 1.0 // sessions admitted in a window while no endpoint is warm and no load is known
)

// warmupAttempt is an attempt at a warming endpoint.
type warmupAttempt struct {
	at   time.Duration // start of the attempt
	load float64       // load of the session relative to the mean load
}

// observedCapacity is the load that the warm endpoints of one machine type are seen to handle.
type observedCapacity struct {
	load          float64 // total load of the warm endpoints that are not overloaded
	weight        float64 // total weight of all warm endpoints
	loadPerWeight float64 // load divided by weight, averaged over recentWindow because a new load does not show that it can be handled
}

// slowStartFactor returns the fraction of its full capacity that an endpoint has at least, according to its age.
func (b *Balancer) slowStartFactor(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == StartedLongAgo || age >= b.config.SlowStartWindow {
		return 1
	}
	floor := b.config.SlowStartFloor
	return floor + (1-floor)*max(0, float64(age)/float64(b.config.SlowStartWindow))
}

func (b *Balancer) isWarmingUp(e *endpoint) bool { return b.slowStartFactor(e) < 1 }

// PauseSlowStart keeps sessions away from warming endpoints for one overload window, because an earlier process
// of this balancer may already have used its share of their capacity.
func (b *Balancer) PauseSlowStart() { b.slowStartPausedUntil = b.now + b.config.OverloadWindow }

// observeCapacity updates warmEndpoints and the loads of the warm endpoints by machine type.
func (b *Balancer) observeCapacity() {
	b.warmEndpoints = 0
	for machineType, o := range b.observedByMachineType {
		b.observedByMachineType[machineType] = observedCapacity{loadPerWeight: o.loadPerWeight}
	}
	for _, e := range b.newestPool().endpoints {
		o := b.observedByMachineType[e.MachineType]
		if !b.isWarmingUp(e) {
			b.warmEndpoints++
			o.weight += e.Weight
			if !b.exceeds(e, migrateThreshold) {
				o.load += e.load
			}
		}
		b.observedByMachineType[e.MachineType] = o
	}
	for machineType, o := range b.observedByMachineType {
		change := o.load/max(o.weight, epsilon) - o.loadPerWeight
		o.loadPerWeight += change * float64(roundInterval) / float64(recentWindow)
		b.observedByMachineType[machineType] = o
	}
}

// warmCapacity returns a lower bound of the number of sessions of mean load that an endpoint can handle once it
// is warm, divided by the number of balancers. It is the largest of three estimates: the load at warm endpoints
// of the same machine type, the capacity of one core, and the endpoint's share of the connection quotas of the
// tenants.
func (b *Balancer) warmCapacity(e *endpoint) float64 {
	balancers := float64(b.config.Balancers)
	byQuota := b.tenantQuota / balancers * e.Weight / max(b.maxPoolWeight, e.Weight)
	return max(b.observedSessions(e), b.coreSessions()/balancers, byQuota)
}

// observedSessions returns the number of sessions of this balancer that an endpoint can handle, judging by the
// warm endpoints of the same machine type.
func (b *Balancer) observedSessions(e *endpoint) float64 {
	o := b.observedByMachineType[e.MachineType]
	if o.weight <= 0 {
		return 0
	}
	// Sessions that have just moved here from another balancer count only later, because that balancer may
	// already have used the share that comes with them.
	settled := min(1, b.meanActiveSessions/float64(max(b.activeSessions, 1)))
	return settled * min(o.load/o.weight, o.loadPerWeight) / b.meanLoad() * e.Weight
}

// coreSessions returns the number of sessions that one core can handle, reduced while few load samples are
// known.
func (b *Balancer) coreSessions() float64 {
	if b.sessionLoad.mean <= 0 {
		return 0
	}
	samples := float64(b.sessionLoad.samples)
	return coreCapacity / b.sessionLoad.mean * samples / (samples + priorSamples)
}

// relativeLoad returns the load of a session relative to the mean load, at least 1.
func (b *Balancer) relativeLoad(s *session) float64 { return max(1, s.load/b.meanLoad()) }

// isTooHeavyForWarmup reports whether a few sessions of the same class would exceed what a warming endpoint can
// handle in a window of the given capacity. If there are several classes, this is assumed for a class of unknown
// load.
func (b *Balancer) isTooHeavyForWarmup(s *session, windowCapacity float64) bool {
	if b.sessionLoad.mean == 0 {
		return false
	}
	if len(b.config.Classes) > 1 && b.loadByClass[s.classIndex].samples < minClassSamples {
		return true
	}
	lightest := b.sessionLoad.mean
	for _, load := range b.loadByClass[:len(b.config.Classes)] {
		lightest = min(lightest, cmp.Or(load.mean, lightest))
	}
	windowCapacity *= b.sessionLoad.mean / max(lightest, 1)
	isHeavy := s.load > b.sessionLoad.mean
	return isHeavy && minHeavySessions*s.load/max(lightest, 1) > overloadLimit(windowCapacity)
}

// overloadLimit returns the number of sessions in a window above which an endpoint of the given capacity is
// overloaded.
func overloadLimit(capacity float64) float64 { return capacity + 2*math.Sqrt(capacity) + 2 }

// canAttemptWarming reports whether an attempt for a session may be made at a warming endpoint.
func (b *Balancer) canAttemptWarming(s *session, e *endpoint) bool {
	usedLoad := b.warmupLoadInWindow(e)
	if !s.countedInWarmupDemand {
		s.countedInWarmupDemand = true
		b.recentCounts.warmupDemand++
	}
	capacity := b.windowCapacity(e)
	if b.now < b.slowStartPausedUntil || b.isTooHeavyForWarmup(s, capacity) {
		return false
	}
	balancers := float64(b.config.Balancers)
	load := b.relativeLoad(s)
	ownShare := capacity / balancers
	deviation := math.Sqrt(capacity)
	if ownShare >= 1 { // the rounded shares of all balancers add up to the capacity
		return usedLoad+load <= math.Floor(ownShare+2*deviation/balancers+b.roundingOffset(e))
	}
	ownShare *= min(1+1/deviation, deviation/2) // the factor is below 1 if the capacity is so small that a few heavy sessions exceed it
	return usedLoad < math.Ceil(ownShare*b.warmupAdmissionFactor(e)/load-b.warmupThreshold(s, e))
}

// warmupLoadInWindow returns the load that this balancer has sent to a warming endpoint within the overload
// window, relative to the mean load of a session.
func (b *Balancer) warmupLoadInWindow(e *endpoint) float64 {
	e.warmupAttempts = slices.DeleteFunc(e.warmupAttempts, func(a warmupAttempt) bool {
		return a.at <= b.now-b.config.OverloadWindow
	})
	used := 0.0
	for _, a := range e.warmupAttempts {
		used += a.load
	}
	return used
}

// windowCapacity returns the number of sessions of mean load that a warming endpoint can get from all balancers
// together in one overload window.
func (b *Balancer) windowCapacity(e *endpoint) float64 {
	balancers := float64(b.config.Balancers)
	capacity := b.config.OverloadMultiple * b.slowStartFactor(e) * b.warmCapacity(e) * balancers *
		float64(b.config.OverloadWindow) / float64(b.config.SlowStartWindow)
	if capacity == 0 && b.warmEndpoints == 0 {
		return minWindowCapacity
	}
	return capacity
}

// warmupAdmissionFactor returns the factor by which this balancer's share of a warming endpoint's capacity is
// multiplied to get the probability of admitting a session there. The fewer sessions reach the endpoint, the
// higher it is.
func (b *Balancer) warmupAdmissionFactor(e *endpoint) float64 {
	endpoints := float64(max(len(b.newestPool().endpoints), 1))
	arrivals := maxArrivalMultiple * max(float64(b.activeSessions), b.meanActiveSessions, 1) / endpoints
	inverseShare := b.warmupWeight / e.Weight / min(1, warmupKeyFactor*b.slowStartFactor(e))
	return min(1/arrivals, inverseShare/max(b.recentCounts.warmupDemand, 1))
}

// roundingOffset returns what this balancer adds to its share of an endpoint's capacity before rounding down, in
// [0, 1). The golden ratio spreads the offsets of all balancers evenly. They do not change with a restart.
func (b *Balancer) roundingOffset(e *endpoint) float64 {
	return math.Mod(unitInterval(hashPair(uint64(e.ID), 0))+float64(b.config.Index)*(math.Phi-1), 1)
}

// warmupThreshold returns the number in (0, 1) that the probability of admitting a client to a warming endpoint
// must exceed. It is the same at every balancer and constant for a while, because a new random number for each
// attempt would admit a client that retries sooner or later.
func (b *Balancer) warmupThreshold(s *session, e *endpoint) float64 {
	window := uint64((b.now - e.StartedAt) / max(refillInterval, b.config.OverloadWindow))
	return unitInterval(hashPair(hashPair(s.clientKey, uint64(e.ID)), window))
}
