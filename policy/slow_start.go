package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// An endpoint that warms up is overloaded when all balancers together send it, in one OverloadWindow, more than
// N sessions of mean load and 2*sqrt(N)+2 more. N is OverloadMultiple times its slow-start factor times the load
// that fills it evenly over SlowStartWindow. Balancers do not coordinate here: each takes its part of a lower
// bound of N.
const (
	coreCapacity       = 1e6 // microseconds of work a second that one core does; an endpoint has one at least
	priorSamples       = 4.0 // load samples that weigh as much as no knowledge of the load
	maxArrivalMultiple = 1.0 // sessions that come to a warming endpoint in a window, over its fair share of the active ones
	minHeavySessions   = 3.0 // sessions of a heavy class that a window has to bear
	minClassSamples    = 3   // load samples below which a class may be heavy
	minWindowCapacity  = 1.0 // sessions in a window while no endpoint is warm and nothing is known
)

// warmupAttempt is one attempt at a warming endpoint.
type warmupAttempt struct {
	at   time.Duration
	load float64 // in sessions of mean load
}

// observedCapacity is what warm endpoints of one machine type are seen to bear.
type observedCapacity struct {
	load          float64 // of the endpoints that are not overloaded
	weight        float64 // of all endpoints
	loadPerWeight float64 // averaged over recentWindow: a load that is new proves nothing
}

// slowStartFactor is the fraction of its full capacity that an endpoint has at least, by its age.
func (b *Balancer) slowStartFactor(e *endpoint) float64 {
	age := b.now - e.StartedAt
	if e.StartedAt == StartedLongAgo || age >= b.config.SlowStartWindow {
		return 1
	}
	floor := b.config.SlowStartFloor
	return floor + (1-floor)*max(0, float64(age)/float64(b.config.SlowStartWindow))
}

func (b *Balancer) isWarmingUp(e *endpoint) bool { return b.slowStartFactor(e) < 1 }

// PauseSlowStart keeps sessions from warming endpoints for one overload window: an earlier process of this
// balancer may have used its part of their capacity.
func (b *Balancer) PauseSlowStart() { b.slowStartPausedUntil = b.now + b.config.OverloadWindow }

// observeCapacity updates the loads of warm endpoints by machine type.
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

// warmCapacity is a lower bound of the sessions of mean load that an endpoint bears once it is warm, divided
// by the number of balancers: by what warm endpoints of its machine type bear, by one core, or by the
// tenants' quotas.
func (b *Balancer) warmCapacity(e *endpoint) float64 {
	balancers := float64(b.config.Balancers)
	byQuota := b.tenantQuota / balancers * e.Weight / max(b.maxPoolWeight, e.Weight)
	return max(b.observedSessions(e), b.coreSessions()/balancers, byQuota)
}

// observedSessions is what warm endpoints of the same machine type bear of this balancer's sessions.
func (b *Balancer) observedSessions(e *endpoint) float64 {
	o := b.observedByMachineType[e.MachineType]
	if o.weight <= 0 {
		return 0
	}
	// Sessions that have just come from another balancer count later: it may have used their part.
	settled := min(1, b.meanActiveSessions/float64(max(b.activeSessions, 1)))
	return settled * min(o.load/o.weight, o.loadPerWeight) / b.meanLoad() * e.Weight
}

// coreSessions is the number of sessions that one core bears, less while their load is uncertain.
func (b *Balancer) coreSessions() float64 {
	if b.sessionLoad.mean <= 0 {
		return 0
	}
	samples := float64(b.sessionLoad.samples)
	return coreCapacity / b.sessionLoad.mean * samples / (samples + priorSamples)
}

// relativeLoad is a session's load in sessions of mean load, 1 at least.
func (b *Balancer) relativeLoad(s *session) float64 { return max(1, s.load/b.meanLoad()) }

// isTooHeavyForWarmup reports whether a few sessions of a session's class are more than a warming endpoint bears in a
// window of the given capacity. Where there are several classes, one of unknown load may be.
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

// overloadLimit is the number of sessions in a window beyond which an endpoint of the given capacity is overloaded.
func overloadLimit(capacity float64) float64 { return capacity + 2*math.Sqrt(capacity) + 2 }

// canAttemptWarming reports whether a session may go to a warming endpoint.
func (b *Balancer) canAttemptWarming(s *session, e *endpoint) bool {
	used := b.warmupLoadInWindow(e)
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
	own := capacity / balancers
	deviation := math.Sqrt(capacity)
	if own >= 1 { // the parts of all balancers, rounded, add up to the capacity
		return used+load <= math.Floor(own+2*deviation/balancers+b.roundingOffset(e))
	}
	own *= min(1+1/deviation, deviation/2) // less where the capacity is so small that a few heavy sessions exceed it
	return used < math.Ceil(own*b.warmupAdmissionFactor(e)/load-b.warmupThreshold(s, e))
}

// warmupLoadInWindow is the load that this balancer sent to a warming endpoint within the overload window.
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

// windowCapacity is the number of sessions of mean load that a warming endpoint bears in one overload window,
// from all balancers together.
func (b *Balancer) windowCapacity(e *endpoint) float64 {
	balancers := float64(b.config.Balancers)
	capacity := b.config.OverloadMultiple * b.slowStartFactor(e) * b.warmCapacity(e) * balancers *
		float64(b.config.OverloadWindow) / float64(b.config.SlowStartWindow)
	if capacity == 0 && b.warmEndpoints == 0 {
		return minWindowCapacity
	}
	return capacity
}

// warmupAdmissionFactor is the factor from a balancer's part of the capacity to the probability with which it
// admits a session: the fewer sessions come to a warming endpoint, the higher.
func (b *Balancer) warmupAdmissionFactor(e *endpoint) float64 {
	endpoints := float64(max(len(b.newestPool().endpoints), 1))
	arrivals := maxArrivalMultiple * max(float64(b.activeSessions), b.meanActiveSessions, 1) / endpoints
	inverseShare := b.warmupWeight / e.Weight / min(1, warmupKeyFactor*b.slowStartFactor(e))
	return min(1/arrivals, inverseShare/max(b.recentCounts.warmupDemand, 1))
}

// roundingOffset is what this balancer adds to a fraction before it rounds down, in [0, 1). The offsets of
// all balancers are spread evenly, by the golden ratio, and stay the same after a restart.
func (b *Balancer) roundingOffset(e *endpoint) float64 {
	return math.Mod(unitInterval(hashPair(uint64(e.ID), 0))+float64(b.config.Index)*(math.Phi-1), 1)
}

// warmupThreshold is the number in (0, 1) that the probability of admitting a client to a warming endpoint has to
// exceed. It is the same at every balancer, and for a while: one drawn for each attempt would be exceeded
// sooner or later.
func (b *Balancer) warmupThreshold(s *session, e *endpoint) float64 {
	window := uint64((b.now - e.StartedAt) / max(refillInterval, b.config.OverloadWindow))
	return unitInterval(hashPair(hashPair(s.clientKey, uint64(e.ID)), window))
}
