package fleetsim

import (
	"flag"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/replication"
)

var (
	seeds = flag.Int("seeds", 6, "histories in virtual time")
	from  = flag.Uint64("from", 1, "the first seed")
	many  = flag.Int("members", 5, "members of each")
)

func usual(seed uint64) Plan {
	return Plan{Seed: seed, Members: 5, ReplicationFactor: 3, Length: time.Minute, Rate: 20, Keys: 60, Faults: 0.5, LoseMachines: true, Loss: 0.2}
}

// TestNothingPromisedIsLost plays histories with every fault.
func TestNothingPromisedIsLost(t *testing.T) {
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		p := usual(seed)
		p.Members = *many
		w := New(p)
		err := w.Play()
		n := w.Counts()
		t.Logf("seed %d: %v, %d machines lost, %d killed, %d stalls, %d cuts, %d versions, %d of %d keys not judged", seed, n, w.MachinesLost, w.Kills, w.Stalls, w.Cuts, w.Configurations,
			w.Undecided, w.plan.Keys)
		if err != nil {
			t.Error(err)
		} else if all := len(w.Operations); n[replication.OutcomeCommitted]+n[replication.OutcomeConflict] < all/3 {
			t.Errorf("seed %d: of %d only %v", seed, all, n)
		}
	}
}

// TestTheSameSeedIsTheSameHistory plays one twice.
func TestTheSameSeedIsTheSameHistory(t *testing.T) {
	a, b := New(usual(9)), New(usual(9))
	_ = a.Play()
	_ = b.Play()
	if a.Digest() != b.Digest() || len(a.Operations) != len(b.Operations) {
		t.Errorf("%x and %x", a.Digest(), b.Digest())
	}
}

// TestWhatIsBrokenOnPurposeIsNamed plays each break until it shows: a judge that finds nothing proves nothing.
func TestWhatIsBrokenOnPurposeIsNamed(t *testing.T) {
	for broken, names := range map[Defect][]string{
		EarlyAcknowledgement: {LostWrite, DuplicateVersion, NotLinearizable}, MissingFence: {LostWrite, DuplicateVersion, NotLinearizable}, NoRepair: {UnderReplicated},
		MissingWrite: {LostWrite, DuplicateVersion, NotLinearizable},
	} {
		t.Run(string(broken), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 40; seed++ {
				p := usual(seed)
				p.Defect, p.Faults, p.Rate = broken, 1, 100
				err := New(p).Play()
				if err == nil {
					continue
				}
				for _, name := range names {
					if strings.Contains(err.Error(), name) {
						t.Logf("found: %v", err)
						return
					}
				}
				t.Logf("not by name: %v", err)
			}
			t.Error("it was not found")
		})
	}
}
