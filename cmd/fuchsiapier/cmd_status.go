package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/ops/admin"
)

// cmdStatus returns the command that prints the status of all nodes.
func cmdStatus() command {
	return command{
		name:      "status",
		short:     "Show preset, target, levels, budgets and quarantines of every node",
		checkArgs: cobra.NoArgs,
		flags: func(cmd *cobra.Command, e *env) {
			cmd.Flags().BoolVar(&e.filter.budgets, "budgets", false, "show each node's budgets too")
		},
		action: func(cmd *cobra.Command, e *env, _ []string) error {
			nodes, err := e.discover()
			if err != nil {
				return err
			}
			all, unreachable := fetchAll[admin.Status](nodes, admin.PathStatus)
			if e.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}
			return printStatus(cmd.OutOrStdout(), all, unreachable, e.filter.budgets)
		},
	}
}

// printStatus prints a table of the nodes; unreachable names those that did not
// respond.
func printStatus(out io.Writer, all []admin.Status, unreachable []string, budgets bool) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NODE\tDOMAIN\tVERSION\tPRESET\tLOG SEEN\tTARGET\tSTATE\tLIMIT\tRUNNING\tWAITING\tLEVEL\tQUARANTINE\tRETRIES")
	for _, s := range all {
		t := s.Target
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%.1fs ago\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			s.Node.Name, s.Node.Domain, s.Version, s.Preset, float64(s.ContactMillis)/1000,
			t.Service, t.State, t.Limit, t.Running, t.Waiting, t.Level, len(s.Quarantine), s.Retries)
	}
	for _, name := range unreachable {
		_, _ = fmt.Fprintf(w, "%s\tdoes not answer\n", name)
	}
	printRegions(w, all)
	if budgets {
		printBudgets(w, all)
	}
	return w.Flush()
}

// printRegions prints the bytes sent between each pair of regions, summed over nodes.
func printRegions(w io.Writer, all []admin.Status) {
	sums := map[string]float64{}
	for _, s := range all {
		for to, n := range s.RegionBytes {
			if to != "" && to != s.Node.Region {
				sums[s.Node.Region+"\t"+to] += n
			}
		}
	}
	if len(sums) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nFROM REGION\tTO REGION\tBYTES SENT SINCE THE NODES STARTED")
	for _, pair := range slices.Sorted(maps.Keys(sums)) {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\n", pair, sums[pair])
	}
}

// printBudgets prints the budgets of each node.
func printBudgets(w io.Writer, all []admin.Status) {
	_, _ = fmt.Fprintln(w, "\nNODE\tBUDGET\tSLICE RATE\tSLICE BURST\tHOLDS\tLENT\tDEMAND")
	for _, s := range all {
		for _, b := range s.Budgets {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n",
				s.Node.Name, strings.TrimPrefix(b.Budget, "workspace:"), b.Rate, b.Burst, b.Available, b.Outstanding, b.Demand)
		}
	}
}
