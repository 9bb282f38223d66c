package main

import (
	"testing"

	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/simulation"
)

// TestLargeFleetExperiments guards against a policy that breaks a rule or serves too little of the demand when eighty balancers have only
// a few connections each. The experiments run in virtual time with a fixed seed, so that each run gives the same result. In "herd", the
// store completes 30 set-ups per second, in order, including those of clients that have given up.
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
				t.Fatalf("served %.3f of the demand, want at least %.3f; verdict %v, error %v", r.Served, minServed, v, err)
			}
		})
	}
}
