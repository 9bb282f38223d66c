package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"sabletally/internal/hclconfig"
)

// callTimeout bounds a command's HTTP request to a process's operators' address. Processes respond within a second.
const callTimeout = 5 * time.Second

// commands declares the command line for kong. Only put and control have side effects; the other commands read files or ask running
// processes.
type commands struct {
	Fleet struct {
		Check   checkCmd   `cmd:"" help:"Reads the fleet's file and names each fault by file, line and column."`
		Verify  verifyCmd  `cmd:"" help:"Reads all of a member's directory, whose process has ended, and holds it against its checksums."`
		Status  statusCmd  `cmd:"" help:"Shows how a balancer or control process sees the fleet."`
		Control controlCmd `cmd:"" help:"Is a control process, which balancers follow, until SIGTERM or SIGINT."`
		Put     putCmd     `cmd:"" help:"Changes an item of configuration for the whole fleet, and prints the version that has it."`
		Get     getCmd     `cmd:"" help:"Prints an item as a control process publishes it."`
	} `cmd:"" help:"The other balancers, and what is held for them."`
}

// roleError reports a fleet file whose role does not fit the command.
type roleError struct{ message string }

func (e *roleError) Error() string { return e.message }

// runCommand parses the arguments, runs the command that they name and returns the exit code of the process.
func runCommand(args []string) int {
	parser, err := kong.New(&commands{}, kong.Name("sabletally"), kong.UsageOnError(),
		kong.Description("Without arguments, the balancer: it is told by its environment what it is (see the README)."))
	if err != nil {
		panic(err) // the struct tags of commands are invalid
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sabletally:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		forEachError(err, func(err error) { fmt.Fprintln(os.Stderr, err) })
		if isInvalidFile(err) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

// isInvalidFile reports whether a command failed because of an invalid fleet file.
func isInvalidFile(err error) bool {
	if _, is := errors.AsType[*roleError](err); is {
		return true
	}
	_, is := errors.AsType[hclconfig.Diagnostics](err)
	return is
}

// forEachError calls report with each error in an invalid file, or with err itself if it is of another kind.
func forEachError(err error, report func(error)) {
	diagnostics, is := errors.AsType[hclconfig.Diagnostics](err)
	if !is {
		report(err)
	}
	for _, diagnostic := range diagnostics {
		report(diagnostic)
	}
}
