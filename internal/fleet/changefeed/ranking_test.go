package changefeed

import (
	"fmt"
	"slices"
	"testing"

	"sabletally/internal/fleet/shardmap"
)

// TestRankingPrefersOwnSiteAndTwoZones verifies that a subscriber chooses publishers of two zones of its own site, that each publisher gets
// its share, and that the choice changes only where a chosen publisher is removed.
func TestRankingPrefersOwnSiteAndTwoZones(t *testing.T) {
	const publishers, subscribers = 17, 4600
	list := func(without int) (all []Item) {
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
		f := NewSubscriber(SubscriberConfig{ID: fmt.Sprintf("b%d", i), Zone: "z0", Site: fmt.Sprintf("s%d", i%3)}, 0)
		pick := func(without int) (all []string) {
			f.updateMembers(Update{Complete: true, Items: list(without)})
			got := f.choosePublishers(false)
			if len(got) != 2 || got[0].zone == got[1].zone || got[0].site != f.config.Site || got[1].site != f.config.Site {
				t.Fatalf("%s of %s: %+v", f.config.ID, f.config.Site, got)
			}
			for _, w := range got {
				all = append(all, w.address)
			}
			return all
		}
		a := pick(-1)
		for _, addr := range a {
			load[addr]++
		}
		b := pick(4)
		had := slices.Contains(a, "r4")
		for _, addr := range a {
			if addr != "r4" && !slices.Contains(b, addr) && !had {
				t.Fatalf("%s has %v, and without r4 %v", f.config.ID, a, b)
			}
		}
		if had {
			moved++
		}
	}
	for addr, n := range load {
		if n < 300 || n > 1100 {
			t.Errorf("%s has %d of %d", addr, n, 2*subscribers)
		}
	}
	if moved != load["r4"] {
		t.Errorf("%d have moved, r4 had %d", moved, load["r4"])
	}
	t.Logf("subscribers by publisher: %v", load)
}

// TestThousandPublishersAreRanked verifies that all of a thousand publishers are ranked; subscribers of omitted ones would overload the
// others.
func TestThousandPublishersAreRanked(t *testing.T) {
	const publishers = 1024
	var all []Item
	for i := range publishers {
		name := fmt.Sprintf("r%d", i)
		all = append(all, memberItem(t, shardmap.Member{ID: name, Addr: name, Zone: fmt.Sprintf("z%d", i%11), Site: "s"}))
	}
	f := NewSubscriber(SubscriberConfig{ID: "b", Zone: "z0", Site: "s"}, 0)
	f.updateMembers(Update{Complete: true, Items: all})
	if len(f.rankedCandidates) != publishers {
		t.Errorf("%d of %d are ranked", len(f.rankedCandidates), publishers)
	}
}
