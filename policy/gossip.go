package policy

import "time"

const (
	gossipInterval           = 2 * time.Second // time between two messages of one balancer
	gossipTTL                = 7 * time.Second // time for which a message counts; over three intervals because messages can be lost
	maxGossipBytesPerSession = 128             // bytes sent to all receivers together, for each new session
)

// GossipMessage tells the other balancers the load of one balancer's sessions at each endpoint. Loads and
// Overloaded have the same length. They are for the endpoints of the newest pool in ascending order of ID,
// starting at index Offset.
type GossipMessage struct {
	VersionHash uint32 // hash of the pool, equal at all balancers that have the same endpoint list
	Offset      int
	Loads       []float64
	Overloaded  []bool
}

// gossip is the state of the exchange of messages with the other balancers.
type gossip struct {
	nextAt      time.Duration // time of the next message, never if gossip is disabled
	newSessions int           // number of sessions that arrived since the last message
	peers       []peerGossip  // received loads by balancer index, nil if gossip is disabled
	isCurrent   bool          // messages of at least half of the other balancers have come within gossipTTL
}

// peerGossip holds the loads received from one other balancer.
type peerGossip struct {
	loads      []float64     // load by endpoint.index, nil before the first message
	receivedAt time.Duration // time of the newest message
}

// resetGossip discards the received loads and schedules the first message if gossip is enabled.
func (b *Balancer) resetGossip() {
	b.gossip.nextAt = never
	b.gossip.peers = nil
	b.gossip.isCurrent = false
	if b.config.CanGossip {
		b.gossip.peers = make([]peerGossip, b.config.Balancers)
		b.gossip.nextAt = b.now + time.Duration(b.random.float64()*float64(gossipInterval))
	}
}

// dueGossip returns the next message if it is due. No message is sent while messages to all balancers would cost
// more bytes than the number of new sessions justifies.
func (b *Balancer) dueGossip() (message GossipMessage, isDue bool) {
	if b.gossip.nextAt > b.now {
		return GossipMessage{}, false
	}
	b.gossip.nextAt = b.now + gossipInterval
	size := len(b.newestPool().endpoints) * (b.config.Balancers - 1) // one byte for each endpoint in each message
	if size <= 0 || size > maxGossipBytesPerSession*b.gossip.newSessions {
		return GossipMessage{}, false
	}
	b.gossip.newSessions = 0
	return b.gossipMessage(), true
}

// gossipMessage returns a message with the current loads at all endpoints of the newest pool.
func (b *Balancer) gossipMessage() GossipMessage {
	message := GossipMessage{VersionHash: b.newestPool().versionHash}
	for _, e := range b.newestPool().endpoints {
		message.Loads = append(message.Loads, e.load)
		isOverloaded := len(e.sessions) > 0 && b.exceeds(e, migrateThreshold)
		message.Overloaded = append(message.Overloaded, isOverloaded)
	}
	return message
}

// ReceiveGossip records a message from the balancer with the given index. Messages from unknown balancers and
// for other versions of the endpoint list are ignored.
func (b *Balancer) ReceiveGossip(sender int, message GossipMessage) {
	newest := b.newestPool()
	if sender < 0 || sender >= len(b.gossip.peers) || message.VersionHash != newest.versionHash {
		return
	}
	peer := &b.gossip.peers[sender]
	peer.loads = append(peer.loads, make([]float64, len(b.endpoints)-len(peer.loads))...)
	peer.receivedAt = b.now
	for n := 0; n < len(message.Loads) && message.Offset+n < len(newest.endpoints); n++ {
		e := newest.endpoints[message.Offset+n]
		peer.loads[e.index] = message.Loads[n]
		if message.Overloaded[n] {
			b.markOverloaded(e, 0)
		}
	}
}

// sumGossip updates the load of the other balancers' sessions at each endpoint. The sums are not relied on while
// most balancers are silent.
func (b *Balancer) sumGossip() {
	for _, e := range b.endpoints {
		e.peerLoad = 0
	}
	currentPeers := 0
	for _, peer := range b.gossip.peers {
		if len(peer.loads) == 0 || b.now-peer.receivedAt > gossipTTL {
			continue
		}
		currentPeers++
		for index, load := range peer.loads {
			b.endpoints[index].peerLoad += load
		}
	}
	b.gossip.isCurrent = 2*currentPeers >= b.config.Balancers-1 && currentPeers > 0
}
