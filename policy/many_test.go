package policy

import (
	"math"
	"testing"
	"time"
)

// many starts n balancers on one list, each with its part of the connections that all hold together.
func many(t *testing.T, n, connections int, d *Config, list []Endpoint) []*Balancer {
	var all []*Balancer
	for k := range n {
		own := *d
		own.Balancers = n
		b := New(&own, uint64(k)*7919+3)
		b.UpdateEndpoints(list, true)
		connect(t, b, 1, connections*(k+1)/n-connections*k/n)
		all = append(all, b)
	}
	return all
}

// Without mayWarm in the gate 200 balancers send a cold server 102 tries in two seconds, without its chance 79.
func TestManyBalancersTogetherKeepAColdServersBudget(t *testing.T) {
	for _, n := range []int{1, 3, 40, 200} {
		list := fleet(10)
		all := many(t, n, 200, deployment(), list)
		for i := range 4 {
			list[i].StartedAt = time.Second
		}
		var sent [4][]time.Duration
		worst := 0
		for step := range 80 { // a storm: every balancer has a circuit every quarter of a second
			now := time.Second + time.Duration(step)*50*ms
			for k, b := range all {
				b.AdvanceClock(now)
				if step == 0 {
					b.UpdateEndpoints(list[:4], false)
				}
				if (step+k)%5 != 0 {
					continue
				}
				id := SessionID(1000 + step)
				if d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)*1e6 + uint64(k)}); d.Action == StartAttempt {
					b.AttemptEstablished(id, 0, ms)
					b.AttemptEnded(id, 0, true, Succeeded)
					if i := int(d.Endpoint - 100); i < 4 {
						sent[i] = append(sent[i], now)
					}
				}
			}
		}
		for _, at := range sent {
			worst = max(worst, crowd(at, 2*time.Second))
		}
		if worst == 0 || worst > 3*20 { // the multiple times what a server holds
			t.Errorf("%d balancers: %d tries at one cold server in two seconds", n, worst)
		}
	}
}

// All clients whose home is a server that has just started come within a second, one at each balancer: as a
// release of servers moves them. Each balancer sees one and knows of no other. Without the bound in mayWarm 40 of 60 go there.
func TestManyBalancersDoNotBringGroupsHomeAtOnce(t *testing.T) {
	for _, members := range []int{38, 60} { // what one server holds, and more
		list := starting(fleet(80), 0, 20, time.Second)
		all := many(t, 300, 3000, deployment(), list[20:])
		began := 5 * time.Second
		sent := 0
		for k, b := range all[:members] {
			b.AdvanceClock(began - 2*roundInterval)
			b.UpdateEndpoints(list, true)
			pull(b)
			b.AdvanceClock(began + time.Duration(k)*time.Second/time.Duration(members)) // a round: the cold ones are known
			pull(b)
			key := uint64(k)<<20 + 1
			for ; ; key++ { // whose home is the first
				c := b.newSession(SessionRequest{ID: 1 << 30, Key: key, Group: 1, Timeout: time.Second})
				delete(b.sessions, c.id)
				if b.rank(c).endpoints[0].ID == 100 {
					break
				}
			}
			if d := arrive(t, b, SessionRequest{ID: 1000, Key: key, Group: 1}); d.Action == StartAttempt && d.Endpoint == 100 {
				sent++
			}
		}
		// What it bears in a window of 2 s of a warm-up of 20, where coreHolds fill a server, by the rule; and its slack.
		bears := 3 * (0.15 + 0.85*4/20) * coreHolds * 2 / 20
		if most := bears + 2*math.Sqrt(bears) + 2; float64(sent) > most || sent == 0 {
			t.Errorf("%d of %d members at once, it bears %.0f", sent, members, most)
		}
	}
}

// With every balancer asking every server each two seconds 200 of them ask 9404 times here.
func TestManyBalancersAskLittleAfterACommonStart(t *testing.T) {
	d := deployment()
	d.HasLoadReports = true
	probes := 0
	all := many(t, 200, 0, d, fleet(20))
	for _, b := range all[100:] { // the others hold nothing and ask nothing
		for n := range 5 {
			b.AdoptSession(SessionRequest{ID: SessionID(n + 1), Key: uint64(n + 1)}, EndpointID(100+n))
		}
	}
	for step := range 100 {
		now := time.Duration(step) * 50 * ms
		for k, b := range all {
			b.AdvanceClock(now)
			for _, dec := range pull(b) {
				if dec.Action == HealthCheck {
					if probes++; k < 100 {
						t.Fatal("one without connections asks")
					}
					b.HealthCheckEnded(dec.Endpoint, TimedOut)
				}
			}
		}
	}
	if probes > 20*(20+2)*5 { // each server 20 times a second for the first time, and then more rarely
		t.Fatalf("%d probes", probes)
	}
}

// With the plain part of a handful of connections for its share, 245 of 800 lie on one server, the others on 22.
func TestManyBalancersBuildOneVersionAndMostlyOneHome(t *testing.T) {
	on, first := map[EndpointID]int{}, []*endpoint(nil)
	for k, b := range many(t, 200, 0, deployment(), fleet(40)) {
		for id := SessionID(1); id <= 8; id++ {
			group := uint64(id) + 10
			if d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)*1e6 + uint64(k), Group: min(group, 15)}); group >= 15 {
				on[d.Endpoint]++
			}
			b.AttemptEstablished(id, 0, ms)
		}
		if first == nil {
			first = b.newestPool().endpoints
		}
		if v := b.newestPool().endpoints; len(v) != len(first) || v[0].ID != 100 || v[39].ID != 139 {
			t.Fatal("the versions differ")
		}
	}
	most := 0
	for _, n := range on {
		most = max(most, n)
	}
	if 2*most < 4*200 {
		t.Fatalf("%d of 800 connections of a group on one server, the others on %d", most, len(on)-1)
	}
}

// Guards against probes that cold servers bear, and circuits wait for, and by which the host learns nothing; where servers tell of
// their load themselves they are asked as any other.
func TestAColdServerIsAskedOnlyWhereItTellsItself(t *testing.T) {
	for _, tell := range []bool{false, true} {
		d := deployment()
		d.HasLoadReports, d.HasEndpointReports = true, tell
		b := started(d, starting(fleet(3), 0, 3, 0))
		probes := 0
		for step := range 200 {
			b.AdvanceClock(time.Duration(step) * 50 * ms)
			if step%4 == 0 {
				b.AddSession(SessionRequest{ID: SessionID(step + 1), Key: uint64(step + 1), Timeout: 2 * time.Second})
			}
			for _, d := range pull(b) {
				switch d.Action {
				case HealthCheck:
					probes++
					b.HealthCheckEnded(d.Endpoint, Succeeded)
					b.RecordLoadReport(d.Endpoint, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
				case StartAttempt:
					b.AttemptEstablished(d.Session, 0, ms)
				}
			}
		}
		if held := b.sessionsHeld; held == 0 || (probes > 0) != tell {
			t.Errorf("servers tell %v: %d probes, %d held", tell, probes, held)
		}
	}
}

func TestACircuitWaitsForAReportOnlyAWhile(t *testing.T) {
	d := deployment()
	d.HasLoadReports = true
	for _, answered := range []bool{true, false} {
		b := started(d, fleet(3))
		b.AddSession(SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second})
		all := pull(b)
		if count(all, HealthCheck) != 1 || count(all, StartAttempt) != 0 {
			t.Fatalf("%+v", all)
		}
		if answered {
			b.RecordLoadReport(all[0].Endpoint, LoadReport{Demand: 0.5, Backlog: -1, Utilization: -1})
			b.HealthCheckEnded(all[0].Endpoint, Succeeded)
		}
		for n := 0; n < 9 && count(all, StartAttempt) == 0; n++ { // no answer comes: the host calls when Wake says
			if all = pull(b); count(all, StartAttempt) == 0 {
				at, _ := b.NextWakeup()
				b.AdvanceClock(at)
			}
		}
		if count(all, StartAttempt) != 1 || answered && b.now > 0 || b.now > 225*ms { // three servers
			t.Fatalf("answered %v: %+v at %v", answered, all, b.now)
		}
	}
}

func TestAYoungReportLetsOneIn(t *testing.T) {
	d := deployment()
	d.HasLoadReports = true
	b := started(d, fleet(1))
	b.AdvanceClock(time.Second)
	b.RecordLoadReport(100, LoadReport{Demand: 0.5, Backlog: -1, Utilization: -1}) // nothing is held here: no room by the own load
	for id, want := range []Action{StartAttempt, Reject} {
		b.AdvanceClock(b.now + ms)
		if got := arrive(t, b, SessionRequest{ID: SessionID(id + 1), Key: 1, Load: 500}); got.Action != want {
			t.Fatalf("circuit %d: %+v", id+1, got)
		}
	}
}

// TestAnOldReportRefusesNobody guards against nacks beside empty servers: a balancer that holds nothing at a server has room
// for nothing there once it was told of load, and asked only those it would send to.
func TestAnOldReportRefusesNobody(t *testing.T) {
	for _, x := range []struct {
		tell bool // by the servers, not by probes' times
		now  float64
		want Action
	}{{true, 0.5, StartAttempt}, {true, 0.8, Reject}, {false, 0.5, Reject}} {
		d := deployment()
		d.HasLoadReports, d.HasEndpointReports = true, x.tell
		b := started(d, fleet(1))
		b.RecordLoadReport(100, LoadReport{Demand: 0.8, Backlog: -1, Utilization: -1})
		b.AdvanceClock(freshReportTTL + ms)
		b.AddSession(SessionRequest{ID: 1, Key: 1, Load: 500, Timeout: 2 * time.Second})
		all := pull(b)
		if asked := count(all, HealthCheck) == 1; asked {
			b.RecordLoadReport(100, LoadReport{Demand: x.now, Backlog: -1, Utilization: -1})
			b.HealthCheckEnded(100, Succeeded)
			all = pull(b)
		}
		if count(all, x.want) != 1 {
			t.Errorf("%+v: %+v", x, all)
		}
	}
}

// TestBeliedWordsOfKinTellOfNoRoom has one server of a cell be slow, or reset what stands, while it reports that it is idle.
// Guards against hundreds of balancers that each send to its kin, and again, on their word.
func TestBeliedWordsOfKinTellOfNoRoom(t *testing.T) {
	for n := range 4 {
		d := deployment()
		d.HasLoadReports, d.HasEndpointReports = true, n < 2
		list := fleet(3)
		list[2].FailureDomain = 1
		b := started(d, list)
		b.AdoptSession(SessionRequest{ID: 1, Load: 1}, 100)
		told := func() { // all are idle, and nothing but that tells of room
			for i, l := range list {
				b.RecordLoadReport(l.ID, LoadReport{Demand: 0.1, Backlog: -1, Utilization: -1})
				b.endpoints[i].capacity = 0
			}
		}
		if told(); n%2 == 0 {
			b.AttemptEnded(1, 0, true, Reset)
		} else {
			b.RecordLatency(100, 90*ms)
		}
		c := &session{class: &d.Classes[0], load: 1, polls: maxPolls}
		search := selection{Balancer: b, session: c, totalWeight: 3, fairLoad: 100}
		if kin, other := search.skips(b.endpoints[1], relaxEjection), search.skips(b.endpoints[2], relaxEjection); kin != d.HasEndpointReports || other {
			t.Errorf("%d: kin are passed: %v, others: %v", n, kin, other)
		}
		b.AdvanceClock(distrustTTL + ms)
		if told(); search.skips(b.endpoints[1], relaxEjection) {
			t.Error("marked for good")
		}
	}
}

// TestTheDrawOnColdServersIsForFewBalancers guards against cold servers that stay empty: with many balancers each has a chance
// that is cut to warmth already, and against cold ones that are filled past it by two.
func TestTheDrawOnColdServersIsForFewBalancers(t *testing.T) {
	for peers, want := range map[int]int{2: 33, 100: 0} { // so many of a hundred keys, at 0.4 of its warmth
		d := deployment()
		d.Balancers = peers
		b := started(d, starting(fleet(2), 0, 1, -d.SlowStartWindow*5/17))
		out := 0
		for key := range uint64(1000) {
			s := &session{clientKey: key, class: &d.Classes[0]}
			search := selection{Balancer: b, session: s, totalWeight: 2, fairLoad: 1e9}
			if search.skips(b.endpoints[0], relaxNone) {
				out++
			}
		}
		if out /= 10; out < want-4 || out > want+4 {
			t.Errorf("%d balancers: %d of a hundred keys are kept off", peers, out)
		}
	}
}

func TestThousandsOfServersAndBalancers(t *testing.T) {
	list := fleet(4000)
	for i := range list {
		list[i].StartedAt, list[i].Zone = 0, 1+i%2 // all cold, none in the own zone
	}
	d := deployment()
	d.Balancers, d.CrossZoneCost = 1<<20, 0.1
	b := started(d, list)
	b.AdoptSession(SessionRequest{ID: 1e6, Key: 1}, 9)
	tries := 0
	for id := SessionID(1); id <= 200; id++ {
		if arrive(t, b, SessionRequest{ID: id, Key: uint64(id)}).Action == StartAttempt {
			tries++
		}
	}
	if tries > 20 {
		t.Fatalf("one of a million balancers sent cold servers %d tries", tries)
	}
}

// With every zone's balancers making a home of their own 30 groups stand at 82 places here, of 400 connections. One that
// holds many of each group keeps them in its zone all the same: a crossing has its price.
func TestManyBalancersInThreeZonesKeepAGroupTogether(t *testing.T) {
	places := func(peers, each, groups int) (all, crossed int) {
		at := map[[2]uint64]bool{}
		for k := range peers {
			d := deployment()
			d.Balancers, d.Zone, d.CrossZoneCost, d.CanHealthCheck = peers, k%3, 0.08, false
			b := started(d, zoned(fleet(12), 3))
			for n := range each {
				c := each*k + n + 1
				group := mix(uint64(c), 1) % uint64(groups)
				got := arrive(t, b, SessionRequest{ID: SessionID(c), Key: uint64(c) + 1000, Group: group + 50})
				b.AttemptEstablished(SessionID(c), 0, ms)
				if at[[2]uint64{group, uint64(got.Endpoint)}] = true; n >= 50 && b.endpointByID[got.Endpoint].Zone != d.Zone {
					crossed++
				}
			}
		}
		return len(at), crossed
	}
	all, _ := places(80, 5, 30)
	if _, crossed := places(1, 300, 5); all > 45 || crossed > 0 {
		t.Errorf("30 groups at %d places; %d of a big balancer's cross", all, crossed)
	}
}

// With a group's reach counted over cold servers too, most of these are nacked.
func TestColdServersTakeNoPlaceInAGroupsReach(t *testing.T) {
	d := deployment()
	d.Balancers, d.CanHealthCheck = 1000, false
	b := started(d, starting(fleet(10), 0, 8, 0))
	for id := SessionID(1); id <= 20; id++ {
		if got := arrive(t, b, SessionRequest{ID: id, Key: uint64(id), Group: uint64(id) + 100}); got.Action != StartAttempt {
			t.Fatalf("circuit %d is nacked while two warm servers are empty", id)
		}
		b.AttemptEstablished(id, 0, ms)
	}
}

// Six of ten servers are new, and no newcomers arrive: what fled to the four old ones goes home as the new ones warm,
// and never more in any span than a cold server bears. Nothing moved here once, until the clients left.
func TestManyBalancersFillColdServersFromTheOthers(t *testing.T) {
	d, list := deployment(), starting(fleet(10), 4, 10, time.Second)
	all, next := many(t, 80, 0, d, list[:4]), SessionID(1)
	for _, b := range all {
		connect(t, b, next, 5)
		next += 5
		b.UpdateEndpoints(list[4:], false)
	}
	sent, held, worst := map[EndpointID][]time.Duration{}, 0, 0
	for step := range 300 {
		now := time.Second + time.Duration(step)*50*ms
		for k, b := range all {
			b.AdvanceClock(now)
			for _, dec := range pull(b) {
				if dec.Action != Migrate {
					continue
				}
				key, to := b.sessions[dec.Session].clientKey, all[(k*7+step)%80] // the front deals it to any balancer
				b.AttemptEnded(dec.Session, 0, true, Cancelled)
				next++
				to.AdvanceClock(now)
				got := arrive(t, to, SessionRequest{ID: next, Key: key})
				if to.AttemptEstablished(next, 0, ms); got.Endpoint >= 104 {
					held++
					sent[got.Endpoint] = append(sent[got.Endpoint], now)
				}
			}
		}
	}
	for _, at := range sent {
		worst = max(worst, crowd(at, d.OverloadWindow))
	}
	if bears := 3 * 40 * d.SlowStartFloor; held < 40 || len(sent) < 6 || float64(worst) > bears { // by its warmth at the start
		t.Errorf("%d went to %d cold servers, %d in a span at one that bears %v", held, len(sent), worst, bears)
	}
}

// What goes home counts among what wants a cold server. Uncounted, while many were cold all that were at home at one moved
// there within four seconds, and it fell over: 5.9 times what it could do, of 170 balancers.
func TestWhatGoesHomeCountsForColdServers(t *testing.T) {
	list := starting(fleet(10), 5, 10, -12*time.Second)
	b := many(t, 170, 0, deployment(), list[:5])[0]
	connect(t, b, 1, 15)
	b.UpdateEndpoints(list, true)
	for ; b.now < 4*time.Second; b.AdvanceClock(b.now + 250*ms) {
		pull(b)
	}
	if b.recent.warmupDemand < 1 {
		t.Fatalf("of 15 connections, half at home at cold servers, %.1f count", b.recent.warmupDemand)
	}
}

// What goes home to cold servers is bounded together, as what comes by itself: where it was not, all that were at home at one moved
// there within four seconds, and it fell over.
func TestWhatGoesHomeIsBoundedTogether(t *testing.T) {
	const peers, each, fills = 170, 15, 600 // connections that fill a server
	list := starting(fleet(10), 5, 10, -12*time.Second)
	all := many(t, peers, 0, deployment(), list[:5])
	for _, b := range all {
		connect(t, b, 1, each)
		b.UpdateEndpoints(list, true)
	}
	sent, next := map[EndpointID][]time.Duration{}, SessionID(1000)
	for now := 3 * time.Second; now < 7*time.Second; now += 250 * ms {
		for k, b := range all {
			b.AdvanceClock(now)
			for _, dec := range pull(b) {
				if dec.Action != Migrate {
					continue
				}
				key := b.sessions[dec.Session].clientKey
				b.AttemptEnded(dec.Session, 0, true, Cancelled)
				to := all[(k+1)%peers]
				to.AdvanceClock(now)
				next++
				if got := arrive(t, to, SessionRequest{ID: next, Key: key}); got.Action == StartAttempt {
					to.AttemptEstablished(next, 0, ms)
					sent[got.Endpoint] = append(sent[got.Endpoint], now)
				}
			}
		}
	}
	if len(sent) == 0 {
		t.Fatal("nothing goes home")
	}
	for server, at := range sent {
		bears := 3 * (0.15 + 0.85*19/20) * fills * 2 / 20 // by the rule, at its warmth at the end
		if worst := float64(crowd(at, 2*time.Second)); server >= 105 && worst > bears+2*math.Sqrt(bears)+2 {
			t.Errorf("%v got %v in a window, it bears %.0f", server, worst, bears)
		}
	}
}
