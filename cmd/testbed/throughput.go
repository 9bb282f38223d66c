// This file owns the throughput experiment: builds and cores as arms, and the same clients straight to the servers.

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"sabletally/internal/lab/bench"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

type throughputCmd struct {
	Binary []string      `help:"Builds of the balancer (NAME=PATH); the one beside the lab if none is told." placeholder:"NAME=PATH"`
	Cores  []int         `default:"1,2,4" help:"Cores of the balancer."`
	Rounds int           `default:"3" help:"Rounds; arms take turns in each, and the middle figure counts."`
	Span   time.Duration `default:"2s" help:"Length of one measurement."`
	Lines  int           `default:"200" help:"Circuits that carry lines."`
	Window int           `default:"1" help:"Lines that a circuit has out at a time."`
	Idle   int           `default:"5000" help:"Circuits that stand idle while memory is taken; 0: none."`
	Setups float64       `default:"1000" help:"Set-ups a second while their latency is taken."`
	Rate   float64       `default:"5000" help:"Lines a second while their latency is taken."`
	Report string        `help:"File for the figures as JSON." type:"path" placeholder:"FILE"`
}

// throughput is one arm's figures: the middle of all rounds.
type throughput struct {
	Arm                                       string
	Cores                                     int
	Setups, Lines                             float64 // a second
	SetupP50, SetupP99                        float64 // microseconds, at the rate that was told
	LineP50, LineP99                          float64
	FloodP99                                  float64 // of a line at the same rate, beside one circuit that floods
	IdleKiB                                   float64 // memory of an idle circuit
	SetupsOfDirect, LinesOfDirect             float64
	Failed                                    int
	setups, lines                             []float64
	setup50, setup99, line50, line99, flood99 []float64
}

// arm is one target with what starts it.
type throughputArm struct {
	throughput
	command []string
	process *cluster.Process
	agent   *emulator.Agent
	target  *bench.Target
}

const benchServers = 8

func (c *throughputCmd) Run(l *lab) error {
	if c.Rounds < 1 || c.Lines < 1 || c.Window < 1 {
		return fmt.Errorf("rounds, lines and window: one at least")
	}
	var addrs []string
	for range benchServers {
		s, err := bench.NewServer()
		if err != nil {
			return err
		}
		defer s.Close()
		addrs = append(addrs, s.Addr())
	}
	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	arms := []*throughputArm{{throughput: throughput{Arm: "direct"}, target: bench.NewTarget(addrs...)}}
	binaries := c.Binary
	if len(binaries) == 0 {
		binaries = []string{"sabletally=" + l.beside("sabletally")}
	}
	for _, b := range binaries {
		name, path, told := strings.Cut(b, "=")
		if !told {
			return fmt.Errorf("binary %q: wants NAME=PATH", b)
		}
		for _, cores := range c.Cores {
			arms = append(arms, &throughputArm{throughput: throughput{Arm: name, Cores: cores}, command: []string{path}})
		}
	}
	for n, a := range arms[1:] {
		if err := a.start(n, dir, addrs, c.Idle); err != nil {
			return err
		}
		defer a.process.Kill()
		defer a.agent.Close()
	}
	for round := range c.Rounds {
		for _, a := range arms {
			if l.ctx.Err() != nil {
				return l.ctx.Err()
			}
			progress("throughput: round %d of %d, %s %d", round+1, c.Rounds, a.Arm, a.Cores)
			if err := c.measure(l, a); err != nil {
				return fmt.Errorf("%s, %d cores: %w", a.Arm, a.Cores, err)
			}
		}
	}
	for _, a := range arms[1:] {
		if c.Idle == 0 {
			break
		}
		progress("throughput: %d idle circuits at %s %d", c.Idle, a.Arm, a.Cores)
		a.process.Kill() // a fresh one: what the rounds left in its memory would hide what a circuit takes
		if err := a.process.Start(); err != nil {
			return err
		}
		before := a.process.RSS()
		s, err := bench.OpenConnections(a.target, c.Idle)
		if err != nil {
			return fmt.Errorf("%s, %d cores: %w", a.Arm, a.Cores, err)
		}
		time.Sleep(2 * time.Second) // what their set-up left over is given back by then, or counts
		a.IdleKiB = float64(a.process.RSS()-before) / float64(c.Idle)
		s.Close()
	}
	progress("")
	return c.print(arms)
}

// start starts an arm's balancer, with nothing in its way: no probes, many descriptors.
func (a *throughputArm) start(num int, dir string, servers []string, idle int) error {
	w := topology.World{Balancers: 1, Zones: 1, ClassNames: []string{"feed"}, Deadlines: []time.Duration{time.Minute},
		MessageObjective: 10 * time.Second, DrainGrace: time.Second, ConnectTimeout: 10 * time.Second,
		Deployment: policy.Config{Classes: []policy.Class{{SetupObjective: 10 * time.Second, MessageObjective: 10 * time.Second, PriorityWeight: 1}},
			MaxAttempts: 3, OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartFloor: 1, SlowStartWindow: time.Second},
		Limits: topology.Limits{Cores: float64(a.Cores), MemoryMB: 4096, Sockets: 2*idle + 8192}}
	agent, err := emulator.NewAgent(num, &emulator.Clock{}, history.New(1000), func(string) int { return 0 })
	if err != nil {
		return err
	}
	for i, s := range servers {
		agent.Set(emulator.Endpoint{UID: fmt.Sprintf("s-%d", i), Address: s, Zone: cluster.ZoneName(0), State: emulator.InService, Weight: 1})
	}
	a.agent = agent
	if a.process, err = cluster.NewProcess(fmt.Sprintf("%s-%d", a.Arm, a.Cores), a.command, nil, dir, nil); err != nil {
		return err
	}
	a.process.CPUs = a.Cores
	if err := a.process.WriteConfig(cluster.BalancerConfig(&w, 0, a.process.Addr, agent.Addr(), 7, agent.Known())); err != nil {
		return err
	}
	a.target = bench.NewTarget(a.process.Addr)
	return a.process.Start()
}

// measure takes all of an arm's figures once.
func (c *throughputCmd) measure(l *lab, a *throughputArm) error {
	s := bench.SetupRate(a.target, 64, c.Span)
	paced := bench.PacedSetups(a.target, c.Setups, c.Span)
	standing, err := bench.OpenConnections(a.target, c.Lines)
	if err != nil {
		return err
	}
	lines := standing.Lines(l.ctx, c.Window, c.Span)
	slow := standing.PacedLines(c.Rate, c.Span)
	flood, err := bench.StartFlood(a.target)
	if err != nil {
		return err
	}
	beside := standing.PacedLines(c.Rate, c.Span)
	flood()
	standing.Close()
	a.flood99 = append(a.flood99, beside.P99)
	a.setups, a.lines = append(a.setups, s.PerSecond), append(a.lines, lines.PerSecond)
	a.setup50, a.setup99 = append(a.setup50, paced.P50), append(a.setup99, paced.P99)
	a.line50, a.line99 = append(a.line50, slow.P50), append(a.line99, slow.P99)
	a.Failed += s.Failed + paced.Failed + slow.Failed
	return nil
}

func middle(all []float64) float64 {
	slices.Sort(all)
	return all[len(all)/2]
}

func (c *throughputCmd) print(arms []*throughputArm) error {
	var all []throughput
	fmt.Printf("%d rounds of %v, %d servers, %d circuits with lines, %d out on each, on a machine of %d cores\n\n", c.Rounds, c.Span, benchServers, c.Lines, c.Window, runtime.NumCPU())
	fmt.Printf("| arm | cores | set-ups/s | of direct | set-up p50/p99 us at %.0f/s | lines/s | of direct | line p50/p99 us at %.0f/s | p99 beside a flood | KiB an idle circuit | failed |\n", c.Setups, c.Rate)
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, a := range arms {
		t := &a.throughput
		t.Setups, t.Lines = middle(t.setups), middle(t.lines)
		t.SetupP50, t.SetupP99, t.LineP50, t.LineP99 = middle(t.setup50), middle(t.setup99), middle(t.line50), middle(t.line99)
		t.FloodP99 = middle(t.flood99)
		t.SetupsOfDirect, t.LinesOfDirect = t.Setups/arms[0].Setups, t.Lines/arms[0].Lines
		idle := "-"
		if t.IdleKiB > 0 {
			idle = fmt.Sprintf("%.1f", t.IdleKiB)
		}
		fmt.Printf("| %s | %s | %.0f | %.2f | %.0f/%.0f | %.0f | %.2f | %.0f/%.0f | %.0f | %s | %d |\n", t.Arm, map[bool]string{true: "-", false: fmt.Sprint(t.Cores)}[t.Cores == 0],
			t.Setups, t.SetupsOfDirect, t.SetupP50, t.SetupP99, t.Lines, t.LinesOfDirect, t.LineP50, t.LineP99, t.FloodP99, idle, t.Failed)
		all = append(all, *t)
	}
	if c.Report == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(c.Report), 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Report, text, 0o644)
}
