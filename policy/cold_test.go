package policy

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var coldDraws = flag.Int("cold", 0, "cold servers drawn for each cell of the table; 2000 take many minutes")

// The troubles under which cold servers have to stand what all balancers send together.
const (
	groupsHome = "groups"    // members of few groups, whose home is a cold server, all come within a second
	wave       = "reconnect" // a third of all clients come again within a second
	restarts   = "restarts"  // balancers die and come back with nothing, twice in a span; their clients come again
	lateLists  = "late"      // groups come home, and three in ten balancers learn of the start two seconds late
)

// coldCell is one cell of the table: how many balancers, how many connections a cold server bears in a span, from whom.
type coldCell struct {
	trouble string
	unequal bool // a tenth of the balancers get seven in ten of all that comes
	peers   int
	bears   float64
}

// excess is what the worst of some cold servers got: over what it bears, and as a part of what is left to chance.
type excess struct {
	servers, falls int
	over, part     float64
	sent           int // all, to tell that they are filled
}

// play has one draw of a cell: three of nine servers are cold and everybody is told, but for late lists. It runs four
// seconds in steps of 50 ms; what is moved comes again to any balancer, as what is nacked does half a second later.
func (x coldCell) play(t *testing.T, seed uint64, sum *excess) {
	const servers, cold, step = 9, 3, 50 * ms
	r := rand.New(rand.NewPCG(seed, 44))
	d := deployment()
	d.Peers, d.MayProbe, d.FallFor, d.ColdFrom, d.ColdFor = x.peers, false, 1500*ms, 0.12, 23*time.Second
	spans := d.ColdFor.Seconds() / coldFill / d.FallFor.Seconds()
	// What servers hold, so that at some warmth they bear that much. Under a dozen the budget goes by a dozen.
	warmth := min(0.15+0.7*r.Float64(), x.bears*spans/d.FallMultiple/coldLeast)
	holds := x.bears * spans / d.FallMultiple / warmth
	age := time.Duration((warmth - d.ColdFrom) / (1 - d.ColdFrom) * float64(d.ColdFor))
	total := int(holds * math.Sqrt(servers*(servers-cold)))
	list := starting(fleet(servers), 0, cold, -age)
	bears := func(at time.Duration) float64 { // counted as by the rule, from the settings and what all hold
		w := d.ColdFrom + (1-d.ColdFrom)*float64(at+age)/float64(d.ColdFor)
		return d.FallMultiple * min(w, 1) * max(holds, coldLeast) / spans
	}
	pick := func() int { // the front
		if x.unequal && r.IntN(10) < 7 {
			return r.IntN(max(1, x.peers/10))
		}
		return r.IntN(x.peers)
	}
	all, born := make([]*Balancer, x.peers), make([]time.Duration, x.peers) // each has its own clock, from its start
	next := CircuitID(0)
	type client struct{ key, group uint64 }
	held := make([]map[CircuitID]client, x.peers)
	start := func(k int, now time.Duration) {
		all[k], held[k], born[k] = New(d, r.Uint64()), map[CircuitID]client{}, now
	}
	group := func() uint64 { return 1 + r.Uint64N(uint64(3+total/8)) }
	for k := range all {
		start(k, -time.Minute)
		all[k].Clock(time.Minute)
		all[k].ListArrived(list[cold:], true)
	}
	took := func(k int, c client, server ServerID) {
		next++
		all[k].HandedOver(Arrival{ID: next, Key: c.key, Group: c.group}, server)
		held[k][next] = c
	}
	type coming struct {
		at time.Duration
		client
		to int // any, where negative
	}
	var come []coming
	type leaving struct {
		at   time.Duration
		from int
		id   CircuitID
	}
	var leave []leaving
	began := 500 * ms // two rounds: what is cold is known
	left := total
	switch x.trouble {
	case groupsHome, lateLists: // at one server in half of the draws, else at all three
		crowd := int(1.6 * holds)
		for i := range cold {
			homes := []uint64{} // whose first is this one
			for g := uint64(1 << 20); len(homes) < 1+crowd/20; g++ {
				first := 0
				for j := range list {
					if score(1, g, list[j].Server) > score(1, g, list[first].Server) {
						first = j
					}
				}
				if first == i {
					homes = append(homes, g)
				}
			}
			for n := range crowd {
				k := pick()
				took(k, client{r.Uint64(), homes[n%len(homes)]}, list[cold+left%(servers-cold)].Server)
				left--
				at := began + time.Duration(r.Float64()*float64(time.Second))
				if seed%2 == 0 || i == 0 {
					leave = append(leave, leaving{at, k, next})
				}
			}
		}
	case wave:
		for range total / 3 {
			k := pick()
			took(k, client{r.Uint64(), group()}, list[cold+left%(servers-cold)].Server)
			left--
			leave = append(leave, leaving{began + time.Duration(r.Float64()*float64(time.Second)), k, next})
		}
	}
	for ; left > 0; left-- {
		took(pick(), client{r.Uint64(), group()}, list[cold+left%(servers-cold)].Server)
	}
	for _, b := range all { // they have held it for a while
		b.calm = float64(b.total)
	}
	turn := r.IntN(x.peers)
	type sending struct {
		at   time.Duration
		told bool
	}
	sent := make([][]sending, cold)
	told := make([]bool, x.peers)
	for now := time.Duration(0); now < 4*time.Second; now += step {
		if x.trouble == restarts && (now == began+500*ms || now == began+1500*ms) { // half of them, each time
			for k := range all {
				if r.IntN(2) > 0 {
					continue
				}
				ids := []CircuitID{}
				for id := range held[k] {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				for _, id := range ids {
					at := now + time.Duration(r.Float64()*float64(time.Second))
					come = append(come, coming{at, held[k][id], -1})
				}
				start(k, now)
				told[k] = false
			}
		}
		leave = slices.DeleteFunc(leave, func(l leaving) bool {
			c, stands := held[l.from][l.id]
			if l.at <= now && stands { // it may have been moved
				delete(held[l.from], l.id)
				all[l.from].TryEnded(l.id, 0, true, Cancelled)
				to := pick()
				if !x.unequal { // each at another balancer
					turn++
					to = turn % x.peers
				}
				come = append(come, coming{now, c, to})
			}
			return l.at <= now
		})
		due := []coming{}
		come = slices.DeleteFunc(come, func(c coming) bool {
			if c.at <= now {
				due = append(due, c)
			}
			return c.at <= now
		})
		slices.SortStableFunc(due, func(a, b coming) int { return cmp.Compare(a.at, b.at) })
		for _, c := range due {
			if c.to < 0 {
				c.to = pick()
			}
			next++
			held[c.to][next] = c.client
			all[c.to].CircuitArrived(Arrival{ID: next, Key: c.key, Group: c.group, Left: 1800 * ms})
		}
		for k, b := range all {
			b.Clock(now - born[k])
			if !told[k] && (x.trouble != lateLists || k%10 >= 3 || now >= began+2*time.Second) {
				told[k] = true
				own := slices.Clone(list)
				b.ListArrived(starting(own, 0, cold, -age-born[k]), true)
			} else if !told[k] && now == 0 { // what it has is older: the same servers, warm
				b.ListArrived(fleet(servers), true)
			}
			for _, dec := range pull(b) {
				c := held[k][dec.Circuit]
				switch dec.Do {
				case Try:
					if i := int(dec.Server - 100); i < cold {
						sent[i] = append(sent[i], sending{now, told[k]})
					}
					b.SetUp(dec.Circuit, 0, ms)
				case Move:
					b.TryEnded(dec.Circuit, 0, true, Cancelled)
					fallthrough
				case Nack:
					delete(held[k], dec.Circuit)
					come = append(come, coming{now + 500*ms, c, -1})
				default:
					t.Fatalf("%+v", dec)
				}
			}
		}
	}
	for _, at := range sent {
		sum.servers++
		sum.sent += len(at)
		from, knew := 0, 0
		for n, s := range at {
			if s.told {
				knew++
			}
			for s.at >= at[from].at+d.FallFor {
				if at[from].told {
					knew--
				}
				from++
			}
			got := n + 1 - from
			over, chance := float64(got)-bears(s.at), 2*math.Sqrt(bears(s.at))+2
			if 3*knew > 2*got { // what fell by those who did not know is down, and breaks no rule
				sum.over, sum.part = max(sum.over, over), max(sum.part, over/chance)
			}
			if over > chance {
				if 3*knew > 2*got {
					sum.falls++
				}
				break
			}
		}
	}
}

func (x coldCell) draw(t *testing.T, draws int) (sum excess) {
	for seed := uint64(1); sum.servers < draws; seed++ {
		x.play(t, seed*1e6+uint64(x.peers)*1000+uint64(x.bears), &sum)
	}
	return sum
}

// TestColdServersStandWhatAllSend has balancers that share nothing send, all together, no cold server more in any span than it
// bears and two roots of that and two, whatever brings the circuits. With parts that were paid out anew each span, a draw for
// each, and what is held by this moment, 14 of the cells fell. A row is a trouble and a number of balancers, a cell the most
// over what a server bears, as a part of what is left to chance, and in brackets what each server got on the mean in all.
func TestColdServersStandWhatAllSend(t *testing.T) {
	draws := cmp.Or(*coldDraws, 24)
	for _, unequal := range []bool{false, true} {
		for _, trouble := range []string{groupsHome, wave, restarts, lateLists} {
			for _, peers := range []int{2, 5, 20, 30, 100, 300} {
				t.Run(fmt.Sprintf("%s/unequal=%v/%d", trouble, unequal, peers), func(t *testing.T) {
					t.Parallel()
					line := fmt.Sprintf("| %s | %v | %d |", trouble, unequal, peers)
					for _, bears := range []float64{1, 3, 10, 30, 100, 200} {
						x := coldCell{trouble, unequal, peers, bears}
						sum := x.draw(t, max(3, int(float64(draws)*min(1, 10/bears)))) // the dearer, the fewer
						line += fmt.Sprintf(" %.1f %.2f (%.1f) |", sum.over, sum.part, float64(sum.sent)/float64(sum.servers))
						if sum.falls > 0 {
							t.Errorf("%+v: %d of %d cold servers fell", x, sum.falls, sum.servers)
						}
						if sum.sent == 0 && bears >= 10 {
							t.Errorf("%+v: nothing was sent", x)
						}
					}
					t.Log(line)
				})
			}
		}
	}
}
