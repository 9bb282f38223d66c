package feedsim

import (
	"fmt"
	"os"
	"testing"
)

// TestHistoriesMatchTheGoldenDigest holds seeded histories to the digests that testdata keeps: the same seed
// has to give the same messages in every version of the program.
func TestHistoriesMatchTheGoldenDigest(t *testing.T) {
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(DefaultPlan(seed, 30))
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		got += fmt.Sprintf("seed %d: %016x, %d messages, %d changes, %d snapshots\n", seed, w.Digest(), w.Messages, w.Changes, w.Snapshots)
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}
