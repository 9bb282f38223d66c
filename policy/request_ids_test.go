package policy

import (
	"testing"
	"time"
)

// TestUsedRequestIDs guards against a request that runs twice, or that is refused although it cannot have run: it must be remembered if it may
// have run, must not run again, and was not rejected.
func TestUsedRequestIDs(t *testing.T) {
	for _, c := range []struct {
		idempotency Idempotency
		outcome     Outcome
		leaves      bool // the client leaves while the attempt is active
		hasID       bool
		want        bool
	}{
		{NonIdempotent, TimedOut, false, true, true},
		{NonIdempotent, Reset, false, true, true},
		{NonIdempotent, Cancelled, true, true, true},
		{NonIdempotent, NeverSent, true, true, false},
		{NonIdempotent, Succeeded, false, true, true},
		{NonIdempotent, Rejected, false, true, false},
		{NonIdempotent, Reset, false, false, false},
		{IdempotentWithKey, Cancelled, true, true, true},
		{Idempotent, Cancelled, true, true, false},
	} {
		d := testConfig()
		d.Classes[0].Idempotency = c.idempotency
		d.MaxAttempts = 1
		b := newBalancer(d, warmEndpointList(4))
		request := SessionRequest{ID: 1, Key: 1, Timeout: 20 * time.Second, RequestID: 77, HasID: c.hasID}
		addSession(t, b, request)
		if c.leaves {
			b.ClientDisconnected(1)
		}
		b.AttemptEnded(1, 0, c.leaves, c.outcome)
		allDecisions(b)
		if got := b.IsUsedRequestID(77); got != c.want {
			t.Errorf("%+v: the ID is used: %v", c, got)
		}
		request.ID = 2
		if got := b.IsRepeat(request); got != c.want {
			t.Errorf("%+v: the request is a repeat: %v", c, got)
		}
	}
}

// TestAnEstablishedSessionsIDIsUsed guards against a request that runs again after its established or adopted session has ended.
func TestAnEstablishedSessionsIDIsUsed(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		d := testConfig()
		d.Classes[0].Idempotency = NonIdempotent
		b := newBalancer(d, warmEndpointList(1))
		request := SessionRequest{ID: 1, Key: 1, Timeout: 20 * time.Second, RequestID: 77, HasID: true}
		if adopted {
			b.AdoptSession(request, b.endpoints[0].ID)
		} else {
			addSession(t, b, request)
			b.AttemptEstablished(1, 0, ms)
		}
		b.AttemptEnded(1, 0, true, Succeeded)
		if !b.IsUsedRequestID(77) {
			t.Errorf("adopted %v: the ID may be used again", adopted)
		}
	}
}

// TestRequestIDsAreBounded guards against memory that grows with the IDs that clients send, and against a memory that is full and keeps the
// oldest IDs in place of the newest.
func TestRequestIDsAreBounded(t *testing.T) {
	const bound = 32768 // stated in docs/operations.md
	r := newRequestIDs()
	now := time.Duration(0)
	for id := range uint64(3 * bound) {
		r.add(id, now)
		if id%3 == 0 {
			r.remove(id)
		}
		if id%5 == 0 {
			r.add(id, now)
		}
		if len(r.records) > bound || len(r.order) > 2*bound {
			t.Fatalf("%d IDs in an order of %d", len(r.records), len(r.order))
		}
		now += time.Microsecond
	}
	if len(r.records) != bound {
		t.Errorf("%d IDs are remembered, want %d", len(r.records), bound)
	}
	if r.forgotten == 0 {
		t.Error("no ID is counted as forgotten")
	}
	last := uint64(3*bound - 1)
	if !r.contains(last, now) || r.contains(1, now) {
		t.Error("the newest ID is forgotten, or the oldest remembered")
	}
	if all := r.all(now); len(all) != bound || all[len(all)-1] != last {
		t.Errorf("%d IDs are handed over, the last is %d", len(all), all[len(all)-1])
	}
}

// TestRequestIDsExpire guards against an ID that stays taken for ever, and against one that is forgotten too early because it was recorded
// twice.
func TestRequestIDsExpire(t *testing.T) {
	r := newRequestIDs()
	r.add(1, 0)
	r.add(2, 0)
	r.add(1, 9*time.Minute)
	if !r.contains(2, 10*time.Minute-1) {
		t.Error("the ID is forgotten within ten minutes")
	}
	if r.contains(2, 10*time.Minute) {
		t.Error("the ID is remembered after ten minutes")
	}
	if all := r.all(11 * time.Minute); len(all) != 1 || all[0] != 1 {
		t.Errorf("IDs %v are remembered, want 1 alone", all)
	}
	if r.all(30 * time.Minute); len(r.order) != 0 || len(r.records) != 0 {
		t.Error("expired IDs hold memory")
	}
	if r.forgotten != 0 {
		t.Error("an expired ID is counted as forgotten early")
	}
}
