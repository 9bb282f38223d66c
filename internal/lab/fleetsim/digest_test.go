package fleetsim

import (
	"fmt"
	"os"
	"testing"
)

// TestHistoriesMatchTheGoldenDigest holds seeded histories to the digests that testdata keeps: the same seed
// has to give the same messages and operations in every version of the program.
func TestHistoriesMatchTheGoldenDigest(t *testing.T) {
	golden, err := os.ReadFile("testdata/digest.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(usual(seed))
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		got += fmt.Sprintf("seed %d: %016x, %d operations\n", seed, w.Digest(), len(w.Operations))
	}
	if got != string(golden) {
		t.Errorf("got\n%swant\n%s", got, golden)
	}
}
