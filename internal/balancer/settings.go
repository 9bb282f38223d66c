// This file owns what settings hold and the link to the other balancers: how new ones take the old ones' place in a
// running loop, whole or not at all. It must never touch a circuit's connections or decide for it.

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

// withProbeReports is what the module goes by here: where servers report no load a probe's time tells of it, which is a
// report all the same.
func withProbeReports(dep *deployment.Settings) *policy.Config {
	p := *dep.Policy
	p.HasLoadReports = p.CanHealthCheck
	return &p
}

// applySettings has a deployment hold for the loop itself.
func (l *Loop) applySettings(dep *deployment.Settings) {
	l.deployment, l.messageObjective = dep, 0
	for _, g := range dep.Policy.Classes {
		if g.MessageObjective > 0 && (l.messageObjective == 0 || g.MessageObjective < l.messageObjective) {
			l.messageObjective = g.MessageObjective
		}
	}
}

// Reconfigure has new settings and other peers hold, in one turn of the loop. What is taken in stays: circuits that
// wait, tries that are out and what stands go on under the rules that they were taken by, also where their grade is gone;
// a first line that the loop has not read yet is taken by the new ones. It waits for that turn, so the loop must run. An
// error means that all is as before.
func (l *Loop) Reconfigure(dep *deployment.Settings, at deployment.GossipAddresses) error {
	was, known := l.openedGossip, []netip.AddrPort(nil)
	if was != nil {
		known = was.Peers()
	}
	link, err := l.openGossip(dep, at)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	l.post(event{run: func() {
		err := errPanic // a panic here is the loop's to catch; guards against a caller that waits for ever
		defer func() { done <- err }()
		if err = l.checkReplaceable(dep); err != nil {
			return
		}
		err = errPanic
		grades, tenants := mapIndices(l.deployment.Classes, dep.Classes), mapIndices(l.deployment.Tenants, dep.Tenants)
		for _, cir := range l.sessions {
			cir.arrival.Class = policy.RemapIndex(grades, cir.arrival.Class, len(dep.Classes))
			cir.arrival.Tenant = policy.RemapIndex(tenants, cir.arrival.Tenant, len(dep.Tenants))
		}
		l.applySettings(dep)
		l.policy.Reconfigure(withProbeReports(dep), grades, tenants)
		if l.gossip != nil && l.gossip != link {
			l.gossip.Close()
		}
		l.gossip = link
		// The list again: its zones have other numbers now.
		again := discovery.List{Whole: true}
		for _, sv := range l.servers {
			if sv.state != policy.Removed {
				again.Servers = append(again.Servers, sv.listed)
			}
		}
		slices.SortFunc(again.Servers, func(x, y discovery.Server) int { return cmp.Compare(x.UID, y.UID) })
		l.applyList(again, true)
		l.log.Info("settings", zap.Int("held", len(l.sessions)), zap.Int("open", l.openSessions), zap.Bool("told", link != nil))
		err = nil
	}})
	if err = <-done; err != nil {
		if l.openedGossip = was; link != was && link != nil {
			link.Close()
		} else if link != nil {
			link.SetPeers(known)
		}
	}
	return err
}

// checkReplaceable tells why new settings can't hold while what there is stands: nil where they can.
func (l *Loop) checkReplaceable(dep *deployment.Settings) error {
	for _, sv := range l.servers {
		zone := sv.listed.Zone
		_, was := l.deployment.Zones[zone]
		if _, stays := dep.Zones[zone]; sv.state != policy.Removed && was && !stays {
			return fmt.Errorf("settings.Areas: %q is gone, and servers stand there", zone)
		}
	}
	return nil
}

// openGossip opens the link to the other balancers, or takes the one that there is where it listens at the same address.
// It is called by one goroutine, which is not the loop's.
func (l *Loop) openGossip(dep *deployment.Settings, at deployment.GossipAddresses) (*loadgossip.Transport, error) {
	if !dep.Policy.CanGossip {
		l.openedGossip = nil
		return nil, nil
	}
	if l.openedGossip != nil && l.openedGossip.Addr() == at.Listen {
		l.openedGossip.SetPeers(at.Peers)
		return l.openedGossip, nil
	}
	var link *loadgossip.Transport
	ready := make(chan struct{})
	counts := &loadgossip.Counters{Sent: &l.GossipSent, Received: &l.GossipReceived, Dropped: &l.GossipDropped}
	link, err := loadgossip.Listen(at.Listen, l.sharesListener, at.Peers, counts, func(from int, t policy.GossipMessage, done func()) {
		<-ready
		l.post(event{run: func() {
			if done(); l.gossip == link {
				l.policy.ReceiveGossip(from, t)
			}
		}})
	})
	close(ready)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	l.openedGossip = link
	return link, nil
}

// mapIndices tells the new place of each old name, -1 for one that is gone.
func mapIndices(was, now map[string]int) []int {
	all := make([]int, len(was))
	for name, i := range was {
		all[i] = -1
		if j, stays := now[name]; stays {
			all[i] = j
		}
	}
	return all
}
