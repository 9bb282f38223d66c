// Package load owns the clients of a run: open-loop arrivals, what each client requests, and its delays after a rejection, a migration or a
// broken connection. All clients are drawn in advance from a seed. It must never dial, and never delay a client because the response to
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
	At     time.Duration // since the start of the run
	For    time.Duration
	Factor float64
}

// Plan describes the clients of a run.
type Plan struct {
	Shape          Shape
	Rate           float64       // new clients per second, beside the standing ones
	InitialClients int           // clients that arrive first, evenly over WarmupTime
	WarmupTime     time.Duration // from then on the others arrive, and figures are collected
	Length         time.Duration // no client arrives after it
	MeanLifetime   time.Duration // of the time for which a client wants its connection
	Groups         int           // 0: no groups
	LoadSigma      float64       // sigma of the clients' loads, a log-normal distribution with mean 1; 0: all have load 1
	Classes        int
	Tenants        int
	Bursts         []Burst
}

// Client is one client, which wants a connection for some time.
type Client struct {
	At     time.Duration // since the start of the run
	Until  time.Duration
	Load   float64
	Key    uint64
	Group  uint64 // 0: none
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

// drawGap draws the time from an arrival to the next one.
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
	Rejected Ending = iota
	Failed          // any other response, or none in time
	Broken          // it was established and broke
	Moved           // it was established and migrated
	Dropped         // the client closed it and reconnects at once
)

// RetryPolicy is the delays of clients before they retry. They retry as long as they want a connection.
type RetryPolicy struct {
	Backoff    time.Duration // after a rejection without Retry-After or a failure; doubles with each in a row
	MaxDelay   time.Duration // of Backoff
	MoveDelay  time.Duration // after a migration
	BreakDelay time.Duration // after a broken connection
}

// Delay is the time until a client retries, after a number of failures in a row, with a draw from [0, 1) for jitter.
func (r RetryPolicy) Delay(how Ending, failures int, retryAfter time.Duration, draw float64) time.Duration {
	jitter := func(d time.Duration) time.Duration { return time.Duration((0.5 + draw) * float64(d)) }
	switch {
	case how == Moved || how == Dropped:
		return jitter(r.MoveDelay)
	case how == Broken && failures == 0:
		return jitter(r.BreakDelay)
	case how == Rejected && retryAfter > 0:
		return retryAfter
	}
	return jitter(min(r.MaxDelay, r.Backoff<<min(max(failures-1, 0), 16)))
}
