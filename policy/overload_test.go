package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestOverloadedEndpointGetsNoSessionsAndLosesFew guards against new sessions at an overloaded endpoint, and
// against migrating none or more than its sessions.
func TestOverloadedEndpointGetsNoSessionsAndLosesFew(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(5))
	held, migrations := establish(t, b, 1, 50), 0
	if len(held) != 5 {
		t.Fatalf("only %d of 5 endpoints have sessions", len(held))
	}
	for s := range 8 {
		b.AdvanceClock(time.Duration(s) * time.Second)
		b.RecordLatency(102, 90*ms)
		for _, d := range allDecisions(b) {
			if d.Action == Migrate {
				migrations++
				b.AttemptEnded(d.Session, 0, true, Cancelled)
			}
		}
		if d := addSession(t, b, SessionRequest{ID: SessionID(100 + s), Key: uint64(s)}); d.Endpoint == 102 {
			t.Fatal("a new session went to an overloaded endpoint")
		}
	}
	if migrations == 0 || migrations > held[102] {
		t.Fatalf("%d of %d sessions migrated", migrations, held[102])
	}
}

// TestManyBalancersDoNotEmptyOverloadedEndpoint guards against many balancers, each with few sessions at an
// overloaded endpoint, that together migrate most of them.
func TestManyBalancersDoNotEmptyOverloadedEndpoint(t *testing.T) {
	migrations := 0
	for seed := range uint64(200) { // each has one or two sessions at the endpoint
		b := New(testConfig(), seed*7919)
		b.UpdateEndpoints(warmEndpointList(5), true)
		establish(t, b, 1, 8)
		b.AdvanceClock(time.Second)
		b.RecordLatency(102, 65*ms+15*ms)
		migrations += count(allDecisions(b), Migrate)
	}
	if migrations == 0 || migrations > 100 {
		t.Fatalf("200 balancers migrated %d sessions, want 1 to 100", migrations)
	}
}

// TestAllOverloadedRejectsAtOnce guards against attempts while all endpoints are overloaded, and against rejects
// after the recorded latencies have expired.
func TestAllOverloadedRejectsAtOnce(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(3))
	for s := range EndpointID(3) {
		b.RecordLatency(100+s, 500*ms)
	}
	if d := addSession(t, b, SessionRequest{ID: 1, Key: 1}); d.Action != Reject || d.Duration <= 0 {
		t.Fatalf("want a reject while all endpoints are overloaded, got %+v", d)
	}
	b.AdvanceClock(latencyTTL + time.Second) // recorded latencies expire
	if d := addSession(t, b, SessionRequest{ID: 2, Key: 1}); d.Action != StartAttempt {
		t.Fatalf("want an attempt after the latencies have expired, got %+v", d)
	}
}

// TestOverloadMigrationFollowsLoadReport guards against migrating too little or too much of an overload that a
// load report shows. A small deployment migrates the excess, once for each report. A large one migrates only a
// small part, because each balancer gets its own report.
func TestOverloadMigrationFollowsLoadReport(t *testing.T) {
	for _, balancers := range []int{1, 80} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) { checkOverloadMigration(t, balancers) })
	}
}

// checkOverloadMigration overloads one of four endpoints by a load report and checks the migrated part of its
// sessions.
func checkOverloadMigration(t *testing.T, balancers int) {
	d := testConfig()
	d.HasLoadReports, d.Balancers = true, balancers
	b := newBalancer(d, warmEndpointList(4))
	report := func(first float64) {
		for _, l := range warmEndpointList(4) {
			b.RecordLoadReport(l.ID, LoadReport{Demand: first, Backlog: -1, Utilization: -1})
			first = 0.1 // demand of the other endpoints
		}
	}
	report(0.1)
	held := establish(t, b, 1, 80)
	report(1.6)
	var migrated [2]int
	for step := range 20 {
		b.AdvanceClock(b.now + 100*ms)
		migrated[step/10] += count(allDecisions(b), Migrate)
	}
	// A small deployment migrates 0.8 of the excess of 1.6 over 0.85 at first, and then an eighth of the
	// sessions, because the report has been used.
	if balancers > 1 && migrated[0] > held[100]/4 {
		t.Fatalf("of %d sessions %v migrated, by second", held[100], migrated)
	}
	if part := float64(migrated[0]) / float64(held[100]); balancers == 1 && (part < 0.25 || part > 0.5 || migrated[1]*2 > migrated[0]) {
		t.Fatalf("of %d sessions %v migrated, by second", held[100], migrated)
	}
}
