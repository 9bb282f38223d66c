package changefeed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestUpdatesAreAppliedInOrder verifies that a subscriber applies each version once, by changes.
func TestUpdatesAreAppliedInOrder(t *testing.T) {
	h, sub := newSyncedPair(t)
	from := h.source.Version()
	for i := range 50 {
		h.put(configItem(i))
		h.run(100 * time.Millisecond)
	}
	h.run(time.Second)
	h.requireUpToDate(sub)
	if sub.core.Stats.Snapshots != 1 || sub.core.Stats.Changes != 50 || sub.core.Stats.SyncRequests > 1 {
		t.Errorf("%+v", sub.core.Stats)
	}
	for i, a := range sub.updates[len(sub.updates)-50:] {
		if a.Version != from+uint64(i)+1 || a.Complete {
			t.Fatalf("step %d is version %d", i, a.Version)
		}
	}
}

// TestInitialSyncUsesOneSnapshot verifies that of two publishers one sends an empty subscriber a snapshot, and the other one continues from
// there.
func TestInitialSyncUsesOneSnapshot(t *testing.T) {
	h, sub := newSyncedPair(t)
	if h.sent["snapshot"] != 1 {
		t.Errorf("%d snapshots", h.sent["snapshot"])
	}
	before := sub.core.Stats.Duplicates
	h.put(configItem(1))
	h.run(time.Second)
	if sub.core.Stats.Duplicates != before+1 {
		t.Errorf("the second publisher sends nothing: %+v", sub.core.Stats)
	}
}

// TestSlowSubscriberStaysWithinItsWindow withholds a subscriber's acknowledgements: what is in flight to it stays within the window, the
// others continue, and it continues by changes where the log reaches back to it, else by a snapshot.
func TestSlowSubscriberStaysWithinItsWindow(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			h := newHarness(t, "s")
			slow, quick := h.newSubscriber("slow", "s"), h.newSubscriber("quick", "s")
			h.run(3 * time.Second)
			s := h.publishers["r0"]
			slow.stopped = true
			waits := 0
			for i := range 30 { // it is within its lease
				h.put(Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, i), Value: make([]byte, 4<<10)})
				h.run(100 * time.Millisecond)
				p := s.core.sessionsByID["slow"]
				if p.inFlightBytes > s.core.config.WindowBytes {
					t.Fatalf("%d bytes are out", p.inFlightBytes)
				}
				if !s.core.hasWindow(p, 4<<10) {
					waits++
				}
			}
			if waits == 0 {
				t.Fatal("it never waited")
			}
			h.requireUpToDate(quick)
			if cut {
				s.log.config.MaxChanges = 3
				h.put(configItem(0))
				h.run(100 * time.Millisecond)
			}
			snapshots := h.sent["snapshot"]
			slow.stopped = false
			h.run(4 * time.Second)
			h.requireUpToDate(slow)
			h.requireUpToDate(quick)
			if got := h.sent["snapshot"] - snapshots; got != map[bool]int{false: 0, true: 1}[cut] {
				t.Errorf("%d snapshots", got)
			}
			if slow.core.Stats.DigestMismatches+slow.core.Stats.Conflicts > 0 {
				t.Errorf("%+v", slow.core.Stats)
			}
		})
	}
}

// TestDuplicateLostAndUnknownMessages verifies that a subscriber and a publisher survive duplicate, lost and unknown messages.
func TestDuplicateLostAndUnknownMessages(t *testing.T) {
	h, sub := newSyncedPair(t)
	// Doubled: each message to the subscriber comes twice.
	h.drop = func(from, to string, m *Message) bool {
		if to == sub.id {
			_ = sub.core.Step(from, *m)
		}
		return false
	}
	for i := range 20 {
		h.put(configItem(i))
		h.run(200 * time.Millisecond)
	}
	h.requireUpToDate(sub)
	if sub.core.Stats.Conflicts+sub.core.Stats.DigestMismatches+sub.core.Stats.InvalidMessages > 0 || sub.core.Stats.Snapshots != 1 {
		t.Errorf("%+v", sub.core.Stats)
	}
	// Lost in the middle: what comes after a gap is asked for again.
	rng := rand.New(rand.NewPCG(3, 4))
	h.drop = func(_, _ string, m *Message) bool {
		return rng.IntN(2) == 0 && m.RenewResponse == nil && m.RenewRequest == nil
	}
	for i := range 20 {
		h.put(configItem(100 + i))
		h.run(200 * time.Millisecond)
	}
	h.drop = func(string, string, *Message) bool { return false }
	h.run(4 * time.Second)
	h.requireUpToDate(sub)
	if sub.core.Stats.Gaps == 0 {
		t.Error("nothing was lost")
	}
	// Of nothing that is known.
	if err := sub.core.Step("r0", Message{}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("%v", err)
	}
	if err := sub.core.Step("nobody", Message{}); err != nil {
		t.Errorf("a message from a closed connection: %v", err)
	}
	h.drainSubscriber(sub)
	h.run(2 * time.Minute)
	h.requireUpToDate(sub)
	if len(sub.core.Publishers()) != 2 {
		t.Errorf("it follows %v", sub.core.Publishers())
	}
	publisher := h.publishers["r0"].core
	if err := publisher.Connected(h.now, 99, Hello{ProtocolVersion: ProtocolVersion, ID: "x"}); err != nil {
		t.Fatal(err)
	}
	if err := publisher.Connected(h.now, 99, Hello{ProtocolVersion: ProtocolVersion, ID: "x"}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("two hellos: %v", err)
	}
	if err := publisher.Connected(h.now, 98, Hello{ProtocolVersion: ProtocolVersion, ID: "y"}); err != nil {
		t.Fatal(err)
	}
	if err := publisher.Step(h.now, 98, Message{}); !errors.Is(err, ErrMalformedMessage) || publisher.sessionsByID["x"] != nil || publisher.sessionsByID["y"] != nil {
		t.Errorf("a message of nothing: %v", err)
	}
}

// TestSnapshotsAreRateLimited connects many empty subscribers to one publisher: the snapshots are sent at the configured rate.
func TestSnapshotsAreRateLimited(t *testing.T) {
	h := newHarness(t, "s")
	for i := range 20 {
		h.put(Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, i), Value: make([]byte, 10<<10)})
	}
	size := h.source.Snapshot().Size()
	h.start("r0", PublisherConfig{SnapshotBytesPerSecond: 4 * size})
	for i := range 40 {
		h.newSubscriber(fmt.Sprintf("b%d", i), "s")
	}
	for i := range 40 {
		from := h.sent["snapshot"]
		h.put(configItem(i)) // with a change at each tick, a built snapshot is reused and followed by the changes
		h.run(100 * time.Millisecond)
		if got := h.sent["snapshot"] - from; i > 15 && got > 2 {
			t.Fatalf("%d snapshots in 0.1 s", got)
		}
	}
	if got := h.sent["snapshot"]; got < 12 || got > 4*4+5 {
		t.Errorf("%d snapshots in 4 s, at 4 a second", got)
	}
	h.run(10 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if sub.core.Stats.Snapshots != 1 {
			t.Errorf("%s took %d snapshots", sub.id, sub.core.Stats.Snapshots)
		}
	}
}

// TestHealedPartitionNeedsFewSnapshots separates a site with its publishers from the log for a while: afterwards its subscribers continue
// by changes, though one of its publishers had to install a snapshot itself.
func TestHealedPartitionNeedsFewSnapshots(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 300 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(90 * time.Second)
	for i, a := range h.addresses {
		h.publishers[a].partitioned = i%3 == 0
	}
	for _, sub := range h.subscribers { // and its subscribers cannot reach the others
		sub := sub
		previous := h.drop
		h.drop = func(from, to string, m *Message) bool {
			if from == sub.id && sub.core.config.Site == "s0" && h.publishers[to] != nil && !h.publishers[to].partitioned {
				return true
			}
			return previous(from, to, m)
		}
	}
	for i := range 200 {
		h.put(configItem(i))
		h.run(100 * time.Millisecond)
	}
	h.drop = func(string, string, *Message) bool { return false }
	clear(h.sent)
	log := h.publishers["r0"]
	if err := log.log.Install(*h.source.Snapshot()); err != nil { // too far behind for the others' logs
		t.Fatal(err)
	}
	for _, a := range h.addresses {
		h.publishers[a].partitioned = false
	}
	h.run(5 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	if h.sent["snapshot"] > 5 {
		t.Errorf("%d snapshots for 100 subscribers", h.sent["snapshot"])
	}
	t.Logf("after the cut: %v", h.sent)
}

// TestSubscriberWithoutAcksIsClosed has a subscriber that renews its lease but acknowledges nothing: its session is closed after a while.
func TestSubscriberWithoutAcksIsClosed(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	publisher := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 200, SnapshotBytesPerSecond: 1 << 20}, log, 0)
	if err := publisher.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0"}); err != nil {
		t.Fatal(err)
	}
	sends, at := 0, time.Duration(0)
	for n := uint64(1); n < 500 && len(publisher.sessions) > 0; n++ {
		at += 100 * time.Millisecond
		_, _ = log.Append([]Item{configItem(int(n))})
		publisher.LogChanged()
		_ = publisher.Step(at, 1, Message{RenewRequest: &RenewRequest{Sequence: n}})
		_ = publisher.Step(at, 1, Message{SyncRequest: &SyncRequest{}})
		publisher.Tick(at)
		sends += len(publisher.Ready().Sends)
	}
	if len(publisher.sessions) != 0 || publisher.Stats.SlowSubscribers != 1 || at > ackTimeout+2*DefaultLease {
		t.Errorf("after %v: %d subscribers, %+v", at, len(publisher.sessions), publisher.Stats)
	}
	if sends > maxUnreadResponses+20 {
		t.Errorf("%d messages to a subscriber that reads none", sends)
	}
}

// TestBlockedSubscriberIsCounted verifies that a subscriber counts as blocked if its window has capacity for nothing but an empty message.
func TestBlockedSubscriberIsCounted(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	if _, err := log.Append([]Item{{Key: FleetKey, Value: []byte("f")}}); err != nil {
		t.Fatal(err)
	}
	publisher := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 200, SnapshotBytesPerSecond: 1 << 20}, log, 0)
	hello := Hello{Fleet: "f", ProtocolVersion: ProtocolVersion, Version: log.Version(), Digest: log.Digest()}
	for i, id := range []string{"slow", "swift"} {
		hello.ID = id
		if err := publisher.Connected(0, uint64(i), hello); err != nil {
			t.Fatal(err)
		}
	}
	next := func() {
		if _, err := log.Append([]Item{configItem(1)}); err != nil {
			t.Fatal(err)
		}
		publisher.LogChanged()
		if err := publisher.Step(0, 1, Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}}); err != nil {
			t.Fatal(err)
		}
	}
	next()
	if f := publisher.SubscriberCounts(); f.Blocked != 0 || f.Current != 1 || f.LowestVersion != 1 {
		t.Errorf("one message is out: %+v", f)
	}
	for range 10 {
		next()
	}
	if f := publisher.SubscriberCounts(); f.Blocked != 1 || f.Current != 1 || f.LowestVersion != 1 {
		t.Errorf("the window is full: %+v", f)
	}
	if err := publisher.Step(0, 0, Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}}); err != nil {
		t.Fatal(err)
	}
	if f := publisher.SubscriberCounts(); f.Blocked != 0 || f.Current != 2 {
		t.Errorf("it has acknowledged all: %+v", f)
	}
}
