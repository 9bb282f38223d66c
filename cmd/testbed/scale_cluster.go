package main

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/lab/scale"
)

const (
	responseTimeout     = 20 * time.Second // of a process of balancers
	agreementTimeout    = 10 * time.Second // of the control processes, at the end
	balancersPerProcess = 300
)

// scaleCluster is all processes of a run.
type scaleCluster struct {
	plan            *scale.Plan
	dir             string
	controls        []*controlProcess
	forwarders      []*forwarderProcess
	hosts           []*hollowProcess
	balancersByHost [][]int

	mu               sync.Mutex
	ledger           *scale.Ledger
	lastStatusNumber int
}

// newScaleCluster starts the control processes of a plan. The cluster that it returns beside an error, if any, must be closed.
func newScaleCluster(plan *scale.Plan, hosts [][]int, self, binary, logs string, ledger *scale.Ledger) (*scaleCluster, error) {
	dir, err := os.MkdirTemp("", "testbed-scale")
	if err != nil {
		return nil, err
	}
	w := &scaleCluster{plan: plan, dir: dir, balancersByHost: hosts, ledger: ledger}
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return w, err
		}
	}
	tier := controlTier{plan: plan, self: self, binary: binary, dir: dir, log: func(name string) io.Writer { return createLog(logs, name) }}
	err = tier.create()
	w.controls = tier.controls
	w.forwarders = tier.forwarders
	if err != nil {
		return w, err
	}
	for _, c := range w.controls {
		if err := c.Launch(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// createLog creates the log file of a process, which is closed with this process; nil without a directory or if that fails.
func createLog(dir, name string) io.Writer {
	if dir == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil
	}
	return file
}

// seeds are the addresses of all control processes.
func (w *scaleCluster) seeds() (all []netip.AddrPort) {
	for _, c := range w.controls {
		all = append(all, c.Addr)
	}
	return all
}

// startBalancers starts the processes of balancers, and then all balancers at once.
func (w *scaleCluster) startBalancers(self string) error {
	for i, balancers := range w.balancersByHost {
		h := &hollowProcess{program: self, onEvents: w.recordEvents, config: hollowConfig{
			Fleet: scaleFleet,
			Seeds: w.seeds(),
			Seed:  w.plan.Seed*1_000_003 + uint64(i),
		}}
		for _, b := range balancers {
			place := w.plan.BalancerPlaces[b]
			h.config.Balancers = append(h.config.Balancers, hollowBalancer{
				Index:   b,
				Name:    fmt.Sprintf("b%d", b),
				Machine: fmt.Sprintf("m-b%d", b),
				Zone:    zoneName(place),
				Site:    regionName(place),
			})
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for i, h := range w.hosts {
		if err := h.send(hollowRequest{Start: w.balancersByHost[i]}); err != nil {
			return err
		}
	}
	return nil
}

// recordEvents records events of balancers in the ledger.
func (w *scaleCluster) recordEvents(_ *hollowProcess, events []hollowEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, event := range events {
		switch event.Kind {
		case eventStarted:
			w.ledger.RecordStart(event.Balancer, event.At)
		case eventStopped:
			w.ledger.RecordEnd(event.Balancer, event.At)
		case eventApplied:
			w.ledger.RecordApplied(event.Balancer, event.Version, event.At)
		}
	}
}

// status requests the status of all processes of balancers at once and sums it up.
func (w *scaleCluster) status(withFinal bool) (*hollowStatus, error) {
	number := w.nextStatusNumber()
	statuses := make([]*hollowStatus, len(w.hosts))
	errs := make([]error, len(w.hosts))
	var pending sync.WaitGroup
	for i, h := range w.hosts {
		pending.Go(func() { statuses[i], errs[i] = h.status(number, withFinal) })
	}
	pending.Wait()
	sum := newHollowStatus(number)
	for _, status := range statuses {
		sum.add(status)
	}
	return sum, errors.Join(errs...)
}

// spread is the distribution of the balancers' connections over the control processes that run.
func (w *scaleCluster) spread(status *hollowStatus) scale.Spread {
	var connections []int
	for _, c := range w.controls {
		if c.isRunning() {
			connections = append(connections, status.Publishers[c.Addr.String()])
		}
	}
	return scale.NewSpread(connections)
}

// nextStatusNumber numbers a status request.
func (w *scaleCluster) nextStatusNumber() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastStatusNumber++
	return w.lastStatusNumber
}

// clusterMemory is the resident memory of the processes of a run, in MB.
type clusterMemory struct {
	balancersMB float64   // of all processes of balancers
	controlMB   []float64 // by control process, 0 for those that do not run
	otherMB     float64   // of this process and the forwarders
}

func (m *clusterMemory) total() float64 {
	total := m.balancersMB + m.otherMB
	for _, megabytes := range m.controlMB {
		total += megabytes
	}
	return total
}

func (w *scaleCluster) memory() clusterMemory {
	var memory clusterMemory
	for _, h := range w.hosts {
		if pid := h.pid(); pid > 0 {
			memory.balancersMB += residentMB(pid)
		}
	}
	memory.otherMB = residentMB(os.Getpid())
	for _, f := range w.forwarders {
		memory.otherMB += residentMB(f.cmd.Process.Pid)
	}
	for _, c := range w.controls {
		megabytes := 0.0
		if c.isRunning() {
			megabytes = residentMB(c.Pid())
		}
		memory.controlMB = append(memory.controlMB, megabytes)
	}
	return memory
}

// close ends all processes and removes their directories.
func (w *scaleCluster) close() {
	var running sync.WaitGroup
	for _, h := range w.hosts {
		running.Go(func() { h.stop(false) })
	}
	for _, c := range w.controls {
		if c.Process == nil {
			continue
		}
		running.Go(func() {
			if c.Exited() != nil {
				c.Kill()
			}
		})
	}
	running.Wait()
	for _, f := range w.forwarders {
		f.close()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// unreadyControls lists the control processes that do not run, do not see all others, or have not published a version; "" if there is none.
func (w *scaleCluster) unreadyControls(version uint64) string {
	problems := make([]string, len(w.controls))
	var pending sync.WaitGroup
	for i, c := range w.controls {
		pending.Go(func() { problems[i] = w.checkControl(c, version) })
	}
	pending.Wait()
	return strings.Join(slices.DeleteFunc(problems, func(s string) bool { return s == "" }), ", ")
}

// checkControl describes why a control process is not ready, "" if it is.
func (w *scaleCluster) checkControl(c *controlProcess, version uint64) string {
	report, err := c.Fleet()
	switch {
	case !c.isRunning():
		return c.Name + " does not run"
	case err != nil:
		return err.Error()
	case report.Alive != len(w.controls) || report.Store == nil || report.Store.Members != len(w.controls):
		return fmt.Sprintf("%s sees %d control processes alive", c.Name, report.Alive)
	case !isCurrent(report.Publisher, version):
		return c.Name + " is not current"
	default:
		return ""
	}
}

// isCurrent reports whether a publisher has the version and a valid lease.
func isCurrent(publisher *fleet.PublisherReport, version uint64) bool {
	if publisher == nil || publisher.Version < version {
		return false
	}
	return publisher.Age >= 0 && publisher.Age <= changefeed.DefaultLease.Seconds()
}

// agreedState waits until all control processes that run have the same state, and returns it.
func (w *scaleCluster) agreedState() (feedState, error) {
	for deadline := time.Now().Add(agreementTimeout); ; time.Sleep(pollInterval) {
		states, err := w.publisherStates()
		if err == nil && len(states) == 1 {
			for state := range states {
				return state, nil
			}
		}
		if time.Now().After(deadline) {
			return feedState{}, errors.Join(err, fmt.Errorf("control processes have different states after %v: %v", agreementTimeout, states))
		}
	}
}

// publisherStates are the states of the control processes that run, each with the name of one that has it. After an error, they are those
// of the processes that were queried before.
func (w *scaleCluster) publisherStates() (map[feedState]string, error) {
	states := map[feedState]string{}
	for _, c := range w.controls {
		if !c.isRunning() {
			continue
		}
		report, err := c.Fleet()
		if err != nil {
			return states, err
		}
		states[publisherState(&report)] = c.Name
	}
	return states, nil
}
