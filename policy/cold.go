package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file decides how much a cold server may be sent. One falls when all balancers together send it, in one
// window of FallFor, more than N connections of mean load and twice the root of N and two: N is FallMultiple
// times its warmth times what fills it over the warm-up. Balancers share nothing here: each has its part of a
// lower bound of N. Where few of each group are held, clients are spread over cold servers by their own keys.

const (
	coreWork   = 1e6 // microseconds of work a second that a core of the yardstick does: a server has one
	trustLoad  = 4.0 // notes of load that weigh as much as knowing nothing of it
	comesMost  = 1.0 // so many times its even share of what is held comes to a cold server within a window
	heavyMost  = 3.0 // circuits of a heavy class that a window has to bear: their mean is noted by chance
	fewNotes   = 3   // of a class's load, below which it may be a heavy one
	leastWhole = 1.0 // borne in a window where none is warm and nothing known: two are left to chance
)

// spending is one setup try at a cold server.
type spending struct {
	at     time.Duration
	weight float64 // in connections of mean load
}

// proof is what warm servers of a kind are seen to bear: the load held here where there is no jam, the heft
// of all, and the one for the other over a while, as a load that has just come proves nothing.
type proof struct{ load, heft, shown float64 }

// prove adds up what warm servers hold.
func (b *Balancer) prove() {
	b.warm = 0
	for kind, p := range b.proven {
		b.proven[kind] = proof{shown: p.shown}
	}
	for _, i := range b.newest().servers {
		p := b.proven[b.kind[i]]
		if b.warmth(i) >= 1 {
			b.warm, p.heft = b.warm+1, p.heft+b.heft[i]
			if !b.busy(i, jammed) {
				p.load += b.load[i]
			}
		}
		b.proven[b.kind[i]] = p
	}
	for kind, p := range b.proven {
		p.shown += (p.load/max(p.heft, 1e-9) - p.shown) * float64(roundEvery) / float64(tallyFor)
		b.proven[kind] = p
	}
}

// bears is this balancer's part of the connections of mean load that server i bears once it is warm, at least
// as warm ones of its kind are seen to, as the tenants' shares say of the fleet, or as one core does.
func (b *Balancer) bears(i int) float64 {
	peers, notes, seen, core := float64(b.dep.Balancers), float64(b.noted.figures), 0.0, 0.0
	if b.usual > 0 {
		core = coreWork / b.usual * notes / (notes + trustLoad) / peers
	}
	if p := b.proven[b.kind[i]]; p.heft > 0 {
		// What came just now counts later: whoever held it until then may have spent its part.
		settled := min(1, b.heldMean/float64(max(b.total, 1)))
		seen = settled * min(p.load/p.heft, p.shown) / max(b.usual, 1) * b.heft[i]
	}
	return max(seen, core, b.entitled/peers*b.heft[i]/max(b.fleetSize, b.heft[i]))
}

// weightOf is a circuit in connections of mean load; a light one counts as one.
func (b *Balancer) weightOf(c *circuit) float64 { return max(1, c.load/max(b.usual, 1)) }

// tooHeavy tells whether a few circuits of a heavy class are more than a cold server bears, in the measure of
// the lightest class. Of a class whose load was hardly noted they may be, where there are several.
func (b *Balancer) tooHeavy(c *circuit, whole float64) bool {
	if b.usual == 0 || len(b.dep.Classes) > 1 && b.usualOf[c.row].figures < fewNotes {
		return b.usual > 0
	}
	light := b.usual
	for _, usual := range b.usualOf[:len(b.dep.Classes)] {
		light = min(light, cmp.Or(usual.mean, light))
	}
	whole *= b.usual / max(light, 1)
	return c.load > b.usual && heavyMost*c.load/max(light, 1) > whole+2*math.Sqrt(whole)+2
}

// mayWarm tells whether a circuit may go to a cold server.
func (b *Balancer) mayWarm(c *circuit, i int) bool {
	peers, warmth, weight, spent := float64(b.dep.Balancers), b.warmth(i), b.weightOf(c), 0.0
	b.spent[i] = slices.DeleteFunc(b.spent[i], func(s spending) bool { return s.at <= b.now-b.dep.OverloadWindow })
	for _, s := range b.spent[i] {
		spent += s.weight
	}
	if !c.wanted {
		c.wanted, b.wanted = true, b.wanted+1
	}
	whole := b.dep.OverloadMultiple * warmth * b.bears(i) * peers * float64(b.dep.OverloadWindow) / float64(b.dep.SlowStartWindow)
	if whole == 0 && b.warm == 0 {
		whole = leastWhole
	}
	if b.now < b.noColdUntil || b.tooHeavy(c, whole) {
		return false
	}
	part := whole / peers
	root := math.Sqrt(whole) // two of it are left to chance
	if part >= 1 {           // the rounded parts of all add up to the whole
		return spent+weight <= math.Floor(part+2*root/peers+b.stratum(i))
	}
	part *= min(1+1/root, root/2) // less where so little is borne that a few heavy ones are too much
	comes := comesMost * max(float64(b.total), b.heldMean, 1) / float64(max(len(b.newest().servers), 1))
	drawn := b.colds / b.heft[i] / min(1, coolMore*warmth) / max(b.wanted, 1) // by how much comes to cold ones
	return spent < math.Ceil(part*min(1/comes, drawn)/weight-b.draw(c, i))
}

// stratum is this balancer's place in [0, 1) in the order in which fractions are rounded up: spread evenly by
// the golden ratio over all balancers, and the same after a restart.
func (b *Balancer) stratum(i int) float64 {
	return math.Mod(unit(mix(uint64(b.id[i]), 0))+float64(b.dep.Index)*(math.Phi-1), 1)
}

// draw is the number that a client's chance at a server has to beat: the same at every balancer, and for a
// while, as one that is drawn anew at each try would win sooner or later.
func (b *Balancer) draw(c *circuit, i int) float64 {
	window := uint64((b.now - b.started[i]) / max(fillEach, b.dep.OverloadWindow))
	return unit(mix(mix(c.key, uint64(b.id[i])), window))
}
