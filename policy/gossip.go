package policy

import "time"

const (
	gossipInterval           = 2 * time.Second
	gossipTTL                = 7 * time.Second // longer than three intervals: messages get lost
	maxGossipBytesPerSession = 128             // sent for each session that arrives, over all receivers
)

// GossipMessage tells the other balancers the loads of one balancer's sessions. Loads and Overloaded have the same length and
// stand for the endpoints of the newest pool by ascending ID, from Offset on.
type GossipMessage struct {
	VersionHash uint32 // of the pool: the same at every balancer that has the same list
	Offset      int
	Loads       []float64
	Overloaded  []bool
}

// gossip is what this balancer sends and has received.
type gossip struct {
	nextAt      time.Duration // never if gossip is off
	newSessions int           // since the newest message
	peers       []peerGossip  // by index of the balancer, nil if gossip is off
	isCurrent   bool          // most balancers were heard of within gossipTTL
}

// peerGossip is what another balancer has sent.
type peerGossip struct {
	loads      []float64 // by endpoint.index, nil before the first message
	receivedAt time.Duration
}

func (b *Balancer) resetGossip() {
	b.gossip.nextAt = never
	b.gossip.peers = nil
	b.gossip.isCurrent = false
	if b.config.CanGossip {
		b.gossip.peers = make([]peerGossip, b.config.Balancers)
		b.gossip.nextAt = b.now + time.Duration(b.random.float64()*float64(gossipInterval))
	}
}

// dueGossip returns the message that is due. Where messages to all balancers would cost more than their
// sessions justify, none is sent.
func (b *Balancer) dueGossip() (message GossipMessage, isDue bool) {
	if b.gossip.nextAt > b.now {
		return GossipMessage{}, false
	}
	b.gossip.nextAt = b.now + gossipInterval
	size := len(b.newestPool().endpoints) * (b.config.Balancers - 1) // one byte for each endpoint
	if size <= 0 || size > maxGossipBytesPerSession*b.gossip.newSessions {
		return GossipMessage{}, false
	}
	b.gossip.newSessions = 0
	return b.gossipMessage(), true
}

func (b *Balancer) gossipMessage() GossipMessage {
	message := GossipMessage{VersionHash: b.newestPool().versionHash}
	for _, e := range b.newestPool().endpoints {
		message.Loads = append(message.Loads, e.load)
		isOverloaded := len(e.sessions) > 0 && b.exceeds(e, migrateThreshold)
		message.Overloaded = append(message.Overloaded, isOverloaded)
	}
	return message
}

// ReceiveGossip records a message of the balancer with the given index. Messages of unknown balancers and of
// other versions of the endpoint list are ignored.
func (b *Balancer) ReceiveGossip(from int, message GossipMessage) {
	newest := b.newestPool()
	if from < 0 || from >= len(b.gossip.peers) || message.VersionHash != newest.versionHash {
		return
	}
	peer := &b.gossip.peers[from]
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

// sumGossip adds up the loads of the other balancers' sessions. While most are silent they are not relied upon.
func (b *Balancer) sumGossip() {
	for _, e := range b.endpoints {
		e.peerLoad = 0
	}
	current := 0
	for _, peer := range b.gossip.peers {
		if len(peer.loads) == 0 || b.now-peer.receivedAt > gossipTTL {
			continue
		}
		current++
		for index, load := range peer.loads {
			b.endpoints[index].peerLoad += load
		}
	}
	b.gossip.isCurrent = 2*current >= b.config.Balancers-1 && current > 0
}
