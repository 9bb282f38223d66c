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
	responseTimeout     = 20 * time.Second // limit for a hollow balancer process to send its status or to exit
	agreementTimeout    = 10 * time.Second // limit for the control processes to reach the same state after the run
	balancersPerProcess = 300              // limit of the hollow balancers in one process
)

// scaleCluster is all processes of a scale test.
type scaleCluster struct {
	plan            *scale.Plan
	dir             string
	controls        []*controlProcess
	forwarders      []*forwarderProcess
	hosts           []*hollowProcess
	balancersByHost [][]int // indices of the balancers of each process in hosts

	mu               sync.Mutex
	ledger           *scale.Ledger
	lastStatusNumber int
}

// newScaleCluster starts the control processes of a plan. The caller must close the cluster, also one that is returned with an error.
func newScaleCluster(plan *scale.Plan, hosts [][]int, executable, binary, logs string, ledger *scale.Ledger) (*scaleCluster, error) {
	dir, err := os.MkdirTemp("", "testbed-scale")
	if err != nil {
		return nil, err
	}
	s := &scaleCluster{plan: plan, dir: dir, balancersByHost: hosts, ledger: ledger}
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return s, err
		}
	}
	tier := controlTier{plan: plan, executable: executable, controlBinary: binary, dir: dir, newLog: func(name string) io.Writer { return createLog(logs, name) }}
	err = tier.create()
	s.controls = tier.controls
	s.forwarders = tier.forwarders
	if err != nil {
		return s, err
	}
	for _, c := range s.controls {
		if err := c.Launch(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// createLog creates the log file of a process; the file stays open until this process ends. It returns nil if dir is empty or the file
// cannot be created.
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

// seeds returns the advertised addresses of all control processes.
func (s *scaleCluster) seeds() (all []netip.AddrPort) {
	for _, c := range s.controls {
		all = append(all, c.Addr)
	}
	return all
}

// startBalancers starts the hollow balancer processes, and then all balancers at once.
func (s *scaleCluster) startBalancers(executable string) error {
	for i, balancers := range s.balancersByHost {
		h := &hollowProcess{executable: executable, onEvents: s.recordEvents, config: hollowConfig{
			Fleet: scaleFleetName,
			Seeds: s.seeds(),
			Seed:  s.plan.Seed*1_000_003 + uint64(i),
		}}
		for _, b := range balancers {
			place := s.plan.BalancerPlaces[b]
			h.config.Balancers = append(h.config.Balancers, hollowBalancer{
				Index:   b,
				Name:    fmt.Sprintf("b%d", b),
				Machine: fmt.Sprintf("m-b%d", b),
				Zone:    zoneName(place),
				Site:    regionName(place),
			})
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for i, h := range s.hosts {
		if err := h.sendRequest(hollowRequest{Start: s.balancersByHost[i]}); err != nil {
			return err
		}
	}
	return nil
}

// recordEvents records the events of hollow balancers in the ledger.
func (s *scaleCluster) recordEvents(_ *hollowProcess, events []hollowEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range events {
		switch event.Kind {
		case eventStarted:
			s.ledger.RecordStart(event.Balancer, event.At)
		case eventStopped:
			s.ledger.RecordEnd(event.Balancer, event.At)
		case eventApplied:
			s.ledger.RecordApplied(event.Balancer, event.Version, event.At)
		}
	}
}

// status requests the status of all hollow balancer processes concurrently and returns the sum.
func (s *scaleCluster) status(withFinal bool) (*hollowStatus, error) {
	number := s.nextStatusNumber()
	statuses := make([]*hollowStatus, len(s.hosts))
	errs := make([]error, len(s.hosts))
	var pending sync.WaitGroup
	for i, h := range s.hosts {
		pending.Go(func() { statuses[i], errs[i] = h.status(number, withFinal) })
	}
	pending.Wait()
	sum := newHollowStatus(number)
	for _, status := range statuses {
		sum.add(status)
	}
	return sum, errors.Join(errs...)
}

// connectionSpread returns the distribution of the balancers' connections over the control processes that run.
func (s *scaleCluster) connectionSpread(status *hollowStatus) scale.Spread {
	var connections []int
	for _, c := range s.controls {
		if c.isRunning() {
			connections = append(connections, status.Publishers[c.Addr.String()])
		}
	}
	return scale.NewSpread(connections)
}

// nextStatusNumber returns a new number for a status request.
func (s *scaleCluster) nextStatusNumber() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStatusNumber++
	return s.lastStatusNumber
}

// clusterMemory is the resident memory of the processes of a scale test, in MB.
type clusterMemory struct {
	balancersMB float64   // sum of all hollow balancer processes
	controlMB   []float64 // each control process by index, 0 for one that does not run
	otherMB     float64   // sum of this process and the forwarder processes
}

func (m *clusterMemory) total() float64 {
	total := m.balancersMB + m.otherMB
	for _, megabytes := range m.controlMB {
		total += megabytes
	}
	return total
}

func (s *scaleCluster) memoryUse() clusterMemory {
	var memory clusterMemory
	for _, h := range s.hosts {
		if pid := h.pid(); pid > 0 {
			memory.balancersMB += residentMB(pid)
		}
	}
	memory.otherMB = residentMB(os.Getpid())
	for _, f := range s.forwarders {
		memory.otherMB += residentMB(f.cmd.Process.Pid)
	}
	for _, c := range s.controls {
		megabytes := 0.0
		if c.isRunning() {
			megabytes = residentMB(c.Pid())
		}
		memory.controlMB = append(memory.controlMB, megabytes)
	}
	return memory
}

// close ends all processes and removes their directory.
func (s *scaleCluster) close() {
	var pending sync.WaitGroup
	for _, h := range s.hosts {
		pending.Go(func() { h.stop(false) })
	}
	for _, c := range s.controls {
		if c.Process == nil {
			continue
		}
		pending.Go(func() {
			if c.Exited() != nil {
				c.Kill()
			}
		})
	}
	pending.Wait()
	for _, f := range s.forwarders {
		f.close()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

// unreadyControls describes the control processes that do not run, do not see all others, or have not published the version. It returns ""
// if all are ready.
func (s *scaleCluster) unreadyControls(version uint64) string {
	problems := make([]string, len(s.controls))
	var pending sync.WaitGroup
	for i, c := range s.controls {
		pending.Go(func() { problems[i] = s.describeUnready(c, version) })
	}
	pending.Wait()
	return strings.Join(slices.DeleteFunc(problems, func(problem string) bool { return problem == "" }), ", ")
}

// describeUnready returns the reason why a control process is not ready, or "" if it is.
func (s *scaleCluster) describeUnready(c *controlProcess, version uint64) string {
	report, err := c.Fleet()
	switch {
	case !c.isRunning():
		return c.Name + " does not run"
	case err != nil:
		return err.Error()
	case report.Alive != len(s.controls) || report.Store == nil || report.Store.Members != len(s.controls):
		return fmt.Sprintf("%s sees %d control processes alive", c.Name, report.Alive)
	case !isCurrent(report.Publisher, version):
		return c.Name + " is not current"
	default:
		return ""
	}
}

// isCurrent reports whether a publisher has at least the version, and a valid lease.
func isCurrent(publisher *fleet.PublisherReport, version uint64) bool {
	if publisher == nil || publisher.Version < version {
		return false
	}
	return publisher.Age >= 0 && publisher.Age <= changefeed.DefaultLease.Seconds()
}

// waitForAgreedState waits until all control processes that run have the same state, and returns it.
func (s *scaleCluster) waitForAgreedState() (feedState, error) {
	for deadline := time.Now().Add(agreementTimeout); ; time.Sleep(pollInterval) {
		states, err := s.publisherStates()
		if err == nil && len(states) == 1 {
			for state := range states {
				return state, nil
			}
		}
		if time.Now().After(deadline) {
			return feedState{}, errors.Join(err, fmt.Errorf("control processes have not reached the same state within %v: %v", agreementTimeout, states))
		}
	}
}

// publisherStates returns the states that the running control processes publish, each with the name of one process that has it. With an
// error, it returns the states of the processes that were queried before the error.
func (s *scaleCluster) publisherStates() (map[feedState]string, error) {
	states := map[feedState]string{}
	for _, c := range s.controls {
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
