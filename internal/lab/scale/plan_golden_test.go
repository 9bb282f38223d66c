package scale

import (
	"crypto/sha256"
	"fmt"
	"testing"
)

// TestPlanOfASeedIsStable fails if a seed gives another plan than in earlier versions: the figures of two runs can only be compared if their
// plans are the same.
func TestPlanOfASeedIsStable(t *testing.T) {
	want := map[string]string{
		FaultsNone:   "01939e82475334cf",
		FaultsDay:    "ba51f04c895ef6ee",
		FaultsRack:   "0ab2acc8d5e7abbe",
		FaultsZone:   "13eef1f225ce743d",
		FaultsRegion: "eaf3e0d9583b69d5",
	}
	for _, kind := range Faults {
		o := testOptions()
		o.Faults = kind
		p := newTestPlan(t, o)
		text := fmt.Sprintf("%v\n%v\n%v\n%v\n%v\n%v\n%v\n", p.Voters, p.ControlPlaces, p.BalancerPlaces, p.Changes, p.Steps, p.FaultDescription, p.Hosts(30))
		if got := fmt.Sprintf("%x", sha256.Sum256([]byte(text)))[:16]; got != want[kind] {
			t.Errorf("%s: digest %s, want %s", kind, got, want[kind])
		}
	}
}
