package node

import (
	"slices"
	"testing"
	"time"
)

// TestVotersAreSpread guards against a majority of voters in one failure domain. Of five voters among nine members of three sites, no site may
// have a majority; three voters of one site must be in three zones.
func TestVotersAreSpread(t *testing.T) {
	fleet := newTestFleet(t, 5, "a", "a", "a", "a", "a", "b", "b", "c", "c")
	fleet.waitFor("there are five voters", 30*time.Second, func() bool { return len(fleet.voters()) == 5 })
	if got := fleet.votersBySite(fleet.voters()); !slices.Equal(got, []int{1, 2, 2}) {
		t.Errorf("number of voters by site: %v, want 1, 2 and 2", got)
	}

	fleet = newTestFleet(t, 3, "a/1", "a/1", "a/1", "a/2", "a/2", "a/3")
	fleet.waitFor("there are three voters", 30*time.Second, func() bool { return len(fleet.voters()) == 3 })
	zones := map[string]bool{}
	for _, i := range fleet.voters() {
		zones[fleet.cfgs[i].Self.Zone] = true
	}
	if len(zones) != 3 {
		t.Errorf("three voters of one site are in zones %v, want three zones", zones)
	}
}

// TestCrowdedSiteLosesVoters guards against a site that keeps a majority of the voters although there are other sites. It adds two sites to one
// that has all five voters: voters must be replaced one at a time, and none while another one is down. With two sites, voters must not move
// back and forth between them.
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
		t.Errorf("voters changed again, from %v to %v", settled, got)
	}

	two := newTestFleet(t, 5, "a", "a", "a", "a", "b", "b", "b", "b")
	two.waitFor("there are five voters", 30*time.Second, func() bool { return len(two.voters()) == 5 })
	settled = two.voters()
	two.run(20 * time.Second)
	if got := two.voters(); !slices.Equal(got, settled) {
		t.Errorf("two sites: voters changed again, from %v to %v", settled, got)
	}
}
