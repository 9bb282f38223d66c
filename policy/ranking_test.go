package policy

import (
	"slices"
	"testing"
)

// TestBalancersAgreeOnKey guards against balancers that choose different endpoints for the same key, because
// their lists have another order.
func TestBalancersAgreeOnKey(t *testing.T) {
	back := warmEndpointList(9)
	slices.Reverse(back)
	b, c := newBalancer(testConfig(), warmEndpointList(9)), newBalancer(testConfig(), back)
	for k := SessionID(1); k <= 40; k++ {
		x, y := addSession(t, b, SessionRequest{ID: k, Key: uint64(k)}), addSession(t, c, SessionRequest{ID: k, Key: uint64(k)})
		if x.Endpoint != y.Endpoint {
			t.Fatalf("key %d: endpoints %d and %d", k, x.Endpoint, y.Endpoint)
		}
		for _, either := range []*Balancer{b, c} {
			either.AttemptEstablished(k, 0, ms)
			either.AttemptEnded(k, 0, true, Succeeded)
		}
	}
	if len(b.rankBuffer) != 9 || b.activeSessions != 0 {
		t.Fatalf("%d endpoints were ranked, %d sessions are left", len(b.rankBuffer), b.activeSessions)
	}
}

// TestLargeGroupsSpreadAndSmallOnesStayTogether guards against a large group that stays at few endpoints, and a
// small one that spreads over many.
func TestLargeGroupsSpreadAndSmallOnesStayTogether(t *testing.T) {
	place := func(groups uint64) int {
		b, on := newBalancer(testConfig(), warmEndpointList(10)), map[EndpointID]bool{}
		for id := SessionID(1); id <= 120; id++ {
			d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id), Group: 1000 + uint64(id)%groups})
			b.AttemptEstablished(id, 0, ms)
			if uint64(id)%groups == 0 {
				on[d.Endpoint] = true
			}
		}
		return len(on)
	}
	if big, small := place(2), place(30); big < 5 || small > 2 {
		t.Fatalf("a group of 1/2 of the sessions is at %d endpoints, one of 1/30 at %d", big, small)
	}
}

// TestOwnZoneIsPreferredByCrossZoneCost guards against a cost of connections to another zone that has no effect.
func TestOwnZoneIsPreferredByCrossZoneCost(t *testing.T) {
	d := testConfig()
	d.CrossZoneCost = 0.1
	b, own := newBalancer(d, inZones(warmEndpointList(8), 2)), 0
	for s, n := range establish(t, b, 1, 40) {
		if s%2 == 0 {
			own += n
		}
	}
	if own < 35 {
		t.Fatalf("%d of 40 sessions are in the balancer's own zone", own)
	}
}

// TestManyBalancersShareVersionAndAffinitySet guards against many balancers with few sessions each that spread a
// group over too many endpoints: there, random variation alone could enlarge the affinity set.
func TestManyBalancersShareVersionAndAffinitySet(t *testing.T) {
	on, first := map[EndpointID]int{}, []*endpoint(nil)
	for k, b := range newBalancers(t, 200, 0, testConfig(), warmEndpointList(40)) {
		for id := SessionID(1); id <= 8; id++ {
			group := uint64(id) + 10
			if d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)*1e6 + uint64(k), Group: min(group, 15)}); group >= 15 {
				on[d.Endpoint]++
			}
			b.AttemptEstablished(id, 0, ms)
		}
		if first == nil {
			first = b.newestPool().endpoints
		}
		if v := b.newestPool().endpoints; len(v) != len(first) || v[0].ID != 100 || v[39].ID != 139 {
			t.Fatal("the pools differ")
		}
	}
	most := 0
	for _, n := range on {
		most = max(most, n)
	}
	if 2*most < 4*200 {
		t.Fatalf("%d of 800 sessions of a group are at one endpoint, the others at %d endpoints", most, len(on)-1)
	}
}

// TestManyBalancersInThreeZonesKeepGroupTogether guards against small groups that get an affinity set in each
// zone, and against a balancer with many sessions of each group that uses other zones.
func TestManyBalancersInThreeZonesKeepGroupTogether(t *testing.T) {
	places := func(balancers, each, groups int) (all, crossed int) {
		at := map[[2]uint64]bool{}
		for k := range balancers {
			d := testConfig()
			d.Balancers, d.Zone, d.CrossZoneCost, d.CanHealthCheck = balancers, k%3, 0.08, false
			b := newBalancer(d, inZones(warmEndpointList(12), 3))
			for n := range each {
				c := each*k + n + 1
				group := hashPair(uint64(c), 1) % uint64(groups)
				got := addSession(t, b, SessionRequest{ID: SessionID(c), Key: uint64(c) + 1000, Group: group + 50})
				b.AttemptEstablished(SessionID(c), 0, ms)
				if at[[2]uint64{group, uint64(got.Endpoint)}] = true; n >= 50 && b.endpointByID[got.Endpoint].Zone != d.Zone {
					crossed++
				}
			}
		}
		return len(at), crossed
	}
	all, _ := places(80, 5, 30)
	if _, crossed := places(1, 300, 5); all > 45 || crossed > 0 {
		t.Errorf("30 groups have %d endpoints in total; %d sessions of a large balancer are in another zone", all, crossed)
	}
}

// TestWarmingEndpointsDoNotCountInReach guards against rejecting a group whose first endpoints are all warming
// up while endpoints after them are warm and empty.
func TestWarmingEndpointsDoNotCountInReach(t *testing.T) {
	d := testConfig()
	d.Balancers, d.CanHealthCheck = 1000, false
	b := newBalancer(d, startingAt(warmEndpointList(10), 0, 8, 0))
	for id := SessionID(1); id <= 20; id++ {
		if got := addSession(t, b, SessionRequest{ID: id, Key: uint64(id), Group: uint64(id) + 100}); got.Action != StartAttempt {
			t.Fatalf("session %d is rejected while two warm endpoints are empty", id)
		}
		b.AttemptEstablished(id, 0, ms)
	}
}
