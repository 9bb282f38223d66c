package policy

import (
	"math"
	"testing"
	"time"
)

// newBalancers returns n balancers with the same endpoint list, each with its share of the established sessions.
func newBalancers(t *testing.T, n, connections int, d *Config, list []Endpoint) []*Balancer {
	var all []*Balancer
	for k := range n {
		own := *d
		own.Balancers = n
		b := New(&own, uint64(k)*7919+3)
		b.UpdateEndpoints(list, true)
		establish(t, b, 1, connections*(k+1)/n-connections*k/n)
		all = append(all, b)
	}
	return all
}

// TestWarmingEndpointsKeepLimitInStorm guards against too many attempts at warming endpoints during a storm of
// new sessions while no endpoint is warm, and against none at all.
func TestWarmingEndpointsKeepLimitInStorm(t *testing.T) {
	list, attempts := warmEndpointList(4), 0
	for i := range list {
		list[i].StartedAt = 0
	}
	b := newBalancer(testConfig(), list)
	b.AdvanceClock(time.Second)
	for id := SessionID(1); id <= 2000; id++ {
		b.AdvanceClock(b.now + ms)
		d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
		attempts += count([]Decision{d}, StartAttempt)
		if d.Action == StartAttempt {
			b.AttemptEstablished(id, 0, ms)
			b.AttemptEnded(id, 0, true, Reset)
		}
	}
	if attempts == 0 || attempts > 40 {
		t.Fatalf("%d attempts at four warming endpoints in two seconds", attempts)
	}
}

// TestManyBalancersTogetherKeepSlowStartLimit guards against balancers that each keep the slow-start limit but
// together overload a warming endpoint.
func TestManyBalancersTogetherKeepSlowStartLimit(t *testing.T) {
	for _, n := range []int{1, 3, 40, 200} {
		list := warmEndpointList(10)
		all := newBalancers(t, n, 200, testConfig(), list)
		for i := range 4 {
			list[i].StartedAt = time.Second
		}
		var sent [4][]time.Duration
		worst := 0
		for step := range 80 { // each balancer gets a session every 250 ms
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
				if d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)*1e6 + uint64(k)}); d.Action == StartAttempt {
					b.AttemptEstablished(id, 0, ms)
					b.AttemptEnded(id, 0, true, Succeeded)
					if i := int(d.Endpoint - 100); i < 4 {
						sent[i] = append(sent[i], now)
					}
				}
			}
		}
		for _, at := range sent {
			worst = max(worst, maxWithin(at, 2*time.Second))
		}
		if worst == 0 || worst > 3*20 { // OverloadMultiple times the sessions of a full endpoint
			t.Errorf("%d balancers: %d attempts at one warming endpoint in two seconds", n, worst)
		}
	}
}

// TestManyBalancersDoNotReturnGroupsAtOnce guards against overloading an endpoint that has just started and is
// the first choice of a whole group. The clients of the group come within a second, each to another balancer,
// which does not know of the others.
func TestManyBalancersDoNotReturnGroupsAtOnce(t *testing.T) {
	for _, members := range []int{38, 60} { // as many members as a full endpoint has sessions, and more
		list := startingAt(warmEndpointList(80), 0, 20, time.Second)
		all := newBalancers(t, 300, 3000, testConfig(), list[20:])
		began := 5 * time.Second
		sent := 0
		for k, b := range all[:members] {
			b.AdvanceClock(began - 2*roundInterval)
			b.UpdateEndpoints(list, true)
			allDecisions(b)
			// In this round the balancer learns the warming endpoints.
			b.AdvanceClock(began + time.Duration(k)*time.Second/time.Duration(members))
			allDecisions(b)
			key := uint64(k)<<20 + 1
			for ; ; key++ { // find a key whose first endpoint is 100
				c := b.newSession(SessionRequest{ID: 1 << 30, Key: key, Group: 1, Timeout: time.Second})
				delete(b.sessions, c.id)
				if b.rankEndpoints(c).endpoints[0].ID == 100 {
					break
				}
			}
			if d := addSession(t, b, SessionRequest{ID: 1000, Key: key, Group: 1}); d.Action == StartAttempt && d.Endpoint == 100 {
				sent++
			}
		}
		// N of the overload rule: sessionsPerCore fill the endpoint, the slow start takes 20 s, the window 2 s.
		windowCapacity := 3 * (0.15 + 0.85*4/20) * sessionsPerCore * 2 / 20
		if most := windowCapacity + 2*math.Sqrt(windowCapacity) + 2; float64(sent) > most || sent == 0 {
			t.Errorf("%d of %d group members got the warming endpoint at once, want at most %.0f", sent, members, most)
		}
	}
}

// TestManyBalancersRefillWarmingEndpoints guards against restarted endpoints that stay empty because no new
// client comes, and against refilling them too fast. Six of ten endpoints restart; sessions of the other four
// must migrate back while the six warm up, within their limit in each window.
func TestManyBalancersRefillWarmingEndpoints(t *testing.T) {
	d, list := testConfig(), startingAt(warmEndpointList(10), 4, 10, time.Second)
	all, next := newBalancers(t, 80, 0, d, list[:4]), SessionID(1)
	for _, b := range all {
		establish(t, b, next, 5)
		next += 5
		b.UpdateEndpoints(list[4:], false)
	}
	sent, held, worst := map[EndpointID][]time.Duration{}, 0, 0
	for step := range 300 {
		now := time.Second + time.Duration(step)*50*ms
		for k, b := range all {
			b.AdvanceClock(now)
			for _, dec := range allDecisions(b) {
				if dec.Action != Migrate {
					continue
				}
				key, to := b.sessions[dec.Session].clientKey, all[(k*7+step)%80] // the client reconnects to another balancer
				b.AttemptEnded(dec.Session, 0, true, Cancelled)
				next++
				to.AdvanceClock(now)
				got := addSession(t, to, SessionRequest{ID: next, Key: key})
				if to.AttemptEstablished(next, 0, ms); got.Endpoint >= 104 {
					held++
					sent[got.Endpoint] = append(sent[got.Endpoint], now)
				}
			}
		}
	}
	for _, at := range sent {
		worst = max(worst, maxWithin(at, d.OverloadWindow))
	}
	// N of the overload rule, at the slow-start factor of the start.
	if windowCapacity := 3 * 40 * d.SlowStartFloor; held < 40 || len(sent) < 6 || float64(worst) > windowCapacity {
		t.Errorf("%d sessions went to %d warming endpoints, up to %d in a window, want at most %v", held, len(sent), worst, windowCapacity)
	}
}

// TestRefillCountsAsWarmupDemand guards against migrations to warming endpoints that are not counted like new
// sessions.
func TestRefillCountsAsWarmupDemand(t *testing.T) {
	list := startingAt(warmEndpointList(10), 5, 10, -12*time.Second)
	b := newBalancers(t, 170, 0, testConfig(), list[:5])[0]
	establish(t, b, 1, 15)
	b.UpdateEndpoints(list, true)
	for ; b.now < 4*time.Second; b.AdvanceClock(b.now + 250*ms) {
		allDecisions(b)
	}
	if b.recentCounts.warmupDemand < 1 {
		t.Fatalf("warm-up demand is %.1f although half of 15 sessions prefer warming endpoints", b.recentCounts.warmupDemand)
	}
}

// TestRefillOfAllBalancersIsBounded guards against balancers that together migrate too many sessions to one
// warming endpoint, and against none that do.
func TestRefillOfAllBalancersIsBounded(t *testing.T) {
	const balancers, each, sessionsPerEndpoint = 170, 15, 600 // each endpoint is full with 600 sessions
	list := startingAt(warmEndpointList(10), 5, 10, -12*time.Second)
	all := newBalancers(t, balancers, 0, testConfig(), list[:5])
	for _, b := range all {
		establish(t, b, 1, each)
		b.UpdateEndpoints(list, true)
	}
	sent, next := map[EndpointID][]time.Duration{}, SessionID(1000)
	for now := 3 * time.Second; now < 7*time.Second; now += 250 * ms {
		for k, b := range all {
			b.AdvanceClock(now)
			for _, dec := range allDecisions(b) {
				if dec.Action != Migrate {
					continue
				}
				key := b.sessions[dec.Session].clientKey
				b.AttemptEnded(dec.Session, 0, true, Cancelled)
				to := all[(k+1)%balancers]
				to.AdvanceClock(now)
				next++
				if got := addSession(t, to, SessionRequest{ID: next, Key: key}); got.Action == StartAttempt {
					to.AttemptEstablished(next, 0, ms)
					sent[got.Endpoint] = append(sent[got.Endpoint], now)
				}
			}
		}
	}
	if len(sent) == 0 {
		t.Fatal("no session migrates to a warming endpoint")
	}
	for endpoint, at := range sent {
		// N of the overload rule, at the slow-start factor of the end.
		windowCapacity := 3 * (0.15 + 0.85*19/20) * sessionsPerEndpoint * 2 / 20
		if worst := float64(maxWithin(at, 2*time.Second)); endpoint >= 105 && worst > windowCapacity+2*math.Sqrt(windowCapacity)+2 {
			t.Errorf("endpoint %v got %v sessions in a window, its N is %.0f", endpoint, worst, windowCapacity)
		}
	}
}
