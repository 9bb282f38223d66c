package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sabletally/internal/fleet/boottime"
)

const (
	settleTimeout      = time.Minute            // limit, after the end of the run, for all balancers to receive all changes
	fastStatusInterval = 250 * time.Millisecond // time between two statuses while a steady state is waited for
	slowStatusInterval = 2 * time.Second        // time between two statuses otherwise
)

// controlUsage is the processor time and the traffic of a control process since its first start.
type controlUsage struct {
	cpu   time.Duration
	bytes int64
}

// measurement is the state of the measured part of a run. Times are on the boot clock; 0 means not yet reached.
type measurement struct {
	run           *scaleRun
	statusBefore  *hollowStatus  // status at the start of the run
	controlBefore []controlUsage // usage of each control process at the start of the run
	endTime       time.Duration  // planned end of the run

	faultResults <-chan faultResult // nil once the result has been received
	faults       faultResult
	steadyTime   time.Duration // time of the first steady state after the faults

	newestVersion uint64        // newest accepted version when status was requested
	status        *hollowStatus // latest status
	statusAtEnd   *hollowStatus // status at the end of the run, nil before
	length        time.Duration // actual length of the run, until statusAtEnd
	complete      bool          // whether the measurement has ended: steady with all changes after the faults, or settleTimeout is over
}

// measure runs the measured part: it puts the changes and injects the faults of the plan, and records the figures.
func (r *scaleRun) measure(ctx context.Context, clients *operatorClients) error {
	m, err := r.newMeasurement()
	if err != nil {
		return err
	}
	var puts, faults sync.WaitGroup
	defer puts.Wait()
	defer faults.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // runs before the deferred waits, so that both goroutines end
	puts.Go(func() { r.putChanges(ctx, clients, &puts) })
	faultResults := make(chan faultResult, 1)
	m.faultResults = faultResults
	faults.Go(func() { faultResults <- r.injectFaults(ctx) })

	for !m.complete {
		if err := m.waitForNext(ctx); err != nil {
			return err
		}
	}
	if m.faultResults != nil {
		return fmt.Errorf("fault schedule was not complete %v after the end of the run", settleTimeout)
	}
	stop()
	puts.Wait()
	faults.Wait()
	if m.faults.err != nil {
		return m.faults.err
	}
	m.recordFigures()
	return r.closeLedger()
}

// newMeasurement records the figures before the run, and sets the start of the run to the present time.
func (r *scaleRun) newMeasurement() (*measurement, error) {
	status, err := r.cluster.status(false)
	if err != nil {
		return nil, err
	}
	m := &measurement{run: r, statusBefore: status}
	for _, control := range r.cluster.controls {
		m.controlBefore = append(m.controlBefore, control.usage())
	}
	r.startTime = boottime.Now()
	m.endTime = r.startTime + r.For
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	for i, change := range r.plan.Changes {
		r.ledger.SetDueTime(i, r.startTime+change.Due)
	}
	return m, nil
}

// isRecovering reports whether the faults are over and no steady state has been reached since.
func (m *measurement) isRecovering() bool { return m.faults.endTime > 0 && m.steadyTime == 0 }

// statusInterval returns the time until the next status: short while a steady state is waited for, and never past the end of the run.
func (m *measurement) statusInterval() time.Duration {
	now := boottime.Now()
	interval := slowStatusInterval
	if m.isRecovering() || now >= m.endTime {
		interval = fastStatusInterval
	}
	if m.statusAtEnd == nil {
		interval = min(interval, max(m.endTime-now, 0))
	}
	return interval
}

// waitForNext waits for the end of the faults or the time of the next status, whichever is first.
func (m *measurement) waitForNext(ctx context.Context) error {
	select {
	case m.faults = <-m.faultResults:
		m.faultResults = nil
		return nil
	case <-time.After(m.statusInterval()):
		return m.updateStatus()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// updateStatus requests the status, and from it determines whether the run has ended and whether the measurement is complete.
func (m *measurement) updateStatus() error {
	r := m.run
	requiredVersion := m.newestVersion // version as of the previous status, which balancers have had time to receive
	r.mu.Lock()
	m.newestVersion = r.newestVersion
	accepted := r.accepted
	r.mu.Unlock()
	status, err := r.cluster.status(false)
	if err != nil {
		return err
	}
	m.status = status
	now := boottime.Now()
	steady, spread := r.isSteady(status, requiredVersion)
	summary := r.describeStatus(status, spread)
	showProgress("scale: %v of %v, %d of %d changes accepted, %s", max(0, now-r.startTime).Round(time.Second), r.For, accepted, len(r.plan.Changes), summary)
	r.figures.SpreadDescription = summary
	// Queries cost the control processes processor time, which is measured, and are made only where their result is needed.
	if steady && (m.isRecovering() || now >= m.endTime) {
		steady = m.checkControls(requiredVersion)
	}
	if m.statusAtEnd == nil && now >= m.endTime {
		m.finishRun(now)
	}
	if m.statusAtEnd != nil {
		isComplete := accepted == len(r.plan.Changes) && requiredVersion == m.newestVersion
		m.complete = m.faultResults == nil && steady && isComplete || now > m.endTime+settleTimeout
		r.figures.Steady = steady
	}
	return nil
}

// checkControls reports whether all control processes are ready as well, and records the first time after the faults at which they are.
func (m *measurement) checkControls(version uint64) bool {
	if unready := m.run.cluster.unreadyControls(version); unready != "" {
		m.run.figures.SpreadDescription += "; " + unready
		return false
	}
	if m.isRecovering() {
		m.steadyTime = boottime.Now()
	}
	return true
}

// finishRun records the figures at the end of the run.
func (m *measurement) finishRun(now time.Duration) {
	figures := &m.run.figures
	m.statusAtEnd = m.status
	m.length = now - m.run.startTime
	seconds := m.length.Seconds()
	for i, control := range m.run.cluster.controls {
		before, after := m.controlBefore[i], control.usage()
		figures.ControlBytes = max(figures.ControlBytes, float64(after.bytes-before.bytes)/seconds)
		figures.ControlCore = max(figures.ControlCore, 100*(after.cpu-before.cpu).Seconds()/seconds)
	}
}

// recordFigures sets the figures that are differences between the statuses at the start, at the end and after the end of the run.
func (m *measurement) recordFigures() {
	figures := &m.run.figures
	before, atEnd, last := m.statusBefore, m.statusAtEnd, m.status
	seconds := m.length.Seconds()
	balancers := float64(m.run.Balancers)
	figures.Seconds = seconds
	figures.BalancerCore = 100 * (atEnd.CPU - before.CPU).Seconds() / seconds / balancers
	figures.BalancerBytes = float64(atEnd.Sent+atEnd.Received-before.Sent-before.Received) / seconds / balancers
	figures.Snapshots = atEnd.Snapshots - before.Snapshots
	figures.LeaseExpiries = last.LeaseExpiries - before.LeaseExpiries
	figures.AppliedChanges = atEnd.Changes - before.Changes
	figures.DuplicateChanges = atEnd.Duplicates - before.Duplicates
	figures.Gaps = atEnd.Gaps - before.Gaps
	figures.SyncRequests = atEnd.SyncRequests - before.SyncRequests
	figures.RejectedMessages = last.Rejected - before.Rejected
	figures.Conflicts = last.Conflicts
	if len(m.run.plan.Steps) == 0 {
		return
	}
	if m.steadyTime == 0 {
		m.steadyTime = boottime.Now()
	}
	figures.ConvergenceAfterFaultsMs = float64((m.steadyTime - m.faults.endTime).Microseconds()) / 1000
}
