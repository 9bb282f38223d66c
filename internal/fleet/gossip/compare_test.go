package gossip

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"sabletally/internal/fleet/membership"
	"sabletally/internal/lab/memnet"
)

// These flags select the comparison of failure detectors for docs/design/fleet.md, which runs in virtual time:
// go test ./internal/fleet/gossip -run TestCompareDetectors -compare -v
var (
	compare     = flag.Bool("compare", false, "compare failure detectors; takes many minutes")
	compareFrom = flag.Int("compare-from", 0, "smallest fleet to compare, in members")
)

// comparison holds the results of one detector.
type comparison struct {
	falseFailures                     int           // number of times that a member saw a live one as failed, over all pairs
	death, stall, partition, noQuorum time.Duration // time until half of the others saw the failure; until the partitioned member lost its quorum
	bytes                             float64       // bytes sent per second and member
}

// String returns the results as columns of the comparison's table.
func (c comparison) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
	return fmt.Sprintf("%6d | %v | %v | %v | %v | %.0f", c.falseFailures, round(c.death), round(c.stall), round(c.partition), round(c.noQuorum), c.bytes)
}

const (
	quietTime = 3 * time.Minute // time without any failure, in which false failures are counted
	maxWait   = 2 * time.Minute // longest wait for one detection
)

// TestCompareDetectors prints a table of failure detectors by size of the fleet and packet loss. It checks nothing and runs only with
// the flag -compare.
func TestCompareDetectors(t *testing.T) {
	if !*compare {
		t.Skip("runs only with the flag -compare")
	}
	fmt.Println("detector | members | loss | false failures in 3 min | death seen by half | stall | one way cut | no quorum at the cut one | bytes/s each")
	for _, members := range []int{10, 100, 300} {
		if members < *compareFrom {
			continue
		}
		for _, loss := range []float64{0.01, 0.1, 0.3} {
			for _, variant := range []struct {
				name string
				tune func(*memberlist.Config)
			}{{"as for a LAN", func(c *memberlist.Config) { *c = lanDefaults(*c) }}, {"ours", nil}} {
				var result comparison
				synctest.Test(t, func(t *testing.T) { result = compareLibrary(t, members, loss, variant.tune) })
				fmt.Printf("memberlist, %s | %d | %.0f%% | %v\n", variant.name, members, 100*loss, result)
			}
			for _, missed := range []int{8, 16} {
				fmt.Printf("heartbeats, %d missed | %d | %.0f%% | %v\n", missed, members, 100*loss, compareHeartbeats(members, loss, missed))
			}
		}
	}
}

// lanDefaults restores the library's own defaults for a local network.
func lanDefaults(c memberlist.Config) memberlist.Config {
	d := memberlist.DefaultLANConfig()
	c.ProbeInterval, c.ProbeTimeout, c.PushPullInterval = d.ProbeInterval, d.ProbeTimeout, d.PushPullInterval
	c.GossipToTheDeadTime, c.TCPTimeout = d.GossipToTheDeadTime, d.TCPTimeout
	return c
}

// compareLibrary measures the production agent in a fleet with packet loss.
func compareLibrary(t *testing.T, members int, loss float64, tune func(*memberlist.Config)) comparison {
	fleet := newTunedFleet(t, members, tune)
	defer fleet.close()
	lossy := func(int, int) memnet.Link { return memnet.Link{Loss: loss} }
	fleet.waitFor("all are connected", 5*time.Minute, fleet.allConnected(members))
	fleet.network.SetLinks(lossy)
	time.Sleep(10 * time.Second)

	var result comparison
	counter := newFailureCounter(fleet)
	before, _ := fleet.network.SentTotals()
	for range int(quietTime / time.Second) {
		time.Sleep(time.Second)
		result.falseFailures += counter.count()
	}
	after, _ := fleet.network.SentTotals()
	result.bytes = float64(after-before) / quietTime.Seconds() / float64(members)

	paused, cut, ended := members-1, members-2, members-3
	fleet.ports[paused].Pause()
	result.stall = fleet.detectionTime(paused)
	fleet.ports[paused].Resume()
	time.Sleep(time.Minute)

	fleet.network.SetLinks(func(from, _ int) memnet.Link { return memnet.Link{Loss: loss, IsCut: from == cut} })
	result.partition = fleet.detectionTime(cut)
	start := time.Now()
	for fleet.agents[cut].Status().Standing != membership.NoQuorum && time.Since(start) < 5*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	result.noQuorum = result.partition + time.Since(start)
	fleet.network.SetLinks(lossy)
	time.Sleep(time.Minute)

	_ = fleet.ports[ended].Shutdown()
	result.death = fleet.detectionTime(ended)
	return result
}

// failureCounter counts how often members change to failed in the view of others.
type failureCounter struct {
	fleet  *testFleet
	states []map[string]membership.State // last state that each observer saw, by observer and member ID
}

func newFailureCounter(fleet *testFleet) *failureCounter {
	c := &failureCounter{fleet: fleet, states: make([]map[string]membership.State, len(fleet.agents))}
	c.count()
	return c
}

// count returns how many members changed to failed since the last call, over all pairs of observer and member.
func (c *failureCounter) count() int {
	n := 0
	for i, agent := range c.fleet.agents {
		states := map[string]membership.State{}
		for _, peer := range agent.Status().Peers {
			states[peer.ID] = peer.State
			if peer.State == membership.Failed && c.states[i][peer.ID] != membership.Failed {
				n++
			}
		}
		c.states[i] = states
	}
	return n
}

// detectionTime returns the time until half of the other members see a member as failed, maxWait at most.
func (fleet *testFleet) detectionTime(member int) time.Duration {
	start := time.Now()
	for time.Since(start) < maxWait && 2*fleet.observersOfFailure(member) < len(fleet.agents)-1 {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// observersOfFailure returns how many other members see a member as failed.
func (fleet *testFleet) observersOfFailure(member int) int {
	n := 0
	for i, agent := range fleet.agents {
		if i == member {
			continue
		}
		for _, peer := range agent.Status().Peers {
			if peer.ID == memberID(member) && peer.State == membership.Failed {
				n++
			}
		}
	}
	return n
}

// compareHeartbeats simulates a detector by heartbeats: each member sends one to each other member four times a second, and counts as failed
// once the given number of them was missed in a row.
func compareHeartbeats(members int, loss float64, missed int) (result comparison) {
	const heartbeatInterval = 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(uint64(members), uint64(missed)))
	for range members * (members - 1) {
		missedInRow := 0
		for range int(quietTime / heartbeatInterval) {
			if rng.Float64() >= loss {
				missedInRow = 0
			} else if missedInRow++; missedInRow == missed {
				result.falseFailures++
			}
		}
	}
	detectionByHalf := func() time.Duration { // time until half of the others detect a failure; some have missed the last heartbeats before it
		var all []time.Duration
		for range members - 1 {
			missedInRow := missed
			for rng.Float64() < loss {
				missedInRow--
			}
			all = append(all, time.Duration(float64(max(missedInRow, 0))*float64(heartbeatInterval)-rng.Float64()*float64(heartbeatInterval)))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	result.death, result.stall, result.partition = detectionByHalf(), detectionByHalf(), detectionByHalf()
	result.noQuorum = -1 // marks the figure as not applicable: the partitioned member still receives the heartbeats of all others
	result.bytes = 4 * float64(members-1) * 40
	return result
}
