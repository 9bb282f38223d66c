package policy

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// deployment is one grade, idempotent, in one zone, with a pushed list; tests change what they need.
func deployment() *Config {
	return &Config{
		Balancers: 1, Classes: []Class{{SetupObjective: 300 * ms, MessageObjective: 100 * ms, KeyTTL: 5 * time.Second, PriorityWeight: 1}},
		CanHealthCheck: true, CanSendRetryAfter: true, MaxRetryAfter: time.Second, MaxAttempts: 4, OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		SlowStartFloor: 0.15, SlowStartWindow: 20 * time.Second,
	}
}

// fleet is a list of n ready servers, all warm.
func fleet(n int) []Endpoint {
	var l []Endpoint
	for i := range n {
		l = append(l, Endpoint{ID: EndpointID(100 + i), Weight: 1, StartedAt: StartedLongAgo})
	}
	return l
}

// starting has so many servers of a list start at a time.
func starting(list []Endpoint, from, to int, at time.Duration) []Endpoint {
	for i := range list[from:to] {
		list[from+i].StartedAt = at
	}
	return list
}

// zoned has a list's servers stand in so many zones by turns.
func zoned(list []Endpoint, zones int) []Endpoint {
	for i := range list {
		list[i].Zone = i % zones
	}
	return list
}

func started(d *Config, list []Endpoint) *Balancer {
	b := New(d, 7)
	b.UpdateEndpoints(list, true)
	return b
}

// pull takes all decisions there are now.
func pull(b *Balancer) []Decision {
	var all []Decision
	for d, ok := b.Next(); ok; d, ok = b.Next() {
		all = append(all, d)
	}
	return all
}

func count(all []Decision, do Action) int {
	n := 0
	for _, d := range all {
		if d.Action == do {
			n++
		}
	}
	return n
}

// arrive takes a circuit and answers what was decided for it.
func arrive(t *testing.T, b *Balancer, a SessionRequest) Decision {
	if a.Timeout == 0 {
		a.Timeout = 2 * time.Second
	}
	b.AddSession(a)
	return about(t, b, a.ID)
}

// end tells how a circuit's try ended and answers what was decided then.
func end(t *testing.T, b *Balancer, id SessionID, try int, how Outcome) Decision {
	b.AttemptEnded(id, try, false, how)
	return about(t, b, id)
}

func about(t *testing.T, b *Balancer, id SessionID) Decision {
	for _, d := range pull(b) {
		if d.Session == id && d.Action != Migrate {
			return d
		}
	}
	t.Fatalf("circuit %d got no decision", id)
	return Decision{}
}

// coreHolds is how many of connect's connections fill a core of the yardstick.
const coreHolds = 80

// connect sets circuits up, n of them from id on, and answers how many each server holds.
func connect(t *testing.T, b *Balancer, id SessionID, n int) map[EndpointID]int {
	held := map[EndpointID]int{}
	for range n {
		d := arrive(t, b, SessionRequest{ID: id, Key: uint64(id)})
		if d.Action != StartAttempt {
			t.Fatalf("circuit %d was not tried: %+v", id, d)
		}
		held[d.Endpoint]++
		b.AttemptEstablished(id, 0, ms)
		b.RecordLoad(id, 0, coreOfYardstick/coreHolds)
		id++
	}
	return held
}

// crowd is the most of some times in order that lie within one span.
func crowd(at []time.Duration, span time.Duration) (most int) {
	from := 0
	for n := range at {
		for at[n] >= at[from]+span {
			from++
		}
		most = max(most, n+1-from)
	}
	return most
}
