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

// The figures of docs/design/fleet.md, in virtual time: go test ./internal/fleet/gossip -run TestWeigh -weigh -v
var (
	weigh = flag.Bool("weigh", false, "weigh failure detectors against each other; takes many minutes")
	least = flag.Int("weigh-from", 0, "with so many members or more")
)

// found is what one arm came to.
type found struct {
	falsely                  int // times that a member took a live one for gone, all pairs together
	death, stall, cut, knows time.Duration
	bytes                    float64 // a second, each member
}

func (f found) String() string {
	r := func(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
	return fmt.Sprintf("%6d | %v | %v | %v | %v | %.0f", f.falsely, r(f.death), r(f.stall), r(f.cut), r(f.knows), f.bytes)
}

const (
	calm    = 3 * time.Minute // in which nobody is gone
	atTheMo = 2 * time.Minute // nothing is waited for longer
)

func TestWeigh(t *testing.T) {
	if !*weigh {
		t.Skip("by hand")
	}
	fmt.Println("arm | members | loss | falsely gone in 3 min | death seen by half | stall | one way cut | the cut one knows | bytes/s each")
	for _, many := range []int{10, 100, 300} {
		if many < *least {
			continue
		}
		for _, loss := range []float64{0.01, 0.1, 0.3} {
			for _, arm := range []struct {
				name string
				tune func(*memberlist.Config)
			}{{"as for a LAN", func(c *memberlist.Config) { *c = lan(*c) }}, {"ours", nil}} {
				var f found
				synctest.Test(t, func(t *testing.T) { f = library(t, many, loss, arm.tune) })
				fmt.Printf("memberlist, %s | %d | %.0f%% | %v\n", arm.name, many, 100*loss, f)
			}
			for _, missed := range []int{8, 16} {
				fmt.Printf("beats, %d missed | %d | %.0f%% | %v\n", missed, many, 100*loss, beats(many, loss, missed))
			}
		}
	}
}

// lan takes the library's own figures back.
func lan(c memberlist.Config) memberlist.Config {
	d := memberlist.DefaultLANConfig()
	c.ProbeInterval, c.ProbeTimeout, c.PushPullInterval = d.ProbeInterval, d.ProbeTimeout, d.PushPullInterval
	c.GossipToTheDeadTime, c.TCPTimeout = d.GossipToTheDeadTime, d.TCPTimeout
	return c
}

// library plays the contact that ships.
func library(t *testing.T, many int, loss float64, tune func(*memberlist.Config)) (f found) {
	w := fleetOf(t, many, tune)
	defer w.close()
	usual := func(int, int) memnet.Link { return memnet.Link{Loss: loss} }
	w.until("all see all", 5*time.Minute, w.together(many))
	w.net.Set(usual)
	time.Sleep(10 * time.Second)
	gone := make([]map[string]membership.State, many)
	falsely := func() (n int) {
		for i, c := range w.all {
			now := map[string]membership.State{}
			for _, k := range c.Status().Peers {
				now[k.ID] = k.State
				if k.State == membership.Failed && gone[i][k.ID] != membership.Failed {
					n++
				}
			}
			gone[i] = now
		}
		return n
	}
	falsely()
	before, _ := w.net.Sum()
	for range int(calm / time.Second) {
		time.Sleep(time.Second)
		f.falsely += falsely()
	}
	after, _ := w.net.Sum()
	f.bytes = float64(after-before) / calm.Seconds() / float64(many)
	half := func(num int) time.Duration { // until half of the others see it gone
		began := time.Now()
		for time.Since(began) < atTheMo {
			n := 0
			for i, c := range w.all {
				if i == num {
					continue
				}
				for _, k := range c.Status().Peers {
					if k.ID == id(num) && k.State == membership.Failed {
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
	w.ports[many-1].Pause()
	f.stall = half(many - 1)
	w.ports[many-1].Resume()
	time.Sleep(time.Minute)
	w.net.Set(func(from, to int) memnet.Link { return memnet.Link{Loss: loss, Cut: from == many-2} })
	f.cut = half(many - 2)
	began := time.Now()
	for w.all[many-2].Status().Standing != membership.NoQuorum && time.Since(began) < 5*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	f.knows = f.cut + time.Since(began)
	w.net.Set(usual)
	time.Sleep(time.Minute)
	_ = w.ports[many-3].Shutdown()
	f.death = half(many - 3)
	return f
}

// beats plays what the copies' own links could do: each member tells each other one four times a second that it is there, and
// is gone once so many are missed in a row.
func beats(many int, loss float64, missed int) (f found) {
	const each = 250 * time.Millisecond
	rng := rand.New(rand.NewPCG(uint64(many), uint64(missed)))
	for range many * (many - 1) {
		row := 0
		for range int(calm / each) {
			if rng.Float64() >= loss {
				row = 0
			} else if row++; row == missed {
				f.falsely++
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
	f.death, f.stall, f.cut = seen(), seen(), seen()
	f.knows = -1 // it hears all the others
	f.bytes = 4 * float64(many-1) * 40
	return f
}
