package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig returns a configuration with one idempotent class, which tests adapt.
func testConfig() *Config {
	return &Config{
		Balancers: 1, Classes: []Class{{SetupObjective: 300 * ms, MessageObjective: 100 * ms, KeyTTL: 5 * time.Second, PriorityWeight: 1}},
		CanHealthCheck: true, CanSendRetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		SlowStartFloor: 0.15, SlowStartWindow: 20 * time.Second,
	}
}

// warmEndpointList returns n ready endpoints that have finished their slow start, with IDs from 100 on.
func warmEndpointList(n int) []Endpoint {
	var l []Endpoint
	for i := range n {
		l = append(l, Endpoint{ID: EndpointID(100 + i), Weight: 1, StartedAt: StartedLongAgo})
	}
	return l
}

// startingAt sets the start of the entries list[from:to] and returns the list.
func startingAt(list []Endpoint, from, to int, at time.Duration) []Endpoint {
	for i := range list[from:to] {
		list[from+i].StartedAt = at
	}
	return list
}

// inZones assigns the entries of a list to zones in turn and returns the list.
func inZones(list []Endpoint, zones int) []Endpoint {
	for i := range list {
		list[i].Zone = i % zones
	}
	return list
}

// newBalancer returns a balancer with a fixed seed and the given complete endpoint list.
func newBalancer(d *Config, list []Endpoint) *Balancer {
	b := New(d, 7)
	b.UpdateEndpoints(list, true)
	return b
}

// allDecisions calls Next until it returns no decision.
func allDecisions(b *Balancer) []Decision {
	var all []Decision
	for d, ok := b.Next(); ok; d, ok = b.Next() {
		all = append(all, d)
	}
	return all
}

// count returns the number of decisions with the given action.
func count(all []Decision, action Action) int {
	n := 0
	for _, d := range all {
		if d.Action == action {
			n++
		}
	}
	return n
}

// addSession adds a session and returns the decision for it.
func addSession(t *testing.T, b *Balancer, a SessionRequest) Decision {
	if a.Timeout == 0 {
		a.Timeout = 2 * time.Second
	}
	b.AddSession(a)
	return decisionFor(t, b, a.ID)
}

// endAttempt ends an attempt and returns the next decision for its session.
func endAttempt(t *testing.T, b *Balancer, id SessionID, attempt int, outcome Outcome) Decision {
	b.AttemptEnded(id, attempt, false, outcome)
	return decisionFor(t, b, id)
}

// decisionFor takes all decisions and returns the one for a session, ignoring migrations. The test fails if
// there is none.
func decisionFor(t *testing.T, b *Balancer, id SessionID) Decision {
	for _, d := range allDecisions(b) {
		if d.Session == id && d.Action != Migrate {
			return d
		}
	}
	t.Fatalf("session %d got no decision", id)
	return Decision{}
}

// sessionsPerCore is the number of sessions, with the load that establish records, that one core can handle.
const sessionsPerCore = 80

// establish adds n sessions with ascending IDs, establishes them, and returns how many each endpoint got.
func establish(t *testing.T, b *Balancer, id SessionID, n int) map[EndpointID]int {
	held := map[EndpointID]int{}
	for range n {
		d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
		if d.Action != StartAttempt {
			t.Fatalf("session %d was not attempted: %+v", id, d)
		}
		held[d.Endpoint]++
		b.AttemptEstablished(id, 0, ms)
		b.RecordLoad(id, 0, modelCoreCapacity/sessionsPerCore)
		id++
	}
	return held
}

// maxWithin returns the largest number of the given ascending times that lie within one span.
func maxWithin(at []time.Duration, span time.Duration) (most int) {
	from := 0
	for n := range at {
		for at[n] >= at[from]+span {
			from++
		}
		most = max(most, n+1-from)
	}
	return most
}
