package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/ops/admin"
)

// filter selects what status and timeline print. An event matches if its values
// contain those of the filter.
type filter struct {
	node      string
	workspace string
	request   string
	kind      string
	// budgets adds the budgets to the status.
	budgets bool
}

// matches reports whether the timeline prints an event.
func (f filter) matches(e event.Event) bool {
	return strings.Contains(e.Node, f.node) &&
		strings.Contains(e.Workspace, f.workspace) &&
		strings.Contains(e.Request, f.request) &&
		strings.Contains(e.Kind, f.kind)
}

// cmdTimeline returns the command that prints the merged events of all nodes.
func cmdTimeline() command {
	return command{
		name:      "timeline",
		short:     "Show the events of all nodes in causal order",
		checkArgs: cobra.NoArgs,
		flags: func(cmd *cobra.Command, e *env) {
			cmd.Flags().StringVar(&e.filter.node, "only-node", "", "only events of nodes whose name contains this")
			cmd.Flags().StringVar(&e.filter.workspace, "only-workspace", "", "only events of workspaces whose name contains this")
			cmd.Flags().StringVar(&e.filter.request, "only-request", "", "only events of requests whose ID contains this")
			cmd.Flags().StringVar(&e.filter.kind, "only-kind", "", "only events whose kind contains this")
		},
		action: func(cmd *cobra.Command, e *env, _ []string) error {
			nodes, err := e.discover()
			if err != nil {
				return err
			}
			perNode, unreachable := fetchAll[[]event.Event](nodes, admin.PathTimeline)
			var matching []event.Event
			for _, v := range event.Merge(perNode...) {
				if e.filter.matches(v) {
					matching = append(matching, v)
				}
			}
			if e.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(matching)
			}
			return printTimeline(cmd.OutOrStdout(), matching, unreachable)
		},
	}
}

// printTimeline prints one line per event, then the nodes whose events are missing.
func printTimeline(w io.Writer, events []event.Event, unreachable []string) error {
	for _, v := range events {
		at := time.UnixMilli(v.At.Millis).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(w, "%s %-28s %-26s %s%s%s\n", at, v.Node, v.Kind, v.Detail, labelled(" workspace=", v.Workspace), labelled(" request=", v.Request)); err != nil {
			return err
		}
	}
	for _, name := range unreachable {
		if _, err := fmt.Fprintf(w, "%s does not answer; its events are missing\n", name); err != nil {
			return err
		}
	}
	return nil
}

// labelled returns the value after its label, or "" if there is no value.
func labelled(label, value string) string {
	if value == "" {
		return ""
	}
	return label + value
}
