package node

import "time"

const (
	bootstrapInterval = 500 * time.Millisecond
	emptySeedTTL      = 2 * time.Second // of a seed's response that it knows no fleet
)

// tryBootstrap bootstraps a fleet at the first seed alone, and only while all seeds are alive and know of none. A first seed that lost its
// disk finds the others' fleet here; a second fleet would hide the records of the first.
func (n *Node) tryBootstrap() {
	if !n.cfg.CanBootstrap || n.agreed.state.FleetID != "" || n.now < n.nextBootstrapAt {
		return
	}
	n.nextBootstrapAt = n.now + bootstrapInterval
	areAllEmpty := true
	for _, addr := range n.cfg.Seeds {
		if addr == n.cfg.Self.Addr {
			continue
		}
		if at, isEmpty := n.emptySeeds[addr]; !isEmpty || n.now-at > emptySeedTTL {
			areAllEmpty = false
		}
		n.askSeed(addr)
	}
	if !areAllEmpty {
		return
	}
	if err := n.log.Bootstrap(n.cfg.BootstrapID); err != nil {
		n.ready.Events = append(n.ready.Events, Event{Message: "bootstrap failed", Detail: err.Error()})
		return
	}
	n.ready.Events = append(n.ready.Events, Event{Message: "bootstrapped", Detail: n.cfg.BootstrapID})
}

// askSeed asks the members that are alive at a seed's address whether they know of a fleet.
func (n *Node) askSeed(addr string) {
	for _, peer := range n.peers {
		if peer.Alive && peer.Addr == addr {
			n.send(Packet{To: peer.ID, PollRequest: &PollRequest{}})
		}
	}
}
