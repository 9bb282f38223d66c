package policy

import (
	"testing"
	"time"
)

func TestEndpointIsSkippedAtTwiceTheMeanPlusTwo(t *testing.T) {
	b, held := newBalancer(testConfig(), warmEndpointList(4)), map[EndpointID]int{}
	for id := SessionID(1); id <= 40; id++ { // one key: one endpoint, unless it is skipped
		d := addSession(t, b, SessionRequest{ID: id, Key: 5})
		if most := 2*float64(b.activeSessions-1)/4 + 3; float64(held[d.Endpoint]+1) > most {
			t.Fatalf("endpoint %d holds %d of %d", d.Endpoint, held[d.Endpoint]+1, b.activeSessions)
		}
		held[d.Endpoint]++
		b.AttemptEstablished(id, 0, ms)
	}
	if len(held) < 2 {
		t.Fatal("no endpoint was skipped")
	}
}

// TestBeyondFairShareSpareCapacityIsProven has all sessions come to one balancer with one of five endpoints in its zone. That
// one gets more than its fair share only after a load report has shown spare capacity.
func TestBeyondFairShareSpareCapacityIsProven(t *testing.T) {
	d := testConfig()
	d.HasLoadReports, d.CrossZoneCost = true, 0.08
	list := warmEndpointList(5)
	for i := range list[1:] {
		list[1+i].Zone = 1
	}
	b := newBalancer(d, list)
	report := func(demand float64) {
		b.AdvanceClock(b.now + 3*time.Second)
		for _, l := range list {
			b.RecordLoadReport(l.ID, LoadReport{Demand: demand, Backlog: -1, Utilization: -1})
		}
	}
	report(0)
	if held := establish(t, b, 1, 100); held[100] > 33 || held[100] < 22 {
		t.Errorf("without a load report it got %v", held)
	}
	report(0)
	if held := establish(t, b, 201, 40); held[100] < 25 {
		t.Errorf("with spare capacity it got %v", held)
	}
	b = newBalancer(d, warmEndpointList(5)) // an endpoint of four times the weight gets as much more
	report(0)
	b.SetWeight(104, 4)
	if held := establish(t, b, 1, 80); held[104] < 30 {
		t.Errorf("by its weight it got %v", held)
	}
}

// TestEndpointsWithoutSessionsAreAssumedOverloaded has a balancer assume overload where it holds no session as often as it
// sees overload where it does.
func TestEndpointsWithoutSessionsAreAssumedOverloaded(t *testing.T) {
	rejected := map[bool]int{}
	for _, overloaded := range []bool{false, true} {
		for seed := range uint64(40) {
			b := New(testConfig(), seed*7919)
			b.UpdateEndpoints(warmEndpointList(40), true)
			establish(t, b, 1, 8)
			b.AdvanceClock(time.Second)
			for _, e := range b.newestPool().endpoints {
				if overloaded && len(e.sessions) > 0 {
					b.RecordLatency(e.ID, time.Second)
				}
			}
			allDecisions(b)
			for id := SessionID(1000); id < 1020; id++ {
				if addSession(t, b, SessionRequest{ID: id, Key: uint64(id) * seed, Group: uint64(id)}).Action == Reject {
					rejected[overloaded]++
				}
			}
		}
	}
	if rejected[false] > 0 || rejected[true] < 600 {
		t.Fatalf("%v of 800 rejected", rejected)
	}
}

// TestWarmupKeyShareIsForSmallDeployments has warming endpoints refuse a part of the keys only in small deployments: in large
// ones each balancer admits sessions by chance already.
func TestWarmupKeyShareIsForSmallDeployments(t *testing.T) {
	for balancers, want := range map[int]int{2: 33, 100: 0} { // percent of the keys, at a slow-start factor of 0.4
		d := testConfig()
		d.Balancers = balancers
		b := newBalancer(d, startingAt(warmEndpointList(2), 0, 1, -d.SlowStartWindow*5/17))
		refused := 0
		for key := range uint64(1000) {
			s := &session{clientKey: key, class: &d.Classes[0]}
			search := selection{Balancer: b, session: s, totalWeight: 2, fairLoad: 1e9}
			if search.skips(b.endpoints[0], relaxNone) {
				refused++
			}
		}
		if refused /= 10; refused < want-4 || refused > want+4 {
			t.Errorf("%d balancers: %d of a hundred keys are refused", balancers, refused)
		}
	}
}

func TestNoReadyEndpoint(t *testing.T) {
	for _, list := range [][]Endpoint{nil, {{ID: 1, State: Draining}, {ID: 2, State: Removed}}} {
		if d := addSession(t, newBalancer(testConfig(), list), SessionRequest{ID: 1, Key: 1}); d.Action != Reject || d.Duration <= 0 {
			t.Fatalf("%+v", d)
		}
	}
}

func TestThousandsOfEndpointsAndBalancers(t *testing.T) {
	list := warmEndpointList(4000)
	for i := range list {
		list[i].StartedAt, list[i].Zone = 0, 1+i%2 // all warming up, none in the own zone
	}
	d := testConfig()
	d.Balancers, d.CrossZoneCost = 1<<20, 0.1
	b := newBalancer(d, list)
	b.AdoptSession(SessionRequest{ID: 1e6, Key: 1}, 9)
	attempts := 0
	for id := SessionID(1); id <= 200; id++ {
		if addSession(t, b, SessionRequest{ID: id, Key: uint64(id)}).Action == StartAttempt {
			attempts++
		}
	}
	if attempts > 20 {
		t.Fatalf("one of a million balancers sent warming endpoints %d attempts", attempts)
	}
}
