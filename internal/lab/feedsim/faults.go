package feedsim

import (
	"math"
	"slices"
	"time"
)

// killPublisher kills a publisher, in a third of the cases with its machine, and starts it again after a while.
func (w *World) killPublisher(pub *publisher, downtime time.Duration) {
	if !pub.up {
		return
	}
	w.Kills++
	w.endPublisher(pub, w.rng.IntN(3) == 0)
	incarnation := pub.incarnation
	w.after(downtime, func() {
		if !pub.up && pub.incarnation == incarnation {
			w.startPublisher(pub)
		}
	})
}

// endPublisher ends a publisher's process. The kernel closes its connections, unless the machine is lost too: then the
// subscribers are not notified.
func (w *World) endPublisher(pub *publisher, machineLost bool) {
	pub.up, pub.machineOff = false, machineLost
	for _, num := range sortedNumbers(pub.conns) {
		c := pub.conns[num]
		c.publisherOpen = false
		if !machineLost {
			w.send(c, toSubscriber, nil)
		}
	}
}

// sortedNumbers returns the numbers of connections in ascending order: a history must not depend on the order of a map.
func sortedNumbers(m map[uint64]*conn) []uint64 {
	all := make([]uint64, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// killSubscriber ends a subscriber's process, in some cases as planned or with its machine, and starts it again after a while.
func (w *World) killSubscriber(sub *subscriber, downtime time.Duration) {
	if !sub.up {
		return
	}
	w.Kills++
	if w.rng.IntN(2) == 0 && w.isRunning(&sub.process) { // a planned restart
		sub.core.Disconnect()
		w.handleSubscriberOutput(sub)
	}
	sub.up, sub.machineOff = false, w.rng.IntN(3) == 0
	addrs := make([]string, 0, len(sub.conns))
	for a := range sub.conns {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	for _, a := range addrs {
		c := sub.conns[a]
		c.subscriberOpen = false
		if !sub.machineOff {
			w.send(c, toPublisher, nil)
		}
	}
	w.addCounters(sub)
	incarnation := sub.incarnation
	w.after(downtime, func() {
		if !sub.up && sub.incarnation == incarnation {
			w.startSubscriber(sub)
		}
	})
}

// cutNetwork cuts the network for a while. It replaces an earlier cut.
func (w *World) cutNetwork(duration time.Duration, cut func(from, to *process) bool) {
	w.NetworkCuts++
	w.cutActive, w.isCut = true, cut
	number := w.NetworkCuts
	w.after(duration, func() {
		if w.NetworkCuts == number {
			w.cutActive, w.isCut = false, func(*process, *process) bool { return false }
			w.releaseHeld()
		}
	})
}

// drawCut draws a cut between the processes of a group and all others: in both directions, or in one of them.
func (w *World) drawCut(isInGroup func(*process) bool) func(from, to *process) bool {
	direction := w.rng.IntN(3)
	return func(from, to *process) bool {
		a, b := isInGroup(from), isInGroup(to)
		return a != b && (direction == 0 || direction == 1 && a || direction == 2 && b)
	}
}

// injectFault injects a random fault and schedules the next one.
func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Faults*float64(time.Second)), w.injectFault)
	pub := w.publishers[w.rng.IntN(len(w.publishers))]
	sub := w.subscribers[w.rng.IntN(len(w.subscribers))]
	duration := w.randomDuration(10 * time.Second)
	count := max(1, len(w.subscribers)/100)
	switch w.rng.IntN(12) {
	case 0: // a publisher is killed
		w.killPublisher(pub, duration)
	case 1: // one subscriber in a hundred restarts
		for range count {
			w.killSubscriber(w.subscribers[w.rng.IntN(len(w.subscribers))], w.randomDuration(5*time.Second))
		}
	case 2: // a publisher stalls
		if w.isRunning(&pub.process) {
			w.Stalls++
			pub.stalledUntil = w.now + duration
		}
	case 3: // one subscriber in a hundred stalls
		for range count {
			if sub := w.subscribers[w.rng.IntN(len(w.subscribers))]; w.isRunning(&sub.process) {
				w.Stalls++
				sub.stalledUntil = w.now + w.randomDuration(10*time.Second)
			}
		}
	case 4: // a random group of processes is cut off
		group := w.rng.Uint64()
		w.cutNetwork(duration, w.drawCut(func(n *process) bool { return group>>(n.index%61)&1 == 1 }))
	case 5: // a single publisher or subscriber is cut off
		index := pub.index
		if w.rng.IntN(2) == 0 {
			index = sub.index
		}
		w.cutNetwork(duration, w.drawCut(func(n *process) bool { return n.index == index }))
	case 6: // a region is cut off
		region := w.rng.IntN(w.plan.Regions)
		w.cutNetwork(duration, w.drawCut(func(n *process) bool { return n.region == region }))
	case 7: // a zone is cut off
		zone := w.rng.IntN(w.plan.Zones)
		w.cutNetwork(duration, w.drawCut(func(n *process) bool { return n.zone == zone }))
	case 8: // messages are lost and duplicated
		w.loss = w.plan.Loss
		w.after(duration, func() { w.loss = 0 })
	case 9: // connections of one subscriber in a hundred are reset
		for range count {
			sub := w.subscribers[w.rng.IntN(len(w.subscribers))]
			for _, pub := range w.publishers {
				if c := sub.conns[pub.addr]; c != nil && w.rng.IntN(2) == 0 {
					w.reset(c)
				}
			}
		}
	case 10: // all publishers restart at once
		if w.rng.IntN(3) == 0 {
			w.FullRestarts++
			planned := w.rng.IntN(2) == 0
			for _, pub := range w.publishers {
				if planned && w.isRunning(&pub.process) {
					pub.core.Drain()
					w.handlePublisherOutput(pub)
				}
				w.killPublisher(pub, w.randomDuration(3*time.Second))
			}
		}
	case 11: // a publisher drains and ends
		if w.isRunning(&pub.process) {
			pub.core.Drain()
			w.handlePublisherOutput(pub)
			w.killPublisher(pub, duration)
		}
	}
}

// deadlineOf returns the time by which a version has to be in force.
func deadlineOf(v version) time.Duration {
	return min(v.at, math.MaxInt64-inForceDeadline) + inForceDeadline
}
