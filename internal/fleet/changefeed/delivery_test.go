package changefeed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestUpdatesAreAppliedInOrder guards against versions that a subscriber with two publishers skips, applies twice or receives as snapshots.
func TestUpdatesAreAppliedInOrder(t *testing.T) {
	h, sub := newSyncedPair(t)
	from := h.source.Version()
	for i := range 50 {
		h.appendItems(configItem(i))
		h.run(100 * time.Millisecond)
	}
	h.run(time.Second)
	h.requireUpToDate(sub)
	if sub.core.Stats.Snapshots != 1 || sub.core.Stats.Changes != 50 || sub.core.Stats.SyncRequests > 1 {
		t.Errorf("the subscriber skipped, repeated or replaced versions: %+v", sub.core.Stats)
	}
	for i, update := range sub.updates[len(sub.updates)-50:] {
		if update.Version != from+uint64(i)+1 || update.Complete {
			t.Fatalf("update %d is version %d, complete or out of order", i, update.Version)
		}
	}
}

// TestInitialSyncUsesOneSnapshot guards against a second snapshot to an empty subscriber: one of its two publishers sends a snapshot, and
// both send the changes after it.
func TestInitialSyncUsesOneSnapshot(t *testing.T) {
	h, sub := newSyncedPair(t)
	if h.sentByKind["snapshot"] != 1 {
		t.Errorf("%d snapshots were sent, want 1", h.sentByKind["snapshot"])
	}
	before := sub.core.Stats.Duplicates
	h.appendItems(configItem(1))
	h.run(time.Second)
	if sub.core.Stats.Duplicates != before+1 {
		t.Errorf("the second publisher sends nothing: %+v", sub.core.Stats)
	}
}

// TestSlowSubscriberStaysWithinItsWindow guards against unbounded data in flight to a subscriber that acknowledges nothing, and against a
// delay of other subscribers. Once it acknowledges again, it has to receive the missing changes, or a snapshot if the log no longer has
// them.
func TestSlowSubscriberStaysWithinItsWindow(t *testing.T) {
	for _, logTruncated := range []bool{false, true} {
		t.Run(fmt.Sprint(logTruncated), func(t *testing.T) {
			h := newHarness(t, "s")
			slow, quick := h.newSubscriber("slow", "s"), h.newSubscriber("quick", "s")
			h.run(3 * time.Second)
			publisher := h.publishers["r0"]
			slow.isSuspended = true
			fullWindows := 0
			for i := range 30 { // the suspension is shorter than the lease
				h.appendItems(Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, i), Value: make([]byte, 4<<10)})
				h.run(100 * time.Millisecond)
				slowSession := publisher.core.sessionsByID["slow"]
				if slowSession.inFlightBytes > publisher.core.config.WindowBytes {
					t.Fatalf("%d bytes are in flight", slowSession.inFlightBytes)
				}
				if !publisher.core.hasWindow(slowSession, 4<<10) {
					fullWindows++
				}
			}
			if fullWindows == 0 {
				t.Fatal("the window was never full")
			}
			h.requireUpToDate(quick)
			if logTruncated {
				publisher.log.config.MaxChanges = 3
				h.appendItems(configItem(0))
				h.run(100 * time.Millisecond)
			}
			snapshots := h.sentByKind["snapshot"]
			slow.isSuspended = false
			h.run(4 * time.Second)
			h.requireUpToDate(slow)
			h.requireUpToDate(quick)
			if got := h.sentByKind["snapshot"] - snapshots; got != map[bool]int{false: 0, true: 1}[logTruncated] {
				t.Errorf("%d snapshots were sent", got)
			}
			if slow.core.Stats.DigestMismatches+slow.core.Stats.Conflicts > 0 {
				t.Errorf("digest mismatches or conflicts of the slow subscriber: %+v", slow.core.Stats)
			}
		})
	}
}

// TestDuplicateLostAndUnknownMessages guards against duplicate, lost and unknown messages that leave a subscriber behind or keep a
// publisher's session open.
func TestDuplicateLostAndUnknownMessages(t *testing.T) {
	h, sub := newSyncedPair(t)
	// Each message to the subscriber is delivered twice.
	h.dropMessage = func(from, to string, m *Message) bool {
		if to == sub.id {
			_ = sub.core.Step(from, *m)
		}
		return false
	}
	for i := range 20 {
		h.appendItems(configItem(i))
		h.run(200 * time.Millisecond)
	}
	h.requireUpToDate(sub)
	if sub.core.Stats.Conflicts+sub.core.Stats.DigestMismatches+sub.core.Stats.InvalidMessages > 0 || sub.core.Stats.Snapshots != 1 {
		t.Errorf("after duplicate messages: %+v", sub.core.Stats)
	}
	// Half of the other messages are lost: the subscriber requests the missing changes after a gap.
	rng := rand.New(rand.NewPCG(3, 4))
	h.dropMessage = func(_, _ string, m *Message) bool {
		return rng.IntN(2) == 0 && m.RenewResponse == nil && m.RenewRequest == nil
	}
	for i := range 20 {
		h.appendItems(configItem(100 + i))
		h.run(200 * time.Millisecond)
	}
	h.dropMessage = func(string, string, *Message) bool { return false }
	h.run(4 * time.Second)
	h.requireUpToDate(sub)
	if sub.core.Stats.Gaps == 0 {
		t.Error("no gap was detected")
	}
	// A message without known content is rejected.
	if err := sub.core.Step("r0", Message{}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("message without content: %v, want ErrMalformedMessage", err)
	}
	if err := sub.core.Step("nobody", Message{}); err != nil {
		t.Errorf("message from a publisher without a connection: %v", err)
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
		t.Errorf("second hello on one connection: %v", err)
	}
	if err := publisher.Connected(h.now, 98, Hello{ProtocolVersion: ProtocolVersion, ID: "y"}); err != nil {
		t.Fatal(err)
	}
	if err := publisher.Step(h.now, 98, Message{}); !errors.Is(err, ErrMalformedMessage) || publisher.sessionsByID["x"] != nil || publisher.sessionsByID["y"] != nil {
		t.Errorf("message without content: %v, or a session is still open", err)
	}
}

// TestSnapshotsAreRateLimited guards against a burst of snapshots when many empty subscribers connect to one publisher: they have to be sent
// at the configured rate, one to each subscriber.
func TestSnapshotsAreRateLimited(t *testing.T) {
	h := newHarness(t, "s")
	for i := range 20 {
		h.appendItems(Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, i), Value: make([]byte, 10<<10)})
	}
	size := h.source.Snapshot().Size()
	h.startPublisher("r0", PublisherConfig{SnapshotBytesPerSecond: 4 * size})
	for i := range 40 {
		h.newSubscriber(fmt.Sprintf("b%d", i), "s")
	}
	for i := range 40 {
		before := h.sentByKind["snapshot"]
		h.appendItems(configItem(i)) // there is a change at each tick: the cached snapshot is reused, followed by the changes
		h.run(100 * time.Millisecond)
		if got := h.sentByKind["snapshot"] - before; i > 15 && got > 2 {
			t.Fatalf("%d snapshots in 0.1 s", got)
		}
	}
	if got := h.sentByKind["snapshot"]; got < 12 || got > 4*4+5 {
		t.Errorf("%d snapshots in 4 s, at 4 a second", got)
	}
	h.run(10 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if sub.core.Stats.Snapshots != 1 {
			t.Errorf("%s installed %d snapshots", sub.id, sub.core.Stats.Snapshots)
		}
	}
}

// TestHealedPartitionNeedsFewSnapshots guards against a burst of snapshots after a partition. A site with its publishers is cut off from the
// log for a while. Afterwards its subscribers have to continue by changes, although one of its publishers had to install a snapshot itself.
func TestHealedPartitionNeedsFewSnapshots(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 300 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(90 * time.Second)
	for i, a := range h.addresses {
		h.publishers[a].isPartitioned = i%3 == 0
	}
	for _, sub := range h.subscribers { // the subscribers of that site cannot reach publishers of other sites
		sub := sub
		previous := h.dropMessage
		h.dropMessage = func(from, to string, m *Message) bool {
			if from == sub.id && sub.core.config.Site == "s0" && h.publishers[to] != nil && !h.publishers[to].isPartitioned {
				return true
			}
			return previous(from, to, m)
		}
	}
	for i := range 200 {
		h.appendItems(configItem(i))
		h.run(100 * time.Millisecond)
	}
	h.dropMessage = func(string, string, *Message) bool { return false }
	clear(h.sentByKind)
	laggingPublisher := h.publishers["r0"]
	if err := laggingPublisher.log.Install(*h.source.Snapshot()); err != nil { // what a publisher does that lags further than the logs of the others reach back
		t.Fatal(err)
	}
	for _, a := range h.addresses {
		h.publishers[a].isPartitioned = false
	}
	h.run(5 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	if h.sentByKind["snapshot"] > 5 {
		t.Errorf("%d snapshots for 100 subscribers", h.sentByKind["snapshot"])
	}
	t.Logf("messages after the partition: %v", h.sentByKind)
}

// TestSubscriberWithoutAcksIsClosed guards against a session that stays open forever, and against unbounded messages to it, when a
// subscriber renews its lease but acknowledges nothing.
func TestSubscriberWithoutAcksIsClosed(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	publisher := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 200, SnapshotBytesPerSecond: 1 << 20}, log, 0)
	if err := publisher.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0"}); err != nil {
		t.Fatal(err)
	}
	sends, now := 0, time.Duration(0)
	for n := uint64(1); n < 500 && len(publisher.sessions) > 0; n++ {
		now += 100 * time.Millisecond
		_, _ = log.Append([]Item{configItem(int(n))})
		publisher.LogChanged()
		_ = publisher.Step(now, 1, Message{RenewRequest: &RenewRequest{Sequence: n}})
		_ = publisher.Step(now, 1, Message{SyncRequest: &SyncRequest{}})
		publisher.Tick(now)
		sends += len(publisher.Ready().Sends)
	}
	if len(publisher.sessions) != 0 || publisher.Stats.SlowSubscribers != 1 || now > ackTimeout+2*DefaultLease {
		t.Errorf("after %v: %d sessions, %+v", now, len(publisher.sessions), publisher.Stats)
	}
	if sends > maxUnreadResponses+20 {
		t.Errorf("%d messages to a subscriber that reads none", sends)
	}
}

// TestBlockedSubscriberIsCounted guards against wrong numbers in SubscriberCounts: a subscriber counts as blocked only while its window has
// no room for the next change.
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
	appendAndAck := func() {
		if _, err := log.Append([]Item{configItem(1)}); err != nil {
			t.Fatal(err)
		}
		publisher.LogChanged()
		if err := publisher.Step(0, 1, Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}}); err != nil {
			t.Fatal(err)
		}
	}
	appendAndAck()
	if counts := publisher.SubscriberCounts(); counts.Blocked != 0 || counts.Current != 1 || counts.LowestVersion != 1 {
		t.Errorf("with one message in flight: %+v", counts)
	}
	for range 10 {
		appendAndAck()
	}
	if counts := publisher.SubscriberCounts(); counts.Blocked != 1 || counts.Current != 1 || counts.LowestVersion != 1 {
		t.Errorf("with a full window: %+v", counts)
	}
	if err := publisher.Step(0, 0, Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}}); err != nil {
		t.Fatal(err)
	}
	if counts := publisher.SubscriberCounts(); counts.Blocked != 0 || counts.Current != 2 {
		t.Errorf("after all acknowledgements: %+v", counts)
	}
}
