package feedworld

import (
	"flag"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 4, "histories in virtual time")
	from  = flag.Uint64("from", 1, "the first seed")
	many  = flag.Int("followers", 60, "followers of each")
)

// TestNoFollowerGoesBackMixesOrIsForgotten plays histories with every fault.
func TestNoFollowerGoesBackMixesOrIsForgotten(t *testing.T) {
	var late time.Duration
	versions, due, restarts := 0, 0, 0
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		began := time.Now()
		w := New(Usual(seed, *many))
		err := w.Play()
		t.Logf("seed %d: %d versions, %d killed, %d stalls, %d cuts, %d resets, %d times all relays, %d messages, %d changes, %d snapshots, %d wants, %d mismatches, %d lapses, "+
			"in force %v at the latest of %d, in %v", seed, len(w.agreed)-1, w.Kills, w.Stalls, w.Cuts, w.Resets, w.Restarts, w.Messages, w.Changes, w.Snapshots, w.Wants, w.Mismatches,
			w.Lapses, w.Late, w.Due, time.Since(began).Round(10*time.Millisecond))
		if err != nil {
			t.Error(err)
		}
		late, versions, due, restarts = max(late, w.Late), versions+len(w.agreed)-1, due+w.Due, restarts+w.Restarts
	}
	t.Logf("%d histories of %d followers, %d versions, all relays restarted %d times, in force %v at the latest of %d", *seeds, *many, versions, restarts, late, due)
	if due < versions {
		t.Errorf("only %d times was a change judged to be in force", due)
	}
}

// TestTheSameSeedIsTheSameHistory plays one twice.
func TestTheSameSeedIsTheSameHistory(t *testing.T) {
	a, b := New(Usual(9, 30)), New(Usual(9, 30))
	errA, errB := a.Play(), b.Play()
	if a.Sum() != b.Sum() || a.Messages != b.Messages || a.Lapses != b.Lapses || errA != nil || errB != nil {
		t.Errorf("%x and %x, %d and %d messages, %v, %v", a.Sum(), b.Sum(), a.Messages, b.Messages, errA, errB)
	}
	if c := New(Usual(10, 30)); c.Play() != nil || c.Sum() == a.Sum() {
		t.Error("another seed is the same history")
	}
}
