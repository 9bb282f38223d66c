// This file reads the load of an experiment: how clients arrive, leave and retry.

package experiment

import (
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/lab/load"
)

// readLoad reads the block "load".
func (r *reader) readLoad(in *hcl.Block) {
	b := r.Block("load", in.Body, in.DefRange, "shape rate standing fill life groups spread wait wait_most move break",
		hcl.BlockHeaderSchema{Type: "burst"})
	b.Require("life")
	const ms, s = time.Millisecond, time.Second
	w := &r.experiment.World
	maxClients := r.limit(maxSocketClients, maxVirtualClients)
	w.Load = load.Plan{
		Shape:          load.Shape(b.String("shape", string(load.Poisson), string(load.Poisson), string(load.Constant))),
		Rate:           b.Number("rate", 0, 0, 1e6),
		InitialClients: b.Int("standing", 0, 0, maxClients),
		WarmupTime:     b.Duration("fill", 0, 0, maxLength),
		MeanLifetime:   b.Duration("life", 20*s, ms, 24*time.Hour),
		Groups:         b.Int("groups", 0, 0, 10000000),
		LoadSigma:      b.Number("spread", 0, 0, 3),
		Classes:        len(w.ClassNames),
		Length:         r.length,
	}
	for _, burst := range b.Blocks["burst"] {
		w.Load.Bursts = append(w.Load.Bursts, r.readBurst(burst))
	}
	r.checkLoad(in, &w.Load, maxClients)
	w.Retry = load.RetryPolicy{
		Backoff:    b.Duration("wait", 100*ms, 0, time.Minute),
		MaxDelay:   b.Duration("wait_most", 2*s, 0, time.Hour),
		MoveDelay:  b.Duration("move", 100*ms, 0, time.Minute),
		BreakDelay: b.Duration("break", 300*ms, 0, time.Minute),
	}
}

// readBurst reads a block "burst": a time in which the arrival rate is multiplied.
func (r *reader) readBurst(in *hcl.Block) load.Burst {
	b := r.Block("burst", in.Body, in.DefRange, "at for times")
	b.Require("at", "for", "times")
	return load.Burst{
		At:     b.Duration("at", 0, 0, r.length),
		For:    b.Duration("for", time.Second, time.Millisecond, r.length),
		Factor: b.Number("times", 2, 0, 1000),
	}
}

// checkLoad checks the conditions that involve several keys.
func (r *reader) checkLoad(in *hcl.Block, plan *load.Plan, maxClients int) {
	if plan.WarmupTime >= r.length {
		r.Errorf(in.DefRange, "load: fill %v leaves no time to measure in a length of %v", plan.WarmupTime, r.length)
	}
	if plan.InitialClients > 0 && plan.WarmupTime == 0 {
		r.Errorf(in.DefRange, "load: standing clients need a time within which they connect: fill")
	}
	if plan.InitialClients == 0 && plan.Rate == 0 {
		r.Errorf(in.DefRange, "load: no clients: neither standing nor rate is set")
	}
	if clients := plan.Rate * (r.length - plan.WarmupTime).Seconds(); clients > float64(maxClients) {
		r.Errorf(in.DefRange, "load: %.0f clients are more than the limit of %d", clients, maxClients)
	}
}
