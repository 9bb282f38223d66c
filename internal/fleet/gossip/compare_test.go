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

// The figures of docs/design/fleet.md, in virtual time: go test ./internal/fleet/gossip -run TestCompareDetectors -compare -v
var (
	compare     = flag.Bool("compare", false, "compare failure detectors; takes many minutes")
	compareFrom = flag.Int("compare-from", 0, "the least number of members")
)

// comparison is the result of one detector.
type comparison struct {
	falseFailures                     int // times that a member took one that is alive for failed, all pairs together
	death, stall, partition, noQuorum time.Duration
	bytes                             float64 // per second and member
}

func (f comparison) String() string {
	r := func(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
	return fmt.Sprintf("%6d | %v | %v | %v | %v | %.0f", f.falseFailures, r(f.death), r(f.stall), r(f.partition), r(f.noQuorum), f.bytes)
}

const (
	quietTime = 3 * time.Minute // in which nobody fails
	maxWait   = 2 * time.Minute // for one detection
)

func TestCompareDetectors(t *testing.T) {
	if !*compare {
		t.Skip("by hand")
	}
	fmt.Println("detector | members | loss | false failures in 3 min | death seen by half | stall | one way cut | no quorum at the cut one | bytes/s each")
	for _, many := range []int{10, 100, 300} {
		if many < *compareFrom {
			continue
		}
		for _, loss := range []float64{0.01, 0.1, 0.3} {
			for _, arm := range []struct {
				name string
				tune func(*memberlist.Config)
			}{{"as for a LAN", func(c *memberlist.Config) { *c = lanDefaults(*c) }}, {"ours", nil}} {
				var f comparison
				synctest.Test(t, func(t *testing.T) { f = compareLibrary(t, many, loss, arm.tune) })
				fmt.Printf("memberlist, %s | %d | %.0f%% | %v\n", arm.name, many, 100*loss, f)
			}
			for _, missed := range []int{8, 16} {
				fmt.Printf("heartbeats, %d missed | %d | %.0f%% | %v\n", missed, many, 100*loss, compareHeartbeats(many, loss, missed))
			}
		}
	}
}

// lanDefaults restores the library's own settings.
func lanDefaults(c memberlist.Config) memberlist.Config {
	d := memberlist.DefaultLANConfig()
	c.ProbeInterval, c.ProbeTimeout, c.PushPullInterval = d.ProbeInterval, d.ProbeTimeout, d.PushPullInterval
	c.GossipToTheDeadTime, c.TCPTimeout = d.GossipToTheDeadTime, d.TCPTimeout
	return c
}

// compareLibrary runs the agent that ships.
func compareLibrary(t *testing.T, many int, loss float64, tune func(*memberlist.Config)) comparison {
	fleet := newTunedFleet(t, many, tune)
	defer fleet.close()
	lossy := func(int, int) memnet.Link { return memnet.Link{Loss: loss} }
	fleet.waitFor("all are connected", 5*time.Minute, fleet.allConnected(many))
	fleet.network.Set(lossy)
	time.Sleep(10 * time.Second)

	var result comparison
	counter := newFailureCounter(fleet)
	before, _ := fleet.network.Sum()
	for range int(quietTime / time.Second) {
		time.Sleep(time.Second)
		result.falseFailures += counter.count()
	}
	after, _ := fleet.network.Sum()
	result.bytes = float64(after-before) / quietTime.Seconds() / float64(many)

	paused, cut, ended := many-1, many-2, many-3
	fleet.ports[paused].Pause()
	result.stall = fleet.detectionTime(paused)
	fleet.ports[paused].Resume()
	time.Sleep(time.Minute)

	fleet.network.Set(func(from, _ int) memnet.Link { return memnet.Link{Loss: loss, Cut: from == cut} })
	result.partition = fleet.detectionTime(cut)
	began := time.Now()
	for fleet.agents[cut].Status().Standing != membership.NoQuorum && time.Since(began) < 5*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	result.noQuorum = result.partition + time.Since(began)
	fleet.network.Set(lossy)
	time.Sleep(time.Minute)

	_ = fleet.ports[ended].Shutdown()
	result.death = fleet.detectionTime(ended)
	return result
}

// failureCounter counts how often members become failed in the view of others.
type failureCounter struct {
	fleet  *testFleet
	states []map[string]membership.State // by observer, by member ID
}

func newFailureCounter(fleet *testFleet) *failureCounter {
	c := &failureCounter{fleet: fleet, states: make([]map[string]membership.State, len(fleet.agents))}
	c.count()
	return c
}

// count returns how many members became failed since the last call, all pairs together.
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

// detectionTime returns how long it takes until half of the others see a member as failed, maxWait at most.
func (fleet *testFleet) detectionTime(member int) time.Duration {
	began := time.Now()
	for time.Since(began) < maxWait && 2*fleet.observersOfFailure(member) < len(fleet.agents)-1 {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began)
}

// observersOfFailure returns how many others see a member as failed.
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

// compareHeartbeats computes a detector by heartbeats: each member sends one to each other member four times a second, and is failed once so
// many are missed in a row.
func compareHeartbeats(many int, loss float64, missed int) (f comparison) {
	const each = 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(uint64(many), uint64(missed)))
	for range many * (many - 1) {
		row := 0
		for range int(quietTime / each) {
			if rng.Float64() >= loss {
				row = 0
			} else if row++; row == missed {
				f.falseFailures++
			}
		}
	}
	seen := func() time.Duration { // by half of the others: each lost some of the last ones before, too
		var all []time.Duration
		for range many - 1 {
			row := missed
			for rng.Float64() < loss {
				row--
			}
			all = append(all, time.Duration(float64(max(row, 0))*float64(each)-rng.Float64()*float64(each)))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	f.death, f.stall, f.partition = seen(), seen(), seen()
	f.noQuorum = -1 // it receives the heartbeats of all the others
	f.bytes = 4 * float64(many-1) * 40
	return f
}
