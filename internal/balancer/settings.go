package balancer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/loadgossip"
	"sabletally/policy"
)

// This file replaces the settings of a running loop, completely or not at all.

// withProbeReports returns the policy's configuration, in which load reports are enabled whenever servers can be probed: if servers
// report no load, it is estimated from the probe times.
func withProbeReports(settings *deployment.Settings) *policy.Config {
	config := *settings.Policy
	config.HasLoadReports = config.CanHealthCheck
	return &config
}

// applySettings applies settings to the loop itself.
func (l *Loop) applySettings(settings *deployment.Settings) {
	l.deployment = settings
	l.messageObjective = 0
	for _, class := range settings.Policy.Classes {
		objective := class.MessageObjective
		if objective > 0 && (l.messageObjective == 0 || objective < l.messageObjective) {
			l.messageObjective = objective
		}
	}
}

// Reconfigure applies new settings and gossip addresses in one iteration of the loop, which must be running, and waits for it. Admitted
// sessions continue under the settings under which they were admitted, even if their class has been removed. After an error all
// settings are as before. Reconfigure is not safe for concurrent use.
func (l *Loop) Reconfigure(settings *deployment.Settings, addresses deployment.GossipAddresses) error {
	previous := l.openedGossip
	var previousPeers []netip.AddrPort
	if previous != nil {
		previousPeers = previous.Peers()
	}
	transport, err := l.openGossip(settings, addresses)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	l.post(event{run: func() {
		err := errPanic // result if replaceSettings panics
		defer func() { done <- err }()
		err = l.replaceSettings(settings, transport)
	}})
	err = <-done
	if err == nil {
		return nil
	}
	l.openedGossip = previous
	switch {
	case transport == nil:
	case transport != previous:
		transport.Close()
	default:
		transport.SetPeers(previousPeers)
	}
	return err
}

// replaceSettings applies new settings and the gossip transport in the loop.
func (l *Loop) replaceSettings(settings *deployment.Settings, transport *loadgossip.Transport) error {
	if err := l.checkReplaceable(settings); err != nil {
		return err
	}
	classes := mapIndices(l.deployment.Classes, settings.Classes)
	tenants := mapIndices(l.deployment.Tenants, settings.Tenants)
	for _, session := range l.sessions {
		session.policyRequest.Class = policy.RemapIndex(classes, session.policyRequest.Class, len(settings.Classes))
		session.policyRequest.Tenant = policy.RemapIndex(tenants, session.policyRequest.Tenant, len(settings.Tenants))
	}
	l.applySettings(settings)
	l.policy.Reconfigure(withProbeReports(settings), classes, tenants)
	if l.gossip != nil && l.gossip != transport {
		l.gossip.Close()
	}
	l.gossip = transport
	l.applyList(l.currentList(), true) // the indices of zones may have changed
	l.log.Info("settings applied",
		zap.Int("held", len(l.sessions)),
		zap.Int("open", l.openSessions),
		zap.Bool("told", transport != nil))
	return nil
}

// currentList returns the servers that are currently listed, sorted by UID.
func (l *Loop) currentList() discovery.List {
	list := discovery.List{Complete: true}
	for _, server := range l.servers {
		if server.state != policy.Removed {
			list.Endpoints = append(list.Endpoints, server.entry)
		}
	}
	slices.SortFunc(list.Endpoints, func(a, b discovery.Endpoint) int { return cmp.Compare(a.UID, b.UID) })
	return list
}

// checkReplaceable returns an error if the new settings can't be applied, as a listed server is in a zone that they lack.
func (l *Loop) checkReplaceable(settings *deployment.Settings) error {
	for _, server := range l.servers {
		if server.state == policy.Removed {
			continue
		}
		zone := server.entry.Zone
		_, wasKnown := l.deployment.Zones[zone]
		_, isKnown := settings.Zones[zone]
		if wasKnown && !isKnown {
			return fmt.Errorf("settings.Areas: %q is removed, but servers are listed in it", zone)
		}
	}
	return nil
}

// openGossip opens the gossip transport to the other balancers, or returns the current one if it listens on the same address.
func (l *Loop) openGossip(settings *deployment.Settings, addresses deployment.GossipAddresses) (*loadgossip.Transport, error) {
	if !settings.Policy.CanGossip {
		l.openedGossip = nil
		return nil, nil
	}
	if l.openedGossip != nil && l.openedGossip.Addr() == addresses.Listen {
		l.openedGossip.SetPeers(addresses.Peers)
		return l.openedGossip, nil
	}
	var transport *loadgossip.Transport
	opened := make(chan struct{})
	receive := func(from int, message policy.GossipMessage, done func()) {
		<-opened
		l.post(event{run: func() {
			done()
			if l.gossip == transport {
				l.policy.ReceiveGossip(from, message)
			}
		}})
	}
	counters := &loadgossip.Counters{Sent: &l.GossipSent, Received: &l.GossipReceived, Dropped: &l.GossipDropped}
	transport, err := loadgossip.Listen(addresses.Listen, l.sharesListener, addresses.Peers, counters, receive)
	close(opened)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	l.openedGossip = transport
	return transport, nil
}

// mapIndices maps the previous index of each name to its current one, or to -1 if the name was removed.
func mapIndices(previous, current map[string]int) []int {
	indices := make([]int, len(previous))
	for name, i := range previous {
		indices[i] = -1
		if j, exists := current[name]; exists {
			indices[i] = j
		}
	}
	return indices
}
