package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"sabletally/internal/lab/bench"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

// throughputCmd measures set-ups and lines per second, latency and memory of balancers. Each pair of a binary and a number of cores is an
// arm. The arm "direct", to which the others are compared, connects the same clients to the servers without a balancer.
type throughputCmd struct {
	Binary []string      `help:"Balancer binaries (NAME=PATH); by default the one beside the testbed." placeholder:"NAME=PATH"`
	Cores  []int         `default:"1,2,4" help:"Cores of the balancer."`
	Rounds int           `default:"3" help:"Rounds; all arms run in each, and the median counts."`
	Span   time.Duration `default:"2s" help:"Length of one measurement."`
	Lines  int           `default:"200" help:"Sessions that carry lines."`
	Window int           `default:"1" help:"Lines in flight on a session."`
	Idle   int           `default:"5000" help:"Idle sessions while memory is measured; 0: none."`
	Setups float64       `default:"1000" help:"Set-ups per second while their latency is measured."`
	Rate   float64       `default:"5000" help:"Lines per second while their latency is measured."`
	Report string        `help:"File for the figures as JSON." type:"path" placeholder:"FILE"`
}

// throughputFigures are the figures of one arm as written to the report. Rates and latencies are medians over the rounds; latencies are in
// microseconds.
type throughputFigures struct {
	Arm            string
	Cores          int
	Setups         float64 // number of set-ups per second, by setupWorkers that never pause
	Lines          float64 // number of lines per second, with --window in flight on each session
	SetupP50       float64 // median latency of a set-up at --setups per second
	SetupP99       float64 // 99th percentile of the latency of a set-up at --setups per second
	LineP50        float64 // median latency of a line at --rate per second
	LineP99        float64 // 99th percentile of the latency of a line at --rate per second
	FloodP99       float64 // 99th percentile of the latency of a line at --rate per second while another session sends at full speed
	IdleKiB        float64 // resident memory of the balancer per idle session
	SetupsOfDirect float64 // ratio of Setups to that of the direct arm
	LinesOfDirect  float64 // ratio of Lines to that of the direct arm
	Failed         int     // number of failed set-ups and of failed lines at --rate, summed over all rounds
}

// roundFigures are the figures of one arm, with one value for each round.
type roundFigures struct {
	setups   []float64
	lines    []float64
	setupP50 []float64
	setupP99 []float64
	lineP50  []float64
	lineP99  []float64
	floodP99 []float64
}

// throughputArm is one arm of the measurement: a target and, except for the direct arm, the balancer that listens there.
type throughputArm struct {
	throughputFigures
	rounds  roundFigures
	command []string
	process *cluster.Process
	agent   *emulator.Agent
	target  *bench.Target
}

const (
	benchServers   = 8
	setupWorkers   = 64              // number of concurrent set-ups while their rate is measured
	idleSettleTime = 2 * time.Second // time for a balancer to release the memory that it needed only for set-ups
)

func (c *throughputCmd) Run(env *commandEnv) error {
	if c.Rounds < 1 || c.Lines < 1 || c.Window < 1 {
		return errors.New("--rounds, --lines and --window must be at least 1")
	}
	var addrs []string
	for range benchServers {
		server, err := bench.NewServer()
		if err != nil {
			return err
		}
		defer server.Close()
		addrs = append(addrs, server.Addr())
	}
	dir, err := os.MkdirTemp("", "testbed")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	balancers, err := c.balancerArms(env)
	if err != nil {
		return err
	}
	for i, arm := range balancers {
		if err := arm.startBalancer(i, dir, addrs, c.Idle); err != nil {
			return err
		}
		defer arm.process.Kill()
		defer arm.agent.Close()
	}
	direct := &throughputArm{throughputFigures: throughputFigures{Arm: "direct"}, target: bench.NewTarget(addrs...)}
	arms := append([]*throughputArm{direct}, balancers...)
	if err := c.measureRounds(env, arms); err != nil {
		return err
	}
	if c.Idle > 0 {
		if err := c.measureIdle(balancers); err != nil {
			return err
		}
	}
	showProgress("")
	for _, arm := range arms {
		arm.summarize()
		arm.compareWithDirect(direct)
	}
	c.printTable(arms)
	return c.writeReport(arms)
}

// balancerArms returns the arms with a balancer: each binary with each number of cores.
func (c *throughputCmd) balancerArms(env *commandEnv) ([]*throughputArm, error) {
	binaries := c.Binary
	if len(binaries) == 0 {
		binaries = []string{"sabletally=" + env.siblingProgram("sabletally")}
	}
	var arms []*throughputArm
	for _, binary := range binaries {
		name, path, found := strings.Cut(binary, "=")
		if !found {
			return nil, fmt.Errorf("--binary %q does not have the form NAME=PATH", binary)
		}
		for _, cores := range c.Cores {
			arms = append(arms, &throughputArm{throughputFigures: throughputFigures{Arm: name, Cores: cores}, command: []string{path}})
		}
	}
	return arms, nil
}

// startBalancer starts an arm's balancer without health checks and with enough descriptors for the idle sessions.
func (a *throughputArm) startBalancer(index int, dir string, servers []string, idle int) error {
	agent, err := emulator.NewAgent(index, &emulator.Clock{}, history.New(1000), func(string) int { return 0 })
	if err != nil {
		return err
	}
	for i, address := range servers {
		agent.Set(emulator.Endpoint{UID: fmt.Sprintf("s-%d", i), Address: address, Zone: cluster.ZoneName(0), State: emulator.InService, Weight: 1})
	}
	a.agent = agent
	if a.process, err = cluster.NewProcess(fmt.Sprintf("%s-%d", a.Arm, a.Cores), a.command, nil, dir, nil); err != nil {
		return err
	}
	a.process.CPUs = a.Cores
	world := throughputWorld(a.Cores, idle)
	if err := a.process.WriteConfig(cluster.BalancerConfig(world, 0, a.process.Addr, agent.Addr(), 7, agent.InitialList())); err != nil {
		return err
	}
	a.target = bench.NewTarget(a.process.Addr)
	return a.process.Start()
}

// throughputWorld returns the deployment of an arm's balancer.
func throughputWorld(cores, idle int) *topology.World {
	return &topology.World{
		Balancers:        1,
		Zones:            1,
		ClassNames:       []string{"feed"},
		Deadlines:        []time.Duration{time.Minute},
		MessageObjective: 10 * time.Second,
		DrainGrace:       time.Second,
		ConnectTimeout:   10 * time.Second,
		Deployment: policy.Config{
			Classes:          []policy.Class{{SetupObjective: 10 * time.Second, MessageObjective: 10 * time.Second, PriorityWeight: 1}},
			MaxAttempts:      3,
			OverloadMultiple: 3,
			OverloadWindow:   time.Second,
			SlowStartFloor:   1,
			SlowStartWindow:  time.Second,
		},
		Limits: topology.Limits{Cores: float64(cores), MemoryMB: 4096, Sockets: 2*idle + 8192},
	}
}

// measureRounds measures all arms, one after the other in each round.
func (c *throughputCmd) measureRounds(env *commandEnv, arms []*throughputArm) error {
	for round := range c.Rounds {
		for _, arm := range arms {
			if env.ctx.Err() != nil {
				return env.ctx.Err()
			}
			showProgress("throughput: round %d of %d, %s %d", round+1, c.Rounds, arm.Arm, arm.Cores)
			if err := c.measureRound(env, arm); err != nil {
				return fmt.Errorf("%s, %d cores: %w", arm.Arm, arm.Cores, err)
			}
		}
	}
	return nil
}

// measureRound measures each figure of an arm once, except for the memory of idle sessions.
func (c *throughputCmd) measureRound(env *commandEnv, arm *throughputArm) error {
	setups := bench.SetupRate(arm.target, setupWorkers, c.Span)
	pacedSetups := bench.PacedSetups(arm.target, c.Setups, c.Span)
	connections, err := bench.OpenConnections(arm.target, c.Lines)
	if err != nil {
		return err
	}
	lines := connections.Lines(env.ctx, c.Window, c.Span)
	pacedLines := connections.PacedLines(c.Rate, c.Span)
	stopFlood, err := bench.StartFlood(arm.target)
	if err != nil {
		return err
	}
	linesDuringFlood := connections.PacedLines(c.Rate, c.Span)
	stopFlood()
	connections.Close()
	r := &arm.rounds
	r.setups = append(r.setups, setups.PerSecond)
	r.lines = append(r.lines, lines.PerSecond)
	r.setupP50 = append(r.setupP50, pacedSetups.P50)
	r.setupP99 = append(r.setupP99, pacedSetups.P99)
	r.lineP50 = append(r.lineP50, pacedLines.P50)
	r.lineP99 = append(r.lineP99, pacedLines.P99)
	r.floodP99 = append(r.floodP99, linesDuringFlood.P99)
	arm.Failed += setups.Failed + pacedSetups.Failed + pacedLines.Failed
	return nil
}

// measureIdle measures the memory of idle sessions in a new process of each arm, because memory that the rounds left allocated would be
// reused for the sessions and hide their share.
func (c *throughputCmd) measureIdle(balancers []*throughputArm) error {
	for _, arm := range balancers {
		showProgress("throughput: %d idle sessions at %s %d", c.Idle, arm.Arm, arm.Cores)
		arm.process.Kill()
		if err := arm.process.Start(); err != nil {
			return err
		}
		before := arm.process.RSS()
		connections, err := bench.OpenConnections(arm.target, c.Idle)
		if err != nil {
			return fmt.Errorf("%s, %d cores: %w", arm.Arm, arm.Cores, err)
		}
		time.Sleep(idleSettleTime)
		arm.IdleKiB = float64(arm.process.RSS()-before) / float64(c.Idle)
		connections.Close()
	}
	return nil
}

// median sorts values and returns the median. For an even number of values, it is the higher of the middle two.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// summarize sets the arm's figures to the medians over its rounds.
func (a *throughputArm) summarize() {
	a.Setups = median(a.rounds.setups)
	a.Lines = median(a.rounds.lines)
	a.SetupP50 = median(a.rounds.setupP50)
	a.SetupP99 = median(a.rounds.setupP99)
	a.LineP50 = median(a.rounds.lineP50)
	a.LineP99 = median(a.rounds.lineP99)
	a.FloodP99 = median(a.rounds.floodP99)
}

// compareWithDirect sets the ratios to the direct arm.
func (a *throughputArm) compareWithDirect(direct *throughputArm) {
	a.SetupsOfDirect = a.Setups / direct.Setups
	a.LinesOfDirect = a.Lines / direct.Lines
}

func (c *throughputCmd) printTable(arms []*throughputArm) {
	fmt.Printf("%d rounds of %v, %d servers, %d sessions with lines, %d in flight on each, on a machine of %d cores\n\n",
		c.Rounds, c.Span, benchServers, c.Lines, c.Window, runtime.NumCPU())
	fmt.Printf("| arm | cores | set-ups/s | of direct | set-up p50/p99 us at %.0f/s | lines/s | of direct | line p50/p99 us at %.0f/s | "+
		"p99 beside a flood | KiB an idle circuit | failed |\n", c.Setups, c.Rate)
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, arm := range arms {
		cores, idle := "-", "-"
		if arm.Cores > 0 {
			cores = strconv.Itoa(arm.Cores)
		}
		if arm.IdleKiB > 0 {
			idle = fmt.Sprintf("%.1f", arm.IdleKiB)
		}
		fmt.Printf("| %s | %s | %.0f | %.2f | %.0f/%.0f | %.0f | %.2f | %.0f/%.0f | %.0f | %s | %d |\n",
			arm.Arm, cores, arm.Setups, arm.SetupsOfDirect, arm.SetupP50, arm.SetupP99,
			arm.Lines, arm.LinesOfDirect, arm.LineP50, arm.LineP99, arm.FloodP99, idle, arm.Failed)
	}
}

// writeReport writes the figures of all arms as JSON if --report is set.
func (c *throughputCmd) writeReport(arms []*throughputArm) error {
	if c.Report == "" {
		return nil
	}
	var figures []throughputFigures
	for _, arm := range arms {
		figures = append(figures, arm.throughputFigures)
	}
	if err := os.MkdirAll(filepath.Dir(c.Report), 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(figures, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Report, text, 0o644)
}
