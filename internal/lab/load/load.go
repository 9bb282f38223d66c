// Package load owns who comes when: open-loop arrivals that never wait for an answer, what each client wants, and
// when one comes again after a rejection, a move or a break. All is drawn ahead from a seed. It must never dial, and
// never hold a client back because another's answer is late.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is how arrivals follow each other.
type Shape string

// The shapes of arrivals.
const (
	Poisson  Shape = "poisson"
	Constant Shape = "constant"
)

// Burst multiplies the rate for a while.
type Burst struct {
	At, For time.Duration
	Factor  float64
}

// Plan says who comes.
type Plan struct {
	Shape        Shape
	Rate         float64       // new clients a second, beside those that stand
	Standing     int           // clients that come first, spread evenly over Fill
	WarmupTime   time.Duration // from then on the rest comes, and figures are taken
	Length       time.Duration // nobody comes after it
	MeanLifetime time.Duration // mean of how long a client wants its connection
	Groups       int           // 0: no groups
	Loads        float64       // spread of the clients' loads: sigma of a log-normal of mean 1; 0: all alike
	Classes      int
	Tenants      int
	Bursts       []Burst
}

// Client is one client: what it wants from when on.
type Client struct {
	At, Until time.Duration
	Load      float64
	Key       uint64
	Group     uint64 // 0: none
	Class     int
	Tenant    int
}

// Generate draws all clients of a run, in order of their coming.
func Generate(p Plan, seed uint64) []Client {
	rng := rand.New(rand.NewPCG(seed, 0x10ad))
	var all []Client
	come := func(at time.Duration) {
		c := Client{At: at, Load: 1, Key: rng.Uint64() | 1, Until: at + time.Duration(rng.ExpFloat64()*float64(p.MeanLifetime))}
		if p.Groups > 0 {
			// A few large groups, many small ones.
			c.Group = 1 + uint64(float64(p.Groups)*math.Pow(rng.Float64(), 1.5))
		}
		if p.Loads > 0 {
			c.Load = math.Exp(rng.NormFloat64()*p.Loads - p.Loads*p.Loads/2)
		}
		if p.Classes > 1 {
			c.Class = rng.IntN(p.Classes)
		}
		if p.Tenants > 1 {
			c.Tenant = rng.IntN(p.Tenants)
		}
		all = append(all, c)
	}
	for n := range p.Standing {
		come(time.Duration(float64(p.WarmupTime) * float64(n) / float64(p.Standing)))
	}
	for at := p.WarmupTime; p.Rate > 0; {
		rate := p.Rate
		for _, b := range p.Bursts {
			if at >= b.At && at < b.At+b.For {
				rate *= b.Factor
			}
		}
		gap := 1 / rate
		if p.Shape == Poisson {
			gap *= rng.ExpFloat64()
		}
		if at += time.Duration(gap * float64(time.Second)); at >= p.Length {
			break
		}
		come(at)
	}
	slices.SortStableFunc(all, func(a, b Client) int { return int(a.At - b.At) })
	return all
}

// Ending a client's connection or question ended.
type Ending uint8

// The ends of a client's connection or question.
const (
	Rejected Ending = iota
	Failed          // any other answer, or none in time
	Broken          // it stood and broke
	Moved           // it stood and was moved
	Dropped         // the client dropped it and comes straight back
)

// RetryPolicy says how clients come again; they do so until what they want is over.
type RetryPolicy struct {
	Backoff    time.Duration // after a rejection without Retry-After, and after a failure; doubles with each in a row
	MaxDelay   time.Duration // the longest wait
	MoveDelay  time.Duration // after a move
	BreakDelay time.Duration // after a break
}

// Delay is how long a client waits before it comes again, after so many failures in a row, with a draw from [0, 1).
func (r RetryPolicy) Delay(how Ending, failures int, retryAfter time.Duration, draw float64) time.Duration {
	spread := func(d time.Duration) time.Duration { return time.Duration((0.5 + draw) * float64(d)) }
	switch {
	case how == Moved || how == Dropped:
		return spread(r.MoveDelay)
	case how == Broken && failures == 0:
		return spread(r.BreakDelay)
	case how == Rejected && retryAfter > 0:
		return retryAfter
	}
	return spread(min(r.MaxDelay, r.Backoff<<min(max(failures-1, 0), 16)))
}
