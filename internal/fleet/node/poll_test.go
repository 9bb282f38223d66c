package node

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/changefeed"
)

// TestAsOfIsNeverTooNew guards against a stale state that counts as confirmed. It cuts a leader and a member that polls it off from the
// majority: neither may have its state confirmed for a time after the cut.
func TestAsOfIsNeverTooNew(t *testing.T) {
	fleet := newTestFleet(t, 3, "a", "a", "a", "a", "a")
	if _, known := fleet.nodes[4].ConfirmedAt(); known {
		t.Error("ConfirmedAt is known before anything was received")
	}
	isConfirmed := func(i int) bool {
		asOf, known := fleet.nodes[i].ConfirmedAt()
		return known && fleet.now-asOf < 2*time.Second
	}
	allConfirmed := func() bool {
		return len(fleet.voters()) == 3 && !slices.ContainsFunc([]int{0, 1, 2, 3, 4}, func(i int) bool { return !isConfirmed(i) })
	}
	fleet.waitFor("all have a confirmed state", 30*time.Second, allConfirmed)
	leader := fleet.leader()
	var voters, others []int
	for i := range fleet.nodes {
		if slices.Contains(fleet.voters(), i) {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	minority := map[int]bool{leader: true, others[0]: true} // the old leader and a member that polls it
	cutAt := fleet.now
	fleet.isCut = func(from, to int) bool { return minority[from] != minority[to] }
	fleet.afterStep = func() {
		for i := range minority {
			if asOf, _ := fleet.nodes[i].ConfirmedAt(); asOf > cutAt {
				t.Fatalf("member %d: ConfirmedAt is %v, but it was cut off from the majority at %v", i, asOf, cutAt)
			}
		}
	}
	fleet.waitFor("the majority goes on", 20*time.Second, func() bool {
		for _, i := range append(slices.Clone(voters), others[1]) {
			if !minority[i] && !isConfirmed(i) {
				return false
			}
		}
		return true
	})
	fleet.run(5 * time.Second)
	fleet.afterStep = func() {}
	fleet.isCut = func(int, int) bool { return false }
	fleet.waitFor("all have a confirmed state again", 20*time.Second, allConfirmed)
}

// TestLeaderLossKeepsLeases guards against leases of balancers that expire because the leader changes. It cuts off the leader of seventeen
// members: the state of the others may become no older than the lease minus the longest time between two renewals.
func TestLeaderLossKeepsLeases(t *testing.T) {
	for n := range 6 {
		fleet := newTestFleet(t, 5, strings.Split(strings.Repeat("a b c ", 6)[:33], " ")...)
		fleet.waitFor("there are five voters", 30*time.Second, func() bool { return len(fleet.voters()) == 5 })
		fleet.run(10*time.Second + time.Duration(n)*130*time.Millisecond)
		leader, maxAge := fleet.leader(), time.Duration(0)
		fleet.isCut = func(from, to int) bool { return from == leader || to == leader }
		fleet.afterStep = func() {
			for i, node := range fleet.nodes {
				if asOf, known := node.ConfirmedAt(); i != leader && known {
					maxAge = max(maxAge, fleet.now-asOf)
				}
			}
		}
		fleet.run(15 * time.Second)
		t.Logf("maximum age of a member's state: %v", maxAge)
		if maxAge > changefeed.DefaultLease-changefeed.RenewInterval*5/4 {
			t.Errorf("the state of a member became %v old", maxAge)
		}
	}
}
