package balancer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/discovery"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// This file follows the endpoint list of discovery and keeps the table of servers.

// freshListTimeout is how long requests wait for a fresh endpoint list before the known list is used.
const freshListTimeout = 250 * time.Millisecond

// upstream is the loop's state of one server.
type upstream struct {
	id         policy.EndpointID
	address    string
	state      policy.EndpointState
	entry      discovery.Endpoint // newest entry of the server in the endpoint list
	probeTimes probeTimes
	// speedStep is the speed of the server's machine relative to the median machine, in steps of 1/stepsPerDoubling of a doubling.
	speedStep int
	// reportedSlow is set if the newest latency that was reported to the policy was above the slow threshold.
	reportedSlow bool
}

// FollowDiscovery starts to follow the endpoint list at address and stops following the previous one. Lists that the previous watch
// still delivers are ignored, so that none replaces a newer one.
func (l *Loop) FollowDiscovery(ctx context.Context, address string) {
	l.post(event{run: func() { l.watchDiscovery(ctx, address) }})
}

func (l *Loop) watchDiscovery(ctx context.Context, address string) {
	isFirst := l.stopWatch == nil
	if !isFirst {
		l.stopWatch()
	}
	var watch *discovery.Watch
	postIfWatched := func(run func()) {
		l.post(event{run: func() {
			if l.watch == watch {
				run()
			}
		}})
	}
	watch = discovery.New(address, l.deployment.Policy.Balancers, l.deployment.PollEndpointList,
		func(list discovery.List) { postIfWatched(func() { l.applyList(list, false) }) },
		func(err error) { postIfWatched(func() { l.discoveryFailed(err) }) })
	if isFirst { // the revisions of another discovery service are not comparable with those of the initial list
		watch.StartFrom(l.initialList)
		l.listPosition = listPosition{address: address}
		if l.initialList.Complete {
			l.listPosition.revision = l.initialList.Revision
		}
		l.initialList = discovery.List{}
	}
	l.discoveryAddress = address
	ctx, l.stopWatch = context.WithCancel(ctx)
	l.watch = watch
	if isFirst {
		l.requestFreshList()
	}
	go watch.Run(ctx)
}

// applyList applies an endpoint list. isInitial is set for a list that does not come from discovery now, but was known before.
func (l *Loop) applyList(list discovery.List, isInitial bool) {
	listed := map[policy.EndpointID]bool{}
	endpoints := make([]policy.Endpoint, 0, len(list.Endpoints))
	for _, entry := range list.Endpoints {
		endpoint := l.applyEntry(entry)
		listed[endpoint.ID] = true
		endpoints = append(endpoints, endpoint)
	}
	if list.Complete {
		l.removeUnlisted(listed)
	}
	l.policy.UpdateEndpoints(endpoints, list.Complete || isInitial)
	if !isInitial {
		l.listReceived(list)
	}
}

// applyEntry applies a server's entry in the endpoint list and returns the server's description for the policy.
func (l *Loop) applyEntry(entry discovery.Endpoint) policy.Endpoint {
	id := policy.EndpointID(protocol.Hash(entry.UID))
	server := l.servers[id]
	if server == nil {
		server = &upstream{id: id}
		l.servers[id] = server
		l.serversByUID[entry.UID] = server
	}
	if entry.Address != "" {
		server.address = entry.Address
	}
	if server.entry != entry {
		l.log.Info("endpoint updated",
			zap.String("server", entry.UID),
			zap.String("address", entry.Address),
			zap.Uint8("state", uint8(entry.State)),
			zap.Time("boot", entry.StartedAt))
	}
	if !server.entry.StartedAt.Equal(entry.StartedAt) { // the server was restarted, possibly on another machine
		server.probeTimes = probeTimes{}
		server.speedStep = 0
	}
	server.state = entry.State
	server.entry = entry
	zone, known := l.deployment.Zones[entry.Zone]
	if !known {
		zone = len(l.deployment.Zones)
	}
	startedAt := policy.StartedLongAgo
	if !entry.StartedAt.IsZero() {
		startedAt = entry.StartedAt.Sub(l.startTime)
	}
	return policy.Endpoint{
		ID:            id,
		Zone:          zone,
		FailureDomain: entry.FailureDomain,
		MachineType:   protocol.Hash(entry.MachineType),
		State:         entry.State,
		Weight:        server.weight(),
		StartedAt:     startedAt,
	}
}

// removeUnlisted marks the servers that are missing from a complete list as removed.
func (l *Loop) removeUnlisted(listed map[policy.EndpointID]bool) {
	for id, server := range l.servers {
		if !listed[id] {
			server.state = policy.Removed
			server.entry = discovery.Endpoint{}
		}
	}
}

// listReceived saves a list from discovery in the fleet, calls the functions that waited for it, and marks the balancer ready.
func (l *Loop) listReceived(list discovery.List) {
	l.log.Debug("endpoint list received",
		zap.Uint64("rev", list.Revision),
		zap.Bool("whole", list.Complete),
		zap.Int("entries", len(list.Endpoints)))
	l.Lists.Add(1)
	position := listPosition{address: l.discoveryAddress, revision: list.Revision}
	isNew := position != l.listPosition
	l.listPosition = position
	if l.handover != nil && l.handover.successor != nil && isNew {
		l.sendList(l.handover.successor, list)
	}
	l.saveList()
	l.freshListDeadline = l.now
	l.runDeferred()
	if !l.hasCurrentList {
		l.hasCurrentList = true
		l.markReady()
	}
}

// requestFreshList asks discovery for its current list, after a start or after a stall of the process. Until the list arrives, but no
// longer than freshListTimeout, no request is sent to a server, as the server may be draining by now. If discovery is polled,
// requests do not wait.
func (l *Loop) requestFreshList() {
	if l.watch == nil || l.deployment.PollEndpointList {
		return
	}
	l.watch.Refresh()
	l.freshListDeadline = l.now + freshListTimeout
	l.after(freshListTimeout, l.runDeferred)
}

// deferUntilFresh reports whether requests have to wait for a fresh endpoint list. If so, run is called once the wait is over.
func (l *Loop) deferUntilFresh(run func()) bool {
	if l.now >= l.freshListDeadline {
		return false
	}
	l.deferredRequests = append(l.deferredRequests, run)
	return true
}

// runDeferred calls the deferred functions, unless requests have to wait for another fresh list.
func (l *Loop) runDeferred() {
	if l.now < l.freshListDeadline {
		return
	}
	deferred := l.deferredRequests
	l.deferredRequests = nil
	for _, run := range deferred {
		l.recoverPanics(nil, run)
	}
}

// discoveryFailed counts and logs a failed request to discovery.
func (l *Loop) discoveryFailed(err error) {
	l.ListErrors.Add(1)
	l.log.Warn("endpoint list request failed", zap.Error(err))
}
