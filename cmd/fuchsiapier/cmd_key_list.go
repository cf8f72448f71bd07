package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/spf13/cobra"
)

// cmdKeyList returns the command that lists key IDs with their workspaces.
func cmdKeyList() command {
	return command{
		group:     "key",
		name:      "list",
		args:      "[WORKSPACE]",
		short:     "List the IDs of the keys that are given",
		checkArgs: cobra.MaximumNArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			s, err := e.current()
			if err != nil {
				return err
			}
			found := map[string]string{}
			for id, k := range s.Keys {
				if len(args) == 0 || args[0] == k.Workspace {
					found[id] = k.Workspace
				}
			}
			if e.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(found)
			}
			for _, id := range slices.Sorted(maps.Keys(found)) {
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s\n", id, found[id]); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
