// Command testbed runs balancers under test between emulated clients and servers, with load and injected faults, and checks the rules
// against the events that the emulators recorded. It is a test tool only: a balancer must run without it.
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
	exitPassed     = 0
	exitFailure    = 1 // the testbed itself failed, or a target was missed
	exitBadInput   = 2 // a file or an argument is invalid
	exitRuleBroken = 3 // a run broke a rule
)

// errRuleBroken is returned if a run broke a rule. The command prints the verdict before it returns this error, which is not printed.
var errRuleBroken = errors.New("a rule was broken")

// commandEnv is what all subcommands get from main.
type commandEnv struct {
	ctx        context.Context
	executable string // path of this binary, which also runs the reference balancer
}

// siblingProgram returns the path of a program in the directory of this binary.
func (env *commandEnv) siblingProgram(name string) string {
	return filepath.Join(filepath.Dir(env.executable), name)
}

// stderrIsTerminal reports whether standard error is a terminal. Progress is shown only then.
func stderrIsTerminal() bool {
	_, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS)
	return err == nil
}

// showProgress replaces the progress line on standard error; an empty format clears it.
func showProgress(format string, args ...any) {
	if stderrIsTerminal() {
		fmt.Fprintf(os.Stderr, "\r\x1b[K"+format, args...)
	}
}

var cli struct {
	Demo       demoCmd       `cmd:"" help:"Run a small world with one balancer and load, drain one server, crash another, and check the rules."`
	Run        runCmd        `cmd:"" help:"Run an experiment and check the rules. Exit code 3: a rule was broken; 2: a bad file."`
	Check      checkCmd      `cmd:"" help:"Check experiment files."`
	Count      countCmd      `cmd:"" help:"Sum up the debug logs of many balancers, over time or by server."`
	Throughput throughputCmd `cmd:"" help:"Set-ups and lines per second, latency and memory, by number of cores and compared with no balancer."`
	Scale      scaleCmd      `cmd:"" help:"Real control processes and many hollow balancers that subscribe to them: latency and cost of configuration changes. Exit code 1: a target was missed; 2: a bad argument."`
	DrawSite   drawSiteCmd   `cmd:"" help:"Print a deployment drawn at random, from wider ranges than any real one has."`
	Hollow     hollowCmd     `cmd:"" hidden:"" help:"Hollow balancers of a scale test, controlled by standard input."`
	Fronts     forwardersCmd `cmd:"" hidden:"" help:"Forwarders before the control processes of one region of a scale test, controlled by standard input."`
	Balancer   balancerCmd   `cmd:"" hidden:"" help:"The reference balancer: with a baseline policy, or with a deliberate fault."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	executable, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitFailure)
	}
	command := kong.Parse(&cli, kong.Name("testbed"), kong.UsageOnError(), kong.Exit(func(code int) {
		os.Exit(min(code, exitBadInput)) // kong exits with 80 after a bad argument
	}), kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Description("Balancers under test among emulated clients and servers, on loopback or in virtual time, checked against the four rules."))
	err = command.Run(&commandEnv{ctx: ctx, executable: executable})
	showProgress("")
	var diagnostics hclconfig.Diagnostics
	var badArgument scale.BadArgument
	switch {
	case err == nil:
		os.Exit(exitPassed)
	case errors.Is(err, errRuleBroken):
		os.Exit(exitRuleBroken)
	case errors.Is(err, errTargetMissed): // the command has printed the verdict
		os.Exit(exitFailure)
	case errors.As(err, &badArgument):
		fmt.Fprintln(os.Stderr, "testbed:", badArgument)
		os.Exit(exitBadInput)
	case errors.As(err, &diagnostics):
		fmt.Fprintln(os.Stderr, diagnostics)
		os.Exit(exitBadInput)
	default:
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitFailure)
	}
}
