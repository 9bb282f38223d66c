package changefeed

import (
	"fmt"
	"slices"
	"testing"

	"sabletally/internal/fleet/shardmap"
)

// TestRankingPrefersOwnSiteAndTwoZones guards against a ranking that chooses publishers of one zone or of other sites, spreads the load
// unevenly, or moves subscribers that did not follow a removed publisher.
func TestRankingPrefersOwnSiteAndTwoZones(t *testing.T) {
	const publishers, subscribers = 17, 4600
	membersWithout := func(without int) (all []Item) {
		for i := range publishers {
			if i != without {
				all = append(all, memberItem(t, shardmap.Member{ID: fmt.Sprintf("r%d", i), Addr: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("z%d", i%11), Site: fmt.Sprintf("s%d", i%11%3)}))
			}
		}
		return all
	}
	load := map[string]int{}
	moved := 0
	for i := range subscribers {
		subscriber := NewSubscriber(SubscriberConfig{ID: fmt.Sprintf("b%d", i), Zone: "z0", Site: fmt.Sprintf("s%d", i%3)}, 0)
		addressesWithout := func(without int) (all []string) {
			subscriber.updateMembers(Update{Complete: true, Items: membersWithout(without)})
			got := subscriber.choosePublishers(false)
			if len(got) != 2 || got[0].zone == got[1].zone || got[0].site != subscriber.config.Site || got[1].site != subscriber.config.Site {
				t.Fatalf("%s in site %s chose %+v", subscriber.config.ID, subscriber.config.Site, got)
			}
			for _, chosen := range got {
				all = append(all, chosen.address)
			}
			return all
		}
		before := addressesWithout(-1)
		for _, addr := range before {
			load[addr]++
		}
		after := addressesWithout(4)
		hadRemoved := slices.Contains(before, "r4")
		for _, addr := range before {
			if addr != "r4" && !slices.Contains(after, addr) && !hadRemoved {
				t.Fatalf("%s chose %v, and %v after the removal of r4", subscriber.config.ID, before, after)
			}
		}
		if hadRemoved {
			moved++
		}
	}
	for addr, n := range load {
		if n < 300 || n > 1100 {
			t.Errorf("%s has %d of %d sessions", addr, n, 2*subscribers)
		}
	}
	if moved != load["r4"] {
		t.Errorf("%d subscribers have moved, r4 had %d", moved, load["r4"])
	}
	t.Logf("subscribers by publisher: %v", load)
}

// TestThousandPublishersAreRanked guards against a limit of ranked publishers that omits some of a large fleet: the others would be
// overloaded by the subscribers of the omitted ones.
func TestThousandPublishersAreRanked(t *testing.T) {
	const publishers = 1024
	var all []Item
	for i := range publishers {
		name := fmt.Sprintf("r%d", i)
		all = append(all, memberItem(t, shardmap.Member{ID: name, Addr: name, Zone: fmt.Sprintf("z%d", i%11), Site: "s"}))
	}
	subscriber := NewSubscriber(SubscriberConfig{ID: "b", Zone: "z0", Site: "s"}, 0)
	subscriber.updateMembers(Update{Complete: true, Items: all})
	if len(subscriber.rankedCandidates) != publishers {
		t.Errorf("%d of %d publishers are ranked", len(subscriber.rankedCandidates), publishers)
	}
}
