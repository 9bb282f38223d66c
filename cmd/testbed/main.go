// Command testbed is the lab: worlds of stand-ins, load and faults round balancers under test, judged from what the
// stand-ins saw. It must never be needed to run a balancer.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"
	"golang.org/x/sys/unix"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/scale"
)

// Exit codes.
const (
	exitKept    = 0
	exitFailure = 1 // the lab itself could not do it
	exitBadFile = 2 // or a bad argument
	exitBroken  = 3
)

// errBroken says that a run broke a rule.
var errBroken = errors.New("a rule was broken")

// lab is what the subcommands share.
type lab struct {
	ctx  context.Context
	self string // this binary, which is also the host of baselines
}

// beside finds a program next to this one.
func (l *lab) beside(name string) string { return filepath.Join(filepath.Dir(l.self), name) }

// terminal tells whether standard error is one: only then is progress shown.
func terminal() bool {
	_, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS)
	return err == nil
}

// progress shows a line that the next one replaces; "" clears it.
func progress(format string, args ...any) {
	if terminal() {
		fmt.Fprintf(os.Stderr, "\r\x1b[K"+format, args...)
	}
}

var cli struct {
	Demo       demoCmd       `cmd:"" help:"Start a small world, one balancer and load, drain one server, crash another, and judge."`
	Run        runCmd        `cmd:"" help:"Run an experiment and judge it. Exit code 3: a rule was broken; 2: a bad file."`
	Check      checkCmd      `cmd:"" help:"Check experiment files."`
	Count      countCmd      `cmd:"" help:"Add up the debug logs of many balancers, over time or by server."`
	Throughput throughputCmd `cmd:"" help:"Set-ups and lines a second, latency and memory, by cores and against no balancer at all."`
	Scale      scaleCmd      `cmd:"" help:"Real control processes and many hollow balancers that follow them: how late changes are in force, and what it costs. Exit code 1: not kept; 2: a bad argument."`
	DrawSite   drawSiteCmd   `cmd:"" help:"Draw a deployment for the bench by a seed, from wider ranges than any one has; printed."`
	Hollow     hollowCmd     `cmd:"" hidden:"" help:"Hollow balancers of a scale test, told by standard input."`
	Fronts     frontsCmd     `cmd:"" hidden:"" help:"What stands before the control processes of one region of a scale test, told by standard input."`
	Balancer   balancerCmd   `cmd:"" hidden:"" help:"The lab's own balancer: a baseline policy, or one broken on purpose."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitFailure)
	}
	k := kong.Parse(&cli, kong.Name("testbed"), kong.UsageOnError(), kong.Exit(func(code int) {
		os.Exit(min(code, exitBadFile)) // kong's own code for a bad argument is 80
	}), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("A world of stand-ins round balancers under test, on loopback or in virtual time, judged by the four rules."))
	err = k.Run(&lab{ctx: ctx, self: self})
	progress("")
	var faults hclconfig.Diagnostics
	var bad scale.BadArgument
	switch {
	case err == nil:
		os.Exit(exitKept)
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case errors.Is(err, errNotKept): // which is printed
		os.Exit(exitFailure)
	case errors.As(err, &bad):
		fmt.Fprintln(os.Stderr, "testbed:", bad)
		os.Exit(exitBadFile)
	case errors.As(err, &faults):
		fmt.Fprintln(os.Stderr, faults)
		os.Exit(exitBadFile)
	default:
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitFailure)
	}
}
