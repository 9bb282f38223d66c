package changefeed

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sabletally/internal/fleet/shardmap"
)

// two is a rig of two relays of one region and a follower that is up to date.
func two(t *testing.T) (*harness, *testSubscriber) {
	r := newHarness(t, "s", "s")
	c := r.newSubscriber("b0", "s")
	r.run(3 * time.Second)
	r.requireUpToDate(c)
	if got := c.core.Publishers(); len(got) != 2 {
		t.Fatalf("it follows %v", got)
	}
	return r, c
}

// TestAFollowerSeesEachVersionInOrder puts changes and has the follower apply each once, by changes.
func TestAFollowerSeesEachVersionInOrder(t *testing.T) {
	r, c := two(t)
	from := r.source.Version()
	for i := range 50 {
		r.put(configItem(i))
		r.run(100 * time.Millisecond)
	}
	r.run(time.Second)
	r.requireUpToDate(c)
	if c.core.Stats.Snapshots != 1 || c.core.Stats.Changes != 50 || c.core.Stats.SyncRequests > 1 {
		t.Errorf("%+v", c.core.Stats)
	}
	for i, a := range c.updates[len(c.updates)-50:] {
		if a.Version != from+uint64(i)+1 || a.Complete {
			t.Fatalf("step %d is version %d", i, a.Version)
		}
	}
}

// TestOneSnapshotAtAStart has a follower that knows nothing and two relays: one of them sends it all, the other goes on from there.
func TestOneSnapshotAtAStart(t *testing.T) {
	r, c := two(t)
	if r.sent["snapshot"] != 1 {
		t.Errorf("%d snapshots", r.sent["snapshot"])
	}
	before := c.core.Stats.Duplicates
	r.put(configItem(1))
	r.run(time.Second)
	if c.core.Stats.Duplicates != before+1 {
		t.Errorf("the second relay sends nothing: %+v", c.core.Stats)
	}
}

// TestARelayThatWakesOnOldState stops a relay while renewals to it are under way, and hands its answers over late: none of them makes
// the follower's knowledge younger than it is.
func TestARelayThatWakesOnOldState(t *testing.T) {
	r := newHarness(t, "s")
	c := r.newSubscriber("b0", "s")
	r.run(3 * time.Second)
	r.requireUpToDate(c)
	s := r.publishers["r0"]
	s.stopped = true
	truth := r.now // what was agreed until then is all that this relay knows
	r.run(2 * time.Second)
	r.put(configItem(1))
	s.partitioned = true
	s.stopped = false
	for range 60 {
		r.run(100 * time.Millisecond)
		if age, _ := c.core.Age(r.now); r.now-age > truth {
			t.Fatalf("at %v it takes its knowledge for that of %v, the relay's is of %v", r.now, r.now-age, truth)
		}
		if c.core.IsCurrent(r.now) && r.now-truth > DefaultLease {
			t.Fatalf("current at %v by knowledge of %v", r.now, truth)
		}
	}
	if c.core.Stats.LeaseExpiries != 1 || r.countEvents(EventStale) != 1 {
		t.Errorf("%d lapses, told %d times", c.core.Stats.LeaseExpiries, r.countEvents(EventStale))
	}
	s.partitioned = false
	r.run(2 * time.Second)
	r.requireUpToDate(c)
	if r.countEvents(EventCurrent) != 2 { // the first one at the start
		t.Errorf("told %d times that it is current", r.countEvents(EventCurrent))
	}
}

// TestAnAnswerFromABufferRenewsNothing hands a follower, which was stopped, what lay in its buffer meanwhile.
func TestAnAnswerFromABufferRenewsNothing(t *testing.T) {
	r, c := two(t)
	c.stopped = true
	at := r.now
	r.run(500 * time.Millisecond)
	var late []func()
	c.waiting, late = nil, c.waiting
	r.run(8 * time.Second)
	r.now += 100 * time.Millisecond
	if c.core.IsCurrent(r.now) {
		t.Fatal("current by the clock as it is, with no beat yet")
	}
	c.stopped = false
	for _, what := range late {
		what()
	}
	c.core.Tick(r.now)
	if age, _ := c.core.Age(r.now); c.core.IsCurrent(r.now) || r.now-age > at+500*time.Millisecond {
		t.Errorf("its knowledge is %v old after %v", age, r.now-at)
	}
	// Its lapse was counted, and it is current once it is answered anew.
	if c.core.Stats.LeaseExpiries != 1 {
		t.Errorf("%d lapses", c.core.Stats.LeaseExpiries)
	}
	c.waiting = nil
	r.run(4 * time.Second)
	r.requireUpToDate(c)
}

// TestAFollowerIsAheadOfItsRelay has a relay that lags behind what the follower knows by another.
func TestAFollowerIsAheadOfItsRelay(t *testing.T) {
	r := newHarness(t, "s", "s")
	r.publishers["r1"].partitioned = true
	for i := range 5 {
		r.put(configItem(i))
	}
	c := r.newSubscriber("b0", "s")
	r.run(3 * time.Second)
	r.requireUpToDate(c)
	version := c.core.State().Version()
	r.kill("r0")
	r.run(2 * time.Second) // r1 alone, behind
	if c.core.State().Version() != version || len(c.core.Publishers()) != 1 {
		t.Fatalf("version %d, relays %v", c.core.State().Version(), c.core.Publishers())
	}
	r.run(6 * time.Second)
	if c.core.IsCurrent(r.now) {
		t.Error("current by a relay that knows nothing of its age")
	}
	r.publishers["r1"].partitioned = false
	snapshots := r.sent["snapshot"]
	r.put(configItem(9))
	r.run(3 * time.Second)
	r.requireUpToDate(c)
	if r.sent["snapshot"] != snapshots {
		t.Error("it was led on by a snapshot")
	}
}

// TestTheRingIsCutUnderASlowFollower holds back a follower's acknowledgements: what is out to it stays within the window, the
// others go on, and it goes on by a snapshot once the ring no longer reaches it, by the ring where it does.
func TestTheRingIsCutUnderASlowFollower(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			r := newHarness(t, "s")
			slow, quick := r.newSubscriber("slow", "s"), r.newSubscriber("quick", "s")
			r.run(3 * time.Second)
			s := r.publishers["r0"]
			slow.stopped = true
			waits := 0
			for i := range 30 { // it is within its lease
				r.put(Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, i), Value: make([]byte, 4<<10)})
				r.run(100 * time.Millisecond)
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
			r.requireUpToDate(quick)
			if cut {
				s.log.config.MaxChanges = 3
				r.put(configItem(0))
				r.run(100 * time.Millisecond)
			}
			snapshots := r.sent["snapshot"]
			slow.stopped = false
			r.run(4 * time.Second)
			r.requireUpToDate(slow)
			r.requireUpToDate(quick)
			if got := r.sent["snapshot"] - snapshots; got != map[bool]int{false: 0, true: 1}[cut] {
				t.Errorf("%d snapshots", got)
			}
			if slow.core.Stats.DigestMismatches+slow.core.Stats.Conflicts > 0 {
				t.Errorf("%+v", slow.core.Stats)
			}
		})
	}
}

// TestADigestThatDoesNotMatch has a follower whose memory was changed under it: it asks for a snapshot, says so once, counts it.
func TestADigestThatDoesNotMatch(t *testing.T) {
	for name, harm := range map[string]func(*State){
		"a value":    func(s *State) { s.items[ConfigPrefix+"k1"] = []byte("harmed") },
		"the digest": func(s *State) { s.itemsDigest++ },
	} {
		t.Run(name, func(t *testing.T) {
			r, c := two(t)
			r.put(configItem(1))
			r.run(time.Second)
			harm(c.core.state)
			snapshots := r.sent["snapshot"]
			r.put(configItem(1 + 7))
			r.run(3 * time.Second)
			r.requireUpToDate(c)
			for _, i := range r.source.State().Items("") {
				if v, _ := c.core.State().Get(i.Key); string(v) != string(i.Value) {
					t.Errorf("%s is %q", i.Key, v)
				}
			}
			if c.core.Stats.DigestMismatches == 0 || r.countEvents(EventDigestMismatch) != 1 || r.countEvents(EventHistoryConflict) != 0 {
				t.Errorf("%d mismatches, told %d times, %d conflicts", c.core.Stats.DigestMismatches, r.countEvents(EventDigestMismatch), r.countEvents(EventHistoryConflict))
			}
			if n := r.sent["snapshot"] - snapshots; n < 1 || n > 2 {
				t.Errorf("%d snapshots", n)
			}
			harm(c.core.state) // and it is told anew when it happens anew
			r.put(configItem(1 + 14))
			r.run(3 * time.Second)
			r.requireUpToDate(c)
			if r.countEvents(EventDigestMismatch) != 2 {
				t.Errorf("told %d times", r.countEvents(EventDigestMismatch))
			}
		})
	}
}

// TestTheSameVersionOfOtherContent has a relay with another history: what it sends is refused, it is left, and that is an error.
func TestTheSameVersionOfOtherContent(t *testing.T) {
	r, c := two(t)
	s := r.publishers["r1"]
	s.partitioned = true
	if _, err := s.log.Append([]Item{configItem(100)}); err != nil {
		t.Fatal(err)
	}
	r.put(configItem(1))
	s.core.LogChanged()
	s.core.ConfirmVersion(r.now, s.log.Version())
	r.drainPublisher(s)
	r.run(3 * time.Second)
	if r.countEvents(EventHistoryConflict) == 0 || c.core.Stats.Conflicts == 0 {
		t.Fatal("it is not told")
	}
	if got := c.core.Publishers(); !slices.Equal(got, []string{"r0"}) && !slices.Equal(got, []string{"r1"}) {
		t.Errorf("it still follows %v", got)
	}
	for _, l := range r.events {
		if l.Kind == EventHistoryConflict && (!l.IsAlert() || l.Addr == "" || l.Version == 0) {
			t.Errorf("%+v", l)
		}
	}
	conflicts := c.core.Stats.Conflicts
	r.run(10 * time.Second)
	if c.core.Stats.Conflicts > conflicts+1 {
		t.Errorf("it went back to it %d times within 10 s", c.core.Stats.Conflicts-conflicts)
	}
	// Which of the two it took first, it keeps to: never a mixture.
	if d := c.core.State().Digest(); d != r.source.Digest() && d != s.log.Digest() {
		t.Error("it has a state of neither")
	}
	if err := NewState().Install(Snapshot{Fleet: c.core.State().Fleet(), Version: c.core.State().Version(), Digest: c.core.State().Digest(), Items: c.core.State().Items("")}); err != nil {
		t.Errorf("its state is not whole: %v", err)
	}
}

// TestAllAtOnceAfterARestartOfAllRelays restarts all relays under 4,600 followers: those that have the version are sent nothing,
// and no relay has more than its share.
func TestAllAtOnceAfterARestartOfAllRelays(t *testing.T) {
	const relays, followers = 17, 4600
	r := newHarness(t, sites(relays)...)
	for i := range followers {
		r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	r.run(3 * time.Second)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
	}
	for _, a := range r.addresses {
		r.kill(a)
	}
	for _, a := range r.addresses {
		r.start(a, PublisherConfig{})
	}
	clear(r.sent)
	began := r.now
	for r.run(100 * time.Millisecond); ; r.run(100 * time.Millisecond) {
		n := 0
		for _, c := range r.subscribers {
			if len(c.core.Publishers()) > 0 && c.core.IsCurrent(r.now) {
				n++
			}
		}
		if n == followers {
			break
		}
		if r.now-began > DefaultLease {
			t.Fatalf("%d of %d within the lease", n, followers)
		}
	}
	back := r.now - began
	r.run(3 * time.Second)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
	}
	if r.sent["snapshot"] != 0 || r.sent["change"] != 0 {
		t.Errorf("sent %v", r.sent)
	}
	t.Logf("all are back after %v", back)
}

func sites(relays int) []string {
	var all []string
	for i := range relays {
		all = append(all, fmt.Sprintf("s%d", i%3))
	}
	return all
}

// TestALostRelaysFollowersAreElsewhere loses one relay of 17, then all of one region: its followers are elsewhere within the
// lease, spread over those that are left, and most of them were current all the time.
func TestALostRelaysFollowersAreElsewhere(t *testing.T) {
	const followers = 400
	for name, gone := range map[string]func(i int) bool{
		"one":      func(i int) bool { return i == 4 },
		"a region": func(i int) bool { return i%3 == 1 },
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, silent %v", name, silent), func(t *testing.T) {
				r := newHarness(t, sites(17)...)
				for i := range followers {
					r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
				}
				r.run(90 * time.Second) // each with whom it ranks first
				lost := map[string]bool{}
				for i, a := range r.addresses {
					if !gone(i) {
						continue
					}
					lost[a] = true
					if silent {
						r.publishers[a].blackholed, r.publishers[a].stopped = true, true
					} else {
						r.kill(a)
					}
				}
				r.run(DefaultLease)
				load, lapses := map[string]int{}, uint64(0)
				for _, c := range r.subscribers {
					here := 0
					for _, a := range c.core.Publishers() {
						load[a]++
						if !lost[a] {
							here++
						}
					}
					if here == 0 {
						t.Fatalf("%s follows %v", c.id, c.core.Publishers())
					}
					lapses += c.core.Stats.LeaseExpiries
				}
				if !silent && lapses > 0 {
					t.Errorf("%d lapses", lapses)
				}
				r.run(5 * time.Second)
				clear(load)
				for _, c := range r.subscribers {
					if got := c.core.Publishers(); len(got) < 2 {
						t.Errorf("%s follows %v", c.id, got)
					}
					for _, a := range c.core.Publishers() {
						load[a]++
					}
					r.requireUpToDate(c)
				}
				left := 17 - len(lost)
				for _, a := range r.addresses {
					if share := 2 * followers / left; !lost[a] && load[a] > 2*share {
						t.Errorf("%s has %d, the share is %d", a, load[a], share)
					}
				}
				t.Logf("%d lapses, followers by relay %v", lapses, load)
			})
		}
	}
}

// TestAOneWayCut drops all messages of one way between a follower and one of its relays: it goes on by the other, leaves the one
// that does not answer, and the relay lets it go.
func TestAOneWayCut(t *testing.T) {
	for name, cut := range map[string]func(from, to string) bool{
		"to the relay": func(from, to string) bool { return from == "b0" && to == "r1" },
		"from it":      func(from, to string) bool { return from == "r1" && to == "b0" },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, "s", "s", "s")
			c := r.newSubscriber("b0", "s")
			r.run(90 * time.Second)
			had := c.core.Publishers()
			if !slices.Contains(had, "r1") {
				c.id = "b0"
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
			r.drop = func(from, to string, _ *Message) bool { return cut(from, to) }
			for i := range 60 {
				r.put(configItem(i))
				r.run(100 * time.Millisecond)
				if !c.core.IsCurrent(r.now) {
					t.Fatalf("not current after %v", time.Duration(i)*100*time.Millisecond)
				}
			}
			r.requireUpToDate(c)
			if got := c.core.Publishers(); slices.Contains(got, had[0]) || len(got) != 2 {
				t.Errorf("it follows %v, %s is cut off", got, had[0])
			}
			if n := len(r.publishers[had[0]].core.sessions); n != 0 {
				t.Errorf("the relay still counts %d", n)
			}
			r.drop = func(string, string, *Message) bool { return false }
			r.run(3 * time.Minute)
			r.requireUpToDate(c)
		})
	}
}

// TestAFollowerWhoseClockStood gives it no beat for a while: it is not current by the clock, blames no relay, and goes on.
func TestAFollowerWhoseClockStood(t *testing.T) {
	r, c := two(t)
	c.stopped = true
	r.run(4 * time.Second)
	r.put(configItem(1))
	c.stopped = false
	fails := c.core.Stats.DialFailures
	if r.now += 3 * time.Second; c.core.IsCurrent(r.now) {
		t.Error("current after 7 s without a word")
	}
	r.run(time.Second)
	r.requireUpToDate(c)
	if len(c.core.Publishers()) != 2 || c.core.Stats.DialFailures != fails || r.countEvents(EventUnsubscribed) != 0 || r.countEvents(EventResumed) == 0 {
		t.Errorf("it follows %v: %v", c.core.Publishers(), r.events)
	}
}

// TestARelayWhoseClockStood gives a relay no beat: it lets nobody go for what they said while it was stopped.
func TestARelayWhoseClockStood(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
	relay := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, log, 0)
	if err := relay.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0"}); err != nil {
		t.Fatal(err)
	}
	relay.Tick(100 * time.Millisecond)
	relay.Tick(20 * time.Second)
	if len(relay.sessions) != 1 {
		t.Fatal("let go by its own stop")
	}
	for at := 20 * time.Second; at < 20*time.Second+DefaultLease+time.Second; at += 100 * time.Millisecond {
		relay.Tick(at)
	}
	if len(relay.sessions) != 0 || relay.Stats.LeaseExpiries != 1 {
		t.Error("kept after a lease of silence")
	}
}

// TestWhoIsTurnedAway goes through the hellos that no relay takes: each is answered, told, and leaves nothing behind.
func TestWhoIsTurnedAway(t *testing.T) {
	for name, one := range map[string]struct {
		hello     Hello
		err       error
		elsewhere bool
	}{
		"another fleet": {Hello{ProtocolVersion: ProtocolVersion, ID: "x", Fleet: "g"}, ErrForeignFleet, true},
		"a newer form":  {Hello{ProtocolVersion: ProtocolVersion + 1, ID: "x"}, ErrMalformedMessage, true},
		"no form":       {Hello{ID: "x"}, ErrMalformedMessage, false},
		"no ID":         {Hello{ProtocolVersion: ProtocolVersion}, ErrMalformedMessage, false},
		"a long name":   {Hello{ProtocolVersion: ProtocolVersion, ID: "x", Name: string(make([]byte, maxNameBytes+1))}, ErrMalformedMessage, false},
		"an older life": {Hello{ProtocolVersion: ProtocolVersion, ID: "b0", Incarnation: 1}, ErrMalformedMessage, false},
	} {
		t.Run(name, func(t *testing.T) {
			log := NewLog(LogConfig{MaxChanges: 10, MaxBytes: 1000})
			if _, err := log.Append([]Item{{Key: FleetKey, Value: []byte("f")}}); err != nil {
				t.Fatal(err)
			}
			relay := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, log, 0)
			if err := relay.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0", Incarnation: 2}); err != nil {
				t.Fatal(err)
			}
			relay.Ready()
			err := relay.Connected(0, 2, one.hello)
			if !errors.Is(err, one.err) {
				t.Fatalf("%v", err)
			}
			out := relay.Ready()
			if !slices.Equal(out.Close, []uint64{2}) || len(out.Events) != 1 || len(relay.sessions) != 1 || relay.sessions[1] == nil {
				t.Errorf("%+v, %d followers", out, len(relay.sessions))
			}
			told := len(out.Sends) == 1 && out.Sends[0].Message.Content.Reject != nil && out.Sends[0].Message.Content.Reject.RetryAfter > 0
			if told != one.elsewhere {
				t.Errorf("sent %+v", out.Sends)
			}
			if err := relay.Step(0, 2, Message{RenewRequest: &RenewRequest{Sequence: 1}}); err != nil || len(relay.Ready().Sends) != 0 {
				t.Error("it is answered all the same")
			}
		})
	}
}

// TestAFollowerTakesNothingOfAnotherFleet has a relay of another fleet at an address of its own.
func TestAFollowerTakesNothingOfAnotherFleet(t *testing.T) {
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
		if f.State().Version() != version || !slices.Contains(out.Close, "r0") || len(out.Updates) > 0 || f.Stats.InvalidMessages != 1 {
			t.Errorf("%+v", out)
		}
	}
}

// TestMessagesThatAreDoubledCutOrUnknown has a follower and a relay take each of them, and go on.
func TestMessagesThatAreDoubledCutOrUnknown(t *testing.T) {
	r, c := two(t)
	// Doubled: each message to the follower comes twice.
	r.drop = func(from, to string, m *Message) bool {
		if to == c.id {
			_ = c.core.Step(from, *m)
		}
		return false
	}
	for i := range 20 {
		r.put(configItem(i))
		r.run(200 * time.Millisecond)
	}
	r.requireUpToDate(c)
	if c.core.Stats.Conflicts+c.core.Stats.DigestMismatches+c.core.Stats.InvalidMessages > 0 || c.core.Stats.Snapshots != 1 {
		t.Errorf("%+v", c.core.Stats)
	}
	// Lost in the middle: what comes after a gap is asked for again.
	rng := rand.New(rand.NewPCG(3, 4))
	r.drop = func(from, to string, m *Message) bool {
		return rng.IntN(2) == 0 && m.RenewResponse == nil && m.RenewRequest == nil
	}
	for i := range 20 {
		r.put(configItem(100 + i))
		r.run(200 * time.Millisecond)
	}
	r.drop = func(string, string, *Message) bool { return false }
	r.run(4 * time.Second)
	r.requireUpToDate(c)
	if c.core.Stats.Gaps == 0 {
		t.Error("nothing was lost")
	}
	// Of nothing that is known.
	if err := c.core.Step("r0", Message{}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("%v", err)
	}
	if err := c.core.Step("nobody", Message{}); err != nil {
		t.Errorf("a message from a connection that is gone: %v", err)
	}
	r.drainSubscriber(c)
	r.run(2 * time.Minute)
	r.requireUpToDate(c)
	if len(c.core.Publishers()) != 2 {
		t.Errorf("it follows %v", c.core.Publishers())
	}
	relay := r.publishers["r0"].core
	if err := relay.Connected(r.now, 99, Hello{ProtocolVersion: ProtocolVersion, ID: "x"}); err != nil {
		t.Fatal(err)
	}
	if err := relay.Connected(r.now, 99, Hello{ProtocolVersion: ProtocolVersion, ID: "x"}); !errors.Is(err, ErrMalformedMessage) {
		t.Errorf("two hellos: %v", err)
	}
	if err := relay.Connected(r.now, 98, Hello{ProtocolVersion: ProtocolVersion, ID: "y"}); err != nil {
		t.Fatal(err)
	}
	if err := relay.Step(r.now, 98, Message{}); !errors.Is(err, ErrMalformedMessage) || relay.sessionsByID["x"] != nil || relay.sessionsByID["y"] != nil {
		t.Errorf("a message of nothing: %v", err)
	}
}

// TestARelayThatIsFull sends the one too many elsewhere, with a wait, and takes it once there is room; one that comes anew takes
// its own place.
func TestARelayThatIsFull(t *testing.T) {
	r := newHarness(t, "s", "s", "s")
	r.start("r0", PublisherConfig{MaxSubscribers: 5})
	for i := range 20 {
		r.newSubscriber(fmt.Sprintf("b%d", i), "s")
	}
	for range 300 {
		r.run(100 * time.Millisecond)
		if n := len(r.publishers["r0"].core.sessions); n > 5 {
			t.Fatalf("%d followers", n)
		}
	}
	full := r.publishers["r0"].core.Stats.RejectedFull
	elsewhere := uint64(0)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
		if len(c.core.Publishers()) != 2 {
			t.Errorf("%s follows %v", c.id, c.core.Publishers())
		}
		elsewhere += c.core.Stats.Rejections
	}
	if full == 0 || elsewhere != full {
		t.Errorf("%d found no room, %d were sent elsewhere", full, elsewhere)
	}
	if full > 20*4 {
		t.Errorf("20 followers asked %d times in 30 s", full)
	}
	relay := r.publishers["r0"].core
	first := relay.order.Front().Value.(*session)
	if err := relay.Connected(r.now, 999, Hello{ProtocolVersion: ProtocolVersion, ID: first.hello.ID, Incarnation: 2, Fleet: "f"}); err != nil || relay.sessionsByID[first.hello.ID].connID != 999 || len(relay.sessions) != 5 {
		t.Errorf("who came anew: %v", err)
	}
}

// TestARelayThatLeaves sends its followers elsewhere: none of them is without a relay, and they are spread.
func TestARelayThatLeaves(t *testing.T) {
	r := newHarness(t, sites(17)...)
	for i := range 500 {
		r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	r.run(90 * time.Second)
	s := r.publishers["r2"]
	had := len(s.core.sessions)
	s.core.Drain()
	r.drainPublisher(s)
	r.run(2 * time.Second)
	if len(s.core.sessions) != 0 || had == 0 {
		t.Errorf("%d of %d are left", len(s.core.sessions), had)
	}
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
		if len(c.core.Publishers()) != 2 || c.core.Stats.LeaseExpiries > 0 {
			t.Errorf("%s follows %v, %d lapses", c.id, c.core.Publishers(), c.core.Stats.LeaseExpiries)
		}
	}
}

// TestSnapshotsArePaced has many followers that know nothing at one relay: the bytes go out at the pace that it was given.
func TestSnapshotsArePaced(t *testing.T) {
	r := newHarness(t, "s")
	for i := range 20 {
		r.put(Item{Key: fmt.Sprintf("%sk%d", ConfigPrefix, i), Value: make([]byte, 10<<10)})
	}
	size := r.source.Snapshot().Size()
	r.start("r0", PublisherConfig{SnapshotBytesPerSecond: 4 * size})
	for i := range 40 {
		r.newSubscriber(fmt.Sprintf("b%d", i), "s")
	}
	for i := range 40 {
		from := r.sent["snapshot"]
		r.put(configItem(i)) // a change a beat: they get the one that was built, and what follows
		r.run(100 * time.Millisecond)
		if got := r.sent["snapshot"] - from; i > 15 && got > 2 {
			t.Fatalf("%d snapshots in 0.1 s", got)
		}
	}
	if got := r.sent["snapshot"]; got < 12 || got > 4*4+5 {
		t.Errorf("%d snapshots in 4 s, at 4 a second", got)
	}
	r.run(10 * time.Second)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
		if c.core.Stats.Snapshots != 1 {
			t.Errorf("%s took %d snapshots", c.id, c.core.Stats.Snapshots)
		}
	}
}

// TestWhomAFollowerRanksFirst: own region first, the second of another zone, each relay its share, and a follower's choice changes
// only where a relay that it had is gone.
func TestWhomAFollowerRanksFirst(t *testing.T) {
	const relays, followers = 17, 4600
	list := func(without int) (all []Item) {
		for i := range relays {
			if i != without {
				all = append(all, memberItem(t, shardmap.Member{ID: fmt.Sprintf("r%d", i), Addr: fmt.Sprintf("r%d", i), Zone: fmt.Sprintf("z%d", i%11), Site: fmt.Sprintf("s%d", i%11%3)}))
			}
		}
		return all
	}
	load := map[string]int{}
	moved := 0
	for i := range followers {
		f := NewSubscriber(SubscriberConfig{ID: fmt.Sprintf("b%d", i), Zone: "z0", Site: fmt.Sprintf("s%d", i%3)}, 0)
		pick := func(without int) (all []string) {
			f.updateMembers(Update{Complete: true, Items: list(without)})
			got := f.choose(false)
			if len(got) != 2 || got[0].zone == got[1].zone || got[0].site != f.config.Site || got[1].site != f.config.Site {
				t.Fatalf("%s of %s: %+v", f.config.ID, f.config.Site, got)
			}
			for _, w := range got {
				all = append(all, w.address)
			}
			return all
		}
		a := pick(-1)
		for _, addr := range a {
			load[addr]++
		}
		b := pick(4)
		had := slices.Contains(a, "r4")
		for _, addr := range a {
			if addr != "r4" && !slices.Contains(b, addr) && !had {
				t.Fatalf("%s has %v, and without r4 %v", f.config.ID, a, b)
			}
		}
		if had {
			moved++
		}
	}
	for addr, n := range load {
		if n < 300 || n > 1100 {
			t.Errorf("%s has %d of %d", addr, n, 2*followers)
		}
	}
	if moved != load["r4"] {
		t.Errorf("%d have moved, r4 had %d", moved, load["r4"])
	}
	t.Logf("followers by relay: %v", load)
}

// TestAThousandRelaysAreRanked has a follower know a thousand relays: none is left out, or followers of those would crowd the others.
func TestAThousandRelaysAreRanked(t *testing.T) {
	const relays = 1024
	var all []Item
	for i := range relays {
		name := fmt.Sprintf("r%d", i)
		all = append(all, memberItem(t, shardmap.Member{ID: name, Addr: name, Zone: fmt.Sprintf("z%d", i%11), Site: "s"}))
	}
	f := NewSubscriber(SubscriberConfig{ID: "b", Zone: "z0", Site: "s"}, 0)
	f.updateMembers(Update{Complete: true, Items: all})
	if len(f.ranked) != relays {
		t.Errorf("%d of %d are ranked", len(f.ranked), relays)
	}
}

// TestTheBetterRankedComeBackSlowly restarts a relay: its followers come back one by one, not all at once, and none is ever without.
func TestTheBetterRankedComeBackSlowly(t *testing.T) {
	r := newHarness(t, sites(17)...)
	for i := range 500 {
		r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	r.run(2 * time.Minute)
	had := len(r.publishers["r3"].core.sessions)
	r.kill("r3")
	r.run(10 * time.Second)
	r.start("r3", PublisherConfig{})
	most := 0
	for second := range 150 {
		before := r.publishers["r3"].core.Stats.Accepted
		r.run(time.Second)
		most = max(most, int(r.publishers["r3"].core.Stats.Accepted-before))
		for _, c := range r.subscribers {
			if c.core.Stats.LeaseExpiries > 0 || len(c.core.Publishers()) == 0 {
				t.Fatalf("%s after %d s: %v, %d lapses", c.id, second, c.core.Publishers(), c.core.Stats.LeaseExpiries)
			}
		}
	}
	if back := len(r.publishers["r3"].core.sessions); back != had {
		t.Errorf("%d of %d are back", back, had)
	}
	if most > had/4 {
		t.Errorf("%d of %d in one second", most, had)
	}
	t.Logf("%d came back, at most %d in a second", had, most)
}

// TestNobodyLeadsTheLog stops all freshness: followers keep their relays, say that they stand, and do not roam.
func TestNobodyLeadsTheLog(t *testing.T) {
	r := newHarness(t, sites(17)...)
	for i := range 100 {
		r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	r.run(90 * time.Second)
	for _, s := range r.publishers {
		s.partitioned = true
	}
	dials := uint64(0)
	for _, c := range r.subscribers {
		dials -= c.core.Stats.Dials
	}
	r.run(2 * time.Minute)
	for _, c := range r.subscribers {
		dials += c.core.Stats.Dials
		if c.core.IsCurrent(r.now) || c.core.Stats.LeaseExpiries != 1 || len(c.core.Publishers()) < 2 {
			t.Errorf("%s: %v, %d lapses", c.id, c.core.Publishers(), c.core.Stats.LeaseExpiries)
		}
	}
	if dials > 100*15 {
		t.Errorf("100 followers dialed %d times in 2 minutes", dials)
	}
	t.Logf("%d dials of 100 followers in 2 minutes", dials)
	for _, s := range r.publishers {
		s.partitioned = false
	}
	clear(r.sent)
	r.put(configItem(1))
	r.run(3 * time.Second)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
	}
	if r.sent["snapshot"] > 0 {
		t.Errorf("%d snapshots", r.sent["snapshot"])
	}
}

// TestAHealedCutNeedsNoSnapshots cuts a region with its relays off from the log for a while and lets it go on: its followers go on by
// changes, though one of its relays had to take a snapshot itself.
func TestAHealedCutNeedsNoSnapshots(t *testing.T) {
	r := newHarness(t, sites(17)...)
	for i := range 300 {
		r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	r.run(90 * time.Second)
	for i, a := range r.addresses {
		r.publishers[a].partitioned = i%3 == 0
	}
	for _, c := range r.subscribers { // and its followers cannot reach the others
		c := c
		hold := r.drop
		r.drop = func(from, to string, m *Message) bool {
			if from == c.id && c.core.config.Site == "s0" && r.publishers[to] != nil && !r.publishers[to].partitioned {
				return true
			}
			return hold(from, to, m)
		}
	}
	for i := range 200 {
		r.put(configItem(i))
		r.run(100 * time.Millisecond)
	}
	r.drop = func(string, string, *Message) bool { return false }
	clear(r.sent)
	log := r.publishers["r0"]
	if err := log.log.Install(*r.source.Snapshot()); err != nil { // too far behind for the others' ring
		t.Fatal(err)
	}
	for _, a := range r.addresses {
		r.publishers[a].partitioned = false
	}
	r.run(5 * time.Second)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
	}
	if r.sent["snapshot"] > 5 {
		t.Errorf("%d snapshots for 100 followers", r.sent["snapshot"])
	}
	t.Logf("after the cut: %v", r.sent)
}

// TestAFollowerThatTakesNothing acknowledges nothing but stays alive: after a while it is let go.
func TestAFollowerThatTakesNothing(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	relay := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 200, SnapshotBytesPerSecond: 1 << 20}, log, 0)
	if err := relay.Connected(0, 1, Hello{ProtocolVersion: ProtocolVersion, ID: "b0"}); err != nil {
		t.Fatal(err)
	}
	sends, at := 0, time.Duration(0)
	for n := uint64(1); n < 500 && len(relay.sessions) > 0; n++ {
		at += 100 * time.Millisecond
		_, _ = log.Append([]Item{configItem(int(n))})
		relay.LogChanged()
		_ = relay.Step(at, 1, Message{RenewRequest: &RenewRequest{Sequence: n}})
		_ = relay.Step(at, 1, Message{SyncRequest: &SyncRequest{}})
		relay.Tick(at)
		sends += len(relay.Ready().Sends)
	}
	if len(relay.sessions) != 0 || relay.Stats.SlowSubscribers != 1 || at > ackTimeout+2*DefaultLease {
		t.Errorf("after %v: %d followers, %+v", at, len(relay.sessions), relay.Stats)
	}
	if sends > maxUnreadResponses+20 {
		t.Errorf("%d messages to somebody who reads none", sends)
	}
}

// TestARelayOfAnotherHistoryThatLags is left as well: what it says of its age is of another history.
func TestARelayOfAnotherHistoryThatLags(t *testing.T) {
	r, c := two(t)
	s := r.publishers["r1"]
	s.partitioned = true
	if _, err := s.log.Append([]Item{configItem(100)}); err != nil {
		t.Fatal(err)
	}
	r.kill("r1")
	for i := range 5 {
		r.put(configItem(i))
	}
	r.run(time.Second)
	s.down = false
	s.core = NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 1000, SnapshotBytesPerSecond: 1000}, s.log, r.now)
	for range 100 {
		s.core.ConfirmVersion(r.now, s.log.Version())
		r.run(100 * time.Millisecond)
	}
	r.requireUpToDate(c)
	if c.core.Stats.Conflicts == 0 || r.countEvents(EventHistoryConflict) == 0 || slices.Contains(c.core.Publishers(), "r1") {
		t.Errorf("%d conflicts, it follows %v", c.core.Stats.Conflicts, c.core.Publishers())
	}
}

// TestAllRelaysLeaveAtOnce restarts all relays as planned: what they say of a wait does not leave followers without anybody.
func TestAllRelaysLeaveAtOnce(t *testing.T) {
	r := newHarness(t, sites(17)...)
	for i := range 300 {
		r.newSubscriber(fmt.Sprintf("b%d", i), fmt.Sprintf("s%d", i%3))
	}
	r.run(30 * time.Second)
	for _, a := range r.addresses {
		r.publishers[a].core.Drain()
		r.drainPublisher(r.publishers[a])
		r.kill(a)
	}
	r.run(time.Second)
	for _, a := range r.addresses {
		r.start(a, PublisherConfig{})
	}
	clear(r.sent)
	began := r.now
	for n := 0; n < len(r.subscribers); {
		r.run(100 * time.Millisecond)
		n = 0
		for _, c := range r.subscribers {
			if len(c.core.Publishers()) > 0 && c.core.IsCurrent(r.now) {
				n++
			}
		}
		if r.now-began > DefaultLease {
			t.Fatalf("%d of %d within the lease", n, len(r.subscribers))
		}
	}
	t.Logf("all are back after %v", r.now-began)
	r.run(10 * time.Second)
	for _, c := range r.subscribers {
		r.requireUpToDate(c)
		if len(c.core.Publishers()) != 2 {
			t.Errorf("%s follows %v", c.id, c.core.Publishers())
		}
	}
	if r.sent["snapshot"] > 0 {
		t.Errorf("%d snapshots", r.sent["snapshot"])
	}
}

// TestOneHarmedChangeIsNoMatterForLong has one change come harmed: the other relay's is taken, and no snapshot is needed for good.
func TestOneHarmedChangeIsNoMatterForLong(t *testing.T) {
	r, c := two(t)
	if err := c.core.Step(c.core.Publishers()[0], Message{Change: &Change{Version: r.source.Version() + 1, DigestBefore: r.source.Digest(), DigestAfter: 1, Items: []Item{configItem(3)}}}); !errors.Is(err, ErrDigestMismatch) {
		t.Fatal(err)
	}
	for i := range 5 {
		r.put(configItem(i))
		r.run(2 * time.Second)
	}
	r.requireUpToDate(c)
	if c.core.Stats.DigestMismatches != 1 || r.countEvents(EventDigestMismatch) != 1 || c.core.digestMismatch {
		t.Errorf("%+v, told %d times", c.core.Stats, r.countEvents(EventDigestMismatch))
	}
}

// TestABlockedFollowerIsCounted has followers that acknowledge nothing. Guards against a full window that operators see as none: a follower
// whose window has room for nothing but an empty message takes nothing either.
func TestABlockedFollowerIsCounted(t *testing.T) {
	log := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	if _, err := log.Append([]Item{{Key: FleetKey, Value: []byte("f")}}); err != nil {
		t.Fatal(err)
	}
	relay := NewPublisher(PublisherConfig{MaxSubscribers: 10, WindowBytes: 200, SnapshotBytesPerSecond: 1 << 20}, log, 0)
	hello := Hello{Fleet: "f", ProtocolVersion: ProtocolVersion, Version: log.Version(), Digest: log.Digest()}
	for i, id := range []string{"slow", "swift"} {
		hello.ID = id
		if err := relay.Connected(0, uint64(i), hello); err != nil {
			t.Fatal(err)
		}
	}
	next := func() {
		if _, err := log.Append([]Item{configItem(1)}); err != nil {
			t.Fatal(err)
		}
		relay.LogChanged()
		if err := relay.Step(0, 1, Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}}); err != nil {
			t.Fatal(err)
		}
	}
	next()
	if f := relay.SubscriberCounts(); f.Blocked != 0 || f.Current != 1 || f.LowestVersion != 1 {
		t.Errorf("one message is out: %+v", f)
	}
	for range 10 {
		next()
	}
	if f := relay.SubscriberCounts(); f.Blocked != 1 || f.Current != 1 || f.LowestVersion != 1 {
		t.Errorf("the window is full: %+v", f)
	}
	if err := relay.Step(0, 0, Message{Ack: &Ack{Version: log.Version(), Digest: log.Digest()}}); err != nil {
		t.Fatal(err)
	}
	if f := relay.SubscriberCounts(); f.Blocked != 0 || f.Current != 2 {
		t.Errorf("it has acknowledged all: %+v", f)
	}
}
