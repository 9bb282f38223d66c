package balancer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/discovery"
	"sabletally/internal/protocol"
	"sabletally/policy"
)

// freshListTimeout is how long the current endpoint list is waited for before the one that is known is used.
const freshListTimeout = 250 * time.Millisecond

// upstream is what the loop knows of one server.
type upstream struct {
	id         policy.EndpointID
	address    string
	state      policy.EndpointState
	listed     discovery.Endpoint // the newest entry of the endpoint list
	probeTimes probeTimes
	// speedStep is the speed of the server's machine, in steps above the median machine.
	speedStep int
	// reportedSlow is set if the newest latency that was reported to the policy was a slow one.
	reportedSlow bool
}

// FollowDiscovery follows the endpoint list at an address, in place of the previous one. Lists that the previous watch still
// delivers are ignored, so that none replaces a newer one.
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
	if isFirst { // another discovery numbers its lists by itself
		watch.StartFrom(l.initialList)
		l.initialList = discovery.List{}
	}
	ctx, l.stopWatch = context.WithCancel(ctx)
	l.watch = watch
	if isFirst {
		l.requestFreshList()
	}
	go watch.Run(ctx)
}

// applyList applies an endpoint list. isInitial marks a list that is not from discovery but from before.
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

// applyEntry applies a server's entry in the endpoint list and describes the server to the policy.
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
	if server.listed != entry {
		l.log.Info("listed",
			zap.String("server", entry.UID),
			zap.String("address", entry.Address),
			zap.Uint8("state", uint8(entry.State)),
			zap.Time("boot", entry.StartedAt))
	}
	if !server.listed.StartedAt.Equal(entry.StartedAt) { // another process, possibly on another machine
		server.probeTimes = probeTimes{}
		server.speedStep = 0
	}
	server.state = entry.State
	server.listed = entry
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

// removeUnlisted marks the servers that a complete list does not name.
func (l *Loop) removeUnlisted(listed map[policy.EndpointID]bool) {
	for id, server := range l.servers {
		if !listed[id] {
			server.state = policy.Removed
			server.listed = discovery.Endpoint{}
		}
	}
}

// listReceived notes that discovery has answered, and goes on with what waited for that.
func (l *Loop) listReceived(list discovery.List) {
	l.log.Debug("list",
		zap.Uint64("rev", list.Revision),
		zap.Bool("whole", list.Complete),
		zap.Int("entries", len(list.Endpoints)))
	l.Lists.Add(1)
	l.saveList(list.Revision)
	l.freshListDeadline = l.now
	l.runDeferred()
	if !l.hasCurrentList {
		l.hasCurrentList = true
		l.markReady()
	}
}

// requestFreshList asks discovery for its list anew, after a start or after the process was stopped. For a short while no request is
// sent to a server before the list has arrived: the server may be draining by now. Where discovery is polled there is no such wait.
func (l *Loop) requestFreshList() {
	if l.watch == nil || l.deployment.PollEndpointList {
		return
	}
	l.watch.Refresh()
	l.freshListDeadline = l.now + freshListTimeout
	l.after(freshListTimeout, l.runDeferred)
}

// deferUntilFresh reports whether a fresh list is waited for; if so it runs the function once that is over.
func (l *Loop) deferUntilFresh(run func()) bool {
	if l.now >= l.freshListDeadline {
		return false
	}
	l.deferred = append(l.deferred, run)
	return true
}

// runDeferred runs what was deferred, unless a fresh list is waited for again.
func (l *Loop) runDeferred() {
	if l.now < l.freshListDeadline {
		return
	}
	deferred := l.deferred
	l.deferred = nil
	for _, run := range deferred {
		l.recoverPanics(nil, run)
	}
}

func (l *Loop) discoveryFailed(err error) {
	l.ListErrors.Add(1)
	l.log.Warn("no list", zap.Error(err))
}
