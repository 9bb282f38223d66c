package main

import (
	"testing"

	"sabletally/internal/lab/plan"
	"sabletally/internal/lab/virtual"
)

// The days of a big fleet, eighty balancers with a few connections each, are judged by the four rules and must not fall
// to what chance does. Virtual time: the same verdict each time.
func TestTheBigFleetsDays(t *testing.T) {
	for _, day := range []string{"herd", "zone", "join"} {
		t.Run(day, func(t *testing.T) {
			t.Parallel()
			x, err := plan.Load("../../lab/experiments/fleet-" + day + ".hcl")
			if err != nil {
				t.Fatal(err)
			}
			share := map[string]float64{}
			for _, policy := range []string{"ours", "random"} {
				r, _, v, err := virtual.Run(x.World, policy, 1)
				if err != nil {
					t.Fatal(err)
				}
				if share[policy] = r.Served; policy == "ours" && (len(v.Broken) > 0 || v.Circuits < 1600) {
					t.Error(v)
				}
			}
			t.Log(share)
			if share["ours"] <= share["random"] {
				t.Errorf("less than chance: %v", share)
			}
		})
	}
}
