package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// member returns member i of the tests.
func member(i int) Member {
	return Member{ID: fmt.Sprintf("%032d", i), Name: fmt.Sprintf("n%d", i), Addr: address(i), Machine: fmt.Sprintf("m%d", i), Incarnation: 1}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// newTable returns the table of member 0 with the members 0 to 2 as seeds.
func newTable(maxMembers int) *Table {
	return New(Config{
		Self:              member(0),
		Seeds:             []netip.AddrPort{address(0), address(1), address(2)},
		ReplicationFactor: 3,
		ForgetAfter:       time.Hour,
		MaxMembers:        maxMembers,
		Seed:              5,
	}, 0)
}

// runUntil ticks until a time and returns all actions of the table.
func (t *Table) runUntil(until time.Duration) (all []Action) {
	for t.now < until {
		t.Tick(t.now + HeartbeatInterval)
		all = append(all, t.drain()...)
	}
	return all
}

// drain removes and returns all pending actions.
func (t *Table) drain() (all []Action) {
	for a, more := t.NextAction(); more; a, more = t.NextAction() {
		all = append(all, a)
	}
	return all
}

// eventKinds returns the kinds of the reported events among some actions.
func eventKinds(all []Action) (kinds []EventKind) {
	for _, a := range all {
		if a.Kind == Report {
			kinds = append(kinds, a.Event.Kind)
		}
	}
	return kinds
}

// TestResumedProcessNeedsMajority guards against a member that relies on its view after a pause, in which the others may have continued
// without it. It pauses one of five members for five seconds: its quorum state is Resuming until a majority has responded.
func TestResumedProcessNeedsMajority(t *testing.T) {
	table := newTable(100)
	for i := 1; i < 5; i++ {
		table.HandleAlive(member(i))
	}
	table.runUntil(2 * second)
	if got := table.QuorumState(2 * second); got != Quorum {
		t.Fatal(got)
	}
	if got := table.QuorumState(2*second + StallThreshold + 1); got != Resuming { // the process is resumed but has had no tick yet
		t.Fatal(got)
	}
	table.Tick(7 * second)
	pinged := map[string]bool{}
	for _, a := range table.drain() {
		if a.Kind == Ping {
			pinged[a.ID] = true
		}
	}
	if len(pinged) != 4 || table.QuorumState(7*second) != Resuming {
		t.Fatal(pinged, table.QuorumState(7*second))
	}
	table.HandlePingResult(member(1).ID, true)
	table.HandlePingResult(member(1).ID, true) // a second response of one member does not count
	table.HandlePingResult(member(2).ID, false)
	if got := table.QuorumState(7 * second); got != Resuming {
		t.Fatal(got)
	}
	table.HandlePingResult(member(3).ID, true)
	if got := table.QuorumState(7 * second); got != Quorum {
		t.Fatal(got)
	}
	table.Tick(20 * second)
	table.drain()
	pings := 0
	for _, a := range table.runUntil(23 * second) { // no member responds
		if a.Kind == Ping {
			pings++
		}
	}
	if pings != 4*3 || table.QuorumState(table.now) != Resuming || table.Stalls != 2 {
		t.Fatal(pings, table.QuorumState(table.now), table.Stalls)
	}
	for i := 1; i < 5; i++ {
		table.HandleFailure(member(i).ID)
	}
	if table.runUntil(25 * second); table.QuorumState(table.now) != NoQuorum {
		t.Fatal(table.QuorumState(table.now))
	}
}

// TestQuorumNeedsMajority guards against a quorum without a majority. It loses four of five members one by one: members that failed still
// count towards the size of the fleet, members that left do not. A departure that arrives late must not end a later incarnation.
func TestQuorumNeedsMajority(t *testing.T) {
	for announced, want := range map[bool][]QuorumState{false: {Quorum, Quorum, NoQuorum, NoQuorum}, true: {Quorum, Quorum, Quorum, Quorum}} {
		table := newTable(100)
		for i := 1; i < 5; i++ {
			table.HandleAlive(member(i))
		}
		for i := 1; i < 5; i++ {
			if table.HandleFailure(member(i).ID); announced && !table.HandleLeave(member(i).ID, 1) {
				t.Error("the departure of a failed member was not reported as news")
			}
			if got := table.QuorumState(0); got != want[i-1] {
				t.Errorf("%d members lost, departures announced %v: unexpected standing %v", i, announced, got)
			}
		}
	}
	table := newTable(100)
	table.HandleAlive(member(1))
	table.HandleFailure(member(1).ID)
	restarted := member(1)
	restarted.Incarnation = 2
	table.HandleAlive(restarted)
	if table.HandleLeave(member(1).ID, 1) || table.Peers()[0].State != Alive {
		t.Error("the departure of an old incarnation ended the new one")
	}
}

// TestJoinsGoToSeedsAndFailedMembers guards against partitions that never merge and against joins without a backoff. It counts joins: of the
// seeds until a member is alive there, then of failed members with a growing backoff until they are forgotten.
func TestJoinsGoToSeedsAndFailedMembers(t *testing.T) {
	table := newTable(100)
	joinsIn := func(actions []Action) map[netip.AddrPort]int {
		n := map[netip.AddrPort]int{}
		for _, a := range actions {
			if a.Kind == Join {
				n[a.Addr]++
			}
		}
		return n
	}
	countJoins := func(until time.Duration) map[netip.AddrPort]int {
		n := map[netip.AddrPort]int{}
		for table.now < until {
			for addr, count := range joinsIn(table.runUntil(table.now + HeartbeatInterval)) {
				n[addr] += count
				table.HandleJoinResult(addr, false)
			}
		}
		return n
	}
	if n := countJoins(10 * second); n[address(0)] != 0 || n[address(1)] < 2 || n[address(2)] < 2 {
		t.Errorf("joins while no other member is alive: %v", n)
	}
	table.HandleAlive(member(1))
	table.HandleAlive(member(2))
	table.HandleAlive(member(7))
	if n := countJoins(60 * second); len(n) != 0 {
		t.Errorf("joins while all members are alive: %v", n)
	}
	table.HandleFailure(member(7).ID)
	first, late := countJoins(120*second), countJoins(30*time.Minute)
	if first[address(7)] < 4 || first[address(7)] > 12 || late[address(7)] < 20 || late[address(7)] > 60 {
		t.Errorf("joins in the first minute after a failure: %v, until minute 30: %v", first, late)
	}
	if n := countJoins(3 * time.Hour); len(table.peers) != 2 || n[address(7)] > 60 {
		t.Errorf("failed member was not forgotten, or is joined too often: %v", n)
	}
}

// TestReportedEvents guards against missing and repeated events in the operators' log. Members join, restart, flap and lose their data
// directories, until fewer machines than replicas are alive.
func TestReportedEvents(t *testing.T) {
	table := newTable(100)
	a, b := member(1), member(2)
	table.HandleAlive(a)
	table.HandleAlive(b)
	table.drain()
	a.Incarnation = 2
	table.HandleAlive(a)
	if got := eventKinds(table.drain()); !slices.Equal(got, []EventKind{MemberRestarted}) {
		t.Error(got)
	}
	for range flapThreshold + 1 {
		table.HandleFailure(a.ID)
		table.HandleAlive(a)
	}
	if got := eventKinds(table.drain()); got[len(got)-2] != MemberFlapping || slices.Index(got, MemberFlapping) != len(got)-2 {
		t.Error(got)
	}
	b2 := member(9)
	b2.Addr, b2.Machine = b.Addr, b.Machine
	table.HandleAlive(b2)
	if got := eventKinds(table.drain()); !slices.Equal(got, []EventKind{MemberJoined}) { // both members of the address count as alive until one has failed
		t.Error(got)
	}
	table.HandleFailure(b.ID)
	if got := eventKinds(table.drain()); !slices.Equal(got, []EventKind{MemberFailed, MemberReplaced}) {
		t.Error(got)
	}
	table.HandleFailure(b2.ID)
	if got := table.QuorumState(0); got != Quorum { // two of three members are alive, as the replaced one does not count
		t.Error(got)
	}
	if got := eventKinds(table.drain()); !slices.Contains(got, TooFewMachines) {
		t.Error(got)
	}
}

// TestAnyOrderOfEvents draws random events. In any order of them the table must keep its limit of members, have at most one join in flight,
// make the same decisions for the same events, and never have a quorum while most members have failed.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxMembers = 6
		table, twin := newTable(maxMembers), newTable(maxMembers)
		joining := map[netip.AddrPort]bool{}
		for n := range rapid.IntRange(1, 120).Draw(t, "events") {
			i := rapid.IntRange(0, 9).Draw(t, "member")
			ok := rapid.Bool().Draw(t, "ok")
			kind := rapid.IntRange(0, 7).Draw(t, "kind")
			gap := time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * HeartbeatInterval
			for _, table := range []*Table{table, twin} {
				switch kind {
				case 0, 1:
					m := member(i)
					if ok {
						m.Addr = address(i % 3)
					}
					table.HandleAlive(m)
				case 2:
					table.HandleFailure(member(i).ID)
				case 3:
					table.HandleLeave(member(i).ID, 1)
				case 4:
					table.HandlePingResult(member(i).ID, ok)
				case 5:
					table.HandleJoinResult(address(i), ok)
				default:
					table.Tick(table.now + gap)
				}
			}
			if kind == 5 {
				delete(joining, address(i))
			}
			actions := table.drain()
			if got := twin.drain(); !slices.Equal(actions, got) {
				t.Fatalf("event %d: actions %v and %v of two tables with the same events", n, actions, got)
			}
			for _, a := range actions {
				if a.Kind == Join {
					if joining[a.Addr] || a.Addr == address(0) {
						t.Fatalf("event %d: a second join of %v, or a join of the member itself", n, a.Addr)
					}
					joining[a.Addr] = true
				}
			}
			alive, failed := 0, 0
			for _, peer := range table.Peers() {
				switch {
				case peer.State == Alive:
					alive++
				case peer.State == Failed && peer.ReplacedBy == "":
					failed++
				}
			}
			if len(table.peers) > maxMembers || table.QuorumState(table.now) == Quorum && alive+1 <= failed {
				t.Fatalf("event %d: %d other members known, %d alive, %d failed, standing %v", n, len(table.peers), alive, failed, table.QuorumState(table.now))
			}
		}
	})
}
