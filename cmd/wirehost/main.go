// Command wirehost hosts decision modules on the simulator's wire: batches
// on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"switchfork/internal/simprotocol"
)

func main() {
	debug.SetGCPercent(400) // most of the heap is the instances' lists and rings, which stay
	if err := simprotocol.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
