package policy

import (
	"testing"
	"time"
)

// TestCapacityIsKeptWhenLowLoadReportFollows guards against an assumed capacity that grows by a low demand,
// reported only because the sessions have left.
func TestCapacityIsKeptWhenLowLoadReportFollows(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(2))
	establish(t, b, 1, 20)
	b.RecordLoadReport(100, LoadReport{Demand: 2, Backlog: -1, Utilization: -1})
	full := b.endpoints[0].capacity
	if full >= b.endpoints[0].load {
		t.Fatalf("capacity is %v although a load of %v is twice the capacity", full, b.endpoints[0].load)
	}
	for id := SessionID(1); id <= 20; id++ {
		if b.sessions[id].endpoint.index == 0 {
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	b.RecordLoadReport(100, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
	if b.endpoints[0].capacity > full {
		t.Fatalf("capacity grew from %v to %v at an empty endpoint", full, b.endpoints[0].capacity)
	}
}

// TestManyBalancersPollLittleAfterCommonStart guards against too many health checks by many balancers that start
// at the same time, and against any by those without sessions.
func TestManyBalancersPollLittleAfterCommonStart(t *testing.T) {
	d := testConfig()
	d.HasLoadReports = true
	checks := 0
	all := newBalancers(t, 200, 0, d, warmEndpointList(20))
	for _, b := range all[100:] { // the first 100 have no sessions and must not poll
		for n := range 5 {
			b.AdoptSession(SessionRequest{ID: SessionID(n + 1), Key: uint64(n + 1)}, EndpointID(100+n))
		}
	}
	for step := range 100 {
		now := time.Duration(step) * 50 * ms
		for k, b := range all {
			b.AdvanceClock(now)
			for _, dec := range allDecisions(b) {
				if dec.Action == HealthCheck {
					if checks++; k < 100 {
						t.Fatal("a balancer without sessions polls an endpoint")
					}
					b.HealthCheckEnded(dec.Endpoint, TimedOut)
				}
			}
		}
	}
	if checks > 20*(20+2)*5 { // 20 per second for each endpoint at first, then fewer
		t.Fatalf("%d health checks within 5 s", checks)
	}
}

// TestWarmingEndpointIsPolledOnlyForItsOwnReports guards against polls of a warming endpoint whose load the host
// would have to measure, and against none if the endpoint reports its load itself.
func TestWarmingEndpointIsPolledOnlyForItsOwnReports(t *testing.T) {
	for _, fromEndpoints := range []bool{false, true} {
		d := testConfig()
		d.HasLoadReports, d.HasEndpointReports = true, fromEndpoints
		b := newBalancer(d, startingAt(warmEndpointList(3), 0, 3, 0))
		checks := 0
		for step := range 200 {
			b.AdvanceClock(time.Duration(step) * 50 * ms)
			if step%4 == 0 {
				b.AddSession(SessionRequest{ID: SessionID(step + 1), Key: uint64(step + 1), Timeout: 2 * time.Second})
			}
			for _, d := range allDecisions(b) {
				switch d.Action {
				case HealthCheck:
					checks++
					b.HealthCheckEnded(d.Endpoint, Succeeded)
					b.RecordLoadReport(d.Endpoint, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
				case StartAttempt:
					b.AttemptEstablished(d.Session, 0, ms)
				}
			}
		}
		if held := b.activeSessions; held == 0 || (checks > 0) != fromEndpoints {
			t.Errorf("endpoint reports %v: %d health checks, %d active sessions", fromEndpoints, checks, held)
		}
	}
}

// TestSessionWaitsForLoadReportUntilTimeout guards against an attempt before the load report of its endpoint has
// come, and against a session that waits too long for a report that does not come.
func TestSessionWaitsForLoadReportUntilTimeout(t *testing.T) {
	d := testConfig()
	d.HasLoadReports = true
	for _, answered := range []bool{true, false} {
		b := newBalancer(d, warmEndpointList(3))
		b.AddSession(SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second})
		all := allDecisions(b)
		if count(all, HealthCheck) != 1 || count(all, StartAttempt) != 0 {
			t.Fatalf("want only a health check before the attempt, got %+v", all)
		}
		if answered {
			b.RecordLoadReport(all[0].Endpoint, LoadReport{Demand: 0.5, Backlog: -1, Utilization: -1})
			b.HealthCheckEnded(all[0].Endpoint, Succeeded)
		}
		for n := 0; n < 9 && count(all, StartAttempt) == 0; n++ { // without a report the host calls Next at NextWakeup
			if all = allDecisions(b); count(all, StartAttempt) == 0 {
				at, _ := b.NextWakeup()
				b.AdvanceClock(at)
			}
		}
		if count(all, StartAttempt) != 1 || answered && b.now > 0 || b.now > 225*ms { // three waits of 75 ms, one for each endpoint
			t.Fatalf("report sent is %v: decisions %+v at %v", answered, all, b.now)
		}
	}
}

// TestFreshLoadReportAdmitsOneSession guards against many sessions that are admitted by a single report of spare
// capacity.
func TestFreshLoadReportAdmitsOneSession(t *testing.T) {
	d := testConfig()
	d.HasLoadReports = true
	b := newBalancer(d, warmEndpointList(1))
	b.AdvanceClock(time.Second)
	// Without own sessions, this report sets the assumed capacity to 0.
	b.RecordLoadReport(100, LoadReport{Demand: 0.5, Backlog: -1, Utilization: -1})
	for id, want := range []Action{StartAttempt, Reject} {
		b.AdvanceClock(b.now + ms)
		if got := addSession(t, b, SessionRequest{ID: SessionID(id + 1), Key: 1, Load: 500}); got.Action != want {
			t.Fatalf("session %d: got %+v", id+1, got)
		}
	}
}

// TestOldLoadReportRejectsNobody guards against rejecting a session by an old load report: an endpoint that
// reports its load itself must be polled first.
func TestOldLoadReportRejectsNobody(t *testing.T) {
	for _, x := range []struct {
		fromEndpoints bool    // reports come from the endpoints instead of measurements by the host
		newDemand     float64 // demand in the new report
		want          Action
	}{{true, 0.5, StartAttempt}, {true, 0.8, Reject}, {false, 0.5, Reject}} {
		d := testConfig()
		d.HasLoadReports, d.HasEndpointReports = true, x.fromEndpoints
		b := newBalancer(d, warmEndpointList(1))
		b.RecordLoadReport(100, LoadReport{Demand: 0.8, Backlog: -1, Utilization: -1})
		b.AdvanceClock(freshReportTTL + ms)
		b.AddSession(SessionRequest{ID: 1, Key: 1, Load: 500, Timeout: 2 * time.Second})
		all := allDecisions(b)
		if isPolled := count(all, HealthCheck) == 1; isPolled {
			b.RecordLoadReport(100, LoadReport{Demand: x.newDemand, Backlog: -1, Utilization: -1})
			b.HealthCheckEnded(100, Succeeded)
			all = allDecisions(b)
		}
		if count(all, x.want) != 1 {
			t.Errorf("%+v: got decisions %+v", x, all)
		}
	}
}

// TestRefutedLoadReportsAreDistrustedInFailureDomain guards against sessions that follow wrong reports of spare
// capacity. If an endpoint is slow, or resets a session, while it reports that it is idle, the reports of its
// failure domain are distrusted for a while.
func TestRefutedLoadReportsAreDistrustedInFailureDomain(t *testing.T) {
	for n := range 4 {
		d := testConfig()
		d.HasLoadReports, d.HasEndpointReports = true, n < 2
		list := warmEndpointList(3)
		list[2].FailureDomain = 1
		b := newBalancer(d, list)
		b.AdoptSession(SessionRequest{ID: 1, Load: 1}, 100)
		reportIdle := func() { // a capacity of 0 makes the reports the only sign of spare capacity
			for i, l := range list {
				b.RecordLoadReport(l.ID, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
				b.endpoints[i].capacity = 0
			}
		}
		if reportIdle(); n%2 == 0 {
			b.AttemptEnded(1, 0, true, Reset)
		} else {
			b.RecordLatency(100, 90*ms)
		}
		s := &session{class: &d.Classes[0], load: 1, polls: maxPolls}
		search := selection{Balancer: b, session: s, totalWeight: 3, fairLoad: 100}
		if same, other := search.skips(b.endpoints[1], relaxEjection), search.skips(b.endpoints[2], relaxEjection); same != d.HasEndpointReports || other {
			t.Errorf("case %d: skipped in the same failure domain: %v, in another: %v", n, same, other)
		}
		b.AdvanceClock(distrustTTL + ms)
		if reportIdle(); search.skips(b.endpoints[1], relaxEjection) {
			t.Error("reports are still distrusted after the TTL")
		}
	}
}
