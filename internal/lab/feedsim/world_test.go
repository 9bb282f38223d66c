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
	seeds = flag.Int("seeds", 4, "histories in virtual time")
	from  = flag.Uint64("from", 1, "the first seed")
	many  = flag.Int("followers", 60, "subscribers of each")
)

// TestNoSubscriberGoesBackMixesOrIsForgotten plays histories with every fault.
func TestNoSubscriberGoesBackMixesOrIsForgotten(t *testing.T) {
	var late time.Duration
	versions, due, restarts := 0, 0, 0
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		began := time.Now()
		w := New(DefaultPlan(seed, *many))
		err := w.Play()
		t.Logf("seed %d: %d versions, %d killed, %d stalls, %d cuts, %d resets, %d times all publishers, %d messages, %d changes, %d snapshots, %d wants, %d mismatches, %d lapses, "+
			"in force %v at the latest of %d, in %v", seed, len(w.versions)-1, w.Kills, w.Stalls, w.Cuts, w.Resets, w.Restarts, w.Messages, w.Changes, w.Snapshots, w.Wants, w.Mismatches,
			w.Lapses, w.Late, w.Due, time.Since(began).Round(10*time.Millisecond))
		if err != nil {
			t.Error(err)
		}
		late, versions, due, restarts = max(late, w.Late), versions+len(w.versions)-1, due+w.Due, restarts+w.Restarts
	}
	t.Logf("%d histories of %d followers, %d versions, all publishers restarted %d times, in force %v at the latest of %d", *seeds, *many, versions, restarts, late, due)
	if due < versions {
		t.Errorf("only %d times was a change found to be in force", due)
	}
}

// TestTheSameSeedIsTheSameHistory plays one twice.
func TestTheSameSeedIsTheSameHistory(t *testing.T) {
	a, b := New(DefaultPlan(9, 30)), New(DefaultPlan(9, 30))
	errA, errB := a.Play(), b.Play()
	if a.Digest() != b.Digest() || a.Messages != b.Messages || a.Lapses != b.Lapses || errA != nil || errB != nil {
		t.Errorf("%x and %x, %d and %d messages, %v, %v", a.Digest(), b.Digest(), a.Messages, b.Messages, errA, errB)
	}
	if c := New(DefaultPlan(10, 30)); c.Play() != nil || c.Digest() == a.Digest() {
		t.Error("another seed is the same history")
	}
}

// harm has one change of so many come with another value than was agreed.
func harm(w *World, each int) func(*subscriber, string, changefeed.Message) changefeed.Message {
	n := 0
	return func(_ *subscriber, _ string, m changefeed.Message) changefeed.Message {
		if m.Change == nil || m.Change.Items[0].Deleted || w.faultsOver {
			return m
		}
		if n++; n%each != 0 {
			return m
		}
		c := *m.Change
		c.Items = slices.Clone(c.Items)
		c.Items[0].Value = append([]byte("harmed "), c.Items[0].Value...)
		return changefeed.Message{Change: &c}
	}
}

// TestWhatIsHarmedOnTheWayIsRefused plays histories in which changes come with other values: none is taken, and all go on.
func TestWhatIsHarmedOnTheWayIsRefused(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(DefaultPlan(seed, 30))
		w.replaceMessage = harm(w, 20)
		if err := w.Play(); err != nil {
			t.Error(err)
		}
		if w.Mismatches < 10 || w.Refused < 10 {
			t.Errorf("seed %d: %d mismatches, %d refused", seed, w.Mismatches, w.Refused)
		}
		t.Logf("seed %d: %d mismatches, %d snapshots, %d wants, %d changes", seed, w.Mismatches, w.Snapshots, w.Wants, w.Changes)
	}
}

// TestWhatIsBrokenOnPurposeIsNamed puts each break around the subscribers until it shows: a checker that finds nothing proves nothing.
func TestWhatIsBrokenOnPurposeIsNamed(t *testing.T) {
	for broken, one := range map[string]struct {
		name string
		in   func(w *World)
	}{
		"digest not checked": {Mixed, func(w *World) {
			harmed := harm(w, 20)
			w.replaceMessage = func(sub *subscriber, addr string, m changefeed.Message) changefeed.Message {
				m = harmed(sub, addr, m)
				st := sub.core.State()
				if m.Change == nil || m.Change.Version != st.Version()+1 || st.Version() == 0 {
					return m
				}
				l := changefeed.NewLog(changefeed.LogConfig{MaxChanges: 1, MaxBytes: 1}) // what the change comes to there, whatever it says
				if err := l.Install(changefeed.Snapshot{Fleet: st.Fleet(), Version: st.Version(), Digest: st.Digest(), Items: st.Items("")}); err != nil {
					t.Fatal(err)
				}
				c, err := l.Append(m.Change.Items)
				if err != nil {
					return m
				}
				return changefeed.Message{Change: &c}
			}
		}},
		"snapshot over a newer state": {WentBack, func(w *World) {
			w.replaceMessage = func(sub *subscriber, _ string, m changefeed.Message) changefeed.Message {
				if s := m.Snapshot; s != nil && s.Version < sub.core.State().Version() {
					w.recordUpdate(sub, changefeed.Update{Version: s.Version, Items: s.Items, Complete: true}) // as if it were taken
				}
				return m
			}
		}},
		"lease not looked at": {FalselyNew, func(w *World) {
			w.isCurrent = func(sub *subscriber, now time.Duration) bool {
				_, known := sub.core.Age(now)
				return known
			}
		}},
	} {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 60; seed++ {
				w := New(DefaultPlan(seed, 30))
				one.in(w)
				err := w.Play()
				if err == nil {
					continue
				}
				if !strings.Contains(err.Error(), one.name) {
					t.Fatalf("not by name: %v", err)
				}
				t.Logf("found: %v", err)
				return
			}
			t.Error("it was not found")
		})
	}
}
