package feedsim

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"sabletally/internal/fleet/changefeed"
)

var (
	seedCount       = flag.Int("seeds", 4, "number of histories, each with a seed of its own")
	firstSeed       = flag.Uint64("from", 1, "seed of the first history")
	subscriberCount = flag.Int("followers", 60, "number of subscribers of each history")
)

// TestNoSubscriberGoesBackMixesOrIsForgotten plays histories with all faults. It fails if a subscriber returns to an older version, has a state
// that was never committed, skips a version, takes an outdated version for current, or lacks a change after its deadline or at the end.
func TestNoSubscriberGoesBackMixesOrIsForgotten(t *testing.T) {
	var late time.Duration
	versions, due, restarts := 0, 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		startedAt := time.Now()
		w := New(DefaultPlan(seed, *subscriberCount))
		err := w.Play()
		t.Logf("seed %d: %d versions, %d processes killed, %d stalls, %d network cuts, %d resets, %d restarts of all publishers, %d messages, %d changes, %d snapshots, %d sync requests, "+
			"%d digest mismatches, %d lease expiries, propagation took at most %v (%d times checked), test took %v", seed, len(w.versions)-1, w.Kills, w.Stalls, w.NetworkCuts, w.Resets, w.FullRestarts, w.Messages, w.Changes, w.Snapshots, w.SyncRequests, w.DigestMismatches,
			w.LeaseExpiries, w.MaxPropagationTime, w.DueChanges, time.Since(startedAt).Round(10*time.Millisecond))
		if err != nil {
			t.Error(err)
		}
		late, versions, due, restarts = max(late, w.MaxPropagationTime), versions+len(w.versions)-1, due+w.DueChanges, restarts+w.FullRestarts
	}
	t.Logf("%d histories with %d subscribers each: %d versions, %d restarts of all publishers, propagation took at most %v (%d times checked)", *seedCount, *subscriberCount, versions, restarts, late, due)
	if due < versions {
		t.Errorf("changes were checked to be in force only %d times, which is fewer than there are versions", due)
	}
}

// TestTheSameSeedIsTheSameHistory plays a seed twice and another seed once. It fails if a history depends on anything but its plan, or if the
// seed has no effect.
func TestTheSameSeedIsTheSameHistory(t *testing.T) {
	a, b := New(DefaultPlan(9, 30)), New(DefaultPlan(9, 30))
	errA, errB := a.Play(), b.Play()
	if a.Digest() != b.Digest() || a.Messages != b.Messages || a.LeaseExpiries != b.LeaseExpiries || errA != nil || errB != nil {
		t.Errorf("one seed played twice: digests %x and %x, %d and %d messages, errors %v and %v", a.Digest(), b.Digest(), a.Messages, b.Messages, errA, errB)
	}
	if c := New(DefaultPlan(10, 30)); c.Play() != nil || c.Digest() == a.Digest() {
		t.Error("another seed gave the same history, or its history failed")
	}
}

// corruptChanges returns a function that replaces the value in one change of so many, until the faults are over.
func corruptChanges(w *World, interval int) func(*subscriber, string, changefeed.Message) changefeed.Message {
	n := 0
	return func(_ *subscriber, _ string, m changefeed.Message) changefeed.Message {
		if m.Change == nil || m.Change.Items[0].Deleted || w.faultsOver {
			return m
		}
		if n++; n%interval != 0 {
			return m
		}
		c := *m.Change
		c.Items = slices.Clone(c.Items)
		c.Items[0].Value = append([]byte("harmed "), c.Items[0].Value...)
		return changefeed.Message{Change: &c}
	}
}

// TestWhatIsHarmedOnTheWayIsRefused plays histories in which some changes arrive with another value. It fails if a subscriber applies one, does
// not count the digest mismatch, or does not recover.
func TestWhatIsHarmedOnTheWayIsRefused(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(DefaultPlan(seed, 30))
		w.replaceMessage = corruptChanges(w, 20)
		if err := w.Play(); err != nil {
			t.Error(err)
		}
		if w.DigestMismatches < 10 || w.RejectedMessages < 10 {
			t.Errorf("seed %d: %d digest mismatches and %d rejected messages, want at least 10 of each", seed, w.DigestMismatches, w.RejectedMessages)
		}
		t.Logf("seed %d: %d digest mismatches, %d snapshots, %d sync requests, %d changes", seed, w.DigestMismatches, w.Snapshots, w.SyncRequests, w.Changes)
	}
}

// TestWhatIsBrokenOnPurposeIsNamed tests the checker: for each defect that is built in around the subscribers, one of up to 60 histories has to
// fail with the violation that belongs to the defect.
func TestWhatIsBrokenOnPurposeIsNamed(t *testing.T) {
	for defect, c := range map[string]struct {
		violation string
		inject    func(w *World)
	}{
		"digest not checked": {StateMismatch, func(w *World) {
			corrupt := corruptChanges(w, 20)
			w.replaceMessage = func(sub *subscriber, addr string, m changefeed.Message) changefeed.Message {
				m = corrupt(sub, addr, m)
				st := sub.core.State()
				if m.Change == nil || m.Change.Version != st.Version()+1 || st.Version() == 0 {
					return m
				}
				log := changefeed.NewLog(changefeed.LogConfig{MaxChanges: 1, MaxBytes: 1}) // computes the digest that the corrupted change leads to, so that the subscriber accepts it
				if err := log.Install(changefeed.Snapshot{Fleet: st.Fleet(), Version: st.Version(), Digest: st.Digest(), Items: st.Items("")}); err != nil {
					t.Fatal(err)
				}
				change, err := log.Append(m.Change.Items)
				if err != nil {
					return m
				}
				return changefeed.Message{Change: &change}
			}
		}},
		"snapshot over a newer state": {VersionRegressed, func(w *World) {
			w.replaceMessage = func(sub *subscriber, _ string, m changefeed.Message) changefeed.Message {
				if s := m.Snapshot; s != nil && s.Version < sub.core.State().Version() {
					w.recordUpdate(sub, changefeed.Update{Version: s.Version, Items: s.Items, Complete: true}) // records the snapshot as if the subscriber had applied it
				}
				return m
			}
		}},
		"lease not looked at": {FalselyCurrent, func(w *World) {
			w.isCurrent = func(sub *subscriber, now time.Duration) bool {
				_, known := sub.core.Age(now)
				return known
			}
		}},
	} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				w := New(DefaultPlan(seed, 30))
				c.inject(w)
				err := w.Play()
				if err == nil {
					continue
				}
				if !strings.Contains(err.Error(), c.violation) {
					t.Fatalf("the checker reported another violation: %v", err)
				}
				t.Logf("found: %v", err)
				return
			}
			t.Error("the checker did not detect the defect in any history")
		})
	}
}
