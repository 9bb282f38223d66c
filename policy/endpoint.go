package policy

import "time"

// EndpointID identifies an endpoint.
type EndpointID uint64

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states. Only ready endpoints get attempts.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

var endpointStateNames = [...]string{Ready: "ready", Draining: "draining", Removed: "removed"}

func (s EndpointState) String() string { return endpointStateNames[s] }

// StartedLongAgo is the start of an endpoint that has surely finished its slow start.
const StartedLongAgo = -time.Duration(1 << 62)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID            EndpointID
	Zone          int
	FailureDomain int    // within the zone
	MachineType   uint64 // endpoints of one type have comparable capacity
	State         EndpointState
	Weight        float64       // relative capacity
	StartedAt     time.Duration // on the Balancer's clock; may be negative
}

// location is a failure domain of a zone.
type location struct{ zone, failureDomain int }

// endpoint is an Endpoint with what this balancer has learned of it.
type endpoint struct {
	Endpoint
	index          int // in Balancer.endpoints
	lastListUpdate int // that named it last

	sessions []*session // attempts and established sessions
	load     float64    // sum of their loads
	peerLoad float64    // of the other balancers' sessions, by their gossip

	failures       float64 // score of failed attempts, reduced by successes
	ejected        bool
	ejectionTime   time.Duration // of the next ejection
	checkPending   bool
	passedChecks   int // in a row
	nextCheckAt    time.Duration
	latency        time.Duration // of a message, as last recorded
	latencyAt      time.Duration
	demand         float64 // by the newest load report, over capacity
	reportedAt     time.Duration
	capacity       float64 // load of own sessions that the endpoint bears without overload
	provenLoad     float64 // load of own sessions with which a report showed spare capacity
	migratedAt     time.Duration
	attemptedAt    time.Duration
	warmupAttempts []warmupAttempt // within one overload window
}

// UpdateEndpoints applies entries of the endpoint list. If complete, endpoints that are not among them are
// removed.
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

// SetWeight replaces the weight of an endpoint until the next list entry for it.
func (b *Balancer) SetWeight(id EndpointID, weight float64) {
	b.endpointFor(id).Weight = weight
	b.updatePool()
}

// endpointFor returns the endpoint with an ID, which it adds if there is none.
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

// resetLearnedState drops what was learned of the endpoint's previous process.
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

// knownLoad is the load of all sessions at the endpoint that this balancer knows of.
func (e *endpoint) knownLoad() float64 { return e.load + e.peerLoad }
