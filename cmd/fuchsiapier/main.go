// Command fuchsiapier is the operators' command-line client: it changes presets and
// workspace keys, shows the state of the nodes and checks settings files.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiapier:", err)
		os.Exit(exitCode(err))
	}
}
