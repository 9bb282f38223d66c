package policy

import "testing"

// TestPoolsAreFrozenCountedAndCapped guards against pools that change while they have sessions, pile up, or are
// kept without sessions, and against sessions that lose their endpoint with their pool.
func TestPoolsAreFrozenCountedAndCapped(t *testing.T) {
	b := newBalancer(testConfig(), warmEndpointList(3))
	establish(t, b, 1, 1)
	first := b.pools[0]
	for n := 4; n < 4+2*maxPools; n++ {
		b.UpdateEndpoints(warmEndpointList(n), true)
		establish(t, b, SessionID(n), 1)
		if n == 5 && (b.pools[0] != first || len(first.endpoints) != 3) {
			t.Fatal("a pool in use was changed or dropped")
		}
	}
	if len(b.pools) != maxPools || b.pools[0] == first {
		t.Fatalf("%d pools are kept, or the oldest one is not dropped", len(b.pools))
	}
	if c := b.sessions[1]; c.state != stateEstablished || c.endpoint == nil {
		t.Fatal("a session of a dropped pool lost its endpoint")
	}
	for id := range b.sessions {
		b.AttemptEnded(id, 0, true, Succeeded)
	}
	if len(b.pools) != 1 || b.activeSessions != 0 || len(b.activeByGroup) != 0 {
		t.Fatalf("%d pools and %d sessions are left", len(b.pools), b.activeSessions)
	}
}
