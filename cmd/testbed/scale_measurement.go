package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sabletally/internal/fleet/boottime"
)

const (
	settleTimeout      = time.Minute // from the end of the run until all balancers have all changes
	fastStatusInterval = 250 * time.Millisecond
	slowStatusInterval = 2 * time.Second
)

// controlUsage is what a control process has used so far.
type controlUsage struct {
	cpu   time.Duration
	bytes int64
}

// measurement follows the measured part of a run. Times are of the boot clock; 0 is not yet.
type measurement struct {
	run           *scaleRun
	statusBefore  *hollowStatus
	controlBefore []controlUsage
	endTime       time.Duration // of the run, as planned

	faultResults <-chan faultResult // nil once the result is received
	faults       faultResult
	steadyTime   time.Duration // the first steady state after the faults

	newestVersion uint64 // accepted when status was requested
	status        *hollowStatus
	statusAtEnd   *hollowStatus // nil before the end of the run
	length        time.Duration // until statusAtEnd
	complete      bool          // nothing more is to be waited for
}

// measure puts the changes, injects the faults, and takes the figures meanwhile.
func (r *scaleRun) measure(ctx context.Context, clients *operatorClients) error {
	m, err := r.newMeasurement()
	if err != nil {
		return err
	}
	var puts, faults sync.WaitGroup
	defer puts.Wait()
	defer faults.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop() // runs first, so that both end
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
		return fmt.Errorf("faults were not over %v after the run's end", settleTimeout)
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

// newMeasurement takes the figures before the run and starts it.
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
		r.ledger.Due(i, r.startTime+change.Due)
	}
	return m, nil
}

// isRecovering reports whether the faults are over and a steady state has not been reached since.
func (m *measurement) isRecovering() bool { return m.faults.endTime > 0 && m.steadyTime == 0 }

// statusInterval is the time until the next status: short while a steady state is waited for, and no longer than until the run's end.
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

// poll waits for the end of the faults or the next status, whichever is first.
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

// update requests the status and decides what it means for the run.
func (m *measurement) updateStatus() error {
	r := m.run
	requiredVersion := m.newestVersion // the one of the status before: balancers have had time to receive it
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
	// Control processes are queried only when it matters: it costs them processor time.
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

// checkControls reports whether all control processes are ready too, and notes the first time that they are after the faults.
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

// finishRun takes the figures at the end of the run.
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

// recordFigures sets the figures that are differences between the statuses before, at the end of and after the run.
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
	figures.Applied = atEnd.Changes - before.Changes
	figures.Duplicates = atEnd.Duplicates - before.Duplicates
	figures.Gaps = atEnd.Gaps - before.Gaps
	figures.SyncRequests = atEnd.SyncRequests - before.SyncRequests
	figures.Rejected = last.Rejected - before.Rejected
	figures.Conflicts = last.Conflicts
	if len(m.run.plan.Steps) == 0 {
		return
	}
	if m.steadyTime == 0 {
		m.steadyTime = boottime.Now()
	}
	figures.SteadyAfter = float64((m.steadyTime - m.faults.endTime).Microseconds()) / 1000
}
