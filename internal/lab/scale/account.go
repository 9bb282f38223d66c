package scale

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = int64(24 * time.Hour / time.Microsecond)
	precision         = 3 // significant digits of the histograms
)

// Account is the result of a ledger: how long changes took to be in force, and what went wrong.
type Account struct {
	InForceTimes       *hdrhistogram.Histogram // microseconds until a change was in force, one sample for each balancer
	ReturnTimes        *hdrhistogram.Histogram // microseconds from a balancer's return to its first state
	MissedChanges      int                     // changes that balancers lack at the end, counted for each balancer
	BalancersBehind    int                     // balancers with a valid state that lacks a change
	BalancersDiffering int                     // balancers whose final state differs from that of the control processes
	BalancersSilent    int                     // reachable balancers that did not report their final state
	ChangesNotAccepted int                     // changes that the control processes did not accept
	Regressions        int                     // reports of balancers whose version was not newer than the one before
	SlowestChange      int                     // index of the change that took longest to be in force, -1 for none
}

// accountBuilder computes an account, balancer by balancer.
type accountBuilder struct {
	account          Account
	end              time.Duration   // end of the run
	control          Final           // final state of the control processes
	newestVersion    uint64          // highest version of any change
	byVersion        []int           // indices of the changes, by ascending version
	changes          []plannedChange // changes of the ledger
	longestStaleness time.Duration   // time that SlowestChange took to be in force
	nextApplied      []int           // index of the first applied version that may include the next change, for each process of the current balancer
}

// ComputeAccount returns the account of a run that has ended. Control is the final state of the control processes.
func (l *Ledger) ComputeAccount(end time.Duration, control Final) Account {
	a := accountBuilder{
		account: Account{
			InForceTimes:       hdrhistogram.New(1, maxRecordedMicros, precision),
			ReturnTimes:        hdrhistogram.New(1, maxRecordedMicros, precision),
			ChangesNotAccepted: l.NotAccepted(),
			SlowestChange:      -1,
		},
		end:              end,
		control:          control,
		byVersion:        make([]int, len(l.changes)),
		changes:          l.changes,
		longestStaleness: -1,
	}
	for i, change := range l.changes {
		a.byVersion[i] = i
		a.newestVersion = max(a.newestVersion, change.version)
	}
	slices.SortFunc(a.byVersion, func(x, y int) int { return cmp.Compare(l.changes[x].version, l.changes[y].version) })
	for i := range l.balancers {
		a.addBalancer(&l.balancers[i])
	}
	return a.account
}

// addBalancer adds what the ledger has of one balancer.
func (a *accountBuilder) addBalancer(b *balancerRecord) {
	a.account.Regressions += b.regressions
	if len(b.processes) == 0 {
		return // the balancer was never reachable
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
func (a *accountBuilder) checkFinal(final *Final) bool {
	if final == nil {
		a.account.BalancersSilent++
		return false
	}
	hasWrongValues := final.Version >= a.newestVersion && final.Values != a.control.Values
	hasWrongDigest := final.Version == a.control.Version && final.Digest != a.control.Digest
	if hasWrongValues || hasWrongDigest {
		a.account.BalancersDiffering++
		return false
	}
	return true
}

// addReturns adds, for each process of a balancer after the first, the time from its start to its first state.
func (a *accountBuilder) addReturns(b *balancerRecord) {
	for _, p := range b.processes[1:] {
		until := p.endedAt
		if len(p.applied) > 0 {
			until = p.applied[0].at
		} else if until == 0 {
			until = a.end
		}
		recordTime(a.account.ReturnTimes, until-p.startedAt)
	}
}

// addChanges adds the time until each change was in force, and returns the number of changes that the balancer missed. Without a valid
// state, a balancer that is up has missed all of them.
func (a *accountBuilder) addChanges(b *balancerRecord, hasValidState bool) (missed int) {
	a.nextApplied = slices.Grow(a.nextApplied[:0], len(b.processes))[:len(b.processes)]
	clear(a.nextApplied)
	isUp := b.isUp()
	for _, i := range a.byVersion {
		change := a.changes[i]
		if isUp && (!hasValidState || change.version == 0 || b.final.Version < change.version) {
			missed++
		}
		stale, wasReachable := b.staleness(change, a.nextApplied, a.end)
		if !wasReachable {
			continue
		}
		recordTime(a.account.InForceTimes, stale)
		if stale > a.longestStaleness {
			a.longestStaleness = stale
			a.account.SlowestChange = i
		}
	}
	return missed
}

// recordTime adds a time to a histogram, in microseconds.
func recordTime(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(maxRecordedMicros, max(1, d.Microseconds()))) // values within the bounds give no error
}

// staleness returns the longest time for which the balancer was reachable without a change that was due, and whether it was reachable at all
// while the change was due. It must be called with changes in the order of their versions: nextApplied carries the position in the applied
// versions of each process from one call to the next.
func (b *balancerRecord) staleness(change plannedChange, nextApplied []int, end time.Duration) (longest time.Duration, wasReachable bool) {
	for i := range b.processes {
		p := &b.processes[i]
		endedAt := p.endedAt
		if endedAt == 0 {
			endedAt = end
		}
		from := max(change.due, p.startedAt)
		if from >= endedAt {
			continue
		}
		wasReachable = true
		until := endedAt
		isApplied := false
		if change.version > 0 {
			for nextApplied[i] < len(p.applied) && p.applied[nextApplied[i]].version < change.version {
				nextApplied[i]++
			}
			isApplied = nextApplied[i] < len(p.applied)
		}
		if isApplied {
			until = p.applied[nextApplied[i]].at
		}
		longest = max(longest, until-from)
		if isApplied {
			break // later processes receive the change with their first snapshot
		}
	}
	return longest, wasReachable
}
