package policy

import (
	"testing"
	"time"
)

// TestIdempotency guards against a request taking effect twice: after a first attempt that may have run, the
// next decision must respect the idempotency, the scope of the key and its TTL.
func TestIdempotency(t *testing.T) {
	list := warmEndpointList(4)
	for i := range list {
		list[i].Zone, list[i].FailureDomain = i%2, i
	}
	for _, c := range []struct {
		idempotency Idempotency
		scope       KeyScope
		first       Outcome
		wait        time.Duration
		want        Action
	}{
		{Idempotent, KeyScopeAll, TimedOut, 0, StartAttempt},
		{NonIdempotent, KeyScopeAll, TimedOut, 0, Fail},
		{NonIdempotent, KeyScopeAll, ConnectFailed, 0, StartAttempt},
		{IdempotentWithKey, KeyScopeAll, Failed, 6 * time.Second, Fail},
		{IdempotentWithKey, KeyScopeZone, Failed, 0, StartAttempt},
		{IdempotentWithKey, KeyScopeFailureDomain, Failed, 0, StartAttempt},
		{IdempotentWithKey, KeyScopeFailureDomain, Rejected, 0, StartAttempt},
	} {
		d := testConfig()
		d.Classes[0].Idempotency, d.Classes[0].KeyScope = c.idempotency, c.scope
		b := newBalancer(d, list)
		first := addSession(t, b, SessionRequest{ID: 1, Key: 1, Timeout: 20 * time.Second})
		b.AdvanceClock(c.wait)
		then := endAttempt(t, b, 1, 0, c.first)
		near := c.scope == KeyScopeAll || c.first == Rejected ||
			c.scope == KeyScopeZone && then.Endpoint%2 == first.Endpoint%2 || then.Endpoint == first.Endpoint
		if then.Action != c.want || then.Action == StartAttempt && !near {
			t.Errorf("%+v: got %+v after %+v", c, then, first)
		}
	}
}

// TestAttemptTimeoutLeavesTimeForRetry guards against a first attempt that uses up the time for a further one,
// and against attempts after the deadline.
func TestAttemptTimeoutLeavesTimeForRetry(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(3))
	if d := addSession(t, b, SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second}); d.Duration != time.Second {
		t.Fatalf("timeout %v of 2 s with one balancer", d.Duration)
	}
	d := testConfig()
	d.Balancers = 80 // a large deployment reserves only one setup objective
	if d := addSession(t, newBalancer(d, warmEndpointList(3)), SessionRequest{ID: 1, Key: 1, Timeout: 2 * time.Second}); d.Duration != 1700*ms {
		t.Fatalf("timeout %v of 2 s with 80 balancers", d.Duration)
	}
	b.AdvanceClock(2 * time.Second) // at the deadline there is a final answer, although attempts are left
	if d := endAttempt(t, b, 1, 0, TimedOut); d.Action != Reject {
		t.Fatalf("want a reject at the deadline, got %+v", d)
	}
}

// TestARepeatHasASendDeadline guards against a repeat that the host sends when the endpoints no longer drop it, because its connection came
// up late.
func TestARepeatHasASendDeadline(t *testing.T) {
	const keyTTL = 700 * time.Millisecond
	for _, c := range []struct {
		idempotency Idempotency
		first       Outcome
		want        time.Duration
	}{
		{IdempotentWithKey, Reset, 2*time.Second + keyTTL},
		{IdempotentWithKey, Rejected, 0},
		{Idempotent, Reset, 0},
		{NonIdempotent, Rejected, 0},
	} {
		d := testConfig()
		d.Classes[0].Idempotency, d.Classes[0].KeyTTL = c.idempotency, keyTTL
		b := newBalancer(d, warmEndpointList(4))
		b.AdvanceClock(2 * time.Second)
		if first := addSession(t, b, SessionRequest{ID: 1, Key: 1, Timeout: 20 * time.Second}); first.SendDeadline != 0 {
			t.Errorf("%+v: the first attempt has to be sent before %v", c, first.SendDeadline)
		}
		b.AdvanceClock(2*time.Second + keyTTL/2)
		if then := endAttempt(t, b, 1, 0, c.first); then.Action != StartAttempt || then.SendDeadline != c.want {
			t.Errorf("%+v: got %+v", c, then)
		}
	}
}
