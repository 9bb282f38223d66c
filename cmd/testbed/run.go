package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/report"
	"sabletally/internal/lab/simulation"
)

// runCmd runs an experiment, each arm with each seed, and reports whether the rules were kept.
type runCmd struct {
	File   string   `arg:"" help:"Experiment file (.hcl)."`
	Report string   `help:"Folder for report.json and report.html." type:"path" placeholder:"DIR"`
	Seeds  []uint64 `help:"Seeds in place of the file's."`
	Arms   []string `name:"arm" help:"Only these arms." placeholder:"NAME"`
	Events string   `help:"Folder for the events of each run, as text." type:"path" placeholder:"DIR"`
	Logs   string   `help:"Folder for the balancers' logs." type:"path" placeholder:"DIR"`
	Steps  bool     `help:"Print each step of the fault schedule as it is carried out (sockets)."`
}

// maxViolationsPrinted limits the violations printed for each run; the report has more.
const maxViolationsPrinted = 3

func (c *runCmd) Run(env *commandEnv) error {
	x, err := c.load()
	if err != nil {
		return err
	}
	for _, dir := range []string{c.Events, c.Logs} {
		if dir == "" {
			continue
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
	}
	r := &report.Report{
		Name:    x.Name,
		Title:   x.Title,
		Mode:    x.Mode,
		Command: "testbed " + strings.Join(os.Args[1:], " "),
		Made:    time.Now(),
		Cores:   runtime.NumCPU(),
	}
	if x.Mode == experiment.Virtual {
		err = c.runVirtual(env, x, r)
	} else {
		err = c.runSockets(env, x, r)
	}
	showProgress("")
	if err != nil {
		return err
	}
	r.Summarize()
	printReport(r)
	if c.Report != "" {
		if err := r.Write(c.Report); err != nil {
			return err
		}
	}
	if !r.Kept {
		return errRuleBroken
	}
	return nil
}

// load reads the experiment and applies the flags that select seeds and arms.
func (c *runCmd) load() (*experiment.Experiment, error) {
	x, err := experiment.Load(c.File)
	if err != nil {
		return nil, err
	}
	if len(c.Seeds) > 0 {
		x.Seeds = c.Seeds
	}
	x.Arms, err = selectArms(x.Arms, c.Arms)
	return x, err
}

func printReport(r *report.Report) {
	fmt.Print(r.Text())
	for _, run := range r.Runs {
		fmt.Printf("verdict %s seed %d: %s\n", run.Arm, run.Seed, run.Verdict)
		for _, violation := range run.Broken[:min(maxViolationsPrinted, len(run.Broken))] {
			fmt.Println("  ", violation)
		}
	}
}

// selectArms returns the arms with the given names, in the order of the names. Without names, it returns all arms.
func selectArms(arms []experiment.Arm, names []string) ([]experiment.Arm, error) {
	if len(names) == 0 {
		return arms, nil
	}
	var selected []experiment.Arm
	for _, name := range names {
		index := slices.IndexFunc(arms, func(a experiment.Arm) bool { return a.Name == name })
		if index < 0 {
			return nil, fmt.Errorf("the experiment has no arm %q", name)
		}
		selected = append(selected, arms[index])
	}
	return selected, nil
}

// job is one run of an experiment: an arm with a seed.
type job struct {
	arm  experiment.Arm
	seed uint64
}

// listJobs returns all runs of an experiment, ordered by seed.
func listJobs(x *experiment.Experiment) []job {
	var all []job
	for _, seed := range x.Seeds {
		for _, arm := range x.Arms {
			all = append(all, job{arm: arm, seed: seed})
		}
	}
	return all
}

// runVirtual runs all jobs in virtual time. They run concurrently, as they do not influence each other.
func (c *runCmd) runVirtual(env *commandEnv, x *experiment.Experiment, r *report.Report) error {
	all := listJobs(x)
	r.Runs = make([]report.Run, len(all))
	errs := make([]error, len(all))
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var pending sync.WaitGroup
	var mu sync.Mutex
	finished := 0
	for i, j := range all {
		slots <- struct{}{}
		if env.ctx.Err() != nil {
			return env.ctx.Err()
		}
		pending.Go(func() {
			r.Runs[i], errs[i] = c.simulate(x, j)
			mu.Lock()
			finished++
			showProgress("%s: %d of %d runs", x.Name, finished, len(all))
			mu.Unlock()
			<-slots
		})
	}
	pending.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// simulate runs one job in virtual time.
func (c *runCmd) simulate(x *experiment.Experiment, j job) (report.Run, error) {
	run, events, _, err := simulation.Run(x.World, j.arm.Policy, j.seed)
	run.Arm = j.arm.Name
	run.Seed = j.seed
	if err != nil {
		return run, err
	}
	return run, c.saveEvents(run, events)
}

// runSockets runs all jobs with real processes, one at a time and ordered by seed, so that changes of the machine's speed affect all arms
// alike.
func (c *runCmd) runSockets(env *commandEnv, x *experiment.Experiment, r *report.Report) error {
	all := listJobs(x)
	for i, j := range all {
		showProgress("%s: run %d of %d, %s, %v", x.Name, i+1, len(all), j.arm.Name, x.World.Load.Length)
		run, events, err := c.runOnSockets(env, x, j)
		if err != nil {
			return fmt.Errorf("%s, seed %d: %w", j.arm.Name, j.seed, err)
		}
		if err := c.saveEvents(run, events); err != nil {
			return err
		}
		r.Runs = append(r.Runs, run)
	}
	return nil
}

// runOnSockets runs one job with real processes.
func (c *runCmd) runOnSockets(env *commandEnv, x *experiment.Experiment, j job) (report.Run, []history.Event, error) {
	world := x.World
	world.Limits = j.arm.Limits
	armCluster, err := cluster.Start(world, cluster.Arm{Name: j.arm.Name, Command: env.balancerCommand(j.arm), Env: j.arm.Env, Logs: c.Logs}, j.seed)
	if err != nil {
		return report.Run{}, nil, err
	}
	defer armCluster.Close()
	var onStep func(time.Duration, string)
	if c.Steps {
		onStep = func(at time.Duration, text string) { fmt.Printf("%7.2fs %s\n", at.Seconds(), text) }
	}
	run, events, _, err := armCluster.Run(env.ctx, onStep)
	run.Arm = j.arm.Name
	run.Seed = j.seed
	if err == nil {
		err = env.ctx.Err()
	}
	return run, events, err
}

// balancerCommand returns the command that starts an arm's balancer.
func (env *commandEnv) balancerCommand(a experiment.Arm) []string {
	switch {
	case a.Policy != "":
		return []string{env.executable, "balancer", "--policy", a.Policy}
	case a.Broken != "":
		return []string{env.executable, "balancer", "--broken", a.Broken}
	case a.Binary != "":
		return []string{a.Binary}
	}
	return []string{env.siblingProgram("sabletally")}
}

// saveEvents writes the events of a run to a file if --events is set.
func (c *runCmd) saveEvents(run report.Run, events []history.Event) error {
	if c.Events == "" {
		return nil
	}
	return writeEvents(filepath.Join(c.Events, fmt.Sprintf("%s-%d.txt", run.Arm, run.Seed)), events)
}

func writeEvents(path string, events []history.Event) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(history.Write(file, events), file.Close())
}

// checkCmd checks experiment files without running them.
type checkCmd struct {
	Files []string `arg:"" help:"Experiment files."`
}

func (c *checkCmd) Run(*commandEnv) error {
	var all hclconfig.Diagnostics
	for _, path := range c.Files {
		x, err := experiment.Load(path)
		var diagnostics hclconfig.Diagnostics
		if errors.As(err, &diagnostics) {
			all = append(all, diagnostics...)
			continue
		}
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s, %d arms, %d seeds, %d servers, %d balancers, %d faults\n", path, x.Mode, len(x.Arms), len(x.Seeds),
			len(x.World.Machines), x.World.Balancers, len(x.World.Faults))
	}
	if len(all) > 0 {
		return all
	}
	return nil
}
