// Package load generates the clients of a run: open-loop arrivals, what each client requests, and its delays after a rejection, a
// migration or a broken connection. All clients are drawn in advance from a seed. It must never dial, and never delay a client because the response to
// another one is late.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the distribution of the times between arrivals.
type Shape string

// The shapes of arrivals.
const (
	Poisson  Shape = "poisson"
	Constant Shape = "constant"
)

// Burst multiplies the rate for some time.
type Burst struct {
	At     time.Duration // begin, since the start of the run
	For    time.Duration // duration of the burst
	Factor float64       // factor by which the rate is multiplied
}

// Plan describes the clients of a run.
type Plan struct {
	Shape          Shape
	Rate           float64       // arrivals per second after WarmupTime
	InitialClients int           // clients that arrive before the others, evenly over WarmupTime
	WarmupTime     time.Duration // time of the run from which the other clients arrive and figures are collected
	Length         time.Duration // end of the arrivals, as time of the run
	MeanLifetime   time.Duration // mean of the time for which a client wants a connection
	Groups         int           // number of groups of clients; 0: no groups
	LoadSigma      float64       // sigma of the clients' loads, a log-normal distribution with mean 1; 0: all have load 1
	Classes        int
	Tenants        int
	Bursts         []Burst
}

// Client is one client, which wants a connection for some time.
type Client struct {
	At     time.Duration // arrival, since the start of the run
	Until  time.Duration // end of the time for which the client wants a connection, since the start of the run
	Load   float64       // load of the client's sessions; the mean over all clients is 1
	Key    uint64        // deduplication and affinity key
	Group  uint64        // number of the group that the client belongs to; 0: no group
	Class  int
	Tenant int
}

// groupExponent skews the sizes of groups: a few are large, many are small.
const groupExponent = 1.5

// Generate draws all clients of a run, in order of their arrival.
func Generate(p Plan, seed uint64) []Client {
	rng := rand.New(rand.NewPCG(seed, 0x10ad))
	var clients []Client
	for i := range p.InitialClients {
		at := time.Duration(float64(p.WarmupTime) * float64(i) / float64(p.InitialClients))
		clients = append(clients, p.draw(rng, at))
	}
	for at := p.WarmupTime; p.Rate > 0; {
		at += p.drawGap(rng, at)
		if at >= p.Length {
			break
		}
		clients = append(clients, p.draw(rng, at))
	}
	slices.SortStableFunc(clients, func(a, b Client) int { return int(a.At - b.At) })
	return clients
}

// draw draws a client that arrives at a time.
func (p *Plan) draw(rng *rand.Rand, at time.Duration) Client {
	client := Client{At: at, Load: 1, Key: rng.Uint64() | 1}
	client.Until = at + time.Duration(rng.ExpFloat64()*float64(p.MeanLifetime))
	if p.Groups > 0 {
		client.Group = 1 + uint64(float64(p.Groups)*math.Pow(rng.Float64(), groupExponent))
	}
	if p.LoadSigma > 0 {
		client.Load = math.Exp(rng.NormFloat64()*p.LoadSigma - p.LoadSigma*p.LoadSigma/2)
	}
	if p.Classes > 1 {
		client.Class = rng.IntN(p.Classes)
	}
	if p.Tenants > 1 {
		client.Tenant = rng.IntN(p.Tenants)
	}
	return client
}

// drawGap draws the time between an arrival and the next one.
func (p *Plan) drawGap(rng *rand.Rand, at time.Duration) time.Duration {
	rate := p.Rate
	for _, burst := range p.Bursts {
		if at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	seconds := 1 / rate
	if p.Shape == Poisson {
		seconds *= rng.ExpFloat64()
	}
	return time.Duration(seconds * float64(time.Second))
}

// Ending is how a client's connection or request ended.
type Ending uint8

// The ways in which a client's connection or request ends.
const (
	Rejected Ending = iota // the request was rejected, with or without Retry-After
	Failed                 // any other negative response, or none in time
	Broken                 // the established connection broke
	Moved                  // the balancer told the client to migrate
	Dropped                // the client closed the connection, and reconnects like after a migration
)

// RetryPolicy configures the delays before clients retry. They retry as long as they want a connection.
type RetryPolicy struct {
	Backoff    time.Duration // delay after a rejection without Retry-After or after a failure; doubles with each consecutive one
	MaxDelay   time.Duration // limit of the doubled Backoff
	MoveDelay  time.Duration // delay after a migration, or after the client has closed the connection
	BreakDelay time.Duration // delay after a broken connection
}

// Delay returns the time until a client retries after a number of consecutive failures. draw is a random number from [0, 1) for jitter.
func (r RetryPolicy) Delay(ending Ending, failures int, retryAfter time.Duration, draw float64) time.Duration {
	jitter := func(d time.Duration) time.Duration { return time.Duration((0.5 + draw) * float64(d)) }
	switch {
	case ending == Moved || ending == Dropped:
		return jitter(r.MoveDelay)
	case ending == Broken && failures == 0:
		return jitter(r.BreakDelay)
	case ending == Rejected && retryAfter > 0:
		return retryAfter
	}
	return jitter(min(r.MaxDelay, r.Backoff<<min(max(failures-1, 0), 16)))
}
