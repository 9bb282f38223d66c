package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestBalancersAgreeOnAKey(t *testing.T) {
	back := fleet(9)
	slices.Reverse(back)
	b, c := started(deployment(), fleet(9)), started(deployment(), back)
	for k := SessionID(1); k <= 40; k++ {
		x, y := arrive(t, b, SessionRequest{ID: k, Key: uint64(k)}), arrive(t, c, SessionRequest{ID: k, Key: uint64(k)})
		if x.Endpoint != y.Endpoint {
			t.Fatalf("key %d: %d and %d", k, x.Endpoint, y.Endpoint)
		}
		for _, either := range []*Balancer{b, c} {
			either.AttemptEstablished(k, 0, ms)
			either.AttemptEnded(k, 0, true, Succeeded)
		}
	}
	if len(b.rankBuffer) != 9 || b.sessionsHeld != 0 {
		t.Fatalf("%d servers ranked, %d connections left", len(b.rankBuffer), b.sessionsHeld)
	}
}

func TestVersionsAreFrozenCountedAndCapped(t *testing.T) {
	b := started(deployment(), fleet(3))
	connect(t, b, 1, 1)
	first := b.pools[0]
	for n := 4; n < 4+2*maxPools; n++ {
		b.UpdateEndpoints(fleet(n), true)
		connect(t, b, SessionID(n), 1)
		if n == 5 && (b.pools[0] != first || len(first.endpoints) != 3) {
			t.Fatal("a version in use was changed or dropped")
		}
	}
	if len(b.pools) != maxPools || b.pools[0] == first {
		t.Fatalf("%d versions kept", len(b.pools))
	}
	if c := b.sessions[1]; c.state != stateEstablished || c.endpoint == nil {
		t.Fatal("a connection of a dropped version lost its server")
	}
	for id := range b.sessions {
		b.AttemptEnded(id, 0, true, Succeeded)
	}
	if len(b.pools) != 1 || b.sessionsHeld != 0 || len(b.heldByGroup) != 0 {
		t.Fatalf("%d versions, %d connections left", len(b.pools), b.sessionsHeld)
	}
}

func TestPassOverAtTwiceTheMeanPlusTwo(t *testing.T) {
	b, held := started(deployment(), fleet(4)), map[EndpointID]int{}
	for id := SessionID(1); id <= 40; id++ { // one key: one server, but for the pass-over
		d := arrive(t, b, SessionRequest{ID: id, Key: 5})
		if most := 2*float64(b.sessionsHeld-1)/4 + 3; float64(held[d.Endpoint]+1) > most {
			t.Fatalf("server %d holds %d of %d", d.Endpoint, held[d.Endpoint]+1, b.sessionsHeld)
		}
		held[d.Endpoint]++
		b.AttemptEstablished(id, 0, ms)
	}
	if len(held) < 2 {
		t.Fatal("nothing was passed over")
	}
}

func TestBigGroupsSpreadAndSmallOnesStayTogether(t *testing.T) {
	place := func(groups uint64) int {
		b, on := started(deployment(), fleet(10)), map[EndpointID]bool{}
		for id := SessionID(1); id <= 120; id++ {
			d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id), Group: 1000 + uint64(id)%groups})
			b.AttemptEstablished(id, 0, ms)
			if uint64(id)%groups == 0 {
				on[d.Endpoint] = true
			}
		}
		return len(on)
	}
	if big, small := place(2), place(30); big < 5 || small > 2 {
		t.Fatalf("a group of half the connections lies on %d servers, one of a thirtieth on %d", big, small)
	}
}

func TestOwnZoneFirstWhereCrossingsCost(t *testing.T) {
	d := deployment()
	d.CrossZoneCost = 0.1
	b, own := started(d, zoned(fleet(8), 2)), 0
	for s, n := range connect(t, b, 1, 40) {
		if s%2 == 0 {
			own += n
		}
	}
	if own < 35 {
		t.Fatalf("%d of 40 in the own zone", own)
	}
}

func TestDrainingServerIsLeftAtOnceAndEmptied(t *testing.T) {
	b := started(deployment(), fleet(3))
	held := connect(t, b, 1, 30)
	list := fleet(3)
	list[0].State = Draining
	b.UpdateEndpoints(list[:1], false)
	for id := SessionID(100); id < 130; id++ {
		if d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)}); d.Endpoint == 100 {
			t.Fatal("a try went to a draining server")
		}
	}
	moved := 0
	for range 40 {
		b.AdvanceClock(b.now + roundInterval)
		moved += count(pull(b), Migrate)
	}
	if moved < held[100] {
		t.Fatalf("%d of %d moved", moved, held[100])
	}
}

func TestOneBadServerIsSetAsideAndComesBackAfterProbes(t *testing.T) {
	b := started(deployment(), fleet(6))
	for id := SessionID(1); id <= 60; id++ {
		d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
		for try := 0; d.Action == StartAttempt; try++ {
			if d.Endpoint != 103 {
				b.AttemptEstablished(id, try, ms)
				break
			}
			d = end(t, b, id, try, Failed)
		}
		if d.Action != StartAttempt {
			t.Fatalf("circuit %d: %+v", id, d)
		}
	}
	if !b.endpoints[3].ejected {
		t.Fatal("the bad server is not set aside")
	}
	probes := 0
	for b.endpoints[3].ejected && b.now < 20*time.Second {
		b.AdvanceClock(b.now + roundInterval)
		for _, d := range pull(b) {
			if d.Action == HealthCheck {
				probes++
				b.HealthCheckEnded(d.Endpoint, Succeeded)
			}
		}
	}
	if b.endpoints[3].ejected || probes != healthyThreshold {
		t.Fatalf("aside %v after %d probes", b.endpoints[3].ejected, probes)
	}
}

func TestSharedFailureThrottlesAndEmptiesNoPool(t *testing.T) {
	b, tries := started(deployment(), fleet(9)), 0
	for id := SessionID(1); id <= 1000; id++ {
		b.AdvanceClock(b.now + ms)
		d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
		for try := 0; d.Action == StartAttempt; try++ {
			tries++
			d = end(t, b, id, try, Failed)
		}
		if d.Action != Reject || d.Duration <= 0 || d.Duration > time.Second {
			t.Fatalf("no nack with advice: %+v", d)
		}
	}
	ejected := 0
	for _, e := range b.endpoints {
		if e.ejected {
			ejected++
		}
	}
	if tries > 150 || ejected > 3 {
		t.Fatalf("%d attempts for 1000 sessions, %d endpoints ejected", tries, ejected)
	}
	for id := SessionID(2001); b.now < 5*time.Second; id++ { // and it ends soon after the failure does
		b.AdvanceClock(b.now + 10*ms)
		if d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)}); d.Action == StartAttempt {
			b.AttemptEstablished(id, 0, ms)
		} else if b.now > 4*time.Second {
			t.Fatal("still nacking long after the failure")
		}
	}
}

func TestJammedServerGetsNoNewcomersAndLosesFew(t *testing.T) {
	b := started(deployment(), fleet(5))
	held, moves := connect(t, b, 1, 50), 0
	if len(held) != 5 {
		t.Fatalf("only %d servers used", len(held))
	}
	for s := range 8 {
		b.AdvanceClock(time.Duration(s) * time.Second)
		b.RecordLatency(102, 90*ms)
		for _, d := range pull(b) {
			if d.Action == Migrate {
				moves++
				b.AttemptEnded(d.Session, 0, true, Cancelled)
			}
		}
		if d := arrive(t, b, SessionRequest{ID: SessionID(100 + s), Key: uint64(s)}); d.Endpoint == 102 {
			t.Fatal("a newcomer went to a jammed server")
		}
	}
	if moves == 0 || moves > held[102] {
		t.Fatalf("%d of %d moved", moves, held[102])
	}
}

func TestManyBalancersDoNotEmptyAJammedServer(t *testing.T) {
	moves := 0
	for seed := range uint64(200) { // each of them holds one or two of its connections
		b := New(deployment(), seed*7919)
		b.UpdateEndpoints(fleet(5), true)
		connect(t, b, 1, 8)
		b.AdvanceClock(time.Second)
		b.RecordLatency(102, 65*ms+15*ms)
		moves += count(pull(b), Migrate)
	}
	if moves == 0 || moves > 100 {
		t.Fatalf("%d moves by 200 balancers", moves)
	}
}

func TestRoomIsKeptWhenALowReportFollows(t *testing.T) {
	b := started(deployment(), fleet(2))
	connect(t, b, 1, 20)
	b.RecordLoadReport(100, LoadReport{Demand: 2, Backlog: -1, Utilization: -1})
	full := b.endpoints[0].capacity
	if full >= b.endpoints[0].load {
		t.Fatalf("room %v for a load of %v at twice the capacity", full, b.endpoints[0].load)
	}
	for id := SessionID(1); id <= 20; id++ {
		if b.sessions[id].endpoint.index == 0 {
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	b.RecordLoadReport(100, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
	if b.endpoints[0].capacity > full {
		t.Fatalf("room grew from %v to %v on an empty server", full, b.endpoints[0].capacity)
	}
}

func TestAllJammedNacksAtOnce(t *testing.T) {
	b := started(deployment(), fleet(3))
	for s := range EndpointID(3) {
		b.RecordLatency(100+s, 500*ms)
	}
	if d := arrive(t, b, SessionRequest{ID: 1, Key: 1}); d.Action != Reject || d.Duration <= 0 {
		t.Fatalf("%+v", d)
	}
	b.AdvanceClock(latencyTTL + time.Second) // notes that no longer come hold nothing closed
	if d := arrive(t, b, SessionRequest{ID: 2, Key: 1}); d.Action != StartAttempt {
		t.Fatalf("%+v", d)
	}
}

func TestColdServersKeepTheirBudgetInAStorm(t *testing.T) {
	list, tries := fleet(4), 0
	for i := range list {
		list[i].StartedAt = 0
	}
	b := started(deployment(), list)
	b.AdvanceClock(time.Second)
	for id := SessionID(1); id <= 2000; id++ {
		b.AdvanceClock(b.now + ms)
		d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
		tries += count([]Decision{d}, StartAttempt)
		if d.Action == StartAttempt {
			b.AttemptEstablished(id, 0, ms)
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	if tries == 0 || tries > 40 {
		t.Fatalf("%d tries at four cold servers in two seconds", tries)
	}
}

func TestEffects(t *testing.T) {
	zoned := fleet(4)
	for i := range zoned {
		zoned[i].Zone, zoned[i].FailureDomain = i%2, i
	}
	for _, c := range []struct {
		effect Idempotency
		scope  KeyScope
		first  Outcome
		wait   time.Duration
		want   Action
	}{
		{Idempotent, KeyScopeAll, TimedOut, 0, StartAttempt},
		{NonIdempotent, KeyScopeAll, TimedOut, 0, Fail},
		{NonIdempotent, KeyScopeAll, ConnectFailed, 0, StartAttempt},
		{IdempotentWithKey, KeyScopeAll, Failed, 6 * time.Second, Fail},
		{IdempotentWithKey, KeyScopeZone, Failed, 0, StartAttempt},
		{IdempotentWithKey, KeyScopeFailureDomain, Failed, 0, StartAttempt},
		{IdempotentWithKey, KeyScopeFailureDomain, Rejected, 0, StartAttempt},
	} {
		d := deployment()
		d.Classes[0].Idempotency, d.Classes[0].KeyScope = c.effect, c.scope
		b := started(d, zoned)
		first := arrive(t, b, SessionRequest{ID: 1, Key: 1, Timeout: 20 * time.Second})
		b.AdvanceClock(c.wait)
		then := end(t, b, 1, 0, c.first)
		near := c.scope == KeyScopeAll || c.first == Rejected ||
			c.scope == KeyScopeZone && then.Endpoint%2 == first.Endpoint%2 || then.Endpoint == first.Endpoint
		if then.Action != c.want || then.Action == StartAttempt && !near {
			t.Errorf("%+v: %+v after %+v", c, then, first)
		}
	}
}

func TestTimeOutsLeaveRoomForOneMore(t *testing.T) {
	b := started(deployment(), fleet(3))
	if d := arrive(t, b, SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second}); d.Duration != time.Second {
		t.Fatalf("%v of 2 s", d.Duration)
	}
	d := deployment()
	d.Balancers = 80 // each try is dear: all but a set-up's time
	if d := arrive(t, started(d, fleet(3)), SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second}); d.Duration != 1700*ms {
		t.Fatalf("%v of 2 s, of eighty", d.Duration)
	}
	b.AdvanceClock(2 * time.Second) // the outer limit: answered at once, whatever is left of tries
	if d := end(t, b, 1, 0, TimedOut); d.Action != Reject {
		t.Fatalf("%+v", d)
	}
}

func TestManyDeadServersDrawNoMoreTries(t *testing.T) {
	b, failed := started(deployment(), fleet(9)), 0
	for id := SessionID(1); id <= 60; id++ { // six of nine are dead, twice as many as may be set aside
		b.AdvanceClock(b.now + 5*ms)
		d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
		for try := 0; d.Action == StartAttempt && d.Endpoint >= 103; try++ {
			failed++
			d = end(t, b, id, try, ConnectFailed)
		}
		b.AttemptEstablished(id, len(b.sessions[id].attempted)-1, ms)
	}
	if failed != 6 {
		t.Fatalf("%d tries at six dead servers", failed)
	}
}

func TestNoReadyServer(t *testing.T) {
	for _, list := range [][]Endpoint{nil, {{ID: 1, State: Draining}, {ID: 2, State: Removed}}} {
		if d := arrive(t, started(deployment(), list), SessionRequest{ID: 1, Key: 1}); d.Action != Reject || d.Duration <= 0 {
			t.Fatalf("%+v", d)
		}
	}
}

func TestHandedOverAndLateNews(t *testing.T) {
	b := started(deployment(), fleet(2))
	b.AdoptSession(SessionRequest{ID: 9, Key: 9}, 101)
	if b.sessionsHeld != 1 || len(b.endpoints[1].sessions) != 1 || len(pull(b)) != 0 {
		t.Fatal("an open connection was not taken over as it is")
	}
	b.AttemptEnded(9, 0, true, Succeeded)
	b.AttemptEnded(9, 0, true, Succeeded)
	b.AttemptEstablished(9, 0, ms)
	b.RecordLoad(9, 0, 5)
	b.ClientDisconnected(9)
	b.HealthCheckEnded(555, Succeeded)
	b.RecordLatency(555, ms)
	b.RecordLoadReport(555, LoadReport{Demand: 1})
	if b.sessionsHeld != 0 || len(b.sessions) != 0 || count(pull(b), StartAttempt) != 0 {
		t.Fatal("late news had an effect")
	}
}

func TestAServerThatShedIsNotTriedBlindly(t *testing.T) {
	b := started(deployment(), fleet(3))
	connect(t, b, 1, 12)
	for id := SessionID(1); id <= 12; id++ { // a full server sheds all that this balancer holds of it
		if b.sessions[id].endpoint.index == 1 {
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	again := 0
	for id := SessionID(20); id < 60; id++ {
		b.AdvanceClock(b.now + 100*ms)
		if d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)}); d.Action == StartAttempt {
			b.AttemptEstablished(id, 0, ms)
			if d.Endpoint == 101 {
				again++
				b.AttemptEnded(id, 0, true, Reset)
			}
		}
	}
	if len(b.endpoints[1].sessions) > 0 || again > 3 {
		t.Fatalf("tried %d times in four seconds", again)
	}
}

// TestResetsWithRoomAreNoJam guards against nacking all while every server resets what stands now and then.
func TestResetsWithRoomAreNoJam(t *testing.T) {
	for asked, want := range map[float64]Action{0.1: StartAttempt, 0.6: Reject} {
		b := started(deployment(), fleet(3))
		connect(t, b, 1, 30)
		for _, l := range fleet(3) {
			b.RecordLoadReport(l.ID, LoadReport{Demand: asked, Backlog: -1, Utilization: -1})
		}
		for id := SessionID(1); id <= 30; id += 4 {
			b.AttemptEnded(id, 0, true, Reset)
		}
		if d := arrive(t, b, SessionRequest{ID: 99, Key: 99}); d.Action != want {
			t.Errorf("%v asked: %+v", asked, d)
		}
	}
}

func TestLateSetUpsBoundTheTriesOut(t *testing.T) {
	b := started(deployment(), fleet(6))
	most := 0
	for id := SessionID(1); id < 200; id++ { // a slow store: each set-up stands, but late
		b.AdvanceClock(b.now + 20*ms)
		arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
		if late := id - 25; late > 0 {
			b.AttemptEstablished(late, 0, 500*ms)
		}
		if id > 60 {
			most = max(most, b.pendingAttempts)
		}
	}
	if most == 0 || most > 9 {
		t.Fatalf("%d tries out", most)
	}
}

func TestAPlannedRestartShedsInEvenParts(t *testing.T) {
	b := started(deployment(), fleet(4))
	connect(t, b, 1, 40)
	b.StartDraining(b.now+400*ms, b.now+2400*ms)
	moved, first := map[SessionID]bool{}, time.Duration(0)
	most := 0
	for step := range 24 {
		b.AdvanceClock(b.now + 100*ms)
		all := pull(b)
		for _, d := range all {
			if d.Action != Migrate || moved[d.Session] {
				t.Fatalf("%+v", d)
			}
			moved[d.Session] = true
			b.AttemptEnded(d.Session, 0, true, Cancelled)
		}
		if first == 0 && len(all) > 0 {
			first = b.now
		}
		most = max(most, len(all))
		if d := arrive(t, b, SessionRequest{ID: SessionID(1000 + step), Key: 5}); d.Action != Reject || d.Duration <= 0 {
			t.Fatalf("a newcomer got %+v while leaving", d)
		}
	}
	if len(moved) != 40 || most > 14 || first < 400*ms {
		t.Fatalf("%d moved, %d at a time, first at %v", len(moved), most, first)
	}
}

// TestStayEndsALeaving guards against moves that go on once a balancer is back in service.
func TestStayEndsALeaving(t *testing.T) {
	b := started(deployment(), fleet(4))
	connect(t, b, 1, 40)
	b.StartDraining(b.now+400*ms, b.now+2400*ms)
	moved := 0
	for step := range 40 {
		b.AdvanceClock(b.now + 100*ms)
		if step == 12 {
			moved = 0
			b.StopDraining()
		}
		moved += count(pull(b), Migrate)
		if step == 11 && (moved < 10 || moved == 40) {
			t.Fatalf("%d moved half way", moved)
		}
	}
	if moved > 0 {
		t.Fatalf("%d moved afterwards", moved)
	}
	connect(t, b, 1000, 4)
}

// TestAJamIsLeftByWhatItsReportTells guards against a server twice over full that loses an eighth a second, and against moves
// that a second time go by the same report; with eighty balancers each leaves little, as all have reports of their own.
func TestAJamIsLeftByWhatItsReportTells(t *testing.T) {
	for _, peers := range []int{1, 80} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) { jamLeft(t, peers) })
	}
}

func jamLeft(t *testing.T, peers int) {
	d := deployment()
	d.HasLoadReports, d.Balancers = true, peers
	b := started(d, fleet(4))
	tell := func(first float64) {
		for _, l := range fleet(4) {
			b.RecordLoadReport(l.ID, LoadReport{Demand: first, Backlog: -1, Utilization: -1})
			first = 0.1
		}
	}
	tell(0.1)
	held := connect(t, b, 1, 80)
	tell(1.6)
	var moved [2]int
	for step := range 20 {
		b.AdvanceClock(b.now + 100*ms)
		moved[step/10] += count(pull(b), Migrate)
	}
	// 0.8 of what 1.6 is over 0.85; then, by the same report, an eighth.
	if peers > 1 && moved[0] > held[100]/4 {
		t.Fatalf("of %d %v were moved", held[100], moved)
	}
	if part := float64(moved[0]) / float64(held[100]); peers == 1 && (part < 0.25 || part > 0.5 || moved[1]*2 > moved[0]) {
		t.Fatalf("of %d %v were moved", held[100], moved)
	}
}

// TestADrainGoesEvenly has servers that hold few connections each: a part of each, rounded up, once emptied a balancer in
// half the time that it has, and all came to the others before their load could be seen.
func TestADrainGoesEvenly(t *testing.T) {
	b := started(deployment(), fleet(20))
	connect(t, b, 1, 60)
	b.StartDraining(b.now+400*ms, b.now+3500*ms)
	moved := 0
	for range 20 {
		b.AdvanceClock(b.now + 100*ms)
		moved += count(pull(b), Migrate)
	}
	if moved < 20 || moved > 40 {
		t.Fatalf("%d of 60 moved within two of 3.5 seconds", moved)
	}
}

// TestBeyondAnEvenShareRoomIsShown has all circuits come to one balancer whose zone has one of five servers. Guards
// against all of a restarted balancer's connections on that one, before any report can tell of it.
func TestBeyondAnEvenShareRoomIsShown(t *testing.T) {
	d := deployment()
	d.HasLoadReports, d.CrossZoneCost = true, 0.08
	list := fleet(5)
	for i := range list[1:] {
		list[1+i].Zone = 1
	}
	b := started(d, list)
	tell := func(asked float64) {
		b.AdvanceClock(b.now + 3*time.Second)
		for _, l := range list {
			b.RecordLoadReport(l.ID, LoadReport{Demand: asked, Backlog: -1, Utilization: -1})
		}
	}
	tell(0)
	if held := connect(t, b, 1, 100); held[100] > 33 || held[100] < 22 {
		t.Errorf("unproven it got %v", held)
	}
	tell(0)
	if held := connect(t, b, 201, 40); held[100] < 25 {
		t.Errorf("with room shown it got %v", held)
	}
	b = started(d, fleet(5)) // a machine that shows four times the pace is due as much more
	tell(0)
	b.SetWeight(104, 4)
	if held := connect(t, b, 1, 80); held[104] < 30 {
		t.Errorf("by pace it got %v", held)
	}
}

// TestWhatOthersHoldFillsAServer guards against balancers that each take a full server for empty; a message of another
// list says nothing, and what is old no longer counts.
func TestWhatOthersHoldFillsAServer(t *testing.T) {
	d := deployment()
	d.Balancers, d.CanGossip, d.HasExactWeights = 3, true, true
	b, o := started(d, fleet(4)), started(d, fleet(4))
	key := uint64(0)
	for id := SessionID(1); key == 0; id++ { // a key whose first server is 100
		if arrive(t, b, SessionRequest{ID: id, Key: uint64(id)}).Endpoint == 100 {
			key = uint64(id)
		}
	}
	told := o.gossipMessage()
	told.Loads[0] = 500
	first := func(id SessionID) EndpointID {
		d := arrive(t, b, SessionRequest{ID: id, Key: key})
		b.AttemptEstablished(id, 0, ms)
		return d.Endpoint
	}
	bad := told
	bad.VersionHash++
	for n, m := range []GossipMessage{bad, told} {
		b.ReceiveGossip(1, m)
		b.AdvanceClock(b.now + roundInterval)
		pull(b)
		if got := first(SessionID(1000 + n)); (got == 100) != (n == 0) {
			t.Fatalf("message %d: a circuit went to %d", n, got)
		}
	}
	b.AdvanceClock(b.now + gossipTTL + roundInterval)
	pull(b)
	if b.endpointByID[100].peerLoad != 0 || b.gossip.isCurrent {
		t.Fatalf("%v still counts", b.endpointByID[100].peerLoad)
	}
	b.ReceiveGossip(2, told) // late and doubled: it counts once
	b.ReceiveGossip(2, told)
	b.AdvanceClock(b.now + roundInterval)
	pull(b)
	if b.endpointByID[100].peerLoad != 500 {
		t.Fatalf("%v after one message, told twice", b.endpointByID[100].peerLoad)
	}
	if n := count(pull(o), SendGossip); n > 1 {
		t.Fatalf("%d messages at once", n)
	}
}

// TestNewSettingsKeepWhatIsHeld guards against circuits that lose their grade's promise, their place or their tenant's
// count when settings of another shape come.
func TestNewSettingsKeepWhatIsHeld(t *testing.T) {
	d := deployment()
	d.Classes[0].Idempotency = NonIdempotent
	d.Tenants = []Tenant{{ConnectionQuota: 5}}
	b := started(d, fleet(3))
	x := arrive(t, b, SessionRequest{ID: 1, Key: 1})
	y := arrive(t, b, SessionRequest{ID: 2, Key: 2})
	b.AttemptEstablished(2, 0, ms)
	now := deployment()
	now.Classes = append(now.Classes, now.Classes[0])
	b.Reconfigure(now, []int{-1}, []int{-1})
	if b.heldByTenant[0] != 2 || b.sessionsHeld != 2 {
		t.Fatalf("%d of the tenants that are gone, %d held", b.heldByTenant[0], b.sessionsHeld)
	}
	b.AttemptEnded(1, 0, false, Failed) // it may have run: no other try, by the grade that it came with
	if got := pull(b); len(got) != 1 || got[0].Action != Fail {
		t.Fatalf("%+v at %d", got, x.Endpoint)
	}
	b.Reconfigure(d, []int{0, -1}, nil)
	b.AttemptEnded(2, 0, true, Succeeded)
	if b.heldByTenant[0] != 0 || b.sessionsHeld != 0 || len(b.endpointByID[y.Endpoint].sessions) != 0 {
		t.Fatalf("%v by tenant, %d held", b.heldByTenant, b.sessionsHeld)
	}
}

// TestABlindBalancerIsAsGloomyAsWhatItSees guards against dozens of balancers that fill a jammed fleet up where they
// hold nothing and hear nothing; as long as nothing is jammed, all is open.
func TestABlindBalancerIsAsGloomyAsWhatItSees(t *testing.T) {
	nacked := map[bool]int{}
	for _, bad := range []bool{false, true} {
		for seed := range uint64(40) {
			b := New(deployment(), seed*7919)
			b.UpdateEndpoints(fleet(40), true)
			connect(t, b, 1, 8)
			b.AdvanceClock(time.Second)
			for _, e := range b.newestPool().endpoints {
				if bad && len(e.sessions) > 0 {
					b.RecordLatency(e.ID, time.Second)
				}
			}
			pull(b)
			for id := SessionID(1000); id < 1020; id++ {
				if arrive(t, b, SessionRequest{ID: id, Key: uint64(id) * seed, Group: uint64(id)}).Action == Reject {
					nacked[bad]++
				}
			}
		}
	}
	if nacked[false] > 0 || nacked[true] < 600 {
		t.Fatalf("%v of 800 nacked", nacked)
	}
}

// TestLateSetUpsStopNoMovesInAJammedFleet guards against a jammed fleet that is never unloaded, as its set-ups are late.
func TestLateSetUpsStopNoMovesInAJammedFleet(t *testing.T) {
	for _, jams := range []int{0, 4} {
		b := started(deployment(), fleet(4))
		for id := SessionID(1); id <= 20; id++ {
			arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
			b.AttemptEstablished(id, 0, 200*ms)
		}
		for s := range jams {
			b.RecordLatency(EndpointID(100+s), 500*ms)
		}
		b.AdvanceClock(b.now + roundInterval)
		pull(b)
		if got := b.areRetriesFutile(); got != (jams == 0) {
			t.Errorf("%d jams: ailing %v", jams, got)
		}
	}
}
