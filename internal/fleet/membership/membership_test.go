package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

func member(i int) Member {
	return Member{ID: fmt.Sprintf("%032d", i), Name: fmt.Sprintf("n%d", i), Addr: at(i), Machine: fmt.Sprintf("m%d", i), Incarnation: 1}
}

func at(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// table is member 0's, with seeds 0 to 2.
func table(most int) *Table {
	return New(Config{Self: member(0), Seeds: []netip.AddrPort{at(0), at(1), at(2)}, ReplicationFactor: 3, ForgetAfter: time.Hour, MaxMembers: most, Seed: 5}, 0)
}

// run beats until a time and answers what was to be done, every 100 ms.
func (t *Table) run(until time.Duration) (all []Action) {
	for t.now < until {
		t.Tick(t.now + HeartbeatInterval)
		all = append(all, t.drain()...)
	}
	return all
}

func (t *Table) drain() (all []Action) {
	for a, more := t.NextAction(); more; a, more = t.NextAction() {
		all = append(all, a)
	}
	return all
}

func lines(all []Action) (kinds []EventKind) {
	for _, a := range all {
		if a.Kind == Report {
			kinds = append(kinds, a.Event.Kind)
		}
	}
	return kinds
}

// TestAStalledProcessTakesNothingForGranted stops one of five for five seconds. Guards against a process that goes on by
// what it knew before, which the others may have given up meanwhile.
func TestAStalledProcessTakesNothingForGranted(t *testing.T) {
	l := table(100)
	for i := 1; i < 5; i++ {
		l.HandleAlive(member(i))
	}
	l.run(2 * s)
	if got := l.Standing(2 * s); got != Quorum {
		t.Fatal(got)
	}
	if got := l.Standing(2*s + StallThreshold + 1); got != Resuming { // no beat has come yet: whoever uses it first has to know
		t.Fatal(got)
	}
	l.Tick(7 * s)
	asked := map[string]bool{}
	for _, a := range l.drain() {
		if a.Kind == Ping {
			asked[a.ID] = true
		}
	}
	if len(asked) != 4 || l.Standing(7*s) != Resuming {
		t.Fatal(asked, l.Standing(7*s))
	}
	l.HandlePingResult(member(1).ID, true)
	l.HandlePingResult(member(1).ID, true) // the same one twice is one
	l.HandlePingResult(member(2).ID, false)
	if got := l.Standing(7 * s); got != Resuming {
		t.Fatal(got)
	}
	l.HandlePingResult(member(3).ID, true)
	if got := l.Standing(7 * s); got != Quorum {
		t.Fatal(got)
	}
	l.Tick(20 * s)
	l.drain()
	again := 0
	for _, a := range l.run(23 * s) { // nobody answers: it asks again, and stays as it is
		if a.Kind == Ping {
			again++
		}
	}
	if again != 4*3 || l.Standing(l.now) != Resuming || l.Stalls != 2 {
		t.Fatal(again, l.Standing(l.now), l.Stalls)
	}
	for i := 1; i < 5; i++ {
		l.HandleFailure(member(i).ID)
	}
	if l.run(25 * s); l.Standing(l.now) != NoQuorum {
		t.Fatal(l.Standing(l.now))
	}
}

// TestMostHaveToBeHere loses members one by one of five; one that left as planned counts no more.
func TestMostHaveToBeHere(t *testing.T) {
	for left, want := range map[bool][]Standing{false: {Quorum, Quorum, NoQuorum, NoQuorum}, true: {Quorum, Quorum, Quorum, Quorum}} {
		l := table(100)
		for i := 1; i < 5; i++ {
			l.HandleAlive(member(i))
		}
		for i := 1; i < 5; i++ {
			if l.HandleFailure(member(i).ID); left && !l.HandleLeave(member(i).ID, 1) {
				t.Error("that a member has left is no news")
			}
			if got := l.Standing(0); got != want[i-1] {
				t.Errorf("%d lost, left %v: %v", i, left, got)
			}
		}
	}
	l := table(100)
	l.HandleAlive(member(1))
	l.HandleFailure(member(1).ID)
	again := member(1)
	again.Incarnation = 2
	l.HandleAlive(again)
	if l.HandleLeave(member(1).ID, 1) || l.Peers()[0].State != Alive {
		t.Error("an old goodbye ended a new life")
	}
}

// TestCallsGoWhereSomebodyMayBe counts calls: to seeds until somebody is there, then to those that are gone, each address
// less and less often.
func TestCallsGoWhereSomebodyMayBe(t *testing.T) {
	l := table(100)
	calls := func(all []Action) map[netip.AddrPort]int {
		n := map[netip.AddrPort]int{}
		for _, a := range all {
			if a.Kind == Join {
				n[a.Addr]++
			}
		}
		return n
	}
	play := func(until time.Duration) map[netip.AddrPort]int {
		n := map[netip.AddrPort]int{}
		for l.now < until {
			for a, k := range calls(l.run(l.now + HeartbeatInterval)) {
				n[a] += k
				l.HandleJoinResult(a, false)
			}
		}
		return n
	}
	if n := play(10 * s); n[at(0)] != 0 || n[at(1)] < 2 || n[at(2)] < 2 {
		t.Errorf("alone: %v", n)
	}
	l.HandleAlive(member(1))
	l.HandleAlive(member(2))
	l.HandleAlive(member(7))
	if n := play(60 * s); len(n) != 0 {
		t.Errorf("all are here: %v", n)
	}
	l.HandleFailure(member(7).ID)
	first, late := play(120*s), play(30*time.Minute)
	if first[at(7)] < 4 || first[at(7)] > 12 || late[at(7)] < 20 || late[at(7)] > 60 {
		t.Errorf("%v, then %v", first, late)
	}
	if n := play(3 * time.Hour); len(l.known) != 2 || n[at(7)] > 60 {
		t.Errorf("a member that was gone for long is still called: %v", n)
	}
}

// TestWhoIsTold plays members that come, restart, flap and lose their directories, and fewer machines than copies.
func TestWhoIsTold(t *testing.T) {
	l := table(100)
	a, b := member(1), member(2)
	l.HandleAlive(a)
	l.HandleAlive(b)
	l.drain()
	a.Incarnation = 2
	l.HandleAlive(a)
	if got := lines(l.drain()); !slices.Equal(got, []EventKind{MemberRestarted}) {
		t.Error(got)
	}
	for range flapsMany + 1 {
		l.HandleFailure(a.ID)
		l.HandleAlive(a)
	}
	if got := lines(l.drain()); got[len(got)-2] != MemberFlapping || slices.Index(got, MemberFlapping) != len(got)-2 {
		t.Error(got)
	}
	b2 := member(9)
	b2.Addr, b2.Machine = b.Addr, b.Machine
	l.HandleAlive(b2)
	if got := lines(l.drain()); !slices.Equal(got, []EventKind{MemberJoined}) { // not yet known which of the two is there
		t.Error(got)
	}
	l.HandleFailure(b.ID)
	if got := lines(l.drain()); !slices.Equal(got, []EventKind{MemberFailed, MemberReplaced}) {
		t.Error(got)
	}
	l.HandleFailure(b2.ID)
	if got := l.Standing(0); got != Quorum { // two of three: the replaced one is none of them
		t.Error(got)
	}
	if got := lines(l.drain()); !slices.Contains(got, TooFewMachines) {
		t.Error(got)
	}
}

// TestAnyOrderOfEvents hands a table whatever may come: it keeps its bounds, does one call at a time, is the same for the same
// events, and never takes itself for together while most are gone.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 6
		one, two := table(most), table(most)
		calling := map[netip.AddrPort]bool{}
		for n := range rapid.IntRange(1, 120).Draw(t, "events") {
			i := rapid.IntRange(0, 9).Draw(t, "member")
			well := rapid.Bool().Draw(t, "well")
			kind := rapid.IntRange(0, 7).Draw(t, "kind")
			gap := time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * HeartbeatInterval
			for _, l := range []*Table{one, two} {
				switch kind {
				case 0, 1:
					m := member(i)
					if well {
						m.Addr = at(i % 3)
					}
					l.HandleAlive(m)
				case 2:
					l.HandleFailure(member(i).ID)
				case 3:
					l.HandleLeave(member(i).ID, 1)
				case 4:
					l.HandlePingResult(member(i).ID, well)
				case 5:
					l.HandleJoinResult(at(i), well)
				default:
					l.Tick(l.now + gap)
				}
			}
			if kind == 5 {
				delete(calling, at(i))
			}
			did := one.drain()
			if got := two.drain(); !slices.Equal(did, got) {
				t.Fatalf("event %d: %v and %v", n, did, got)
			}
			for _, a := range did {
				if a.Kind == Join {
					if calling[a.Addr] || a.Addr == at(0) {
						t.Fatalf("event %d: a second call to %v", n, a.Addr)
					}
					calling[a.Addr] = true
				}
			}
			here, gone := 0, 0
			for _, k := range one.Peers() {
				switch {
				case k.State == Alive:
					here++
				case k.State == Failed && k.ReplacedBy == "":
					gone++
				}
			}
			if len(one.known) > most || one.Standing(one.now) == Quorum && here+1 <= gone {
				t.Fatalf("event %d: %d known, %d here, %d gone, %v", n, len(one.known), here, gone, one.Standing(one.now))
			}
		}
	})
}
