// Package eventqueue implements the event queue of a discrete-event simulation. Actions run in the order of their virtual times, and at
// the same time in the order in which they were scheduled, so that a run is the same for the same seed. It must never read a clock or
// start a goroutine.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds scheduled actions. Its zero value is empty and ready to use; it is not safe for concurrent use.
type Queue struct {
	events    eventHeap
	scheduled uint64 // number of events scheduled so far
}

// event is one scheduled action.
type event struct {
	at     time.Duration
	number uint64 // order of scheduling, which breaks ties of at
	action func()
}

// Schedule adds an action at a virtual time.
func (q *Queue) Schedule(at time.Duration, action func()) {
	q.scheduled++
	heap.Push(&q.events, event{at, q.scheduled, action})
}

// Len returns the number of scheduled actions.
func (q *Queue) Len() int { return len(q.events) }

// NextAt returns the time of the next action; ok is false if there is none.
func (q *Queue) NextAt() (at time.Duration, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Next removes the next action and returns it with its time. The queue must not be empty.
func (q *Queue) Next() (at time.Duration, action func()) {
	next := heap.Pop(&q.events).(event)
	return next.at, next.action
}

// eventHeap implements heap.Interface; the first element is the next event.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event{} // releases the action for garbage collection
	*h = (*h)[:last]
	return popped
}
