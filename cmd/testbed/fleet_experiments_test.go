package main

import (
	"testing"

	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/simulation"
)

// TestLargeFleetExperiments: eighty balancers with a few connections each keep the four rules and serve a minimum of the demand. They run
// in virtual time, so that the result is the same each time. In the experiment "herd" the store does 30 set-ups per second, in order,
// also for clients that have given up.
func TestLargeFleetExperiments(t *testing.T) {
	for name, minServed := range map[string]float64{"herd": 0.6, "zone": 0.85, "join": 0.85, "full": 0.9} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, err := experiment.Load("../../lab/experiments/fleet-" + name + ".hcl")
			if err != nil {
				t.Fatal(err)
			}
			r, _, v, err := simulation.Run(x.World, "ours", 1)
			if err != nil || len(v.Violations) > 0 || r.Served < minServed {
				t.Fatalf("%.3f of %.3f served, %v, %v", r.Served, minServed, v, err)
			}
		})
	}
}
