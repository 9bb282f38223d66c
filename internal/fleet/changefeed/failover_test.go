package changefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRestartOfAllPublishersNeedsNoSnapshots restarts all publishers of 4,600 subscribers: they are current again within the lease, and
// those that have the version are sent nothing.
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
		h.kill(a)
	}
	for _, a := range h.addresses {
		h.start(a, PublisherConfig{})
	}
	clear(h.sent)
	began := h.now
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
		if h.now-began > DefaultLease {
			t.Fatalf("%d of %d within the lease", n, subscribers)
		}
	}
	back := h.now - began
	h.run(3 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
	}
	if h.sent["snapshot"] != 0 || h.sent["change"] != 0 {
		t.Errorf("sent %v", h.sent)
	}
	t.Logf("all are back after %v", back)
}

// TestFailoverToOtherPublishers loses one publisher of 17, then all of one site: its subscribers follow others within the lease, spread
// evenly, and are current all the time where the loss is not silent.
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
				h.run(90 * time.Second) // each with whom it ranks first
				lost := map[string]bool{}
				for i, a := range h.addresses {
					if !isLost(i) {
						continue
					}
					lost[a] = true
					if silent {
						h.publishers[a].blackholed, h.publishers[a].stopped = true, true
					} else {
						h.kill(a)
					}
				}
				h.run(DefaultLease)
				load, expiries := map[string]int{}, uint64(0)
				for _, sub := range h.subscribers {
					here := 0
					for _, a := range sub.core.Publishers() {
						load[a]++
						if !lost[a] {
							here++
						}
					}
					if here == 0 {
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
						t.Errorf("%s has %d, the share is %d", a, load[a], share)
					}
				}
				t.Logf("%d lease expiries, subscribers by publisher %v", expiries, load)
			})
		}
	}
}

// TestOneWayPartition drops all messages of one direction between a subscriber and one of its publishers: the subscriber stays current by
// the other one and drops the one that does not answer, and the publisher closes the session.
func TestOneWayPartition(t *testing.T) {
	for name, cut := range map[string]func(from, to string) bool{
		"to the publisher": func(from, to string) bool { return from == "b0" && to == "r1" },
		"from it":          func(from, to string) bool { return from == "r1" && to == "b0" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "s", "s", "s")
			sub := h.newSubscriber("b0", "s")
			h.run(90 * time.Second)
			had := sub.core.Publishers()
			if !slices.Contains(had, "r1") {
				sub.id = "b0"
				cut2 := cut
				cut = func(from, to string) bool { // one of those that it follows
					swap := func(s string) string {
						if s == had[0] {
							return "r1"
						}
						return s
					}
					return cut2(swap(from), swap(to))
				}
				had = []string{had[0]}
			} else {
				had = []string{"r1"}
			}
			h.drop = func(from, to string, _ *Message) bool { return cut(from, to) }
			for i := range 60 {
				h.put(configItem(i))
				h.run(100 * time.Millisecond)
				if !sub.core.IsCurrent(h.now) {
					t.Fatalf("not current after %v", time.Duration(i)*100*time.Millisecond)
				}
			}
			h.requireUpToDate(sub)
			if got := sub.core.Publishers(); slices.Contains(got, had[0]) || len(got) != 2 {
				t.Errorf("it follows %v, %s is cut off", got, had[0])
			}
			if n := len(h.publishers[had[0]].core.sessions); n != 0 {
				t.Errorf("the publisher still counts %d", n)
			}
			h.drop = func(string, string, *Message) bool { return false }
			h.run(3 * time.Minute)
			h.requireUpToDate(sub)
		})
	}
}

// TestDrainingPublisherSpreadsItsSubscribers drains a publisher: its subscribers are never without a publisher.
func TestDrainingPublisherSpreadsItsSubscribers(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 500 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(90 * time.Second)
	s := h.publishers["r2"]
	had := len(s.core.sessions)
	s.core.Drain()
	h.drainPublisher(s)
	h.run(2 * time.Second)
	if len(s.core.sessions) != 0 || had == 0 {
		t.Errorf("%d of %d are left", len(s.core.sessions), had)
	}
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if len(sub.core.Publishers()) != 2 || sub.core.Stats.LeaseExpiries > 0 {
			t.Errorf("%s follows %v, %d lease expiries", sub.id, sub.core.Publishers(), sub.core.Stats.LeaseExpiries)
		}
	}
}

// TestSubscribersReturnGradually restarts a publisher: its subscribers return one by one, and none is ever without a publisher.
func TestSubscribersReturnGradually(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 500 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(2 * time.Minute)
	had := len(h.publishers["r3"].core.sessions)
	h.kill("r3")
	h.run(10 * time.Second)
	h.start("r3", PublisherConfig{})
	most := 0
	for second := range 150 {
		before := h.publishers["r3"].core.Stats.Accepted
		h.run(time.Second)
		most = max(most, int(h.publishers["r3"].core.Stats.Accepted-before))
		for _, sub := range h.subscribers {
			if sub.core.Stats.LeaseExpiries > 0 || len(sub.core.Publishers()) == 0 {
				t.Fatalf("%s after %d s: %v, %d lease expiries", sub.id, second, sub.core.Publishers(), sub.core.Stats.LeaseExpiries)
			}
		}
	}
	if back := len(h.publishers["r3"].core.sessions); back != had {
		t.Errorf("%d of %d are back", back, had)
	}
	if most > had/4 {
		t.Errorf("%d of %d in one second", most, had)
	}
	t.Logf("%d came back, at most %d in a second", had, most)
}

// TestAllPublishersDrainAtOnce restarts all publishers in a planned way: the retry times that they ask for leave no subscriber without a
// publisher.
func TestAllPublishersDrainAtOnce(t *testing.T) {
	h := newHarness(t, siteNames(17)...)
	for i := range 300 {
		h.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	h.run(30 * time.Second)
	for _, a := range h.addresses {
		h.publishers[a].core.Drain()
		h.drainPublisher(h.publishers[a])
		h.kill(a)
	}
	h.run(time.Second)
	for _, a := range h.addresses {
		h.start(a, PublisherConfig{})
	}
	clear(h.sent)
	began := h.now
	for n := 0; n < len(h.subscribers); {
		h.run(100 * time.Millisecond)
		n = 0
		for _, sub := range h.subscribers {
			if len(sub.core.Publishers()) > 0 && sub.core.IsCurrent(h.now) {
				n++
			}
		}
		if h.now-began > DefaultLease {
			t.Fatalf("%d of %d within the lease", n, len(h.subscribers))
		}
	}
	t.Logf("all are back after %v", h.now-began)
	h.run(10 * time.Second)
	for _, sub := range h.subscribers {
		h.requireUpToDate(sub)
		if len(sub.core.Publishers()) != 2 {
			t.Errorf("%s follows %v", sub.id, sub.core.Publishers())
		}
	}
	if h.sent["snapshot"] > 0 {
		t.Errorf("%d snapshots", h.sent["snapshot"])
	}
}
