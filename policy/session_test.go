package policy

import "testing"

// TestAdoptedSessionAndLateEvents guards against an adopted session that gets a new attempt, and against effects
// of events for sessions that have ended and endpoints that are unknown.
func TestAdoptedSessionAndLateEvents(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(2))
	b.AdoptSession(SessionRequest{ID: 9, Key: 9}, 101)
	if b.activeSessions != 1 || len(b.endpoints[1].sessions) != 1 || len(allDecisions(b)) != 0 {
		t.Fatal("the adopted session is not established at its endpoint")
	}
	b.AttemptEnded(9, 0, true, Succeeded)
	b.AttemptEnded(9, 0, true, Succeeded)
	b.AttemptEstablished(9, 0, ms)
	b.RecordLoad(9, 0, 5)
	b.ClientDisconnected(9)
	b.HealthCheckEnded(555, Succeeded)
	b.RecordLatency(555, ms)
	b.RecordLoadReport(555, LoadReport{Demand: 1})
	if b.activeSessions != 0 || len(b.sessions) != 0 || count(allDecisions(b), StartAttempt) != 0 {
		t.Fatal("late events had an effect")
	}
}

// TestReconfigureKeepsSessions guards against sessions that change their class, endpoint or place in their
// tenant's count when the classes and tenants are replaced.
func TestReconfigureKeepsSessions(t *testing.T) {
	d := testConfig()
	d.Classes[0].Idempotency = NonIdempotent
	d.Tenants = []Tenant{{ConnectionQuota: 5}}
	b := newBalancer(d, warmEndpointList(3))
	x := addSession(t, b, SessionRequest{ID: 1, Key: 1})
	y := addSession(t, b, SessionRequest{ID: 2, Key: 2})
	b.AttemptEstablished(2, 0, ms)
	now := testConfig()
	now.Classes = append(now.Classes, now.Classes[0])
	b.Reconfigure(now, []int{-1}, []int{-1})
	if b.activeByTenant[0] != 2 || b.activeSessions != 2 {
		t.Fatalf("%d active sessions of unknown tenants, %d in all", b.activeByTenant[0], b.activeSessions)
	}
	b.AttemptEnded(1, 0, false, Failed) // the request may have run, and the class on arrival forbids a retry
	if got := allDecisions(b); len(got) != 1 || got[0].Action != Fail {
		t.Fatalf("decisions %+v after an attempt at endpoint %d", got, x.Endpoint)
	}
	b.Reconfigure(d, []int{0, -1}, nil)
	b.AttemptEnded(2, 0, true, Succeeded)
	if b.activeByTenant[0] != 0 || b.activeSessions != 0 || len(b.endpointByID[y.Endpoint].sessions) != 0 {
		t.Fatalf("active sessions by tenant %v, %d in all", b.activeByTenant, b.activeSessions)
	}
}
