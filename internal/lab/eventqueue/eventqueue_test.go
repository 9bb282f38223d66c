package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// TestActionsComeByTimeAndThenInOrderOfScheduling schedules actions out of order, some at the same time. Any other order would make runs
// of the same seed differ.
func TestActionsComeByTimeAndThenInOrderOfScheduling(t *testing.T) {
	var q Queue
	var got []string
	for _, e := range []struct {
		at   time.Duration
		name string
	}{{3, "e"}, {1, "a"}, {2, "c"}, {1, "b"}, {2, "d"}} {
		q.Schedule(e.at, func() { got = append(got, e.name) })
	}
	if at, ok := q.NextAt(); at != 1 || !ok || q.Len() != 5 {
		t.Errorf("NextAt returned %v, %v with %d actions, want 1ns, true with 5", at, ok, q.Len())
	}
	last := time.Duration(0)
	for q.Len() > 0 {
		at, action := q.Next()
		if at < last {
			t.Errorf("an action at %v came after one at %v", at, last)
		}
		last = at
		action()
	}
	if want := []string{"a", "b", "c", "d", "e"}; !slices.Equal(got, want) {
		t.Errorf("order of the actions is %v, want %v", got, want)
	}
	if _, ok := q.NextAt(); ok {
		t.Error("NextAt of an empty queue returned an action")
	}
}
