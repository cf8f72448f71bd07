package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/base/check"
	"fuchsiapier/internal/conf/local"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/platform"
)

// cmdCheck returns the command that validates settings, presets and configurations.
func cmdCheck() command {
	return command{
		name:      "check",
		args:      "FILE...",
		short:     "Check node settings and presets; every finding is printed with its place",
		long:      "Check node settings and presets. Files whose name ends in .preset.toml are presets,\nin .platform.toml settings and in .platform.json configurations of the users' platform;\nall others are node settings. Every finding is printed with file, line and key (exit code 2).",
		checkArgs: cobra.MinimumNArgs(1),
		action: func(cmd *cobra.Command, _ *env, args []string) error {
			var all check.Findings
			for _, file := range args {
				err := checkFile(file)
				var findings check.Findings
				switch {
				case errors.As(err, &findings):
					all = append(all, findings...)
				case err != nil:
					return err
				}
			}
			if len(all) > 0 {
				return all
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%d files without findings\n", len(args))
			return err
		},
	}
}

// checkFile validates a file in the format that its suffix names.
func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	switch {
	case strings.HasSuffix(file, ".preset.toml"):
		_, err = preset.Parse(file, data)
	case strings.HasSuffix(file, ".platform.toml"):
		_, err = platform.ParseSettings(file, data)
	case strings.HasSuffix(file, ".platform.json"):
		err = checkConfig(file, data)
	default:
		_, err = local.Parse(file, data)
	}
	return err
}

// checkConfig validates a configuration record of the users' platform. Entries that a
// node would skip are findings too.
func checkConfig(file string, data []byte) error {
	_, findings, err := platform.ParseConfig(data)
	if err != nil {
		return check.Findings{
			{
				Source:  file,
				Problem: err.Error(),
			},
		}
	}
	return findings
}
