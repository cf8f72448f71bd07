package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/conf/state"
)

// cmdPresetPublish returns the command that publishes a preset.
func cmdPresetPublish() command {
	return command{
		group:     "preset",
		name:      "publish",
		args:      "FILE",
		short:     "Publish a preset from a TOML file",
		long:      "Publish a preset from a TOML file. A preset of the same name is replaced;\nif it is in force, the new text is in force at once.",
		checkArgs: cobra.ExactArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			if err := e.requireLog(); err != nil {
				return err
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			p, err := preset.Parse(args[0], data)
			if err != nil {
				return err
			}
			version, err := e.newAuthor().Submit(e.changeID, state.Change{
				Operation: state.PublishPreset,
				Preset:    &p,
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "preset %s published, version %d\n", p.Name, version)
			return err
		},
	}
}
