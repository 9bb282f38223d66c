package faults

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// TestStepsOfASeedAreStable compares the steps of each kind of fault, and of all kinds together, with digests of the steps that earlier
// builds generated: runs of different builds can be compared only if their steps are the same.
func TestStepsOfASeedAreStable(t *testing.T) {
	var all []Fault
	for i, kind := range slices.SortedFunc(maps.Keys(Kinds), cmp.Compare[Kind]) {
		all = append(all, Fault{Kind: kind, At: time.Duration(60-i) * time.Second, For: 7 * time.Second, Share: 0.3, BatchShare: 0.1,
			Factor: 3, Rate: 0.4, Delay: 250 * time.Millisecond, Direction: []string{"both", "in", "out"}[i%3]})
	}
	want := map[string]string{
		"bad-clients":      "7f7b96dd729904a7",
		"balancer-crash":   "e36c2cc2ea282d32",
		"balancer-drain":   "d7ee91007f381397",
		"balancer-restart": "7d47ff8d6ec5d163",
		"crash":            "e142d0373ef012fd",
		"crowd":            "143c82fc4a9ad6eb",
		"discovery-faulty": "8206e0574c9e1309",
		"discovery-late":   "440dc304259d179e",
		"discovery-outage": "2e2bfa82c84d71a1",
		"drain":            "5825c1d45469e9e4",
		"drip":             "d2b121ba92e3e601",
		"errors":           "407424414cf0a725",
		"full":             "3d85b1ba00530a8b",
		"half-open":        "3f41ccb2f5494ae3",
		"link-cut":         "ed3ccbf6ab037677",
		"link-slow":        "80659e04914190dd",
		"list-misses":      "0d356d8eed7d139f",
		"machine-lost":     "b0542a16a87187e3",
		"members-cut":      "a74af05be0ce875a",
		"members-lossy":    "988b4707be3f0f09",
		"members-reorder":  "b269d48bd6a33222",
		"members-slow":     "c04af52a7b4d9c85",
		"pieces":           "1ba8dd0f7941325e",
		"reconnect":        "d963d13175ca927b",
		"release":          "eba23db2609ac2c7",
		"reload":           "6128b618e5c2213b",
		"retune":           "2cf43b4e2764dc5d",
		"slow":             "a78d0a5e1a408859",
		"stall":            "8b1b7d2a06a76975",
		"store-slow":       "7c3441c1777496e8",
		"torn-lines":       "20d18fc13c93fe01",
		"upgrade":          "c8cfec6120e8740d",
		"vanish":           "8cd8985b216f1871",
		"all":              "a3b8f6ce2de00ab3",
	}
	check := func(name string, faults []Fault) {
		steps, total, err := Expand(faults, 23, 9, 5)
		if err != nil {
			t.Fatal(err)
		}
		digest := sha256.New()
		_, _ = fmt.Fprintln(digest, total)
		for _, s := range steps {
			_, _ = fmt.Fprintln(digest, s.At, uint8(s.Action), s.Target, s.Machine, s.Value, s.For, s.Members, s.Link)
		}
		if got := fmt.Sprintf("%x", digest.Sum(nil))[:16]; got != want[name] {
			t.Errorf("%s: digest %s, want %s", name, got, want[name])
		}
	}
	for _, f := range all {
		check(string(f.Kind), []Fault{f})
	}
	check("all", all)
}
