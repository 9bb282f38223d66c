package policy

import (
	"math"
	"testing"
	"time"
)

// newBalancers returns n balancers with the same endpoint list, each with its part of the sessions.
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

// TestManyBalancersTogetherKeepSlowStartLimit counts the attempts of all balancers at each warming endpoint.
func TestManyBalancersTogetherKeepSlowStartLimit(t *testing.T) {
	for _, n := range []int{1, 3, 40, 200} {
		list := warmEndpointList(10)
		all := newBalancers(t, n, 200, testConfig(), list)
		for i := range 4 {
			list[i].StartedAt = time.Second
		}
		var sent [4][]time.Duration
		worst := 0
		for step := range 80 { // each balancer gets a session every quarter of a second
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
		if worst == 0 || worst > 3*20 { // OverloadMultiple times what an endpoint holds
			t.Errorf("%d balancers: %d attempts at one warming endpoint in two seconds", n, worst)
		}
	}
}

// TestManyBalancersDoNotReturnGroupsAtOnce has all clients whose first endpoint has just started come within a second, each to
// another balancer, which knows of no other client.
func TestManyBalancersDoNotReturnGroupsAtOnce(t *testing.T) {
	for _, members := range []int{38, 60} { // what one endpoint holds, and more
		list := startingAt(warmEndpointList(80), 0, 20, time.Second)
		all := newBalancers(t, 300, 3000, testConfig(), list[20:])
		began := 5 * time.Second
		sent := 0
		for k, b := range all[:members] {
			b.AdvanceClock(began - 2*roundInterval)
			b.UpdateEndpoints(list, true)
			allDecisions(b)
			b.AdvanceClock(began + time.Duration(k)*time.Second/time.Duration(members)) // a round: the warming endpoints are known
			allDecisions(b)
			key := uint64(k)<<20 + 1
			for ; ; key++ { // whose first endpoint is 100
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
		// By the rule: the endpoint is filled by sessionsPerCore, warms up in 20 s, and is overloaded within 2 s.
		bears := 3 * (0.15 + 0.85*4/20) * sessionsPerCore * 2 / 20
		if most := bears + 2*math.Sqrt(bears) + 2; float64(sent) > most || sent == 0 {
			t.Errorf("%d of %d members at once, at most %.0f", sent, members, most)
		}
	}
}

// TestManyBalancersRefillWarmingEndpoints has six of ten endpoints restart and no new client come: sessions of the other four
// migrate back as the six warm up, never more in a window than these bear.
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
				key, to := b.sessions[dec.Session].clientKey, all[(k*7+step)%80] // the client reconnects to any balancer
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
	if bears := 3 * 40 * d.SlowStartFloor; held < 40 || len(sent) < 6 || float64(worst) > bears { // by the slow-start factor at the start
		t.Errorf("%d went to %d warming endpoints, %d in a window at one that bears %v", held, len(sent), worst, bears)
	}
}

// TestRefillCountsAsWarmupDemand has migrations to warming endpoints count like new sessions.
func TestRefillCountsAsWarmupDemand(t *testing.T) {
	list := startingAt(warmEndpointList(10), 5, 10, -12*time.Second)
	b := newBalancers(t, 170, 0, testConfig(), list[:5])[0]
	establish(t, b, 1, 15)
	b.UpdateEndpoints(list, true)
	for ; b.now < 4*time.Second; b.AdvanceClock(b.now + 250*ms) {
		allDecisions(b)
	}
	if b.recentCounts.warmupDemand < 1 {
		t.Fatalf("of 15 sessions, half of which prefer warming endpoints, %.1f count", b.recentCounts.warmupDemand)
	}
}

// TestRefillOfAllBalancersIsBounded bounds the migrations of all balancers together to each warming endpoint.
func TestRefillOfAllBalancersIsBounded(t *testing.T) {
	const balancers, each, fills = 170, 15, 600 // sessions that fill an endpoint
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
		bears := 3 * (0.15 + 0.85*19/20) * fills * 2 / 20 // by the rule, at the slow-start factor at the end
		if worst := float64(maxWithin(at, 2*time.Second)); endpoint >= 105 && worst > bears+2*math.Sqrt(bears)+2 {
			t.Errorf("%v got %v in a window, it bears %.0f", endpoint, worst, bears)
		}
	}
}
