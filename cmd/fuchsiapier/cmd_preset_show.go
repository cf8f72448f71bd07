package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/state"
)

// cmdPresetShow returns the command that lists or prints published presets.
func cmdPresetShow() command {
	return command{
		group:     "preset",
		name:      "show",
		args:      "[NAME]",
		short:     "List presets, or show one as TOML",
		checkArgs: cobra.MaximumNArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			s, err := e.current()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return listPresets(cmd.OutOrStdout(), s)
			}
			p, ok := s.Presets[args[0]]
			if !ok {
				return fmt.Errorf("no preset %q is published; list them with preset show", args[0])
			}
			if e.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(p)
			}
			return toml.NewEncoder(cmd.OutOrStdout()).Encode(p)
		},
	}
}

// listPresets prints the names of the presets and marks the one in force.
func listPresets(w io.Writer, s state.State) error {
	for _, name := range slices.Sorted(maps.Keys(s.Presets)) {
		mark := " "
		if name == s.InForce {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s\n", mark, name); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "version %d; * is in force\n", s.Version)
	return err
}
