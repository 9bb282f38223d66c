package fleetsim

import (
	"time"
)

const (
	startupTime = 12 * time.Second // before the first fault; the fleet is bootstrapped in it
	settleTime  = 90 * time.Second // without faults, at the end
)

// Play runs a history to its end and returns the first thing that was broken, nil if nothing was.
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

func (w *World) runUntil(end time.Duration) {
	for at, ok := w.queue.NextAt(); w.err == nil && ok && at <= end; at, ok = w.queue.NextAt() {
		var action func()
		w.now, action = w.queue.Next()
		action()
	}
	w.now = end
}
