package changefeed

import (
	"fmt"
	"testing"
	"time"
)

// TestResumedPublisherDoesNotConfirmOldState guards against a stale state that counts as current. A publisher is suspended while renewals to
// it are in transit: its late responses must not make the subscriber's state look newer than it is.
func TestResumedPublisherDoesNotConfirmOldState(t *testing.T) {
	h := newHarness(t, "s")
	sub := h.newSubscriber("b0", "s")
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	publisher := h.publishers["r0"]
	publisher.isSuspended = true
	knownUntil := h.now // the publisher knows all versions that were agreed until then
	h.run(2 * time.Second)
	h.appendItems(configItem(1))
	publisher.isPartitioned = true
	publisher.isSuspended = false
	for range 60 {
		h.run(100 * time.Millisecond)
		if age, _ := sub.core.Age(h.now); h.now-age > knownUntil {
			t.Fatalf("at %v the subscriber's state counts as confirmed at %v, the publisher's was confirmed at %v", h.now, h.now-age, knownUntil)
		}
		if sub.core.IsCurrent(h.now) && h.now-knownUntil > DefaultLease {
			t.Fatalf("the subscriber is current at %v, its state was confirmed at %v", h.now, knownUntil)
		}
	}
	if sub.core.Stats.LeaseExpiries != 1 || h.countEvents(EventStale) != 1 {
		t.Errorf("%d lease expiries, reported %d times", sub.core.Stats.LeaseExpiries, h.countEvents(EventStale))
	}
	publisher.isPartitioned = false
	h.run(2 * time.Second)
	h.requireUpToDate(sub)
	if h.countEvents(EventCurrent) != 2 { // the first event is of the initial state
		t.Errorf("EventCurrent was reported %d times, want 2", h.countEvents(EventCurrent))
	}
}

// TestBufferedResponseDoesNotRenewTheLease guards against a lease that is renewed by old responses. A subscriber is suspended, and the
// messages from its socket buffers are delivered when it resumes.
func TestBufferedResponseDoesNotRenewTheLease(t *testing.T) {
	h, sub := newSyncedPair(t)
	sub.isSuspended = true
	suspendedAt := h.now
	h.run(500 * time.Millisecond)
	var delayedMessages []func()
	sub.queuedEvents, delayedMessages = nil, sub.queuedEvents
	h.run(8 * time.Second)
	h.now += 100 * time.Millisecond
	if sub.core.IsCurrent(h.now) {
		t.Fatal("current after the suspension, before the next tick")
	}
	sub.isSuspended = false
	for _, handle := range delayedMessages {
		handle()
	}
	sub.core.Tick(h.now)
	if age, _ := sub.core.Age(h.now); sub.core.IsCurrent(h.now) || h.now-age > suspendedAt+500*time.Millisecond {
		t.Errorf("the state has an age of %v, %v after the suspension began", age, h.now-suspendedAt)
	}
	// The lease expiry is counted, and the subscriber is current again after a new response.
	if sub.core.Stats.LeaseExpiries != 1 {
		t.Errorf("%d lease expiries", sub.core.Stats.LeaseExpiries)
	}
	sub.queuedEvents = nil
	h.run(4 * time.Second)
	h.requireUpToDate(sub)
}

// TestSubscriberAheadOfItsPublisher guards against a subscriber that goes back, or counts as current, because its only publisher lags behind
// the version that it received from another one. Once the publisher has caught up, the subscriber has to continue by changes.
func TestSubscriberAheadOfItsPublisher(t *testing.T) {
	h := newHarness(t, "s", "s")
	h.publishers["r1"].isPartitioned = true
	for i := range 5 {
		h.appendItems(configItem(i))
	}
	sub := h.newSubscriber("b0", "s")
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	version := sub.core.State().Version()
	h.killPublisher("r0")
	h.run(2 * time.Second) // the subscriber follows only r1, which lags
	if sub.core.State().Version() != version || len(sub.core.Publishers()) != 1 {
		t.Fatalf("version %d, publishers %v", sub.core.State().Version(), sub.core.Publishers())
	}
	h.run(6 * time.Second)
	if sub.core.IsCurrent(h.now) {
		t.Error("current by a publisher whose state is not confirmed")
	}
	h.publishers["r1"].isPartitioned = false
	snapshots := h.sentByKind["snapshot"]
	h.appendItems(configItem(9))
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	if h.sentByKind["snapshot"] != snapshots {
		t.Error("the subscriber was brought up to date by a snapshot")
	}
}

// TestSuspendedSubscriberBlamesNoPublisher guards against a subscriber that drops its publishers because of its own suspension, or counts as
// current right after it.
func TestSuspendedSubscriberBlamesNoPublisher(t *testing.T) {
	h, sub := newSyncedPair(t)
	sub.isSuspended = true
	h.run(4 * time.Second)
	h.appendItems(configItem(1))
	sub.isSuspended = false
	dialFailures := sub.core.Stats.DialFailures
	if h.now += 3 * time.Second; sub.core.IsCurrent(h.now) {
		t.Error("current after 7 s without a message")
	}
	h.run(time.Second)
	h.requireUpToDate(sub)
	if len(sub.core.Publishers()) != 2 || sub.core.Stats.DialFailures != dialFailures || h.countEvents(EventUnsubscribed) != 0 || h.countEvents(EventResumed) == 0 {
		t.Errorf("the subscriber follows %v, events %v", sub.core.Publishers(), h.events)
	}
}

// TestSuspendedPublisherExpiresNoLease guards against a publisher that closes sessions because of the silence during its own suspension.
func TestSuspendedPublisherExpiresNoLease(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
	publisher := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, log, 0)
	if err := publisher.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0"}); err != nil {
		t.Fatal(err)
	}
	publisher.Tick(100 * time.Millisecond)
	publisher.Tick(20 * time.Second)
	if len(publisher.sessions) != 1 {
		t.Fatal("the session was closed because of the publisher's suspension")
	}
	for at := 20 * time.Second; at < 20*time.Second+DefaultLease+time.Second; at += 100 * time.Millisecond {
		publisher.Tick(at)
	}
	if len(publisher.sessions) != 0 || publisher.Stats.LeaseExpiries != 1 {
		t.Error("the session is still open after a lease of silence")
	}
}

// TestStalenessWithoutLogLeader guards against subscribers that switch publishers without end while the log has no leader, so that no
// publisher's state is confirmed. They have to keep their publishers, report staleness, and recover without snapshots.
func TestStalenessWithoutLogLeader(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 100 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(90 * time.Second)
	for _, publisher := range h.publishers {
		publisher.isPartitioned = true
	}
	dials := uint64(0)
	for _, sub := range h.subscribers {
		dials -= sub.core.Stats.Dials
	}
	h.run(2 * time.Minute)
	for _, sub := range h.subscribers {
		dials += sub.core.Stats.Dials
		if sub.core.IsCurrent(h.now) || sub.core.Stats.LeaseExpiries != 1 || len(sub.core.Publishers()) < 2 {
			t.Errorf("%s: %v, %d lease expiries", sub.id, sub.core.Publishers(), sub.core.Stats.LeaseExpiries)
		}
	}
	if dials > 100*15 {
		t.Errorf("100 subscribers dialed %d times in 2 minutes", dials)
	}
	t.Logf("%d dials by 100 subscribers in 2 minutes", dials)
	for _, publisher := range h.publishers {
		publisher.isPartitioned = false
	}
	clear(h.sentByKind)
	h.appendItems(configItem(1))
	h.run(3 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	if h.sentByKind["snapshot"] > 0 {
		t.Errorf("%d snapshots were sent, want none", h.sentByKind["snapshot"])
	}
}
