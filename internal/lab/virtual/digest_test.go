package virtual

import (
	"crypto/sha256"
	"fmt"
	"os"
	"testing"
	"time"

	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/record"
	"sabletally/internal/lab/timetable"
)

// TestRunsMatchTheGoldenDigest holds seeded runs of every policy to the digests that testdata keeps: the same
// seed has to give the same events in every version of the program.
func TestRunsMatchTheGoldenDigest(t *testing.T) {
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	for _, name := range baseline.Names {
		for seed := uint64(1); seed <= 3; seed++ {
			w := small(
				timetable.Fault{Kind: timetable.Drain, At: 6 * time.Second, For: 3 * time.Second, Part: 0.2, Batch: 0.2},
				timetable.Fault{Kind: timetable.Slow, At: 8 * time.Second, For: 5 * time.Second, Part: 0.3, Times: 6},
				timetable.Fault{Kind: timetable.Crash, At: 10 * time.Second, For: 5 * time.Second, Part: 0.3},
				timetable.Fault{Kind: timetable.BalancerRestart, At: 12 * time.Second, For: 3 * time.Second, Part: 1})
			_, events, _ := run(t, w, name, seed)
			sum := sha256.New()
			if err := record.Write(sum, events); err != nil {
				t.Fatal(err)
			}
			got += fmt.Sprintf("%s, seed %d: %d events, %x\n", name, seed, len(events), sum.Sum(nil)[:8])
		}
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}
