package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sabletally/internal/fleet/boottime"
	"sabletally/internal/lab/scale"
)

const (
	convergenceTimeout = 2 * time.Minute // limit, after the start of the balancers, for all of them to become current
	settleTime         = 3 * time.Second // time between convergence and the measured run
	putTimeout         = 2 * time.Second // limit of one attempt to put a change
	putRetryInterval   = 50 * time.Millisecond
	memoryPollInterval = time.Second
)

// scaleRun is one run of the scale test.
type scaleRun struct {
	*scaleCmd
	plan          *scale.Plan
	cluster       *scaleCluster
	figures       scale.RunFigures
	memoryLimitMB float64 // limit of the memory of all processes together
	ledger        *scale.Ledger
	startTime     time.Duration // start of the measured run, on the boot clock

	mu             sync.Mutex
	newestVersion  uint64        // highest version of the accepted changes
	accepted       int           // number of accepted changes
	maxPutDelay    time.Duration // longest time from when a change is due until its first attempt
	maxBalancersMB float64       // highest memory of all balancers together
	maxControlMB   []float64     // highest memory of each control process, by index
	abortReason    string        // reason why the run was aborted, "" otherwise
}

// checkMachine checks that the machine has the memory and the descriptors that the run needs, and sets memoryLimitMB.
func (r *scaleRun) checkMachine(hosts [][]int) error {
	files, err := openFileLimit()
	if err != nil {
		return err
	}
	total, available, err := machineMemory()
	if err != nil {
		return err
	}
	r.memoryLimitMB = total / 2
	return r.plan.Requirements(hosts).Check(files, total, available)
}

// run starts all processes, waits until they have converged, and runs the measurement.
func (r *scaleRun) run(env *commandEnv, hosts [][]int) error {
	ctx, stop := context.WithCancel(env.ctx)
	defer stop()
	showProgress("scale: starting %d control processes", r.Control)
	cluster, err := newScaleCluster(r.plan, hosts, env.executable, r.Binary, r.Logs, r.ledger)
	if cluster != nil {
		defer cluster.close()
	}
	if err != nil {
		return err
	}
	r.cluster = cluster
	if err := waitForBootstrap(ctx, cluster.controls); err != nil {
		return err
	}
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { r.watchMemory(ctx, stop) })

	started := time.Now()
	if err := cluster.startBalancers(env.executable); err != nil {
		return err
	}
	if err := r.waitUntilSteady(ctx, time.Now().Add(convergenceTimeout)); err != nil {
		return err
	}
	r.figures.ConvergenceMs = float64(time.Since(started).Milliseconds())
	clients := openOperatorClients(cluster.seeds(), r.Seed)
	defer clients.close()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	return r.measure(ctx, clients)
}

// isSteady reports whether all balancers are up and current, have at least the version, and are evenly spread over the control processes.
func (r *scaleRun) isSteady(status *hollowStatus, version uint64) (bool, scale.Spread) {
	spread := r.cluster.connectionSpread(status)
	steady := status.Up == r.Balancers && status.Current == r.Balancers && spread.WithinAllowed()
	for state := range status.States {
		steady = steady && state.Version >= version
	}
	return steady, spread
}

// waitUntilSteady waits until all balancers are current and evenly spread.
func (r *scaleRun) waitUntilSteady(ctx context.Context, deadline time.Time) error {
	for {
		status, err := r.cluster.status(false)
		if err != nil {
			return err
		}
		steady, spread := r.isSteady(status, 1)
		if steady {
			return nil
		}
		summary := r.describeStatus(status, spread)
		showProgress("scale: %s", summary)
		if time.Now().After(deadline) {
			return fmt.Errorf("balancers did not converge within %v: %s", convergenceTimeout, summary)
		}
		if err := sleep(ctx, fastStatusInterval); err != nil {
			return err
		}
	}
}

func (r *scaleRun) describeStatus(status *hollowStatus, spread scale.Spread) string {
	return fmt.Sprintf("%d of %d balancers up, %d current; %v", status.Up, r.Balancers, status.Current, spread)
}

// sleep waits for a duration. If ctx is done first, it returns the error of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// putChanges puts each change of the plan when it is due, even if earlier ones are still being retried.
func (r *scaleRun) putChanges(ctx context.Context, clients *operatorClients, puts *sync.WaitGroup) {
	for i, change := range r.plan.Changes {
		if sleep(ctx, r.startTime+change.Due-boottime.Now()) != nil {
			return
		}
		r.mu.Lock()
		r.maxPutDelay = max(r.maxPutDelay, boottime.Now()-r.startTime-change.Due)
		r.mu.Unlock()
		puts.Go(func() { r.putChange(ctx, clients, i, change) })
	}
}

// putChange puts a change, and retries until it is accepted or ctx is done.
func (r *scaleRun) putChange(ctx context.Context, clients *operatorClients, index int, change scale.Change) {
	operationID := fmt.Sprintf("scale-%d-%d", r.Seed, index)
	for attempt := 0; ctx.Err() == nil; attempt++ {
		version, err := clients.put(ctx, attempt, settingKey(change.Key), settingValue(index, change), operationID)
		if err == nil {
			r.recordAccepted(index, version)
			return
		}
		_ = sleep(ctx, putRetryInterval) // the loop condition checks ctx
	}
}

func (r *scaleRun) recordAccepted(index int, version uint64) {
	r.cluster.mu.Lock()
	r.ledger.SetVersion(index, version)
	r.cluster.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestVersion = max(r.newestVersion, version)
	r.accepted++
}

// faultResult is the outcome of the fault schedule of a run.
type faultResult struct {
	endTime time.Duration // end of the last step, on the boot clock; 0 if the plan has no faults
	err     error
}

// injectFaults carries out the fault schedule of the plan. A slow step does not delay the next one.
func (r *scaleRun) injectFaults(ctx context.Context) faultResult {
	var mu sync.Mutex
	var result faultResult
	var pending sync.WaitGroup
	for _, step := range r.plan.Steps {
		if sleep(ctx, r.startTime+step.At-boottime.Now()) != nil {
			break
		}
		pending.Go(func() {
			err := r.cluster.applyStep(step)
			mu.Lock()
			defer mu.Unlock()
			result.err = errors.Join(result.err, err)
			result.endTime = max(result.endTime, boottime.Now())
		})
	}
	pending.Wait()
	return result
}

// watchMemory records the memory of all processes, and aborts the run if they exceed the limit.
func (r *scaleRun) watchMemory(ctx context.Context, abort func()) {
	for sleep(ctx, memoryPollInterval) == nil {
		if r.recordMemory() {
			abort()
			return
		}
	}
}

// recordMemory records the memory of all processes, and reports whether it exceeds the limit, so that the run must be aborted.
func (r *scaleRun) recordMemory() bool {
	memory := r.cluster.memoryUse()
	total := memory.total()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxBalancersMB = max(r.maxBalancersMB, memory.balancersMB)
	if r.maxControlMB == nil {
		r.maxControlMB = make([]float64, len(memory.controlMB))
	}
	for i, megabytes := range memory.controlMB {
		r.maxControlMB[i] = max(r.maxControlMB[i], megabytes)
	}
	r.figures.MemoryMB = max(r.figures.MemoryMB, total)
	if total > r.memoryLimitMB {
		r.abortReason = fmt.Sprintf("all processes together hold %.0f MB, over half of this machine's memory, %.0f MB", total, r.memoryLimitMB)
	}
	return r.abortReason != ""
}

// closeLedger compares the final state of the balancers with the state that the control processes agree on and with the accepted changes,
// and sets the figures that come from the ledger.
func (r *scaleRun) closeLedger() error {
	cluster := r.cluster
	agreed, err := cluster.waitForAgreedState()
	if err != nil {
		return err
	}
	status, err := cluster.status(true)
	if err != nil {
		return err
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	version, changeByKey := r.ledger.Newest(func(i int) int { return r.plan.Changes[i].Key })
	if agreed.Version < version {
		return fmt.Errorf("control processes agree on version %d, but version %d was accepted", agreed.Version, version)
	}
	values := map[string][]byte{}
	for key, change := range changeByKey {
		if change >= 0 {
			values[settingKey(key)] = settingValue(change, r.plan.Changes[change])
		}
	}
	hash := hashValues(func(key string) ([]byte, bool) {
		value, exists := values[key]
		return value, exists
	})
	for balancer, final := range status.Finals {
		r.ledger.SetFinal(balancer, final)
	}
	r.figures.AddAccount(r.ledger.ComputeAccount(boottime.Now(), scale.Final{Version: agreed.Version, Digest: agreed.Digest, Values: hash}))
	r.recordMaxima()
	return nil
}

// recordMaxima sets the figures that are maxima over the run, apart from those that are updated during it.
func (r *scaleRun) recordMaxima() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.MaxPutDelayMs = float64(r.maxPutDelay.Microseconds()) / 1000
	r.figures.BalancerMB = r.maxBalancersMB / float64(r.Balancers)
	for _, megabytes := range r.maxControlMB {
		r.figures.ControlMB = max(r.figures.ControlMB, megabytes)
	}
}
