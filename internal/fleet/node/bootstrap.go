package node

import "time"

// This file bootstraps a new fleet, once for all members: at the first seed.

const (
	bootstrapInterval = 500 * time.Millisecond // time between two attempts to bootstrap
	emptySeedTTL      = 2 * time.Second        // time for which a seed's response that it knows no fleet is valid
)

// tryBootstrap bootstraps a fleet, only at the first seed and only while all other seeds respond that they know no fleet. In this way a
// first seed that lost its disk finds the existing fleet; a second fleet would hide the records of the first.
func (n *Node) tryBootstrap() {
	if !n.cfg.CanBootstrap || n.agreedState.state.FleetID != "" || n.now < n.nextBootstrapAt {
		return
	}
	n.nextBootstrapAt = n.now + bootstrapInterval
	allSeedsEmpty := true
	for _, addr := range n.cfg.Seeds {
		if addr == n.cfg.Self.Addr {
			continue
		}
		if at, isEmpty := n.emptySeeds[addr]; !isEmpty || n.now-at > emptySeedTTL {
			allSeedsEmpty = false
		}
		n.pollSeed(addr)
	}
	if !allSeedsEmpty {
		return
	}
	if err := n.log.Bootstrap(n.cfg.BootstrapID); err != nil {
		n.ready.Events = append(n.ready.Events, Event{Message: "bootstrap failed", Detail: err.Error()})
		return
	}
	n.ready.Events = append(n.ready.Events, Event{Message: "bootstrapped", Detail: n.cfg.BootstrapID})
}

// pollSeed asks the members that are alive at a seed's address whether they know a fleet.
func (n *Node) pollSeed(addr string) {
	for _, peer := range n.peers {
		if peer.Alive && peer.Addr == addr {
			n.send(Packet{To: peer.ID, PollRequest: &PollRequest{}})
		}
	}
}
