package eventqueue

import (
	"slices"
	"testing"
	"time"
)

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
		t.Errorf("next at %v, %v, of %d", at, ok, q.Len())
	}
	last := time.Duration(0)
	for q.Len() > 0 {
		at, action := q.Next()
		if at < last {
			t.Errorf("%v after %v", at, last)
		}
		last = at
		action()
	}
	if want := []string{"a", "b", "c", "d", "e"}; !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
	if _, ok := q.NextAt(); ok {
		t.Error("an empty queue has a next action")
	}
}
