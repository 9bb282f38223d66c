package feedsim

import (
	"fmt"
	"os"
	"testing"
)

// TestHistoriesMatchTheGoldenDigest guards against unintended changes of the protocol: a seed has to give the same messages in every
// version of the program, so the digests of three histories are compared with those in testdata.
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
