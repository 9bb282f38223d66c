// This file owns the accounting: which change was in force where and when.

package scale

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest   = int64(24 * time.Hour / time.Microsecond)
	precision = 3
)

// Ledger records what was observed. Times are of one machine's clock. A balancer is reachable while it is up, and checked for that time alone:
// a change that was due while it was down counts from its return. The processes and marks of one balancer are added in their order; those of
// different balancers, and what became of the changes, in any.
type Ledger struct {
	changes   []plannedChange
	balancers []balancerRecord
}

type plannedChange struct {
	due     time.Duration
	version uint64 // 0: not accepted
}

type balancerRecord struct {
	processes []process
	final     *Final
	back      int
}

type process struct {
	up, down time.Duration // down: 0 while it is up
	marks    []mark
}

// mark is that a balancer had all up to a version from a time on.
type mark struct {
	version uint64
	at      time.Duration
}

// Final is what a balancer has in the end.
type Final struct {
	Version, Digest uint64
	Values          uint64 // a hash of all values that it has, made by the test itself
}

// NewLedger begins for so many balancers and changes.
func NewLedger(balancers, changes int) *Ledger {
	return &Ledger{balancers: make([]balancerRecord, balancers), changes: make([]plannedChange, changes)}
}

// Due sets the time at which a change is to be put, before it is.
func (l *Ledger) Due(change int, at time.Duration) { l.changes[change].due = at }

// SetVersion sets the version that a change became.
func (l *Ledger) SetVersion(change int, version uint64) { l.changes[change].version = version }

// NotAccepted counts the changes that became none.
func (l *Ledger) NotAccepted() (n int) {
	for _, c := range l.changes {
		if c.version == 0 {
			n++
		}
	}
	return n
}

// Newest is the highest version of a change, and the change that each key's value is of: the one with its highest version, -1 for none.
func (l *Ledger) Newest(keyOf func(change int) int) (version uint64, byKey []int) {
	byKey = make([]int, Keys)
	for i := range byKey {
		byKey[i] = -1
	}
	for i, c := range l.changes {
		if c.version == 0 {
			continue
		}
		version = max(version, c.version)
		if k := keyOf(i); byKey[k] < 0 || l.changes[byKey[k]].version < c.version {
			byKey[k] = i
		}
	}
	return version, byKey
}

// Up records the start of a balancer's process. One that is up goes down first: whoever killed it may not have said so.
func (l *Ledger) Up(balancer int, at time.Duration) {
	l.Down(balancer, at)
	s := &l.balancers[balancer]
	s.processes = append(s.processes, process{up: at})
}

// Down records the end of a balancer's process, if one is up.
func (l *Ledger) Down(balancer int, at time.Duration) {
	s := &l.balancers[balancer]
	if n := len(s.processes); n > 0 && s.processes[n-1].down == 0 {
		s.processes[n-1].down = at
	}
}

// Applied records that a balancer has all changes up to a version.
func (l *Ledger) Applied(balancer int, version uint64, at time.Duration) {
	s := &l.balancers[balancer]
	n := len(s.processes)
	if n == 0 {
		return
	}
	marks := s.processes[n-1].marks
	if len(marks) > 0 && version <= marks[len(marks)-1].version {
		s.back++
		return
	}
	s.processes[n-1].marks = append(marks, mark{version, at})
}

// End records what a balancer has in the end.
func (l *Ledger) End(balancer int, f Final) { l.balancers[balancer].final = &f }

// Account is what the ledger comes to.
type Account struct {
	InForce     *hdrhistogram.Histogram // microseconds, a change at a balancer each
	Returned    *hdrhistogram.Histogram // microseconds from a balancer's return to the first state that it has
	Missed      int                     // changes at a balancer each
	Behind      int                     // balancers that lack one
	Differ      int                     // balancers whose state is not the control processes'
	Silent      int                     // reachable balancers that reported nothing in the end
	NotAccepted int                     // changes
	WentBack    int                     // times that a balancer reported an older version, or one twice
	Slowest     int                     // the change that was in force last, for its time; -1 for none
}

// Close reckons at a time, against what the control processes have.
func (l *Ledger) Close(at time.Duration, control Final) Account {
	a := Account{InForce: hdrhistogram.New(1, longest, precision), Returned: hdrhistogram.New(1, longest, precision), NotAccepted: l.NotAccepted(), Slowest: -1}
	order := make([]int, len(l.changes))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(l.changes[x].version, l.changes[y].version) })
	newest := uint64(0)
	for _, c := range l.changes {
		newest = max(newest, c.version)
	}
	worst := time.Duration(-1)
	next := make([]int, 0, 8) // by process, the first mark that a change may be in
	for b := range l.balancers {
		s := &l.balancers[b]
		a.WentBack += s.back
		if len(s.processes) == 0 {
			continue // it was never reachable
		}
		up := s.processes[len(s.processes)-1].down == 0
		differs := false // then none of what it has counts
		if up {
			switch {
			case s.final == nil:
				a.Silent++
				differs = true
			case s.final.Version >= newest && s.final.Values != control.Values || s.final.Version == control.Version && s.final.Digest != control.Digest:
				a.Differ++
				differs = true
			}
		}
		for _, v := range s.processes[1:] {
			until := v.down
			if len(v.marks) > 0 {
				until = v.marks[0].at
			} else if until == 0 {
				until = at
			}
			record(a.Returned, until-v.up)
		}
		missed := a.Missed
		next = next[:0]
		for range s.processes {
			next = append(next, 0)
		}
		for _, i := range order {
			c := l.changes[i]
			if up && (c.version == 0 || differs || s.final.Version < c.version) {
				a.Missed++
			}
			if waited, ok := s.waited(c, next, at); ok {
				record(a.InForce, waited)
				if waited > worst {
					worst, a.Slowest = waited, i
				}
			}
		}
		if a.Missed > missed && !differs {
			a.Behind++
		}
	}
	return a
}

func record(h *hdrhistogram.Histogram, t time.Duration) {
	_ = h.RecordValue(min(longest, max(1, t.Microseconds()))) // within its bounds: no error
}

// waited is the longest that a balancer was reachable at a stretch without a change that should have been put, and whether it was so at
// all. Changes come by version; next goes on from one to the next.
func (s *balancerRecord) waited(c plannedChange, next []int, end time.Duration) (most time.Duration, reachable bool) {
	for i := range s.processes {
		v := &s.processes[i]
		down := v.down
		if down == 0 {
			down = end
		}
		from := max(c.due, v.up)
		if from >= down {
			continue
		}
		until, had := down, false
		if c.version > 0 {
			for next[i] < len(v.marks) && v.marks[next[i]].version < c.version {
				next[i]++
			}
			if next[i] < len(v.marks) {
				until, had = v.marks[next[i]].at, true
			}
		}
		most, reachable = max(most, until-from), true
		if had {
			break // later processes get it in their first snapshot
		}
	}
	return most, reachable
}
