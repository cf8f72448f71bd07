package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fuchsiapier/lab/target"
)

// cmdTarget returns the command that runs a stand-in for a target.
func cmdTarget() *cobra.Command {
	var c target.Config
	var calls []string
	var journal string
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Stand in for a back end on a VM",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			j, stop, err := target.OpenJournal(journal)
			if err != nil {
				return err
			}
			defer stop()
			c.Journal = j
			c.Calls = map[string][]string{}
			for _, call := range calls {
				path, list, _ := strings.Cut(call, "=")
				c.Calls[path] = strings.Split(list, ",")
			}
			return target.New(c).Run()
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&c.Service, "service", "", "service")
	flags.StringVar(&c.Listen, "listen", "", "address (ip:port)")
	flags.StringVar(&c.Node, "node", "", "the node's address for targets (ip:port)")
	flags.IntVar(&c.Slots, "slots", 10, "requests run at once")
	flags.IntVar(&c.Connections, "connections", 100, "connections announced")
	flags.DurationVar(&c.ServiceTime, "service-time", 10*time.Millisecond, "mean work of a request")
	flags.DurationVar(&c.ColdStart, "cold-start", 0, "time after the start in which work takes ten times as long")
	flags.StringArrayVar(&calls, "call", nil, "nested calls of a path, as path=path,path")
	flags.StringVar(&journal, "journal", "", "file that records runs")
	return cmd
}
