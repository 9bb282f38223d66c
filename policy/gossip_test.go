package policy

import "testing"

// TestGossipedLoadFillsEndpoint guards against gossip that is ignored or misused: the load of other balancers
// must count once, but not if the message is for another endpoint list or has expired.
func TestGossipedLoadFillsEndpoint(t *testing.T) {
	d := testConfig()
	d.Balancers, d.CanGossip, d.HasExactWeights = 3, true, true
	b, other := newBalancer(d, warmEndpointList(4)), newBalancer(d, warmEndpointList(4))
	key := uint64(0)
	for id := SessionID(1); key == 0; id++ { // find a key whose first endpoint is 100
		if addSession(t, b, SessionRequest{ID: id, Key: uint64(id)}).Endpoint == 100 {
			key = uint64(id)
		}
	}
	message := other.gossipMessage()
	message.Loads[0] = 500
	first := func(id SessionID) EndpointID {
		d := addSession(t, b, SessionRequest{ID: id, Key: key})
		b.AttemptEstablished(id, 0, ms)
		return d.Endpoint
	}
	otherVersion := message
	otherVersion.VersionHash++
	for n, m := range []GossipMessage{otherVersion, message} {
		b.ReceiveGossip(1, m)
		b.AdvanceClock(b.now + roundInterval)
		allDecisions(b)
		if got := first(SessionID(1000 + n)); (got == 100) != (n == 0) {
			t.Fatalf("after message %d a session went to endpoint %d", n, got)
		}
	}
	b.AdvanceClock(b.now + gossipTTL + roundInterval)
	allDecisions(b)
	if b.endpointByID[100].peerLoad != 0 || b.gossip.isCurrent {
		t.Fatalf("peer load %v still counts after the TTL", b.endpointByID[100].peerLoad)
	}
	b.ReceiveGossip(2, message) // received twice, but counted once
	b.ReceiveGossip(2, message)
	b.AdvanceClock(b.now + roundInterval)
	allDecisions(b)
	if b.endpointByID[100].peerLoad != 500 {
		t.Fatalf("peer load is %v after a message that came twice, want 500", b.endpointByID[100].peerLoad)
	}
	if n := count(allDecisions(other), SendGossip); n > 1 {
		t.Fatalf("%d gossip messages are due at once", n)
	}
}
