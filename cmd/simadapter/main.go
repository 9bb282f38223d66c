// Command simadapter hosts balancers for the simulator. It speaks the simulator's protocol on standard input and output.
package main

import (
	"bufio"
	"fmt"
	"os"

	"sabletally/internal/simprotocol"
)

func main() {
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	if err := simprotocol.Serve(in, out); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
