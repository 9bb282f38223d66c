package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"sabletally/internal/hclconfig"
)

// callTimeout bounds a command's call to a process's operators' address, which answers within a second.
const callTimeout = 5 * time.Second

// commands are the program's commands: what an operator asks of files and of running processes. Only put and control change anything.
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

// roleError is a fleet file of another role than the command needs.
type roleError struct{ message string }

func (e *roleError) Error() string { return e.message }

// command runs a command and returns the program's exit code.
func command(args []string) int {
	parser, err := kong.New(&commands{}, kong.Name("sabletally"), kong.UsageOnError(),
		kong.Description("Without arguments, the balancer: it is told by its environment what it is (see the README)."))
	if err != nil {
		panic(err) // the tags of commands are wrong
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sabletally:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		eachFault(err, func(err error) { fmt.Fprintln(os.Stderr, err) })
		if isFaultyFile(err) {
			return exitUsage
		}
		return exitFailed
	}
	return exitOK
}

// isFaultyFile reports whether a command failed because of a faulty file.
func isFaultyFile(err error) bool {
	if _, is := errors.AsType[*roleError](err); is {
		return true
	}
	_, is := errors.AsType[hclconfig.Diagnostics](err)
	return is
}

// eachFault calls a function with each fault of a file, or with any other error itself.
func eachFault(err error, report func(error)) {
	faults, is := errors.AsType[hclconfig.Diagnostics](err)
	if !is {
		report(err)
	}
	for _, fault := range faults {
		report(fault)
	}
}
