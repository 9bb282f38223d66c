// This file runs a started cluster: the load, the fault schedule and the collection of figures and events, up to the verdict.

package cluster

import (
	"context"
	"sync"
	"time"

	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/faults"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/load"
	"sabletally/internal/lab/report"
)

// Run runs the world to its end and returns its figures, its events and the checker's verdict. onStep, if it is not nil, is called
// with the description of each step of the fault schedule. An error means that the testbed itself failed, or a balancer in an
// operation that the rules do not cover: a start, an upgrade, a drain or the return to its fleet.
func (c *Cluster) Run(ctx context.Context, onStep func(at time.Duration, text string)) (report.Run, []history.Event, checker.Verdict, error) {
	w := &c.World
	steps, _, err := faults.Expand(w.Faults, len(w.Machines), w.Balancers, c.seed)
	if err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	planned := load.Generate(w.Load, c.seed)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.Clock.Begin()
	clients := &emulator.Clients{Clock: c.Clock, Log: c.Log, Meter: c.Meter, PickBalancer: c.PickBalancer, ClassNames: w.ClassNames, Deadlines: w.Deadlines,
		MessageInterval: w.MessageInterval, MessageObjective: w.MessageObjective, Retry: w.Retry, Seed: c.seed}
	var running sync.WaitGroup
	running.Go(func() { clients.Run(ctx, planned) })
	running.Go(func() { c.collectFigures(ctx) })
	running.Go(func() { c.runSchedule(ctx, steps, clients, &running, onStep) })
	waitFor(ctx, time.Until(c.Clock.At(w.Load.Length)))
	end := c.Clock.Now()
	if c.members != nil {
		c.recordError(c.waitForQuorum())
	}
	groups := c.serversByGroup()
	stop()
	running.Wait()

	run := c.Meter.Run()
	for _, servers := range groups {
		run.Groups++
		run.GroupServers += servers
	}
	run.Late = float64(clients.MaxStartDelay().Milliseconds())
	c.endProcesses(&run)
	events := c.eventsUntil(end, &run)
	verdict := checker.Check(w.Rules(checkSlack, c.places), events, c.Log.Dropped(), end)
	run.SetVerdict(verdict)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.errs) > 0 {
		return run, events, verdict, c.errs[0]
	}
	return run, events, verdict, nil
}

// runSchedule carries out each step of the fault schedule at its time. Actions that take longer go on in goroutines, which running
// counts.
func (c *Cluster) runSchedule(ctx context.Context, steps []faults.Step, clients *emulator.Clients, running *sync.WaitGroup, onStep func(time.Duration, string)) {
	for _, step := range steps {
		if !waitFor(ctx, time.Until(c.Clock.At(step.At))) {
			return
		}
		if onStep != nil {
			onStep(c.Clock.Now(), describe(step))
		}
		c.applyStep(ctx, step, clients, running)
	}
}

// startedServers returns the servers that have started so far.
func (c *Cluster) startedServers() []*emulator.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Servers[:len(c.Servers):len(c.Servers)]
}

// serversByGroup returns, for each group of clients, the number of servers that have sessions of it.
func (c *Cluster) serversByGroup() map[uint64]int {
	groups := map[uint64]int{}
	for _, s := range c.startedServers() {
		for group := range s.Groups() {
			groups[group]++
		}
	}
	return groups
}

// endProcesses kills all balancers and sets their CPU time and memory in run.
func (c *Cluster) endProcesses(run *report.Run) {
	for _, p := range append(c.replaced, c.Processes...) {
		p.Kill()
		cpu, mb := p.TotalUsage()
		run.BalancerCPU += cpu.Seconds()
		run.BalancerMB = max(run.BalancerMB, mb)
		run.Balancers = append(run.Balancers, report.Usage{Name: p.Name, CPU: cpu.Seconds(), MB: mb})
	}
}

// eventsUntil returns the events up to the end of the run, and sets the figures in run that are counted from them. Later events are
// left out: the end of the run breaks sessions, which is no fault of a balancer.
func (c *Cluster) eventsUntil(end time.Duration, run *report.Run) []history.Event {
	var events []history.Event
	for _, e := range c.Log.Events() {
		if e.At > end {
			continue
		}
		events = append(events, e)
		switch {
		case e.Kind == history.AttemptReceived:
			run.Attempts++
		case e.Kind == history.AnswerReceived && e.Text == "busy" && e.At >= c.World.Load.WarmupTime:
			run.Rejections++
		}
	}
	return events
}

// collectFigures advances the servers' models and adds the figures of each interval to the meter.
func (c *Cluster) collectFigures(ctx context.Context) {
	for at := figureInterval; ; at += figureInterval {
		if !waitFor(ctx, time.Until(c.Clock.At(at))) {
			return
		}
		var loads []float64
		for _, s := range c.startedServers() {
			if utilization, ready := s.Tick(); ready {
				loads = append(loads, utilization)
			}
		}
		worst, mean, spread := report.LoadSummary(loads)
		c.Meter.Tick(at, figureInterval, 0, 0, worst, mean, spread)
	}
}
