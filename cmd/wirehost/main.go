// Command wirehost runs the agent's policy for the simulator: it reads batches of the simulator's binary protocol from
// standard input and writes the replies to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"switchfork/internal/simprotocol"
)

// gcPercent lets the heap grow further before a collection than by default. Most of the heap holds the instances' endpoint
// lists and hash rings, which live as long as the process.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := simprotocol.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
