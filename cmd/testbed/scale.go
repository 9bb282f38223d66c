package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"sabletally/internal/lab/scale"
)

// errTargetMissed is returned if a target was missed. The command prints the verdict before it returns this error, which is not printed.
var errTargetMissed = errors.New("a target was missed")

const judgeCounts = "counts" // value of --judge that leaves out the targets that depend on time

// scaleCmd runs a scale test: real control processes and many hollow balancers that subscribe to them, with configuration changes and faults.
type scaleCmd struct {
	Balancers     int           `default:"100" help:"Hollow balancers, which have no client connections."`
	Control       int           `default:"5" help:"Control processes."`
	Zones         int           `default:"3" help:"Zones; processes are assigned to them in turn."`
	Regions       int           `default:"1" help:"Regions; zones are assigned to them in turn."`
	ChangesPerDay int           `default:"21000" help:"Rate of configuration changes, per day."`
	Burst         int           `default:"100" help:"Additional changes within one second."`
	For           time.Duration `default:"1m" help:"Length of the run."`
	Seed          uint64        `default:"1" help:"Seed of changes and faults."`
	Faults        string        `default:"none" help:"none, day, rack, zone or region."`
	JSON          string        `name:"json" help:"File for the figures as JSON." type:"path" placeholder:"FILE"`
	Judge         string        `default:"all" enum:"all,counts" help:"Targets of the verdict: all, or counts only, which do not depend on the machine's speed."`
	Binary        string        `help:"Balancer binary; by default the one beside the testbed." type:"path" placeholder:"PATH"`
	Logs          string        `help:"Folder for the control processes' logs." type:"path" placeholder:"DIR"`
}

// Run runs the scale test and prints its verdict, even if the run was aborted.
func (c *scaleCmd) Run(env *commandEnv) error {
	if c.Binary == "" {
		c.Binary = env.siblingProgram("sabletally")
	}
	r, err := c.newRun()
	if err != nil {
		return err
	}
	hosts := r.plan.Hosts(balancersPerProcess)
	if err := r.checkMachine(hosts); err != nil {
		return err
	}
	err = r.run(env, hosts)
	showProgress("")
	switch {
	case env.ctx.Err() != nil:
		r.figures.Partial = "interrupted"
	case r.abortReason != "":
		r.figures.Partial = r.abortReason
	case err != nil:
		r.figures.Partial = err.Error()
	}
	return c.reportFigures(&r.figures)
}

// newRun checks the arguments and plans the run.
func (c *scaleCmd) newRun() (*scaleRun, error) {
	plan, err := scale.NewPlan(scale.Options{
		Balancers:     c.Balancers,
		Control:       c.Control,
		Zones:         c.Zones,
		Regions:       c.Regions,
		ChangesPerDay: c.ChangesPerDay,
		Burst:         c.Burst,
		Length:        c.For,
		Seed:          c.Seed,
		Faults:        c.Faults,
	})
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(c.Binary); err != nil {
		return nil, scale.BadArgument{Flag: "binary", Problem: fmt.Sprintf("%v; build both with: go build -o bin/ ./cmd/...", err)}
	}
	return &scaleRun{
		scaleCmd: c,
		plan:     plan,
		ledger:   scale.NewLedger(c.Balancers, len(plan.Changes)),
		figures: scale.RunFigures{
			Balancers:        c.Balancers,
			Control:          c.Control,
			Changes:          len(plan.Changes),
			Zones:            c.Zones,
			Regions:          c.Regions,
			Voters:           plan.Voters,
			Seed:             c.Seed,
			Faults:           c.Faults,
			FaultDescription: plan.FaultDescription,
		},
	}, nil
}

// reportFigures prints the figures and the verdict, and writes them to a file if --json is set. It returns errTargetMissed if a target was
// missed.
func (c *scaleCmd) reportFigures(figures *scale.RunFigures) error {
	targets := &scale.DefaultTargets
	if c.Judge == judgeCounts {
		targets = nil
	}
	missed := figures.Check(targets)
	figures.Verdict = scale.Verdict(missed)
	if figures.Partial == "" { // the table of a partial run would show zeros for figures that were not measured
		if err := figures.Print(os.Stdout, &scale.DefaultTargets); err != nil {
			return err
		}
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, figures); err != nil {
			return err
		}
	}
	fmt.Println(figures.Verdict)
	if len(missed) > 0 {
		return errTargetMissed
	}
	return nil
}

// writeJSON writes value to a file as indented JSON that ends with a newline.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
