package policy

import "time"

// latencyTTL is how long a recorded message latency counts: hosts record it each second while messages are slow.
const latencyTTL = 2 * time.Second

// overloadedCapacity is the part of its known load that an endpoint bears if that load overloads it.
const overloadedCapacity = 0.9

// overloadThreshold is exceeded by a message latency, as a part of the shortest message objective, or by a
// reported demand, as a part of the capacity.
type overloadThreshold struct{ latency, demand float64 }

// The thresholds, named by what happens beyond them.
var (
	skipThreshold        = overloadThreshold{0.30, 0.70} // new sessions skip the endpoint
	migrateThreshold     = overloadThreshold{0.55, 0.85} // its sessions migrate
	fastMigrateThreshold = overloadThreshold{1.10, 1.70} // twice as many migrate
	terminateThreshold   = overloadThreshold{1.00, 1.05} // sessions end even if no other endpoint has capacity
)

// RecordLatency records the present latency of messages at an endpoint.
func (b *Balancer) RecordLatency(id EndpointID, latency time.Duration) {
	e, isKnown := b.endpointByID[id]
	if !isKnown {
		return
	}
	e.latency = latency
	e.latencyAt = b.now
	switch {
	case len(e.sessions) == 0: // the capacity for own sessions would stay 0
	case b.exceeds(e, migrateThreshold):
		b.distrustReports(e)
		e.capacity = min(e.capacity, overloadedCapacity*e.knownLoad())
	case b.exceeds(e, skipThreshold):
		e.capacity = min(e.capacity, e.knownLoad())
	}
}

// exceeds reports whether an endpoint is beyond a threshold by a recent latency or load report.
func (b *Balancer) exceeds(e *endpoint, threshold overloadThreshold) bool {
	hasLatency := b.messageObjective < never && b.now-e.latencyAt <= latencyTTL
	if hasLatency && float64(e.latency) > threshold.latency*float64(b.messageObjective) {
		return true
	}
	return b.now-e.reportedAt <= reportTTL && e.demand > threshold.demand
}

// markOverloaded treats an endpoint as overloaded for latencyTTL; released is load that has just left it.
func (b *Balancer) markOverloaded(e *endpoint, released float64) {
	if b.exceeds(e, terminateThreshold) {
		return
	}
	e.latency = b.messageObjective
	e.latencyAt = b.now
	e.capacity = min(e.capacity, max(0, e.knownLoad()-released))
}

// observeOverload updates overloadFraction and the weight of warming endpoints.
func (b *Balancer) observeOverload() {
	used, overloaded := 0, 0
	for _, e := range b.newestPool().endpoints {
		if len(e.sessions) > 0 {
			used++
			if b.exceeds(e, migrateThreshold) {
				overloaded++
			}
		}
		if factor := b.slowStartFactor(e); factor < 1 {
			b.warmupWeight += b.zoneWeight(e, b.remoteZoneFactor, 3*minRemoteFactor) * min(1, warmupKeyFactor*factor)
		}
	}
	b.overloadFraction = float64(overloaded) / float64(max(used, 1))
}
