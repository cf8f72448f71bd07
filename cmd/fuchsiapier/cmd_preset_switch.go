package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/state"
)

// cmdPresetSwitch returns the command that puts a preset in force.
func cmdPresetSwitch() command {
	return command{
		group:     "preset",
		name:      "switch",
		args:      "NAME",
		short:     "Put a published preset in force, in place of the current one",
		long:      "Put a published preset in force, in place of the current one.\nOf operators who race each other exactly one wins; the others are told who did (exit code 3).",
		checkArgs: cobra.ExactArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			if err := e.requireLog(); err != nil {
				return err
			}
			version, err := e.newAuthor().Submit(e.changeID, state.Change{
				Operation: state.SwitchPreset,
				Name:      args[0],
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "preset %s in force, version %d\n", args[0], version)
			return err
		},
	}
}
