package feedsim

import (
	"math"
	"slices"
	"time"
)

func (w *World) killPublisher(pub *publisher, span time.Duration) {
	if !pub.up {
		return
	}
	w.Kills++
	w.endPublisher(pub, w.rng.IntN(3) == 0)
	born := pub.incarnation
	w.after(span, func() {
		if !pub.up && pub.incarnation == born {
			w.startPublisher(pub)
		}
	})
}

func (w *World) endPublisher(pub *publisher, dark bool) {
	pub.up, pub.machineOff = false, dark
	for _, num := range sorted(pub.conns) {
		c := pub.conns[num]
		c.publisherOpen = false
		if !dark {
			w.send(c, toSubscriber, nil)
		}
	}
}

func sorted(m map[uint64]*conn) []uint64 {
	all := make([]uint64, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (w *World) killSubscriber(sub *subscriber, span time.Duration) {
	if !sub.up {
		return
	}
	w.Kills++
	if w.rng.IntN(2) == 0 && w.isRunning(&sub.process) { // a planned restart
		sub.core.Disconnect()
		w.drainSubscriber(sub)
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
	born := sub.incarnation
	w.after(span, func() {
		if !sub.up && sub.incarnation == born {
			w.startSubscriber(sub)
		}
	})
}

func (w *World) cutNetwork(span time.Duration, cut func(from, to *process) bool) {
	w.Cuts++
	w.cutActive, w.isCut = true, cut
	mine := w.Cuts
	w.after(span, func() {
		if w.Cuts == mine {
			w.cutActive, w.isCut = false, func(*process, *process) bool { return false }
			w.releaseHeld()
		}
	})
}

// cutOneWay returns a cut between the processes in a set and all others: in both directions, or in one of them.
func (w *World) cutOneWay(in func(*process) bool) func(from, to *process) bool {
	way := w.rng.IntN(3)
	return func(from, to *process) bool {
		a, b := in(from), in(to)
		return a != b && (way == 0 || way == 1 && a || way == 2 && b)
	}
}

func (w *World) injectFault() {
	if w.faultsOver {
		return
	}
	w.after(time.Duration(w.rng.ExpFloat64()/w.plan.Faults*float64(time.Second)), w.injectFault)
	pub := w.publishers[w.rng.IntN(len(w.publishers))]
	sub := w.subscribers[w.rng.IntN(len(w.subscribers))]
	span := w.chance(10 * time.Second)
	part := max(1, len(w.subscribers)/100)
	switch w.rng.IntN(12) {
	case 0:
		w.killPublisher(pub, span)
	case 1: // some subscribers restart
		for range part {
			w.killSubscriber(w.subscribers[w.rng.IntN(len(w.subscribers))], w.chance(5*time.Second))
		}
	case 2:
		if w.isRunning(&pub.process) {
			w.Stalls++
			pub.stalledUntil = w.now + span
		}
	case 3:
		for range part {
			if sub := w.subscribers[w.rng.IntN(len(w.subscribers))]; w.isRunning(&sub.process) {
				w.Stalls++
				sub.stalledUntil = w.now + w.chance(10*time.Second)
			}
		}
	case 4: // a random group
		in := w.rng.Uint64()
		w.cutNetwork(span, w.cutOneWay(func(n *process) bool { return in>>(n.index%61)&1 == 1 }))
	case 5: // a single publisher or subscriber
		one := pub.index
		if w.rng.IntN(2) == 0 {
			one = sub.index
		}
		w.cutNetwork(span, w.cutOneWay(func(n *process) bool { return n.index == one }))
	case 6: // a region
		region := w.rng.IntN(w.plan.Regions)
		w.cutNetwork(span, w.cutOneWay(func(n *process) bool { return n.region == region }))
	case 7: // a zone
		zone := w.rng.IntN(w.plan.Zones)
		w.cutNetwork(span, w.cutOneWay(func(n *process) bool { return n.zone == zone }))
	case 8:
		w.loss = w.plan.Loss
		w.after(span, func() { w.loss = 0 })
	case 9: // connections are reset
		for range part {
			sub := w.subscribers[w.rng.IntN(len(w.subscribers))]
			for _, pub := range w.publishers {
				if c := sub.conns[pub.addr]; c != nil && w.rng.IntN(2) == 0 {
					w.reset(c)
				}
			}
		}
	case 10: // all publishers at once
		if w.rng.IntN(3) == 0 {
			w.Restarts++
			planned := w.rng.IntN(2) == 0
			for _, pub := range w.publishers {
				if planned && w.isRunning(&pub.process) {
					pub.core.Drain()
					w.drainPublisher(pub)
				}
				w.killPublisher(pub, w.chance(3*time.Second))
			}
		}
	case 11: // a publisher ends as planned
		if w.isRunning(&pub.process) {
			pub.core.Drain()
			w.drainPublisher(pub)
			w.killPublisher(pub, span)
		}
	}
}

// deadlineOf returns the time by which a version has to be in force.
func deadlineOf(a version) time.Duration {
	return min(a.at, math.MaxInt64-inForceDeadline) + inForceDeadline
}
