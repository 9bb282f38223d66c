package changefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRestartOfAllPublishersNeedsNoSnapshots guards against a burst of snapshots or a long outage after a restart of all publishers: 4,600
// subscribers have to be current again within the lease, and are sent nothing because they have the version.
func TestRestartOfAllPublishersNeedsNoSnapshots(t *testing.T) {
	const publishers, subscribers = 17, 4600
	h := newHarness(t, siteNames(publishers)...)
	for i := range subscribers {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(3 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	for _, a := range h.addresses {
		h.killPublisher(a)
	}
	for _, a := range h.addresses {
		h.startPublisher(a, PublisherConfig{})
	}
	clear(h.sentByKind)
	startedAt := h.now
	for h.run(100 * time.Millisecond); ; h.run(100 * time.Millisecond) {
		n := 0
		for _, sub := range h.subscribers {
			if len(sub.core.Publishers()) > 0 && sub.core.IsCurrent(h.now) {
				n++
			}
		}
		if n == subscribers {
			break
		}
		if h.now-startedAt > DefaultLease {
			t.Fatalf("%d of %d subscribers are current again within the lease", n, subscribers)
		}
	}
	recoveryTime := h.now - startedAt
	h.run(3 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	if h.sentByKind["snapshot"] != 0 || h.sentByKind["change"] != 0 {
		t.Errorf("messages sent: %v, want no snapshots and changes", h.sentByKind)
	}
	t.Logf("all subscribers are current again after %v", recoveryTime)
}

// TestFailoverToOtherPublishers guards against subscribers without a publisher, and against an uneven load, after the loss of one of 17
// publishers or of all publishers of a site. Within the lease the subscribers have to follow others; unless the lost publishers are silent,
// they have to stay current all the time.
func TestFailoverToOtherPublishers(t *testing.T) {
	const subscribers = 400
	for name, isLost := range map[string]func(i int) bool{
		"one":      func(i int) bool { return i == 4 },
		"a region": func(i int) bool { return i%3 == 1 },
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				h := newHarness(t, siteNames(17)...)
				for i := range subscribers {
					h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
				}
				h.run(90 * time.Second) // by then each subscriber follows its best ranked publishers
				lost := map[string]bool{}
				for i, a := range h.addresses {
					if !isLost(i) {
						continue
					}
					lost[a] = true
					if silent {
						h.publishers[a].isBlackholed, h.publishers[a].isSuspended = true, true
					} else {
						h.killPublisher(a)
					}
				}
				h.run(DefaultLease)
				load, expiries := map[string]int{}, uint64(0)
				for _, sub := range h.subscribers {
					remaining := 0
					for _, a := range sub.core.Publishers() {
						load[a]++
						if !lost[a] {
							remaining++
						}
					}
					if remaining == 0 {
						t.Fatalf("%s follows %v", sub.id, sub.core.Publishers())
					}
					expiries += sub.core.Stats.LeaseExpiries
				}
				if !silent && expiries > 0 {
					t.Errorf("%d lease expiries", expiries)
				}
				h.run(5 * time.Second)
				clear(load)
				for _, sub := range h.subscribers {
					if got := sub.core.Publishers(); len(got) < 2 {
						t.Errorf("%s follows %v", sub.id, got)
					}
					for _, a := range sub.core.Publishers() {
						load[a]++
					}
					h.requireUpToDate(sub)
				}
				left := 17 - len(lost)
				for _, a := range h.addresses {
					if share := 2 * subscribers / left; !lost[a] && load[a] > 2*share {
						t.Errorf("%s has %d subscribers, an even share is %d", a, load[a], share)
					}
				}
				t.Logf("%d lease expiries, subscribers by publisher %v", expiries, load)
			})
		}
	}
}

// TestOneWayPartition guards against a half-open connection that makes a subscriber stale or keeps a session open. All messages of one
// direction between a subscriber and one of its publishers are dropped: the subscriber has to stay current by the other publisher and drop
// this one, and the publisher has to close the session.
func TestOneWayPartition(t *testing.T) {
	for name, isDropped := range map[string]func(from, to string) bool{
		"to the publisher": func(from, to string) bool { return from == "b0" && to == "r1" },
		"from it":          func(from, to string) bool { return from == "r1" && to == "b0" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "s", "s", "s")
			sub := h.newSubscriber("b0", "s")
			h.run(90 * time.Second)
			publishersBefore := sub.core.Publishers()
			if !slices.Contains(publishersBefore, "r1") {
				sub.id = "b0"
				isDroppedForR1 := isDropped
				isDropped = func(from, to string) bool { // cut off one of the publishers that the subscriber follows
					swap := func(s string) string {
						if s == publishersBefore[0] {
							return "r1"
						}
						return s
					}
					return isDroppedForR1(swap(from), swap(to))
				}
				publishersBefore = []string{publishersBefore[0]}
			} else {
				publishersBefore = []string{"r1"}
			}
			h.dropMessage = func(from, to string, _ *Message) bool { return isDropped(from, to) }
			for i := range 60 {
				h.appendItems(configItem(i))
				h.run(100 * time.Millisecond)
				if !sub.core.IsCurrent(h.now) {
					t.Fatalf("the subscriber is not current after %v", time.Duration(i)*100*time.Millisecond)
				}
			}
			h.requireUpToDate(sub)
			if got := sub.core.Publishers(); slices.Contains(got, publishersBefore[0]) || len(got) != 2 {
				t.Errorf("the subscriber follows %v, %s is cut off", got, publishersBefore[0])
			}
			if n := len(h.publishers[publishersBefore[0]].core.sessions); n != 0 {
				t.Errorf("the publisher still has %d sessions", n)
			}
			h.dropMessage = func(string, string, *Message) bool { return false }
			h.run(3 * time.Minute)
			h.requireUpToDate(sub)
		})
	}
}

// TestDrainingPublisherSpreadsItsSubscribers guards against subscribers without a current state after one of their publishers drains.
func TestDrainingPublisherSpreadsItsSubscribers(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 500 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(90 * time.Second)
	publisher := h.publishers["r2"]
	sessionsBefore := len(publisher.core.sessions)
	publisher.core.Drain()
	h.drainPublisher(publisher)
	h.run(2 * time.Second)
	if len(publisher.core.sessions) != 0 || sessionsBefore == 0 {
		t.Errorf("%d of %d sessions are left after the drain", len(publisher.core.sessions), sessionsBefore)
	}
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if len(sub.core.Publishers()) != 2 || sub.core.Stats.LeaseExpiries > 0 {
			t.Errorf("%s follows %v, %d lease expiries", sub.id, sub.core.Publishers(), sub.core.Stats.LeaseExpiries)
		}
	}
}

// TestSubscribersReturnGradually guards against a rush of subscribers to a publisher that is back after a restart, and against subscribers
// that are without a publisher meanwhile.
func TestSubscribersReturnGradually(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 500 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(2 * time.Minute)
	sessionsBefore := len(h.publishers["r3"].core.sessions)
	h.killPublisher("r3")
	h.run(10 * time.Second)
	h.startPublisher("r3", PublisherConfig{})
	maxPerSecond := 0
	for second := range 150 {
		before := h.publishers["r3"].core.Stats.Accepted
		h.run(time.Second)
		maxPerSecond = max(maxPerSecond, int(h.publishers["r3"].core.Stats.Accepted-before))
		for _, sub := range h.subscribers {
			if sub.core.Stats.LeaseExpiries > 0 || len(sub.core.Publishers()) == 0 {
				t.Fatalf("%s after %d s: %v, %d lease expiries", sub.id, second, sub.core.Publishers(), sub.core.Stats.LeaseExpiries)
			}
		}
	}
	if returned := len(h.publishers["r3"].core.sessions); returned != sessionsBefore {
		t.Errorf("%d of %d subscribers have returned", returned, sessionsBefore)
	}
	if maxPerSecond > sessionsBefore/4 {
		t.Errorf("%d of %d subscribers returned in one second", maxPerSecond, sessionsBefore)
	}
	t.Logf("%d subscribers returned, at most %d in a second", sessionsBefore, maxPerSecond)
}

// TestAllPublishersDrainAtOnce guards against retry times that leave subscribers without a publisher: all publishers drain and restart at
// once, and the subscribers have to be current again within the lease, without snapshots.
func TestAllPublishersDrainAtOnce(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 300 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(30 * time.Second)
	for _, a := range h.addresses {
		h.publishers[a].core.Drain()
		h.drainPublisher(h.publishers[a])
		h.killPublisher(a)
	}
	h.run(time.Second)
	for _, a := range h.addresses {
		h.startPublisher(a, PublisherConfig{})
	}
	clear(h.sentByKind)
	startedAt := h.now
	for n := 0; n < len(h.subscribers); {
		h.run(100 * time.Millisecond)
		n = 0
		for _, sub := range h.subscribers {
			if len(sub.core.Publishers()) > 0 && sub.core.IsCurrent(h.now) {
				n++
			}
		}
		if h.now-startedAt > DefaultLease {
			t.Fatalf("%d of %d subscribers are current again within the lease", n, len(h.subscribers))
		}
	}
	t.Logf("all subscribers are current again after %v", h.now-startedAt)
	h.run(10 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if len(sub.core.Publishers()) != 2 {
			t.Errorf("%s follows %v", sub.id, sub.core.Publishers())
		}
	}
	if h.sentByKind["snapshot"] > 0 {
		t.Errorf("%d snapshots were sent, want none", h.sentByKind["snapshot"])
	}
}
