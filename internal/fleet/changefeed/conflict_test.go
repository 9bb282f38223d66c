package changefeed

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// TestDigestMismatchIsRepairedBySnapshot guards against a corrupted state that stays undetected or is not repaired. It corrupts a
// subscriber's state in memory: the next change has to lead to a snapshot, and to one report for each corruption.
func TestDigestMismatchIsRepairedBySnapshot(t *testing.T) {
	for name, corrupt := range map[string]func(*State){
		"a value":    func(s *State) { s.items[ConfigPrefix+"k1"] = []byte("corrupted") },
		"the digest": func(s *State) { s.itemsDigest++ },
	} {
		t.Run(name, func(t *testing.T) {
			h, sub := newSyncedPair(t)
			h.appendItems(configItem(1))
			h.run(time.Second)
			corrupt(sub.core.state)
			snapshots := h.sentByKind["snapshot"]
			h.appendItems(configItem(1 + 7))
			h.run(3 * time.Second)
			h.requireUpToDate(sub)
			for _, item := range h.source.State().Items("") {
				if v, _ := sub.core.State().Get(item.Key); string(v) != string(item.Value) {
					t.Errorf("after the repair, %s is %q", item.Key, v)
				}
			}
			if sub.core.Stats.DigestMismatches == 0 || h.countEvents(EventDigestMismatch) != 1 || h.countEvents(EventHistoryConflict) != 0 {
				t.Errorf("%d digest mismatches, reported %d times, %d conflicts reported", sub.core.Stats.DigestMismatches, h.countEvents(EventDigestMismatch), h.countEvents(EventHistoryConflict))
			}
			if n := h.sentByKind["snapshot"] - snapshots; n < 1 || n > 2 {
				t.Errorf("%d snapshots were sent, want 1 or 2", n)
			}
			corrupt(sub.core.state) // a second mismatch after the repair is reported again
			h.appendItems(configItem(1 + 14))
			h.run(3 * time.Second)
			h.requireUpToDate(sub)
			if h.countEvents(EventDigestMismatch) != 2 {
				t.Errorf("digest mismatches were reported %d times, want 2", h.countEvents(EventDigestMismatch))
			}
		})
	}
}

// TestHistoryConflictIsReported guards against a subscriber that mixes two histories. One of its publishers has another history: the
// subscriber has to drop one of the two, keep the state of one history, and report an alert.
func TestHistoryConflictIsReported(t *testing.T) {
	h, sub := newSyncedPair(t)
	publisher := h.publishers["r1"]
	publisher.isPartitioned = true
	if _, err := publisher.log.Append([]Item{configItem(100)}); err != nil {
		t.Fatal(err)
	}
	h.appendItems(configItem(1))
	publisher.core.LogChanged()
	publisher.core.ConfirmVersion(h.now, publisher.log.Version())
	h.drainPublisher(publisher)
	h.run(3 * time.Second)
	if h.countEvents(EventHistoryConflict) == 0 || sub.core.Stats.Conflicts == 0 {
		t.Fatal("the history conflict is not reported")
	}
	if got := sub.core.Publishers(); !slices.Equal(got, []string{"r0"}) && !slices.Equal(got, []string{"r1"}) {
		t.Errorf("after the conflict the subscriber follows %v", got)
	}
	for _, event := range h.events {
		if event.Kind == EventHistoryConflict && (!event.IsAlert() || event.Addr == "" || event.Version == 0) {
			t.Errorf("incomplete conflict event: %+v", event)
		}
	}
	conflicts := sub.core.Stats.Conflicts
	h.run(10 * time.Second)
	if sub.core.Stats.Conflicts > conflicts+1 {
		t.Errorf("the subscriber returned to the conflicting publisher %d times within 10 s", sub.core.Stats.Conflicts-conflicts)
	}
	// The subscriber keeps the history that it received first.
	if digest := sub.core.State().Digest(); digest != h.source.Digest() && digest != publisher.log.Digest() {
		t.Error("the subscriber's state belongs to neither history")
	}
	if err := NewState().Install(Snapshot{Fleet: sub.core.State().Fleet(), Version: sub.core.State().Version(), Digest: sub.core.State().Digest(), Items: sub.core.State().Items("")}); err != nil {
		t.Errorf("the subscriber's state is not consistent: %v", err)
	}
}

// TestSubscriberRejectsForeignFleet guards against a subscriber that installs the state of another fleet, which a publisher at the address
// of a seed sends, before and after the subscriber has a state of its own fleet.
func TestSubscriberRejectsForeignFleet(t *testing.T) {
	for _, knowsFleet := range []bool{false, true} {
		other := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
		for range 3 {
			_, _ = other.Append([]Item{{Key: FleetKey, Value: []byte("g")}})
		}
		subscriber := NewSubscriber(SubscriberConfig{ID: "b0", Fleet: "f", Seeds: []string{"r0", "r1"}}, 0)
		subscriber.Tick(0)
		subscriber.Connected("r0")
		if knowsFleet {
			own := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
			_, _ = own.Append([]Item{{Key: FleetKey, Value: []byte("f")}})
			if err := subscriber.Step("r0", Message{Snapshot: own.Snapshot()}); err != nil {
				t.Fatal(err)
			}
		}
		version := subscriber.State().Version()
		subscriber.Ready()
		if err := subscriber.Step("r0", Message{Snapshot: other.Snapshot()}); !errors.Is(err, ErrForeignFleet) {
			t.Errorf("snapshot of another fleet: %v, want ErrForeignFleet", err)
		}
		out := subscriber.Ready()
		if subscriber.State().Version() != version || !slices.Contains(out.CloseAddrs, "r0") || len(out.Updates) > 0 || subscriber.Stats.InvalidMessages != 1 {
			t.Errorf("after the snapshot of another fleet: %+v", out)
		}
	}
}

// TestLaggingPublisherOfAnotherHistory guards against a confirmation by a publisher of another history that lags: the age that it reports
// belongs to the other history, so the subscriber has to drop it.
func TestLaggingPublisherOfAnotherHistory(t *testing.T) {
	h, sub := newSyncedPair(t)
	publisher := h.publishers["r1"]
	publisher.isPartitioned = true
	if _, err := publisher.log.Append([]Item{configItem(100)}); err != nil {
		t.Fatal(err)
	}
	h.killPublisher("r1")
	for i := range 5 {
		h.appendItems(configItem(i))
	}
	h.run(time.Second)
	publisher.isDown = false
	publisher.core = NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, publisher.log, h.now)
	for range 100 {
		publisher.core.ConfirmVersion(h.now, publisher.log.Version())
		h.run(100 * time.Millisecond)
	}
	h.requireUpToDate(sub)
	if sub.core.Stats.Conflicts == 0 || h.countEvents(EventHistoryConflict) == 0 || slices.Contains(sub.core.Publishers(), "r1") {
		t.Errorf("%d conflicts, the subscriber follows %v", sub.core.Stats.Conflicts, sub.core.Publishers())
	}
}

// TestOneCorruptedChangeIsRepaired guards against a digest mismatch that persists. After one corrupted change, the correct change of the
// other publisher has to be applied, which ends the mismatch.
func TestOneCorruptedChangeIsRepaired(t *testing.T) {
	h, sub := newSyncedPair(t)
	if err := sub.core.Step(sub.core.Publishers()[0], Message{Change: &Change{Version: h.source.Version() + 1, DigestBefore: h.source.Digest(), DigestAfter: 1, Items: []Item{configItem(3)}}}); !errors.Is(err, ErrDigestMismatch) {
		t.Fatal(err)
	}
	for i := range 5 {
		h.appendItems(configItem(i))
		h.run(2 * time.Second)
	}
	h.requireUpToDate(sub)
	if sub.core.Stats.DigestMismatches != 1 || h.countEvents(EventDigestMismatch) != 1 || sub.core.digestMismatch {
		t.Errorf("%+v, digest mismatches reported %d times", sub.core.Stats, h.countEvents(EventDigestMismatch))
	}
}
