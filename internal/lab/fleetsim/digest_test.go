package fleetsim

import (
	"fmt"
	"os"
	"testing"
)

// TestHistoriesMatchTheGoldenDigest guards against unintended changes of the protocol: a seed has to give the same messages and operations in
// every version of the program, so the digests of three histories are compared with those in testdata.
func TestHistoriesMatchTheGoldenDigest(t *testing.T) {
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(defaultPlan(seed))
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		got += fmt.Sprintf("seed %d: %016x, %d operations\n", seed, w.Digest(), len(w.Operations))
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}
