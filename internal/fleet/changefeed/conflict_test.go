package changefeed

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// TestDigestMismatchIsRepairedBySnapshot corrupts a subscriber's memory: it requests a snapshot, and reports and counts the mismatch once.
func TestDigestMismatchIsRepairedBySnapshot(t *testing.T) {
	for name, corrupt := range map[string]func(*State){
		"a value":    func(s *State) { s.items[ConfigPrefix+"k1"] = []byte("corrupted") },
		"the digest": func(s *State) { s.itemsDigest++ },
	} {
		t.Run(name, func(t *testing.T) {
			h, sub := newSyncedPair(t)
			h.put(configItem(1))
			h.run(time.Second)
			corrupt(sub.core.state)
			snapshots := h.sent["snapshot"]
			h.put(configItem(1 + 7))
			h.run(3 * time.Second)
			h.requireUpToDate(sub)
			for _, i := range h.source.State().Items("") {
				if v, _ := sub.core.State().Get(i.Key); string(v) != string(i.Value) {
					t.Errorf("%s is %q", i.Key, v)
				}
			}
			if sub.core.Stats.DigestMismatches == 0 || h.countEvents(EventDigestMismatch) != 1 || h.countEvents(EventHistoryConflict) != 0 {
				t.Errorf("%d mismatches, reported %d times, %d conflicts", sub.core.Stats.DigestMismatches, h.countEvents(EventDigestMismatch), h.countEvents(EventHistoryConflict))
			}
			if n := h.sent["snapshot"] - snapshots; n < 1 || n > 2 {
				t.Errorf("%d snapshots", n)
			}
			corrupt(sub.core.state) // a new mismatch is reported anew
			h.put(configItem(1 + 14))
			h.run(3 * time.Second)
			h.requireUpToDate(sub)
			if h.countEvents(EventDigestMismatch) != 2 {
				t.Errorf("reported %d times", h.countEvents(EventDigestMismatch))
			}
		})
	}
}

// TestHistoryConflictIsReported has a publisher with another history: what it sends is rejected, it is dropped, and that is an alert.
func TestHistoryConflictIsReported(t *testing.T) {
	h, sub := newSyncedPair(t)
	s := h.publishers["r1"]
	s.partitioned = true
	if _, err := s.log.Append([]Item{configItem(100)}); err != nil {
		t.Fatal(err)
	}
	h.put(configItem(1))
	s.core.LogChanged()
	s.core.ConfirmVersion(h.now, s.log.Version())
	h.drainPublisher(s)
	h.run(3 * time.Second)
	if h.countEvents(EventHistoryConflict) == 0 || sub.core.Stats.Conflicts == 0 {
		t.Fatal("the conflict is not reported")
	}
	if got := sub.core.Publishers(); !slices.Equal(got, []string{"r0"}) && !slices.Equal(got, []string{"r1"}) {
		t.Errorf("it still follows %v", got)
	}
	for _, l := range h.events {
		if l.Kind == EventHistoryConflict && (!l.IsAlert() || l.Addr == "" || l.Version == 0) {
			t.Errorf("%+v", l)
		}
	}
	conflicts := sub.core.Stats.Conflicts
	h.run(10 * time.Second)
	if sub.core.Stats.Conflicts > conflicts+1 {
		t.Errorf("it went back to it %d times within 10 s", sub.core.Stats.Conflicts-conflicts)
	}
	// Which of the two it took first, it keeps to: never a mixture.
	if d := sub.core.State().Digest(); d != h.source.Digest() && d != s.log.Digest() {
		t.Error("it has a state of neither")
	}
	if err := NewState().Install(Snapshot{Fleet: sub.core.State().Fleet(), Version: sub.core.State().Version(), Digest: sub.core.State().Digest(), Items: sub.core.State().Items("")}); err != nil {
		t.Errorf("its state is not consistent: %v", err)
	}
}

// TestSubscriberRejectsForeignFleet has a publisher of another fleet at the address of a seed.
func TestSubscriberRejectsForeignFleet(t *testing.T) {
	for _, knows := range []bool{false, true} {
		other := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
		for range 3 {
			_, _ = other.Append([]Item{{Key: FleetKey, Value: []byte("g")}})
		}
		f := NewSubscriber(SubscriberConfig{ID: "b0", Fleet: "f", Seeds: []string{"r0", "r1"}}, 0)
		f.Tick(0)
		f.Connected("r0")
		if knows {
			mine := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
			_, _ = mine.Append([]Item{{Key: FleetKey, Value: []byte("f")}})
			if err := f.Step("r0", Message{Snapshot: mine.Snapshot()}); err != nil {
				t.Fatal(err)
			}
		}
		version := f.State().Version()
		f.Ready()
		if err := f.Step("r0", Message{Snapshot: other.Snapshot()}); !errors.Is(err, ErrForeignFleet) {
			t.Errorf("%v", err)
		}
		out := f.Ready()
		if f.State().Version() != version || !slices.Contains(out.CloseAddrs, "r0") || len(out.Updates) > 0 || f.Stats.InvalidMessages != 1 {
			t.Errorf("%+v", out)
		}
	}
}

// TestLaggingPublisherOfAnotherHistory verifies that a publisher of another history is dropped as well if it lags: the age that it reports
// belongs to the other history.
func TestLaggingPublisherOfAnotherHistory(t *testing.T) {
	h, sub := newSyncedPair(t)
	s := h.publishers["r1"]
	s.partitioned = true
	if _, err := s.log.Append([]Item{configItem(100)}); err != nil {
		t.Fatal(err)
	}
	h.kill("r1")
	for i := range 5 {
		h.put(configItem(i))
	}
	h.run(time.Second)
	s.down = false
	s.core = NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, s.log, h.now)
	for range 100 {
		s.core.ConfirmVersion(h.now, s.log.Version())
		h.run(100 * time.Millisecond)
	}
	h.requireUpToDate(sub)
	if sub.core.Stats.Conflicts == 0 || h.countEvents(EventHistoryConflict) == 0 || slices.Contains(sub.core.Publishers(), "r1") {
		t.Errorf("%d conflicts, it follows %v", sub.core.Stats.Conflicts, sub.core.Publishers())
	}
}

// TestOneCorruptedChangeIsRepaired delivers one corrupted change: the other publisher's change is applied, and the mismatch is over.
func TestOneCorruptedChangeIsRepaired(t *testing.T) {
	h, sub := newSyncedPair(t)
	if err := sub.core.Step(sub.core.Publishers()[0], Message{Change: &Change{Version: h.source.Version() + 1, DigestBefore: h.source.Digest(), DigestAfter: 1, Items: []Item{configItem(3)}}}); !errors.Is(err, ErrDigestMismatch) {
		t.Fatal(err)
	}
	for i := range 5 {
		h.put(configItem(i))
		h.run(2 * time.Second)
	}
	h.requireUpToDate(sub)
	if sub.core.Stats.DigestMismatches != 1 || h.countEvents(EventDigestMismatch) != 1 || sub.core.digestMismatch {
		t.Errorf("%+v, reported %d times", sub.core.Stats, h.countEvents(EventDigestMismatch))
	}
}
