package policy

import (
	"testing"
	"time"
)

// TestDrainingEndpointGetsNothingAndIsEmptied guards against attempts at a draining endpoint, and against
// sessions that stay there.
func TestDrainingEndpointGetsNothingAndIsEmptied(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(3))
	held := establish(t, b, 1, 30)
	list := warmEndpointList(3)
	list[0].State = Draining
	b.UpdateEndpoints(list[:1], false)
	for id := SessionID(100); id < 130; id++ {
		if d := addSession(t, b, SessionRequest{ID: id, Key: uint64(id)}); d.Endpoint == 100 {
			t.Fatal("an attempt was made at a draining endpoint")
		}
	}
	migrated := 0
	for range 40 {
		b.AdvanceClock(b.now + roundInterval)
		migrated += count(allDecisions(b), Migrate)
	}
	if migrated < held[100] {
		t.Fatalf("%d of %d sessions migrated from the draining endpoint", migrated, held[100])
	}
}

// TestDrainingMigratesInEvenParts guards against a draining balancer that admits sessions or migrates before the
// drain window, a session twice, or too many at a time.
func TestDrainingMigratesInEvenParts(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(4))
	establish(t, b, 1, 40)
	b.StartDraining(b.now+400*ms, b.now+2400*ms)
	migrated, first := map[SessionID]bool{}, time.Duration(0)
	most := 0
	for step := range 24 {
		b.AdvanceClock(b.now + 100*ms)
		all := allDecisions(b)
		for _, d := range all {
			if d.Action != Migrate || migrated[d.Session] {
				t.Fatalf("unexpected decision while draining: %+v", d)
			}
			migrated[d.Session] = true
			b.AttemptEnded(d.Session, 0, true, Cancelled)
		}
		if first == 0 && len(all) > 0 {
			first = b.now
		}
		most = max(most, len(all))
		if d := addSession(t, b, SessionRequest{ID: SessionID(1000 + step), Key: 5}); d.Action != Reject || d.Duration <= 0 {
			t.Fatalf("a new session got %+v while draining", d)
		}
	}
	if len(migrated) != 40 || most > 14 || first < 400*ms {
		t.Fatalf("%d sessions migrated, up to %d at a time, the first at %v", len(migrated), most, first)
	}
}

// TestStopDrainingEndsMigrations guards against a balancer that goes on migrating sessions, or rejects new ones,
// after it has stopped draining.
func TestStopDrainingEndsMigrations(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(4))
	establish(t, b, 1, 40)
	b.StartDraining(b.now+400*ms, b.now+2400*ms)
	migrated := 0
	for step := range 40 {
		b.AdvanceClock(b.now + 100*ms)
		if step == 12 {
			migrated = 0
			b.StopDraining()
		}
		migrated += count(allDecisions(b), Migrate)
		if step == 11 && (migrated < 10 || migrated == 40) {
			t.Fatalf("%d of 40 sessions migrated before draining was stopped", migrated)
		}
	}
	if migrated > 0 {
		t.Fatalf("%d sessions migrated after draining was stopped", migrated)
	}
	establish(t, b, 1000, 4)
}

// TestDrainingGoesEvenly guards against draining that ends early: if a part of the sessions of each endpoint
// migrated per round, rounding up would migrate too many where each endpoint has few.
func TestDrainingGoesEvenly(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(20))
	establish(t, b, 1, 60)
	b.StartDraining(b.now+400*ms, b.now+3500*ms)
	migrated := 0
	for range 20 {
		b.AdvanceClock(b.now + 100*ms)
		migrated += count(allDecisions(b), Migrate)
	}
	if migrated < 20 || migrated > 40 {
		t.Fatalf("%d of 60 sessions migrated within 2 of 3.5 s", migrated)
	}
}
