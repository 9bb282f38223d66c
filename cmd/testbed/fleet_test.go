package main

import (
	"testing"

	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/simulation"
)

// The days of a big fleet, eighty balancers with a few connections each, keep the four rules and serve so much of what is
// wanted; virtual time: the same each time. herd's store does 30 set-ups a second, in turn, whether or not anybody still
// waits: by counts of failures alone, and with half the time for each try, it came to 0.42, under what chance does.
func TestTheBigFleetsDays(t *testing.T) {
	for day, least := range map[string]float64{"herd": 0.6, "zone": 0.85, "join": 0.85, "full": 0.9} {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			x, err := experiment.Load("../../lab/experiments/fleet-" + day + ".hcl")
			if err != nil {
				t.Fatal(err)
			}
			r, _, v, err := simulation.Run(x.World, "ours", 1)
			if err != nil || len(v.Violations) > 0 || r.Served < least {
				t.Fatalf("%.3f of %.3f served, %v, %v", r.Served, least, v, err)
			}
		})
	}
}
