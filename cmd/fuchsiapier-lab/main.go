// Command fuchsiapier-lab is the test bench: it runs stand-ins for the platform's log
// and the targets, relays connections with injected faults, writes the settings of
// deployments and generates load.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "fuchsiapier-lab",
		Short:         "Stand-ins and load for trying fuchsiapier",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(cmdLog(), cmdTarget(), cmdProxy(), cmdPlan(), cmdLoad(), cmdCrowd())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiapier-lab:", err)
		os.Exit(1)
	}
}
