// Command wirehost hosts decision modules on the simulator's wire: batches
// on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"switchfork/wire"
)

func main() {
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
