package fleetsim

import (
	"flag"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/replication"
)

var (
	seedCount   = flag.Int("seeds", 6, "number of histories, each with a seed of its own")
	firstSeed   = flag.Uint64("from", 1, "seed of the first history")
	memberCount = flag.Int("members", 5, "number of members of each history")
)

func defaultPlan(seed uint64) Plan {
	return Plan{Seed: seed, Members: 5, ReplicationFactor: 3, Length: time.Minute, Rate: 20, Keys: 60, Faults: 0.5, LoseMachines: true, Loss: 0.2}
}

// TestNothingPromisedIsLost plays histories with all faults. It fails if an acknowledged write is lost or its version written twice, the results
// of clients are not linearizable, a shard stays under-replicated, the fleet does not recover, or too few operations are answered.
func TestNothingPromisedIsLost(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		p := defaultPlan(seed)
		p.Members = *memberCount
		w := New(p)
		err := w.Play()
		counts := w.Counts()
		t.Logf("seed %d: operations by outcome %v, %d machines lost, %d processes killed, %d stalls, %d network cuts, shard map version %d, %d of %d keys undecided", seed, counts, w.MachinesLost, w.Kills, w.Stalls, w.NetworkCuts, w.ShardMapVersion,
			w.Undecided, w.plan.Keys)
		if err != nil {
			t.Error(err)
		} else if all := len(w.Operations); counts[replication.OutcomeCommitted]+counts[replication.OutcomeConflict] < all/3 {
			t.Errorf("seed %d: fewer than a third of %d operations were committed or in conflict: %v", seed, all, counts)
		}
	}
}

// TestTheSameSeedIsTheSameHistory plays a seed twice. It fails if a history depends on anything but its plan.
func TestTheSameSeedIsTheSameHistory(t *testing.T) {
	a, b := New(defaultPlan(9)), New(defaultPlan(9))
	_ = a.Play()
	_ = b.Play()
	if a.Digest() != b.Digest() || len(a.Operations) != len(b.Operations) {
		t.Errorf("one seed played twice: digests %x and %x", a.Digest(), b.Digest())
	}
}

// TestWhatIsBrokenOnPurposeIsNamed tests the checker: for each defect that is injected, one of up to 40 histories has to fail with a violation
// that the defect leads to.
func TestWhatIsBrokenOnPurposeIsNamed(t *testing.T) {
	for defect, violations := range map[Defect][]string{
		EarlyAcknowledgement: {LostWrite, DuplicateVersion, NotLinearizable}, MissingFence: {LostWrite, DuplicateVersion, NotLinearizable}, NoRepair: {UnderReplicated},
		MissingWrite: {LostWrite, DuplicateVersion, NotLinearizable},
	} {
		t.Run(string(defect), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 40; seed++ {
				p := defaultPlan(seed)
				p.Defect, p.Faults, p.Rate = defect, 1, 100
				err := New(p).Play()
				if err == nil {
					continue
				}
				for _, violation := range violations {
					if strings.Contains(err.Error(), violation) {
						t.Logf("found: %v", err)
						return
					}
				}
				t.Logf("the checker reported another violation: %v", err)
			}
			t.Error("the checker did not detect the defect in any history")
		})
	}
}
