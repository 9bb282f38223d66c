package feedsim

import (
	"fmt"

	"sabletally/internal/fleet/changefeed"
)

// startPublisher starts a process of a publisher, with the state on its disk or with a lost disk.
func (w *World) startPublisher(pub *publisher) {
	old := pub.log
	pub.log = changefeed.NewLog(changefeed.LogConfig{MaxChanges: 100, MaxBytes: 256 << 10})
	if old != nil && w.rng.IntN(3) > 0 { // the disk has the state, but not the changes that led to it
		if err := pub.log.Install(*old.Snapshot()); err != nil {
			w.fail(UnexpectedFailure, "publisher %d does not start: %v", pub.index, err)
		}
	}
	pub.incarnation++
	pub.up, pub.machineOff, pub.stalledUntil, pub.deferred, pub.conns, pub.startedAt, pub.unreachableAt = true, false, 0, nil, map[uint64]*conn{}, w.now, w.now
	pub.core = changefeed.NewPublisher(changefeed.PublisherConfig{ID: pub.addr, MaxSubscribers: 4 * w.plan.Subscribers, WindowBytes: maxUnackedBytes, SnapshotBytesPerSecond: snapshotBytesPerSecond, Seed: w.plan.Seed<<16 ^ uint64(pub.index)<<8 ^ pub.incarnation},
		pub.log, w.clock(&pub.process))
}

// startSubscriber starts a process of a subscriber, without any state.
func (w *World) startSubscriber(sub *subscriber) {
	sub.starts++
	sub.incarnation++
	var seeds []string
	for i := range 5 {
		seeds = append(seeds, w.publishers[(sub.index*7+i*3)%len(w.publishers)].addr)
	}
	sub.up, sub.machineOff, sub.stalledUntil, sub.deferred, sub.conns, sub.startedAt, sub.unreachableAt = true, false, 0, nil, map[string]*conn{}, w.now, w.now
	sub.applied = newAppliedState()
	sub.core = changefeed.NewSubscriber(changefeed.SubscriberConfig{ID: fmt.Sprintf("b%d", sub.index), Incarnation: sub.starts, Zone: fmt.Sprintf("z%d", sub.zone), Site: fmt.Sprintf("s%d", sub.region),
		Seeds: seeds, Seed: w.plan.Seed<<20 ^ uint64(sub.index)<<4 ^ sub.incarnation}, w.clock(&sub.process))
}

// runOrDefer runs an action of a process now, or, if the process is stalled, once it runs again.
func (w *World) runOrDefer(n *process, action func()) {
	if n.stalledUntil > w.now || len(n.deferred) > 0 {
		n.deferred = append(n.deferred, action)
		return
	}
	action()
}

// runDeferred runs a tick of a process and the actions that were deferred while it was stalled, in a random order of the two.
func (w *World) runDeferred(n *process, tick func()) {
	waiting := n.deferred
	n.deferred = nil
	deferredFirst := len(waiting) > 0 && w.rng.IntN(2) == 0
	if !deferredFirst {
		tick()
	}
	incarnation := n.incarnation
	for _, action := range waiting {
		if n.up && n.incarnation == incarnation {
			action()
		}
	}
	if deferredFirst && n.up && n.incarnation == incarnation {
		tick()
	}
}

// tickPublisher runs a tick of a publisher's core and schedules the next one.
func (w *World) tickPublisher(pub *publisher) {
	w.after(heartbeatInterval, func() { w.tickPublisher(pub) })
	if !pub.up || pub.stalledUntil > w.now {
		return
	}
	w.runDeferred(&pub.process, func() {
		pub.core.Tick(w.clock(&pub.process))
		w.handlePublisherOutput(pub)
	})
}

// tickSubscriber runs a tick of a subscriber's core and schedules the next one.
func (w *World) tickSubscriber(sub *subscriber) {
	w.after(heartbeatInterval, func() { w.tickSubscriber(sub) })
	if !sub.up || sub.stalledUntil > w.now {
		return
	}
	w.checkCurrent(sub) // what a subscriber reports after a stall must be right even before its tick
	w.runDeferred(&sub.process, func() {
		sub.core.Tick(w.clock(&sub.process))
		w.handleSubscriberOutput(sub)
	})
	w.checkCurrent(sub)
}

// handlePublisherOutput carries out what a publisher's core asks for.
func (w *World) handlePublisherOutput(pub *publisher) {
	out := pub.core.Ready()
	for _, s := range out.Sends {
		if c := pub.conns[s.Conn]; c != nil {
			switch {
			case s.Message.Content.Snapshot != nil:
				w.Snapshots++
			case s.Message.Content.Change != nil:
				w.Changes++
			}
			w.send(c, toSubscriber, &s.Message.Content)
		}
	}
	for _, num := range out.CloseConns {
		if c := pub.conns[num]; c != nil {
			delete(pub.conns, num)
			c.publisherOpen = false
			w.send(c, toSubscriber, nil)
		}
	}
}

// handleSubscriberOutput carries out what a subscriber's core asks for, and checks its updates and events.
func (w *World) handleSubscriberOutput(sub *subscriber) {
	out := sub.core.Ready()
	for _, update := range out.Updates {
		w.recordUpdate(sub, update)
	}
	for _, event := range out.Events {
		if event.IsAlert() {
			w.fail(UnexpectedFailure, "subscriber %d: %v", sub.index, event)
		}
	}
	for _, s := range out.Sends {
		if c := sub.conns[s.Addr]; c != nil {
			w.send(c, toPublisher, &s.Message)
		}
	}
	for _, addr := range out.CloseAddrs {
		if c := sub.conns[addr]; c != nil {
			delete(sub.conns, addr)
			c.subscriberOpen = false
			w.send(c, toPublisher, nil)
		}
	}
	for _, addr := range out.DialAddrs {
		w.dial(sub, addr)
	}
}
