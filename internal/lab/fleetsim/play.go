package fleetsim

import (
	"time"
)

const (
	startupTime = 12 * time.Second // time before the first fault, in which the fleet is bootstrapped
	settleTime  = 90 * time.Second // time without faults at the end of a history
)

// Play runs a history to its end and returns the first violation, nil if there was none.
func (w *World) Play() error {
	end := startupTime + w.plan.Length
	w.after(startupTime, w.injectFault)
	w.after(startupTime, w.runClient)
	w.after(end, func() {
		w.faultsOver, w.loss = true, 0
		w.isCut = func(int, int) bool { return false }
	})
	w.runUntil(end + settleTime)
	if w.err != nil {
		return w.err
	}
	return w.check()
}

// runUntil runs the events up to a time.
func (w *World) runUntil(end time.Duration) {
	for at, ok := w.queue.NextAt(); w.err == nil && ok && at <= end; at, ok = w.queue.NextAt() {
		var action func()
		w.now, action = w.queue.Next()
		action()
	}
	w.now = end
}
