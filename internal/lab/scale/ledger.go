package scale

import (
	"time"
)

// Ledger records the time from which each balancer had each change. Times are of the clock of a single machine. A balancer is reachable while
// one of its processes runs, and is checked for that time only: a change that was due while it was down counts from its return. The
// processes and versions of one balancer must be recorded in their order; those of different balancers, and the versions of changes, may be
// recorded in any order.
type Ledger struct {
	changes   []plannedChange
	balancers []balancerRecord
}

// plannedChange is a change of the plan, with the version that it got.
type plannedChange struct {
	due     time.Duration // time at which the change is to be put
	version uint64        // 0 unless the change was accepted
}

// balancerRecord is what the ledger holds of one balancer.
type balancerRecord struct {
	processes   []process // processes of the balancer, in order of their start
	final       *Final    // final state, nil unless it was reported
	regressions int       // reported versions that were not newer than the one before
}

// process is one process of a balancer.
type process struct {
	startedAt time.Duration
	endedAt   time.Duration    // end of the process, 0 while it runs
	applied   []appliedVersion // versions that the process had, in ascending order
}

// appliedVersion is the time from which a balancer had all changes up to a version.
type appliedVersion struct {
	version uint64
	at      time.Duration
}

// Final is the state of a balancer at the end of a run.
type Final struct {
	Version uint64
	Digest  uint64
	Values  uint64 // hash of all values that the balancer has, computed by the test itself
}

// NewLedger returns a ledger of the given numbers of balancers and changes.
func NewLedger(balancers, changes int) *Ledger {
	return &Ledger{balancers: make([]balancerRecord, balancers), changes: make([]plannedChange, changes)}
}

// SetDueTime sets the time at which a change is to be put. It must be called before the change is put.
func (l *Ledger) SetDueTime(change int, at time.Duration) { l.changes[change].due = at }

// SetVersion sets the version of a change that was accepted.
func (l *Ledger) SetVersion(change int, version uint64) { l.changes[change].version = version }

// NotAccepted returns the number of changes that were not accepted.
func (l *Ledger) NotAccepted() (count int) {
	for _, c := range l.changes {
		if c.version == 0 {
			count++
		}
	}
	return count
}

// Newest returns the highest version of any change and, by key, the change with the highest version, -1 for none.
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

// RecordStart records the start of a balancer's process. An earlier process that still runs is recorded as ended, as its end may not have been
// reported.
func (l *Ledger) RecordStart(balancer int, at time.Duration) {
	l.RecordEnd(balancer, at)
	b := &l.balancers[balancer]
	b.processes = append(b.processes, process{startedAt: at})
}

// RecordEnd records the end of a balancer's process, if one runs.
func (l *Ledger) RecordEnd(balancer int, at time.Duration) {
	if latest := l.balancers[balancer].latest(); latest != nil && latest.endedAt == 0 {
		latest.endedAt = at
	}
}

// RecordApplied records that a balancer has all changes up to a version.
func (l *Ledger) RecordApplied(balancer int, version uint64, at time.Duration) {
	b := &l.balancers[balancer]
	latest := b.latest()
	if latest == nil {
		return
	}
	if n := len(latest.applied); n > 0 && version <= latest.applied[n-1].version {
		b.regressions++
		return
	}
	latest.applied = append(latest.applied, appliedVersion{version: version, at: at})
}

// SetFinal sets the final state of a balancer.
func (l *Ledger) SetFinal(balancer int, final Final) { l.balancers[balancer].final = &final }

// latest returns the newest process of the balancer, nil if there was none.
func (b *balancerRecord) latest() *process {
	if len(b.processes) == 0 {
		return nil
	}
	return &b.processes[len(b.processes)-1]
}

// isUp reports whether a process of the balancer runs.
func (b *balancerRecord) isUp() bool {
	latest := b.latest()
	return latest != nil && latest.endedAt == 0
}
