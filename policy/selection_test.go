package policy

import (
	"testing"
	"time"
)

// TestEndpointIsSkippedAtTwiceTheMeanPlusTwo guards against a single key that loads its first endpoint with more
// than twice the mean plus two sessions.
func TestEndpointIsSkippedAtTwiceTheMeanPlusTwo(t *testing.T) {
	b, held := newBalancer(testConfig(), warmEndpointList(4)), map[EndpointID]int{}
	for id := SessionID(1); id <= 40; id++ { // a single key uses a single endpoint unless that is skipped
		d := addSession(t, b, SessionRequest{ID: id, Key: 5})
		if most := 2*float64(b.activeSessions-1)/4 + 3; float64(held[d.Endpoint]+1) > most {
			t.Fatalf("endpoint %d has %d of %d sessions", d.Endpoint, held[d.Endpoint]+1, b.activeSessions)
		}
		held[d.Endpoint]++
		b.AttemptEstablished(id, 0, ms)
	}
	if len(held) < 2 {
		t.Fatal("no endpoint was skipped")
	}
}

// TestBeyondFairShareSpareCapacityIsProven guards against an endpoint, the only one in the zone of a balancer
// that gets all sessions, that gets more than its fair share before a load report has shown spare capacity.
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
		t.Errorf("before a report of spare capacity the endpoints got %v", held)
	}
	report(0)
	if held := establish(t, b, 201, 40); held[100] < 25 {
		t.Errorf("after a report of spare capacity the endpoints got %v", held)
	}
	b = newBalancer(d, warmEndpointList(5)) // an endpoint with four times the weight gets more in proportion
	report(0)
	b.SetWeight(104, 4)
	if held := establish(t, b, 1, 80); held[104] < 30 {
		t.Errorf("with weight 4 at endpoint 104 the endpoints got %v", held)
	}
}

// TestEndpointsWithoutSessionsAreAssumedOverloaded guards against sessions that move on to endpoints of unknown
// load while all known ones are overloaded. A balancer must assume overload where it has no sessions as often as
// it sees overload where it has some.
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
		t.Fatalf("rejected sessions of 800, by whether endpoints are overloaded: %v", rejected)
	}
}

// TestWarmupKeyShareIsForSmallDeployments guards against a double limit on warming endpoints: only in small
// deployments do they refuse a part of the keys, because in large ones each balancer already admits sessions at
// random.
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
			t.Errorf("%d balancers: %d%% of the keys are refused", balancers, refused)
		}
	}
}

// TestNoReadyEndpoint guards against sessions without an answer while no endpoint is ready.
func TestNoReadyEndpoint(t *testing.T) {
	for _, list := range [][]Endpoint{nil, {{ID: 1, State: Draining}, {ID: 2, State: Removed}}} {
		if d := addSession(t, newBalancer(testConfig(), list), SessionRequest{ID: 1, Key: 1}); d.Action != Reject || d.Duration <= 0 {
			t.Fatalf("want a reject without ready endpoints, got %+v", d)
		}
	}
}

// TestThousandsOfEndpointsAndBalancers guards against too many attempts at warming endpoints in an extremely
// large deployment that has nothing else.
func TestThousandsOfEndpointsAndBalancers(t *testing.T) {
	list := warmEndpointList(4000)
	for i := range list {
		list[i].StartedAt, list[i].Zone = 0, 1+i%2 // all are warming up, and none is in the balancer's zone
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
