// Command fuchsiapierd is the node of the overload control layer. One node runs beside
// each target, on the target's VM.
package main

import (
	"fmt"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Exit codes, as the manual page lists them.
const (
	exitFailure  = 1
	exitReplaced = 3
)

// commands lists the subcommands. The root command itself runs a node from a settings
// file in this project's own format.
var commands = []func() *cobra.Command{
	serveCommand,
}

func main() {
	root := rootCommand()
	for _, c := range commands {
		root.AddCommand(c())
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiapierd:", err)
		code, ok := merry.Value(err, "exit").(int)
		if !ok {
			code = exitFailure
		}
		os.Exit(code)
	}
}
