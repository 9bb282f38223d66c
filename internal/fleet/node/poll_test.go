package node

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// TestAsOfIsNeverTooNew cuts a leader off with a minority: neither it nor a member that polls it takes its state for newer than it can be.
func TestAsOfIsNeverTooNew(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "a", "a", "a")
	if _, known := fleet.nodes[4].AsOf(); known {
		t.Error("an age is known before anything was received")
	}
	fresh := func(i int) bool {
		cutAt, known := fleet.nodes[i].AsOf()
		return known && fleet.now-cutAt < 2*time.Second
	}
	all := func() bool {
		return len(fleet.voters()) == 3 && !slices.ContainsFunc([]int{0, 1, 2, 3, 4}, func(i int) bool { return !fresh(i) })
	}
	fleet.waitFor("all have a confirmed state", 30*time.Second, all)
	leader := fleet.leader()
	var voters, others []int
	for i := range fleet.nodes {
		if slices.Contains(fleet.voters(), i) {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	minority := map[int]bool{leader: true, others[0]: true} // the old leader, and a member that polls it
	cutAt := fleet.now
	fleet.isCut = func(from, to int) bool { return minority[from] != minority[to] }
	fleet.afterStep = func() {
		for i := range minority {
			if asOf, _ := fleet.nodes[i].AsOf(); asOf > cutAt {
				t.Fatalf("%d is confirmed up to %v, and was cut off from the majority at %v", i, asOf, cutAt)
			}
		}
	}
	fleet.waitFor("the majority goes on", 20*time.Second, func() bool {
		for _, i := range append(slices.Clone(voters), others[1]) {
			if !minority[i] && !fresh(i) {
				return false
			}
		}
		return true
	})
	fleet.run(5 * time.Second)
	fleet.afterStep = func() {}
	fleet.isCut = func(int, int) bool { return false }
	fleet.waitFor("all have a confirmed state again", 20*time.Second, all)
}

// TestLeaderLossKeepsLeases cuts the leader of seventeen off. The leases of balancers must outlast a change of leader: what a member knows may
// be as old as their lease less the longest time between two renewals.
func TestLeaderLossKeepsLeases(t *testing.T) {
	for n := range 6 {
		fleet := newTestFleet(t, 5, strings.Split(strings.Repeat("a b c ", 6)[:33], " ")...)
		fleet.waitFor("there are five voters", 30*time.Second, func() bool { return len(fleet.voters()) == 5 })
		fleet.run(10*time.Second + time.Duration(n)*130*time.Millisecond)
		leader, oldest := fleet.leader(), time.Duration(0)
		fleet.isCut = func(from, to int) bool { return from == leader || to == leader }
		fleet.afterStep = func() {
			for i, node := range fleet.nodes {
				if at, known := node.AsOf(); i != leader && known {
					oldest = max(oldest, fleet.now-at)
				}
			}
		}
		fleet.run(15 * time.Second)
		t.Logf("the oldest state was %v old", oldest)
		if oldest > changefeed.DefaultLease-changefeed.RenewInterval*5/4 {
			t.Errorf("the state of a member was %v old", oldest)
		}
	}
}
