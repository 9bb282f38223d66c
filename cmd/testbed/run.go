// This file owns experiments: arms and seeds interleaved, the report, and what they exit with.

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/experiment"
	"sabletally/internal/lab/history"
	"sabletally/internal/lab/report"
	"sabletally/internal/lab/simulation"
)

type runCmd struct {
	File   string   `arg:"" help:"Experiment file (.hcl)."`
	Report string   `help:"Folder for report.json and report.html." type:"path" placeholder:"DIR"`
	Seeds  []uint64 `help:"Seeds in place of the file's."`
	Arms   []string `name:"arm" help:"Only these arms." placeholder:"NAME"`
	Events string   `help:"Folder for the events of each run, as text." type:"path" placeholder:"DIR"`
	Logs   string   `help:"Folder for the balancers' logs." type:"path" placeholder:"DIR"`
	Steps  bool     `help:"Print each step of the timetable as it is carried out (sockets)."`
}

func (c *runCmd) Run(l *lab) error {
	x, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	if len(c.Seeds) > 0 {
		x.Seeds = c.Seeds
	}
	if x.Arms, err = chosen(x.Arms, c.Arms); err != nil {
		return err
	}
	for _, dir := range []string{c.Events, c.Logs} {
		if dir != "" {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
		}
	}
	r := &report.Report{Name: x.Name, Title: x.Title, Mode: x.Mode, Command: "testbed " + strings.Join(os.Args[1:], " "), Made: time.Now(), Cores: runtime.NumCPU()}
	if x.Mode == experiment.Virtual {
		err = c.virtual(l, x, r)
	} else {
		err = c.sockets(l, x, r)
	}
	progress("")
	if err != nil {
		return err
	}
	r.Summarize()
	fmt.Print(r.Text())
	for _, run := range r.Runs {
		fmt.Printf("verdict %s seed %d: %s\n", run.Arm, run.Seed, run.Verdict)
		for _, b := range run.Broken[:min(3, len(run.Broken))] {
			fmt.Println("  ", b)
		}
	}
	if c.Report != "" {
		if err := r.Write(c.Report); err != nil {
			return err
		}
	}
	if !r.Kept {
		return errBroken
	}
	return nil
}

func chosen(all []experiment.Arm, names []string) ([]experiment.Arm, error) {
	if len(names) == 0 {
		return all, nil
	}
	var some []experiment.Arm
	for _, n := range names {
		found := false
		for _, a := range all {
			if a.Name == n {
				some, found = append(some, a), true
			}
		}
		if !found {
			return nil, fmt.Errorf("the file has no arm %q", n)
		}
	}
	return some, nil
}

// virtual runs all arms and seeds beside each other: each is one goroutine and has a seed of its own.
func (c *runCmd) virtual(l *lab, x *experiment.Experiment, r *report.Report) error {
	type job struct {
		arm  experiment.Arm
		seed uint64
	}
	var jobs []job
	for _, seed := range x.Seeds {
		for _, a := range x.Arms {
			jobs = append(jobs, job{a, seed})
		}
	}
	r.Runs = make([]report.Run, len(jobs))
	errs := make([]error, len(jobs))
	room := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var all sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, j := range jobs {
		room <- struct{}{}
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
		all.Add(1)
		go func() {
			defer all.Done()
			run, events, _, err := simulation.Run(x.World, j.arm.Policy, j.seed)
			run.Arm, run.Seed = j.arm.Name, j.seed
			if err == nil {
				err = c.keep(run, events)
			}
			r.Runs[i], errs[i] = run, err
			mu.Lock()
			done++
			progress("%s: %d of %d runs", x.Name, done, len(jobs))
			mu.Unlock()
			<-room
		}()
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sockets runs arms one after the other, seed by seed: what the machine does meanwhile meets all arms alike.
func (c *runCmd) sockets(l *lab, x *experiment.Experiment, r *report.Report) error {
	n := 0
	for _, seed := range x.Seeds {
		for _, a := range x.Arms {
			n++
			progress("%s: run %d of %d, %s, %v", x.Name, n, len(x.Seeds)*len(x.Arms), a.Name, x.World.Load.Length)
			run, events, _, err := c.one(l, x, a, seed)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", a.Name, seed, err)
			}
			if err := c.keep(run, events); err != nil {
				return err
			}
			r.Runs = append(r.Runs, run)
		}
	}
	return nil
}

func (c *runCmd) one(l *lab, x *experiment.Experiment, a experiment.Arm, seed uint64) (report.Run, []history.Event, checker.Verdict, error) {
	w := x.World
	w.Limits = a.Limits
	f, err := cluster.Start(w, cluster.Arm{Name: a.Name, Command: l.command(a), Env: a.Env, Logs: c.Logs}, seed)
	if err != nil {
		return report.Run{}, nil, checker.Verdict{}, err
	}
	defer f.Close()
	var note func(time.Duration, string)
	if c.Steps {
		note = func(at time.Duration, text string) { fmt.Printf("%7.2fs %s\n", at.Seconds(), text) }
	}
	run, events, v, err := f.Run(l.ctx, note)
	run.Arm, run.Seed = a.Name, seed
	if err == nil {
		err = l.ctx.Err()
	}
	return run, events, v, err
}

// command is what starts an arm's balancer.
func (l *lab) command(a experiment.Arm) []string {
	switch {
	case a.Policy != "":
		return []string{l.self, "balancer", "--policy", a.Policy}
	case a.Broken != "":
		return []string{l.self, "balancer", "--broken", a.Broken}
	case a.Binary != "":
		return []string{a.Binary}
	}
	return []string{l.beside("sabletally")}
}

// keep writes a run's events where that is asked for.
func (c *runCmd) keep(run report.Run, events []history.Event) error {
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
	err = history.Write(io.Writer(file), events)
	if again := file.Close(); err == nil {
		err = again
	}
	return err
}

type checkCmd struct {
	Files []string `arg:"" help:"Experiment files."`
}

func (c *checkCmd) Run(*lab) error {
	var all hclconfig.Diagnostics
	for _, path := range c.Files {
		x, err := experiment.Load(path)
		var faults hclconfig.Diagnostics
		if errors.As(err, &faults) {
			all = append(all, faults...)
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
