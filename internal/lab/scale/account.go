package scale

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = int64(24 * time.Hour / time.Microsecond)
	precision         = 3 // significant digits of histograms
)

// Account is the result of a ledger.
type Account struct {
	InForceTimes       *hdrhistogram.Histogram // microseconds until a change was in force, one sample for each balancer
	ReturnTimes        *hdrhistogram.Histogram // microseconds from a balancer's return to its first state
	MissedChanges      int                     // changes missed, counted for each balancer
	BalancersBehind    int                     // balancers that lack a change
	BalancersDiffering int                     // balancers whose state differs from that of the control processes
	BalancersSilent    int                     // reachable balancers that did not report their final state
	ChangesNotAccepted int                     // changes
	Regressions        int                     // times that a balancer reported an older version, or one twice
	SlowestChange      int                     // the change that took longest to be in force; -1 for none
}

// accounting computes an account.
type accounting struct {
	account   Account
	end       time.Duration
	control   Final           // the state of the control processes
	newest    uint64          // version of a change
	byVersion []int           // changes
	changes   []plannedChange // of the ledger
	slowest   time.Duration
	next      []int // of the current balancer, by process: the first applied version that may include the next change
}

// ComputeAccount computes the account at the end of a run; control is the final state of the control processes.
func (l *Ledger) ComputeAccount(end time.Duration, control Final) Account {
	a := accounting{
		account: Account{
			InForceTimes:       hdrhistogram.New(1, maxRecordedMicros, precision),
			ReturnTimes:        hdrhistogram.New(1, maxRecordedMicros, precision),
			ChangesNotAccepted: l.NotAccepted(),
			SlowestChange:      -1,
		},
		end:       end,
		control:   control,
		byVersion: make([]int, len(l.changes)),
		changes:   l.changes,
		slowest:   -1,
	}
	for i, change := range l.changes {
		a.byVersion[i] = i
		a.newest = max(a.newest, change.version)
	}
	slices.SortFunc(a.byVersion, func(x, y int) int { return cmp.Compare(l.changes[x].version, l.changes[y].version) })
	for i := range l.balancers {
		a.addBalancer(&l.balancers[i])
	}
	return a.account
}

func (a *accounting) addBalancer(b *balancerRecord) {
	a.account.Regressions += b.regressions
	if len(b.processes) == 0 {
		return // it was never reachable
	}
	hasValidState := !b.isUp() || a.checkFinal(b.final)
	a.addReturns(b)
	missed := a.addChanges(b, hasValidState)
	a.account.MissedChanges += missed
	if missed > 0 && hasValidState {
		a.account.BalancersBehind++
	}
}

// checkFinal counts a final state that is missing or wrong, and reports whether it is valid.
func (a *accounting) checkFinal(final *Final) bool {
	if final == nil {
		a.account.BalancersSilent++
		return false
	}
	hasWrongValues := final.Version >= a.newest && final.Values != a.control.Values
	hasWrongDigest := final.Version == a.control.Version && final.Digest != a.control.Digest
	if hasWrongValues || hasWrongDigest {
		a.account.BalancersDiffering++
		return false
	}
	return true
}

// addReturns adds the time until the first state of each process but the first.
func (a *accounting) addReturns(b *balancerRecord) {
	for _, p := range b.processes[1:] {
		until := p.down
		if len(p.applied) > 0 {
			until = p.applied[0].at
		} else if until == 0 {
			until = a.end
		}
		record(a.account.ReturnTimes, until-p.up)
	}
}

// addChanges adds the time until each change was in force, and returns the number of changes that the balancer missed. Without a valid
// state, a balancer that is up has missed all of them.
func (a *accounting) addChanges(b *balancerRecord, hasValidState bool) (missed int) {
	a.next = slices.Grow(a.next[:0], len(b.processes))[:len(b.processes)]
	clear(a.next)
	isUp := b.isUp()
	for _, i := range a.byVersion {
		change := a.changes[i]
		if isUp && (!hasValidState || change.version == 0 || b.final.Version < change.version) {
			missed++
		}
		stale, wasReachable := b.staleness(change, a.next, a.end)
		if !wasReachable {
			continue
		}
		record(a.account.InForceTimes, stale)
		if stale > a.slowest {
			a.slowest = stale
			a.account.SlowestChange = i
		}
	}
	return missed
}

func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(maxRecordedMicros, max(1, d.Microseconds()))) // within its bounds: no error
}

// staleness is the longest time for which the balancer was reachable without a change that was due, and whether it was reachable at all
// while the change was due. It must be called with changes in the order of their versions: next, by process, carries the position from
// one call to the next.
func (b *balancerRecord) staleness(change plannedChange, next []int, end time.Duration) (longest time.Duration, wasReachable bool) {
	for i := range b.processes {
		p := &b.processes[i]
		down := p.down
		if down == 0 {
			down = end
		}
		from := max(change.due, p.up)
		if from >= down {
			continue
		}
		wasReachable = true
		until := down
		isApplied := false
		if change.version > 0 {
			for next[i] < len(p.applied) && p.applied[next[i]].version < change.version {
				next[i]++
			}
			isApplied = next[i] < len(p.applied)
		}
		if isApplied {
			until = p.applied[next[i]].at
		}
		longest = max(longest, until-from)
		if isApplied {
			break // later processes get it with their first snapshot
		}
	}
	return longest, wasReachable
}
