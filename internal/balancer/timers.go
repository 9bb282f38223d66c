package balancer

import (
	"container/heap"
	"time"
)

// timer is a function that the loop calls at a given time.
type timer struct {
	at       time.Duration // loop time at which the timer is due
	sequence int           // order among timers with the same time
	run      func()
}

// timers is a heap of timers with the earliest one first. It implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	all := *t
	last := all[len(all)-1]
	*t = all[:len(all)-1]
	return last
}

// after schedules run to be called by the loop after a delay.
func (l *Loop) after(delay time.Duration, run func()) {
	l.timerSequence++
	heap.Push(&l.timers, timer{at: l.now + delay, sequence: l.timerSequence, run: run})
}

// runTimers runs the timers that are due.
func (l *Loop) runTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		t := heap.Pop(&l.timers).(timer)
		l.recoverPanics(nil, t.run)
	}
}
