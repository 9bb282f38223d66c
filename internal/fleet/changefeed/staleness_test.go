package changefeed

import (
	"fmt"
	"testing"
	"time"
)

// TestResumedPublisherDoesNotConfirmOldState suspends a publisher while renewals to it are in transit: its late answers do not make the
// subscriber's state look newer than it is.
func TestResumedPublisherDoesNotConfirmOldState(t *testing.T) {
	h := newHarness(t, "s")
	sub := h.newSubscriber("b0", "s")
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	s := h.publishers["r0"]
	s.stopped = true
	knownUntil := h.now // this publisher knows what was agreed until then
	h.run(2 * time.Second)
	h.put(configItem(1))
	s.partitioned = true
	s.stopped = false
	for range 60 {
		h.run(100 * time.Millisecond)
		if age, _ := sub.core.Age(h.now); h.now-age > knownUntil {
			t.Fatalf("at %v its state counts as of %v, the publisher's is of %v", h.now, h.now-age, knownUntil)
		}
		if sub.core.IsCurrent(h.now) && h.now-knownUntil > DefaultLease {
			t.Fatalf("current at %v by a state of %v", h.now, knownUntil)
		}
	}
	if sub.core.Stats.LeaseExpiries != 1 || h.countEvents(EventStale) != 1 {
		t.Errorf("%d lease expiries, reported %d times", sub.core.Stats.LeaseExpiries, h.countEvents(EventStale))
	}
	s.partitioned = false
	h.run(2 * time.Second)
	h.requireUpToDate(sub)
	if h.countEvents(EventCurrent) != 2 { // the first one at the start
		t.Errorf("reported %d times that it is current", h.countEvents(EventCurrent))
	}
}

// TestBufferedResponseDoesNotRenewTheLease suspends a subscriber and then delivers what its buffers held.
func TestBufferedResponseDoesNotRenewTheLease(t *testing.T) {
	h, sub := newSyncedPair(t)
	sub.stopped = true
	at := h.now
	h.run(500 * time.Millisecond)
	var late []func()
	sub.waiting, late = nil, sub.waiting
	h.run(8 * time.Second)
	h.now += 100 * time.Millisecond
	if sub.core.IsCurrent(h.now) {
		t.Fatal("current by the clock as it is, without a tick")
	}
	sub.stopped = false
	for _, what := range late {
		what()
	}
	sub.core.Tick(h.now)
	if age, _ := sub.core.Age(h.now); sub.core.IsCurrent(h.now) || h.now-age > at+500*time.Millisecond {
		t.Errorf("its knowledge is %v old after %v", age, h.now-at)
	}
	// The lease expiry was counted, and it is current again after a new response.
	if sub.core.Stats.LeaseExpiries != 1 {
		t.Errorf("%d lease expiries", sub.core.Stats.LeaseExpiries)
	}
	sub.waiting = nil
	h.run(4 * time.Second)
	h.requireUpToDate(sub)
}

// TestSubscriberAheadOfItsPublisher has a publisher that lags behind what the subscriber received from another one.
func TestSubscriberAheadOfItsPublisher(t *testing.T) {
	h := newHarness(t, "s", "s")
	h.publishers["r1"].partitioned = true
	for i := range 5 {
		h.put(configItem(i))
	}
	sub := h.newSubscriber("b0", "s")
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	version := sub.core.State().Version()
	h.kill("r0")
	h.run(2 * time.Second) // r1 alone, behind
	if sub.core.State().Version() != version || len(sub.core.Publishers()) != 1 {
		t.Fatalf("version %d, publishers %v", sub.core.State().Version(), sub.core.Publishers())
	}
	h.run(6 * time.Second)
	if sub.core.IsCurrent(h.now) {
		t.Error("current by a publisher that knows nothing of its age")
	}
	h.publishers["r1"].partitioned = false
	snapshots := h.sent["snapshot"]
	h.put(configItem(9))
	h.run(3 * time.Second)
	h.requireUpToDate(sub)
	if h.sent["snapshot"] != snapshots {
		t.Error("it was led on by a snapshot")
	}
}

// TestSuspendedSubscriberBlamesNoPublisher suspends a subscriber: it is not current by its clock, drops no publisher, and continues.
func TestSuspendedSubscriberBlamesNoPublisher(t *testing.T) {
	h, sub := newSyncedPair(t)
	sub.stopped = true
	h.run(4 * time.Second)
	h.put(configItem(1))
	sub.stopped = false
	fails := sub.core.Stats.DialFailures
	if h.now += 3 * time.Second; sub.core.IsCurrent(h.now) {
		t.Error("current after 7 s without a message")
	}
	h.run(time.Second)
	h.requireUpToDate(sub)
	if len(sub.core.Publishers()) != 2 || sub.core.Stats.DialFailures != fails || h.countEvents(EventUnsubscribed) != 0 || h.countEvents(EventResumed) == 0 {
		t.Errorf("it follows %v: %v", sub.core.Publishers(), h.events)
	}
}

// TestSuspendedPublisherExpiresNoLease suspends a publisher: it expires no lease for the silence during its suspension.
func TestSuspendedPublisherExpiresNoLease(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
	publisher := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, log, 0)
	if err := publisher.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0"}); err != nil {
		t.Fatal(err)
	}
	publisher.Tick(100 * time.Millisecond)
	publisher.Tick(20 * time.Second)
	if len(publisher.sessions) != 1 {
		t.Fatal("let go by its own stop")
	}
	for at := 20 * time.Second; at < 20*time.Second+DefaultLease+time.Second; at += 100 * time.Millisecond {
		publisher.Tick(at)
	}
	if len(publisher.sessions) != 0 || publisher.Stats.LeaseExpiries != 1 {
		t.Error("its session is open after a lease of silence")
	}
}

// TestStalenessWithoutLogLeader ends all confirmations: subscribers keep their publishers, report that they are stale, and do not roam.
func TestStalenessWithoutLogLeader(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 100 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(90 * time.Second)
	for _, s := range h.publishers {
		s.partitioned = true
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
	t.Logf("%d dials of 100 subscribers in 2 minutes", dials)
	for _, s := range h.publishers {
		s.partitioned = false
	}
	clear(h.sent)
	h.put(configItem(1))
	h.run(3 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	if h.sent["snapshot"] > 0 {
		t.Errorf("%d snapshots", h.sent["snapshot"])
	}
}
