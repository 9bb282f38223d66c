package policy

import (
	"slices"
	"testing"
)

func TestBalancersAgreeOnKey(t *testing.T) {
	back := warmEndpointList(9)
	slices.Reverse(back)
	b, c := newBalancer(testConfig(), warmEndpointList(9)), newBalancer(testConfig(), back)
	for k := SessionID(1); k <= 40; k++ {
		x, y := addSession(t, b, SessionRequest{ID: k, Key: uint64(k)}), addSession(t, c, SessionRequest{ID: k, Key: uint64(k)})
		if x.Endpoint != y.Endpoint {
			t.Fatalf("key %d: %d and %d", k, x.Endpoint, y.Endpoint)
		}
		for _, either := range []*Balancer{b, c} {
			either.AttemptEstablished(k, 0, ms)
			either.AttemptEnded(k, 0, true, Succeeded)
		}
	}
	if len(b.rankBuffer) != 9 || b.activeSessions != 0 {
		t.Fatalf("%d endpoints ranked, %d sessions left", len(b.rankBuffer), b.activeSessions)
	}
}

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
		t.Fatalf("a group of half the sessions lies on %d endpoints, one of a thirtieth on %d", big, small)
	}
}

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
		t.Fatalf("%d of 40 in the own zone", own)
	}
}

// TestManyBalancersShareVersionAndAffinitySet has each balancer hold so few sessions that chance alone could enlarge a group's
// affinity set.
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
		t.Fatalf("%d of 800 sessions of a group on one endpoint, the others on %d", most, len(on)-1)
	}
}

// TestManyBalancersInThreeZonesKeepGroupTogether has small groups share one affinity set over all zones, while a balancer
// that holds many sessions of each group keeps them in its zone.
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
		t.Errorf("30 groups at %d endpoints; %d of a large balancer's sessions cross zones", all, crossed)
	}
}

// TestWarmingEndpointsDoNotCountInReach has a group whose first endpoints all warm up reach the warm ones after them.
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
