package feedsim

import (
	"time"
)

const (
	startupTime = 8 * time.Second  // time before the first fault
	settleTime  = 30 * time.Second // time without faults at the end of a history
	quietTime   = 8 * time.Second  // time without changes at the end of settleTime
)

// Play runs a history to its end and returns the first violation, nil if there was none.
func (w *World) Play() error {
	start := w.now
	end := start + startupTime + w.plan.Length
	w.after(startupTime, w.injectFault)
	w.after(time.Second, w.putChange)
	w.after(end-w.now, func() {
		w.faultsOver, w.loss = true, 0
		w.cutActive, w.isCut = false, func(*process, *process) bool { return false }
		w.releaseHeld()
	})
	w.after(end+settleTime-quietTime-w.now, func() { w.changesOver = true })
	for at, ok := w.queue.NextAt(); w.err == nil && ok && at <= end+settleTime; at, ok = w.queue.NextAt() {
		var action func()
		w.now, action = w.queue.Next()
		action()
	}
	if w.err != nil {
		return w.err
	}
	w.now = end + settleTime
	w.checkFinalState()
	return w.err
}
