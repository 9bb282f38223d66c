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
func compareLibrary(t *testing.T, many int, loss float64, tune func(*memberlist.Config)) (f comparison) {
	fleet := newTunedFleet(t, many, tune)
	defer fleet.close()
	usual := func(int, int) memnet.Link { return memnet.Link{Loss: loss} }
	fleet.waitFor("all see all", 5*time.Minute, fleet.allConnected(many))
	fleet.network.Set(usual)
	time.Sleep(10 * time.Second)
	failed := make([]map[string]membership.State, many)
	falsely := func() (n int) {
		for i, c := range fleet.agents {
			now := map[string]membership.State{}
			for _, k := range c.Status().Peers {
				now[k.ID] = k.State
				if k.State == membership.Failed && failed[i][k.ID] != membership.Failed {
					n++
				}
			}
			failed[i] = now
		}
		return n
	}
	falsely()
	before, _ := fleet.network.Sum()
	for range int(quietTime / time.Second) {
		time.Sleep(time.Second)
		f.falseFailures += falsely()
	}
	after, _ := fleet.network.Sum()
	f.bytes = float64(after-before) / quietTime.Seconds() / float64(many)
	half := func(num int) time.Duration { // until half of the others see it as failed
		began := time.Now()
		for time.Since(began) < maxWait {
			n := 0
			for i, c := range fleet.agents {
				if i == num {
					continue
				}
				for _, k := range c.Status().Peers {
					if k.ID == memberID(num) && k.State == membership.Failed {
						n++
					}
				}
			}
			if 2*n >= many-1 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		return time.Since(began)
	}
	fleet.ports[many-1].Pause()
	f.stall = half(many - 1)
	fleet.ports[many-1].Resume()
	time.Sleep(time.Minute)
	fleet.network.Set(func(from, _ int) memnet.Link { return memnet.Link{Loss: loss, Cut: from == many-2} })
	f.partition = half(many - 2)
	began := time.Now()
	for fleet.agents[many-2].Status().Standing != membership.NoQuorum && time.Since(began) < 5*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	f.noQuorum = f.partition + time.Since(began)
	fleet.network.Set(usual)
	time.Sleep(time.Minute)
	_ = fleet.ports[many-3].Shutdown()
	f.death = half(many - 3)
	return f
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
