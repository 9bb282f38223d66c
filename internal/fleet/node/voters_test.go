package node

import (
	"slices"
	"testing"
	"time"
)

// TestVotersAreSpread has five voters among nine members of three sites. No site has a majority, so that it is
// not lost with one site.
func TestVotersAreSpread(t *testing.T) {
	fleet := newTestFleet(t, 5, "a", "a", "a", "a", "a", "b", "b", "c", "c")
	fleet.waitFor("there are five voters", 30*time.Second, func() bool { return len(fleet.voters()) == 5 })
	if got := fleet.votersBySite(fleet.voters()); !slices.Equal(got, []int{1, 2, 2}) {
		t.Errorf("voters by site %v, wanted 2, 2 and 1", got)
	}

	fleet = newTestFleet(t, 3, "a/1", "a/1", "a/1", "a/2", "a/2", "a/3")
	fleet.waitFor("there are three voters", 30*time.Second, func() bool { return len(fleet.voters()) == 3 })
	zones := map[string]bool{}
	for _, i := range fleet.voters() {
		zones[fleet.cfgs[i].Self.Zone] = true
	}
	if len(zones) != 3 {
		t.Errorf("three voters of one site are in zones %v", zones)
	}
}

// TestCrowdedSiteLosesVoters adds two sites to one with all five voters. Voters are replaced one at a time, none is replaced while another one is
// down, and two sites do not exchange a voter for ever.
func TestCrowdedSiteLosesVoters(t *testing.T) {
	fleet := newTestFleet(t, 5, "a", "a", "a", "a", "a")
	fleet.waitFor("there are five voters", 30*time.Second, func() bool { return len(fleet.voters()) == 5 })
	first := fleet.voters()
	stopped := first[4]
	if stopped == fleet.leader() {
		stopped = first[3]
	}
	fleet.setDown(stopped, true)
	for _, site := range []string{"b", "b", "c", "c"} {
		fleet.join(5, site)
	}
	fleet.run(testEvictAfter * 3 / 4)
	if got := fleet.voters(); !slices.Equal(got, first) {
		t.Fatalf("voters %v became %v while one was down", first, got)
	}
	fleet.setDown(stopped, false)
	last := first
	fleet.afterStep = func() {
		now := fleet.voters()
		if now == nil {
			return
		}
		removed := 0
		for _, i := range last {
			if !slices.Contains(now, i) {
				removed++
			}
		}
		if removed > 1 || len(now) < 5 {
			t.Errorf("voters %v became %v in one step", last, now)
		}
		last = now
	}
	fleet.waitFor("no site has a majority", time.Minute, func() bool { return slices.Equal(fleet.votersBySite(fleet.voters()), []int{1, 2, 2}) })
	settled := fleet.voters()
	fleet.run(20 * time.Second)
	if got := fleet.voters(); !slices.Equal(got, settled) {
		t.Errorf("voters moved on from %v to %v", settled, got)
	}

	two := newTestFleet(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	two.waitFor("there are five voters", 30*time.Second, func() bool { return len(two.voters()) == 5 })
	settled = two.voters()
	two.run(20 * time.Second)
	if got := two.voters(); !slices.Equal(got, settled) {
		t.Errorf("of two sites: voters moved from %v to %v", settled, got)
	}
}
