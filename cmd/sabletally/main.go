// Command sabletally is one balancer on sockets, or with arguments a command for its operators. The package owns the process: its
// configuration, its log, its limits, its signals and its exit code. It takes no part in a session.
package main

import "os"

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // wrong arguments, or a faulty configuration
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:]))
	}
	os.Exit(run())
}
