package balancer

import (
	"container/heap"
	"time"
)

// stoppedIndex is the index of a timer that is not in the heap any more.
const stoppedIndex = -1

// timer is a function that the loop calls at a given time.
type timer struct {
	at       time.Duration // loop time at which the timer is due
	sequence int           // order among timers with the same time
	run      func()
	index    int // index in the heap, or stoppedIndex
}

// timers is a heap of timers with the earliest one first. It implements heap.Interface.
type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index = i
	t[j].index = j
}

func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

func (t *timers) Pop() any {
	all := *t
	last := all[len(all)-1]
	all[len(all)-1] = nil // so that the heap's array does not hold what the timer refers to
	*t = all[:len(all)-1]
	last.index = stoppedIndex
	return last
}

// after schedules run to be called by the loop after a delay. A timer whose function refers to a session or a connection has to be stopped
// when those end, as it holds their memory until then.
func (l *Loop) after(delay time.Duration, run func()) *timer {
	l.timerSequence++
	t := &timer{at: l.now + delay, sequence: l.timerSequence, run: run}
	heap.Push(&l.timers, t)
	return t
}

// stop ends a timer. It does nothing if the timer is nil, has run or is stopped.
func (l *Loop) stop(t *timer) {
	if t != nil && t.index != stoppedIndex {
		heap.Remove(&l.timers, t.index)
	}
}

// runTimers runs the timers that are due.
func (l *Loop) runTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(*timer)
		l.recoverPanics(nil, t.run)
	}
}
