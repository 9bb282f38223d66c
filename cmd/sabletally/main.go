// Command sabletally runs one balancer on network sockets or, given arguments, a command for operators. The package sets up the
// process: configuration, logs, limits, signals and exit code. Sessions are the business of package balancer alone.
package main

import "os"

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // invalid arguments or an invalid configuration
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:]))
	}
	os.Exit(run())
}
