package simulation

import (
	"crypto/sha256"
	"fmt"
	"os"
	"testing"
	"time"

	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
)

// TestRunsMatchTheGoldenDigest compares the events of seeded runs of every policy with digests in testdata. It guards against changes
// that alter the events of a seed, as results of different versions of the program are then no longer comparable.
func TestRunsMatchTheGoldenDigest(t *testing.T) {
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	for _, name := range baseline.Names {
		for seed := uint64(1); seed <= 3; seed++ {
			w := small(
				faults.Fault{Kind: faults.Drain, At: 6 * time.Second, For: 3 * time.Second, Share: 0.2, BatchShare: 0.2},
				faults.Fault{Kind: faults.Slow, At: 8 * time.Second, For: 5 * time.Second, Share: 0.3, Factor: 6},
				faults.Fault{Kind: faults.Crash, At: 10 * time.Second, For: 5 * time.Second, Share: 0.3},
				faults.Fault{Kind: faults.BalancerRestart, At: 12 * time.Second, For: 3 * time.Second, Share: 1})
			_, events, _ := run(t, w, name, seed)
			sum := sha256.New()
			if err := history.Write(sum, events); err != nil {
				t.Fatal(err)
			}
			got += fmt.Sprintf("%s, seed %d: %d events, %x\n", name, seed, len(events), sum.Sum(nil)[:8])
		}
	}
	if got != string(golden) {
		t.Errorf("digests differ from testdata/digest.golden: got\n%swant\n%s", got, golden)
	}
}
