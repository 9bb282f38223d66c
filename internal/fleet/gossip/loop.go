package gossip

import (
	"net"
	"net/netip"
	"time"

	"sabletally/internal/fleet/membership"
)

// run advances the table at each heartbeat and event until the agent is closed. Its goroutine alone uses the table.
func (a *Agent) run() {
	defer a.goroutines.Done()
	heartbeat := time.NewTicker(membership.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-a.wake:
		case <-heartbeat.C:
		}
		a.runOnce()
	}
}

// enqueue queues an event for the table. It never blocks, as the library calls it with locks held.
func (a *Agent) enqueue(event func()) {
	a.mu.Lock()
	if len(a.events) < maxQueuedEvents {
		a.events = append(a.events, event)
	} else {
		a.overflowed = true
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// dequeue removes and returns all queued events, and whether events were dropped since the last call.
func (a *Agent) dequeue() (events []func(), overflowed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	events, overflowed = a.events, a.overflowed
	a.events = nil
	a.overflowed = false
	return events, overflowed
}

// runOnce advances the table, passes all queued events to it, executes its actions and publishes its view.
func (a *Agent) runOnce() {
	now := a.opt.Now()
	a.table.Tick(now)
	a.lastTickAt.Store(int64(now))
	events, overflowed := a.dequeue()
	for _, event := range events {
		event()
	}
	if overflowed {
		a.synchronize()
	}
	for action, more := a.table.NextAction(); more; action, more = a.table.NextAction() {
		a.execute(action)
	}
	a.publish()
}

// synchronize makes the table agree with the library after events were dropped: the library's members are alive, all others failed.
func (a *Agent) synchronize() {
	alive := map[string]bool{}
	for _, node := range a.memberlist.Members() {
		if m, err := decodeMember(node); err == nil {
			alive[m.ID] = true
			a.table.HandleAlive(m)
		}
	}
	for _, peer := range a.table.Peers() {
		if !alive[peer.ID] {
			a.table.HandleFailure(peer.ID)
		}
	}
}

// execute executes one action. A network request runs in its own goroutine, and its result becomes an event.
func (a *Agent) execute(action membership.Action) {
	switch action.Kind {
	case membership.Report:
		a.logEvent(action.Event)
	case membership.Join:
		a.executeAsync(func() func() {
			_, err := a.memberlist.Join([]string{action.Addr.String()})
			return func() { a.table.HandleJoinResult(action.Addr, err == nil) }
		})
	case membership.Ping:
		addr := a.addressOf(action.ID)
		a.executeAsync(func() func() {
			ok := a.ping(action.ID, addr)
			return func() { a.table.HandlePingResult(action.ID, ok) }
		})
	case membership.ProbeDuplicate:
		a.executeAsync(func() func() {
			isRunning := a.ping(a.opt.Self.ID, action.Addr)
			return func() { a.table.HandleProbeResult(action.Addr, isRunning) }
		})
	}
}

// executeAsync runs a request in its own goroutine and queues the event that the request returns as its result.
func (a *Agent) executeAsync(request func() func()) {
	a.goroutines.Add(1)
	go func() {
		defer a.goroutines.Done()
		a.enqueue(request())
	}()
}

// ping reports whether a process with the given member ID responds at an address.
func (a *Agent) ping(id string, addr netip.AddrPort) bool {
	_, err := a.memberlist.Ping(id, net.UDPAddrFromAddrPort(addr))
	return err == nil
}

// addressOf returns the address of a member; the zero value if the table has no such member.
func (a *Agent) addressOf(id string) netip.AddrPort {
	for _, peer := range a.table.Peers() {
		if peer.ID == id {
			return peer.Addr
		}
	}
	return netip.AddrPort{}
}
