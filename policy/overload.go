package policy

import "time"

// latencyTTL is the age beyond which a recorded message latency is ignored. While messages are slow, hosts
// record their latency every second.
const latencyTTL = 2 * time.Second

// overloadedCapacity is the fraction of its known load that an overloaded endpoint is assumed to handle.
const overloadedCapacity = 0.9

// overloadThreshold is exceeded if either the message latency, relative to the shortest message objective, or
// the reported demand, relative to the capacity, is above its limit.
type overloadThreshold struct{ latency, demand float64 }

// The thresholds, each named after what happens when it is exceeded.
var (
	skipThreshold        = overloadThreshold{0.30, 0.70} // new sessions skip the endpoint
	migrateThreshold     = overloadThreshold{0.55, 0.85} // sessions migrate away from the endpoint
	fastMigrateThreshold = overloadThreshold{1.10, 1.70} // twice as many sessions migrate at a time
	terminateThreshold   = overloadThreshold{1.00, 1.05} // sessions are ended even if no other endpoint has capacity for them
)

// RecordLatency records the current latency of messages at an endpoint and lowers the assumed capacity of the
// endpoint if the latency is too high.
func (b *Balancer) RecordLatency(id EndpointID, latency time.Duration) {
	e, isKnown := b.endpointByID[id]
	if !isKnown {
		return
	}
	e.latency = latency
	e.latencyAt = b.now
	switch {
	case len(e.sessions) == 0: // without own sessions the capacity would become 0 and stay there
	case b.exceeds(e, migrateThreshold):
		b.distrustReports(e)
		e.capacity = min(e.capacity, overloadedCapacity*e.knownLoad())
	case b.exceeds(e, skipThreshold):
		e.capacity = min(e.capacity, e.knownLoad())
	}
}

// exceeds reports whether an endpoint exceeds a threshold according to a recent latency or load report.
func (b *Balancer) exceeds(e *endpoint, threshold overloadThreshold) bool {
	hasLatency := b.messageObjective < never && b.now-e.latencyAt <= latencyTTL
	if hasLatency && float64(e.latency) > threshold.latency*float64(b.messageObjective) {
		return true
	}
	return b.now-e.reportedAt <= reportTTL && e.demand > threshold.demand
}

// markOverloaded lowers the assumed capacity of an endpoint to its load and, if a class has a message objective,
// makes it count as overloaded for latencyTTL. The released load, of a session that is just ending there, does
// not count towards the capacity.
func (b *Balancer) markOverloaded(e *endpoint, released float64) {
	if b.exceeds(e, terminateThreshold) {
		return
	}
	e.latency = b.messageObjective
	e.latencyAt = b.now
	e.capacity = min(e.capacity, max(0, e.knownLoad()-released))
}

// observeOverload updates overloadFraction and warmupWeight from the endpoints of the newest pool.
func (b *Balancer) observeOverload() {
	usedEndpoints, overloaded := 0, 0
	for _, e := range b.newestPool().endpoints {
		if len(e.sessions) > 0 {
			usedEndpoints++
			if b.exceeds(e, migrateThreshold) {
				overloaded++
			}
		}
		if factor := b.slowStartFactor(e); factor < 1 {
			b.warmupWeight += b.zoneWeight(e, b.remoteZoneFactor, 3*minRemoteFactor) * min(1, warmupKeyFactor*factor)
		}
	}
	b.overloadFraction = float64(overloaded) / float64(max(usedEndpoints, 1))
}
