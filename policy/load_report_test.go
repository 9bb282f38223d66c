package policy

import (
	"testing"
	"time"
)

func TestCapacityIsKeptWhenLowLoadReportFollows(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(2))
	establish(t, b, 1, 20)
	b.RecordLoadReport(100, LoadReport{Demand: 2, Backlog: -1, Utilization: -1})
	full := b.endpoints[0].capacity
	if full >= b.endpoints[0].load {
		t.Fatalf("capacity %v for a load of %v at twice the capacity", full, b.endpoints[0].load)
	}
	for id := SessionID(1); id <= 20; id++ {
		if b.sessions[id].endpoint.index == 0 {
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	b.RecordLoadReport(100, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
	if b.endpoints[0].capacity > full {
		t.Fatalf("capacity grew from %v to %v on an empty endpoint", full, b.endpoints[0].capacity)
	}
}

// TestManyBalancersPollLittleAfterCommonStart bounds the health checks of all balancers together.
func TestManyBalancersPollLittleAfterCommonStart(t *testing.T) {
	d := testConfig()
	d.HasLoadReports = true
	checks := 0
	all := newBalancers(t, 200, 0, d, warmEndpointList(20))
	for _, b := range all[100:] { // the others hold no sessions and poll nothing
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
						t.Fatal("a balancer without sessions polls")
					}
					b.HealthCheckEnded(dec.Endpoint, TimedOut)
				}
			}
		}
	}
	if checks > 20*(20+2)*5 { // each endpoint 20 times a second at first, then less often
		t.Fatalf("%d checks", checks)
	}
}

// TestWarmingEndpointIsPolledOnlyForItsOwnReports has no poll of a warming endpoint whose load the host would have to measure.
func TestWarmingEndpointIsPolledOnlyForItsOwnReports(t *testing.T) {
	for _, own := range []bool{false, true} {
		d := testConfig()
		d.HasLoadReports, d.HasEndpointReports = true, own
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
		if held := b.activeSessions; held == 0 || (checks > 0) != own {
			t.Errorf("endpoint reports %v: %d checks, %d held", own, checks, held)
		}
	}
}

func TestSessionWaitsForLoadReportUntilTimeout(t *testing.T) {
	d := testConfig()
	d.HasLoadReports = true
	for _, answered := range []bool{true, false} {
		b := newBalancer(d, warmEndpointList(3))
		b.AddSession(SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second})
		all := allDecisions(b)
		if count(all, HealthCheck) != 1 || count(all, StartAttempt) != 0 {
			t.Fatalf("%+v", all)
		}
		if answered {
			b.RecordLoadReport(all[0].Endpoint, LoadReport{Demand: 0.5, Backlog: -1, Utilization: -1})
			b.HealthCheckEnded(all[0].Endpoint, Succeeded)
		}
		for n := 0; n < 9 && count(all, StartAttempt) == 0; n++ { // no report comes: the host calls at NextWakeup
			if all = allDecisions(b); count(all, StartAttempt) == 0 {
				at, _ := b.NextWakeup()
				b.AdvanceClock(at)
			}
		}
		if count(all, StartAttempt) != 1 || answered && b.now > 0 || b.now > 225*ms { // three endpoints
			t.Fatalf("answered %v: %+v at %v", answered, all, b.now)
		}
	}
}

func TestFreshLoadReportAdmitsOneSession(t *testing.T) {
	d := testConfig()
	d.HasLoadReports = true
	b := newBalancer(d, warmEndpointList(1))
	b.AdvanceClock(time.Second)
	b.RecordLoadReport(100, LoadReport{Demand: 0.5, Backlog: -1, Utilization: -1}) // no session is held here: no capacity by the own load
	for id, want := range []Action{StartAttempt, Reject} {
		b.AdvanceClock(b.now + ms)
		if got := addSession(t, b, SessionRequest{ID: SessionID(id + 1), Key: 1, Load: 500}); got.Action != want {
			t.Fatalf("session %d: %+v", id+1, got)
		}
	}
}

// TestOldLoadReportRejectsNobody has a new report of the endpoint polled before a session is rejected by an old one.
func TestOldLoadReportRejectsNobody(t *testing.T) {
	for _, x := range []struct {
		own  bool    // reports of the endpoints, not measurements
		now  float64 // demand
		want Action
	}{{true, 0.5, StartAttempt}, {true, 0.8, Reject}, {false, 0.5, Reject}} {
		d := testConfig()
		d.HasLoadReports, d.HasEndpointReports = true, x.own
		b := newBalancer(d, warmEndpointList(1))
		b.RecordLoadReport(100, LoadReport{Demand: 0.8, Backlog: -1, Utilization: -1})
		b.AdvanceClock(freshReportTTL + ms)
		b.AddSession(SessionRequest{ID: 1, Key: 1, Load: 500, Timeout: 2 * time.Second})
		all := allDecisions(b)
		if isPolled := count(all, HealthCheck) == 1; isPolled {
			b.RecordLoadReport(100, LoadReport{Demand: x.now, Backlog: -1, Utilization: -1})
			b.HealthCheckEnded(100, Succeeded)
			all = allDecisions(b)
		}
		if count(all, x.want) != 1 {
			t.Errorf("%+v: %+v", x, all)
		}
	}
}

// TestRefutedLoadReportsAreDistrustedInFailureDomain has one endpoint be slow, or reset a session, while it reports that it is
// idle. The reports of its failure domain are then distrusted for a while.
func TestRefutedLoadReportsAreDistrustedInFailureDomain(t *testing.T) {
	for n := range 4 {
		d := testConfig()
		d.HasLoadReports, d.HasEndpointReports = true, n < 2
		list := warmEndpointList(3)
		list[2].FailureDomain = 1
		b := newBalancer(d, list)
		b.AdoptSession(SessionRequest{ID: 1, Load: 1}, 100)
		reportIdle := func() { // and nothing else shows spare capacity
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
			t.Errorf("%d: the same failure domain is skipped: %v, another: %v", n, same, other)
		}
		b.AdvanceClock(distrustTTL + ms)
		if reportIdle(); search.skips(b.endpoints[1], relaxEjection) {
			t.Error("distrusted for good")
		}
	}
}
