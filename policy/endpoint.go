package policy

import "time"

// EndpointID identifies an endpoint.
type EndpointID uint64

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states. Only endpoints that are Ready get attempts.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

var endpointStateNames = [...]string{Ready: "ready", Draining: "draining", Removed: "removed"}

func (s EndpointState) String() string { return endpointStateNames[s] }

// StartedLongAgo is the start of an endpoint that is known to have finished its slow start.
const StartedLongAgo = -time.Duration(1 << 62)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID            EndpointID
	Zone          int
	FailureDomain int    // failure domain within the zone
	MachineType   uint64 // endpoints of the same machine type have comparable capacity
	State         EndpointState
	Weight        float64       // capacity relative to other endpoints
	StartedAt     time.Duration // start of the process, on the clock of the Balancer; may be negative
}

// location identifies a failure domain across zones.
type location struct{ zone, failureDomain int }

// endpoint is an Endpoint with what this balancer has learned about it.
type endpoint struct {
	Endpoint
	index          int // index in Balancer.endpoints
	lastListUpdate int // value of Balancer.listUpdates when the endpoint was last listed

	sessions []*session // pending attempts and established sessions of this balancer
	load     float64    // total load of these sessions
	peerLoad float64    // load of the other balancers' sessions, from gossip

	failures       float64 // score that failed attempts raise and successful ones reduce
	ejected        bool
	ejectionTime   time.Duration // duration of the next ejection
	checkPending   bool          // a health check is planned or in progress
	passedChecks   int           // number of successful health checks in a row while ejected
	nextCheckAt    time.Duration
	latency        time.Duration   // last recorded latency of messages
	latencyAt      time.Duration   // time at which latency was recorded
	demand         float64         // demand in the newest load report, relative to the capacity
	reportedAt     time.Duration   // time of the newest load report
	capacity       float64         // load that the endpoint is assumed to handle without overload; knownLoad is compared with it
	provenLoad     float64         // load of own sessions at which a load report showed spare capacity
	migratedAt     time.Duration   // time of the newest migration away because of overload
	attemptedAt    time.Duration   // start of the newest attempt
	warmupAttempts []warmupAttempt // attempts within the last overload window of the slow start
}

// UpdateEndpoints applies entries of the endpoint list. If complete is set, endpoints that are not among the
// entries are removed.
func (b *Balancer) UpdateEndpoints(entries []Endpoint, complete bool) {
	b.listUpdates++
	for _, entry := range entries {
		e := b.endpointFor(entry.ID)
		e.lastListUpdate = b.listUpdates
		if entry.StartedAt != e.StartedAt {
			e.resetLearnedState()
		}
		e.Endpoint = entry
	}
	for _, e := range b.endpoints {
		if complete && e.lastListUpdate != b.listUpdates {
			e.State = Removed
		}
	}
	b.updatePool()
}

// SetWeight replaces the weight of an endpoint until the next list entry for that endpoint.
func (b *Balancer) SetWeight(id EndpointID, weight float64) {
	b.endpointFor(id).Weight = weight
	b.updatePool()
}

// endpointFor returns the endpoint with the given ID and adds it first if it is not known.
func (b *Balancer) endpointFor(id EndpointID) *endpoint {
	if e, isKnown := b.endpointByID[id]; isKnown {
		return e
	}
	e := &endpoint{
		Endpoint:    Endpoint{ID: id, State: Removed, Weight: 1, StartedAt: StartedLongAgo},
		index:       len(b.endpoints),
		migratedAt:  -never,
		attemptedAt: -never,
	}
	e.resetLearnedState()
	delay := b.random.float64() * float64(b.config.Balancers) * float64(firstReportInterval)
	e.nextCheckAt = b.now + time.Duration(delay)
	b.endpoints = append(b.endpoints, e)
	b.endpointByID[id] = e
	return e
}

// resetLearnedState discards what was learned about the previous process of the endpoint.
func (e *endpoint) resetLearnedState() {
	e.failures = 0
	e.ejected = false
	e.ejectionTime = minEjectionTime
	e.latencyAt = -never
	e.reportedAt = -never
	e.capacity = never.Seconds()
	e.provenLoad = 0
	e.warmupAttempts = nil
}

func (e *endpoint) location() location { return location{e.Zone, e.FailureDomain} }

// knownLoad returns the load of all sessions at the endpoint that this balancer knows about.
func (e *endpoint) knownLoad() float64 { return e.load + e.peerLoad }
