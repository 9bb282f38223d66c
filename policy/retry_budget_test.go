package policy

import (
	"slices"
	"testing"
	"time"
)

// TestRetryBudgetDoesNotRejectAllForLong guards against two failures of a balancer, one of 300, at which all
// attempts fail. If it rejected every session for four seconds, it would not notice a recovery. If it made many
// attempts, all balancers together would overload what has failed.
func TestRetryBudgetDoesNotRejectAllForLong(t *testing.T) {
	type pendingAttempt struct {
		Decision
		attempt int
		at      time.Duration
	}
	for _, c := range []struct {
		name     string
		interval time.Duration
		outcome  Outcome
	}{
		{"eight a second, timeouts", 125 * ms, TimedOut},
		{"eight a second, failures", 125 * ms, Failed},
		{"forty a second, timeouts", 25 * ms, TimedOut},
	} {
		d := testConfig()
		d.Balancers = 300
		b := newBalancer(d, warmEndpointList(30))
		var pending []pendingAttempt
		attempted := map[SessionID]int{}
		var attempts []time.Duration
		rejects, longestRejection, since := 0, 0, time.Duration(0)
		const lasts = 60 * time.Second
		id := SessionID(1)
		for now := time.Duration(0); now < lasts; now += 5 * ms {
			b.AdvanceClock(now)
			pending = slices.DeleteFunc(pending, func(o pendingAttempt) bool {
				if o.at <= now {
					b.AttemptEnded(o.Session, o.attempt, false, c.outcome)
				}
				return o.at <= now
			})
			if now%c.interval == 0 {
				b.AddSession(SessionRequest{ID: id, Key: uint64(id), Timeout: 2 * time.Second})
				id++
			}
			for _, d := range allDecisions(b) {
				switch d.Action {
				case StartAttempt:
					attempts = append(attempts, now)
					pending = append(pending, pendingAttempt{d, attempted[d.Session], now + d.Duration})
					attempted[d.Session]++
					rejects, since = 0, now
				case Reject:
					if rejects++; rejects >= 15 && now-since >= 4*time.Second {
						longestRejection = max(longestRejection, int((now-since)/time.Millisecond))
					}
				}
			}
		}
		if longestRejection > 0 {
			t.Errorf("%s: every session (at least 15) was rejected for %d ms", c.name, longestRejection)
		}
		// Once the budget is spent, at most one attempt per second is allowed.
		const spentAfter = 10 * time.Second
		from, _ := slices.BinarySearch(attempts, spentAfter)
		if n, most := len(attempts)-from, int((lasts-spentAfter)/time.Second); n > most {
			t.Errorf("%s: %d attempts within %v while all fail, want at most %d", c.name, n, lasts-spentAfter, most)
		}
	}
}

// TestSharedFailureSpendsRetryBudgetAndEjectsFew guards against retries and ejections that do not help when
// attempts fail at all endpoints alike, and against rejects that go on after the failure.
func TestSharedFailureSpendsRetryBudgetAndEjectsFew(t *testing.T) {
	b, attempts := newBalancer(testConfig(), warmEndpointList(9)), 0
	for id := SessionID(1); id <= 1000; id++ {
		b.AdvanceClock(b.now + ms)
		d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
		for attempt := 0; d.Action == StartAttempt; attempt++ {
			attempts++
			d = endAttempt(t, b, id, attempt, Failed)
		}
		if d.Action != Reject || d.Duration <= 0 || d.Duration > time.Second {
			t.Fatalf("want a reject with Retry-After, got %+v", d)
		}
	}
	ejected := 0
	for _, e := range b.endpoints {
		if e.ejected {
			ejected++
		}
	}
	if attempts > 150 || ejected > 3 {
		t.Fatalf("%d attempts for 1000 sessions, %d endpoints ejected", attempts, ejected)
	}
	for id := SessionID(2001); b.now < 5*time.Second; id++ { // the failure is over: sessions must soon be admitted
		b.AdvanceClock(b.now + 10*ms)
		if d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)}); d.Action == StartAttempt {
			b.AttemptEstablished(id, 0, ms)
		} else if b.now > 4*time.Second {
			t.Fatal("sessions are still rejected long after the failure")
		}
	}
}

// TestLateSetupsBoundPendingAttempts guards against a growing number of pending attempts while every setup
// succeeds late, which indicates a queue.
func TestLateSetupsBoundPendingAttempts(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(6))
	most := 0
	for id := SessionID(1); id < 200; id++ { // each setup succeeds, but takes 500 ms
		b.AdvanceClock(b.now + 20*ms)
		addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
		if late := id - 25; late > 0 {
			b.AttemptEstablished(late, 0, 500*ms)
		}
		if id > 60 {
			most = max(most, b.pendingAttempts)
		}
	}
	if most == 0 || most > 9 {
		t.Fatalf("up to %d pending attempts, want 1 to 9", most)
	}
}

// TestLateSetupsStopNoMigrationsUnderOverload guards against late setups that stop the migrations away from
// overloaded endpoints: they count as failures only while few endpoints are overloaded.
func TestLateSetupsStopNoMigrationsUnderOverload(t *testing.T) {
	for _, overloaded := range []int{0, 4} {
		b := newBalancer(testConfig(), warmEndpointList(4))
		for id := SessionID(1); id <= 20; id++ {
			addSession(t, b, SessionRequest{ID: id, Key: uint64(id)})
			b.AttemptEstablished(id, 0, 200*ms)
		}
		for s := range overloaded {
			b.RecordLatency(EndpointID(100+s), 500*ms)
		}
		b.AdvanceClock(b.now + roundInterval)
		allDecisions(b)
		if got := b.areRetriesFutile(); got != (overloaded == 0) {
			t.Errorf("%d endpoints overloaded: areRetriesFutile is %v", overloaded, got)
		}
	}
}
