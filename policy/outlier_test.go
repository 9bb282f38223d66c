package policy

import (
	"testing"
	"time"
)

// TestOutlierIsEjectedAndReadmittedAfterHealthChecks guards against a faulty endpoint that is not ejected, that
// makes sessions fail, or that stays ejected although its health checks succeed.
func TestOutlierIsEjectedAndReadmittedAfterHealthChecks(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(6))
	for id := SessionID(1); id <= 60; id++ {
		d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
		for attempt := 0; d.Action == StartAttempt; attempt++ {
			if d.Endpoint != 103 {
				b.AttemptEstablished(id, attempt, ms)
				break
			}
			d = endAttempt(t, b, id, attempt, Failed)
		}
		if d.Action != StartAttempt {
			t.Fatalf("session %d was not attempted: %+v", id, d)
		}
	}
	if !b.endpoints[3].ejected {
		t.Fatal("the faulty endpoint is not ejected")
	}
	checks := 0
	for b.endpoints[3].ejected && b.now < 20*time.Second {
		b.AdvanceClock(b.now + roundInterval)
		for _, d := range allDecisions(b) {
			if d.Action == HealthCheck {
				checks++
				b.HealthCheckEnded(d.Endpoint, Succeeded)
			}
		}
	}
	if b.endpoints[3].ejected || checks != healthyThreshold {
		t.Fatalf("ejected is %v after %d health checks", b.endpoints[3].ejected, checks)
	}
}

// TestDeadEndpointsGetNoMoreAttempts guards against repeated attempts at unreachable endpoints while there are
// more of them than may be ejected.
func TestDeadEndpointsGetNoMoreAttempts(t *testing.T) {
	b, failed := newBalancer(testConfig(), warmEndpointList(9)), 0
	for id := SessionID(1); id <= 60; id++ { // six of nine endpoints are dead, twice as many as may be ejected
		b.AdvanceClock(b.now + 5*ms)
		d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
		for attempt := 0; d.Action == StartAttempt && d.Endpoint >= 103; attempt++ {
			failed++
			d = endAttempt(t, b, id, attempt, ConnectFailed)
		}
		b.AttemptEstablished(id, len(b.sessions[id].attemptedEndpoints)-1, ms)
	}
	if failed != 6 {
		t.Fatalf("%d attempts at six dead endpoints", failed)
	}
}

// TestEndpointThatShedLoadGetsFewAttempts guards against sessions that soon return to an endpoint that has just
// reset its sessions because it is full.
func TestEndpointThatShedLoadGetsFewAttempts(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(3))
	establish(t, b, 1, 12)
	for id := SessionID(1); id <= 12; id++ { // a full endpoint resets all sessions of this balancer
		if b.sessions[id].endpoint.index == 1 {
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	again := 0
	for id := SessionID(20); id < 60; id++ {
		b.AdvanceClock(b.now + 100*ms)
		if d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)}); d.Action == StartAttempt {
			b.AttemptEstablished(id, 0, ms)
			if d.Endpoint == 101 {
				again++
				b.AttemptEnded(id, 0, true, Reset)
			}
		}
	}
	if len(b.endpoints[1].sessions) > 0 || again > 3 {
		t.Fatalf("%d attempts at the full endpoint within 4 s", again)
	}
}

// TestResetsWithSpareCapacityAreNoOverload guards against resets that count as overload although load reports
// show spare capacity. All endpoints reset some sessions; only those with a high demand are overloaded.
func TestResetsWithSpareCapacityAreNoOverload(t *testing.T) {
	for demand, want := range map[float64]Action{0.1: StartAttempt, 0.6: Reject} {
		b := newBalancer(testConfig(), warmEndpointList(3))
		establish(t, b, 1, 30)
		for _, l := range warmEndpointList(3) {
			b.RecordLoadReport(l.ID, LoadReport{Demand: demand, Backlog: -1, Utilization: -1})
		}
		for id := SessionID(1); id <= 30; id += 4 {
			b.AttemptEnded(id, 0, true, Reset)
		}
		if d := addSession(t, b, SessionRequest{ID: 99, Key: 99}); d.Action != want {
			t.Errorf("demand %v: got %+v", demand, d)
		}
	}
}
