package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/preset"
)

// gibibyte is in bytes.
const gibibyte = 1 << 30

// cmdPresetForecast returns the command that prints the upper bound of a preset's
// cross-region traffic.
func cmdPresetForecast() command {
	return command{
		group:     "preset",
		name:      "forecast",
		args:      "NAME|FILE.toml",
		short:     "Print the most cross-region bytes that a preset allows in a month",
		checkArgs: cobra.ExactArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			p, err := findPreset(e, args[0])
			if err != nil {
				return err
			}
			forecast := p.Forecast()
			if e.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(forecast)
			}
			for _, f := range forecast {
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%-16s %-16s %12.3f GiB a month at most\n", f.From, f.To, f.Bytes/gibibyte); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// findPreset reads a preset from a file if the name ends in .toml, otherwise from the
// published presets in the platform's log.
func findPreset(e *env, name string) (preset.Preset, error) {
	if strings.HasSuffix(name, ".toml") {
		data, err := os.ReadFile(name)
		if err != nil {
			return preset.Preset{}, err
		}
		return preset.Parse(name, data)
	}
	s, err := e.current()
	if err != nil {
		return preset.Preset{}, err
	}
	p, ok := s.Presets[name]
	if !ok {
		return preset.Preset{}, fmt.Errorf("no preset %q is published; list them with preset show", name)
	}
	return p, nil
}
