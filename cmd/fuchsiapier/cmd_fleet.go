package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/ops/admin"
)

var errNoMetricsAddress = errors.New("no node given; use --node ip:port with the metrics address of any node on the users' platform")

// cmdFleet returns the command that prints the membership as the nodes of
// the --node flag see it.
func cmdFleet() command {
	settings := false
	return command{
		name:      "fleet",
		short:     "Show what a node on the users' platform believes of all nodes",
		long:      "Show what a node on the users' platform believes of all nodes: their targets, load, configuration and\nkeepers. --node names its metrics address; the nodes' own reports are up to some beats old. With several\n--node, each picture is printed: nodes that are cut off from each other differ. With --settings, each node\nis asked which settings file it runs with: nodes whose files agree are counted by failure domain, those\nthat differ from most are named, and so are refused files and changes that need a restart.",
		checkArgs: cobra.NoArgs,
		flags: func(cmd *cobra.Command, _ *env) {
			cmd.Flags().BoolVar(&settings, "settings", false, "show which settings file each node runs with")
		},
		action: func(cmd *cobra.Command, e *env, _ []string) error {
			if len(e.nodes) == 0 {
				return errNoMetricsAddress
			}
			for _, address := range e.nodes {
				var f admin.Fleet
				if err := getJSON(address, admin.PathFleet, &f); err != nil {
					return err
				}
				if settings {
					if err := printSettings(cmd.OutOrStdout(), collectSettings(f), e.json); err != nil {
						return err
					}
					continue
				}
				if err := printFleet(cmd.OutOrStdout(), f, e.json); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// printFleet prints a node's snapshot, ordered by failure domain and name.
func printFleet(out io.Writer, f admin.Fleet, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(f)
	}
	slices.SortFunc(f.Members, func(a, b admin.Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "as %s sees it\nNODE\tDOMAIN\tSERVICE\tTARGET\tSTATE\tSLOTS\tWAIT\tRUN\tFAILED\tVERSION\tSTORE\tKEEPER\n", f.Node)
	for _, m := range f.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d ms\t%d ms\t%d%%\t%d\t%s\t%s\n", m.Name, m.Domain, m.Service, m.Target,
			memberState(m), m.Slots, m.WaitMillis, m.ServiceMillis, m.FailPercent, m.Version, storeState(m.Store), m.Keeper)
	}
	return w.Flush()
}

// memberState describes a member. Overdue heartbeats take precedence over its own
// report.
func memberState(m admin.Member) string {
	switch {
	case m.Suspect:
		return "silent"
	case m.Open:
		return "open"
	}
	return "closed"
}

// storeState describes whether a member reached the platform's store.
func storeState(reachable bool) string {
	if reachable {
		return "reached"
	}
	return "not reached"
}
