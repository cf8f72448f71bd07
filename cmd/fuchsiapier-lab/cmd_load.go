package main

import (
	"encoding/json"
	"os"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/author"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/lab/load"
)

// cmdLoad returns the command that runs a load script and prints its summary.
func cmdLoad() *cobra.Command {
	var log, out string
	cmd := &cobra.Command{
		Use:   "load SCRIPT.toml",
		Short: "Drive load from a script of callers and phases, and sum it up",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := load.Parse(args[0])
			if err != nil {
				return err
			}
			results := load.New(s).Run(cmd.Context())
			summaries := load.Summarise(s, results, workspaceRates(log))
			load.Print(cmd.OutOrStdout(), summaries)
			if out == "" {
				return nil
			}
			body, err := json.MarshalIndent(summaries, "", "  ")
			if err != nil {
				return err
			}
			return os.WriteFile(out, body, 0o644)
		},
	}
	cmd.Flags().StringVar(&log, "log", "", "platform's log, to learn the workspaces' rates")
	cmd.Flags().StringVar(&out, "out", "", "file for the summary as JSON")
	return cmd
}

// workspaceRates returns the rate of each workspace in the preset in force, in requests
// a second. Without a log, or if it can't be read, the result is empty; then the
// summary compares a workspace's goodput with all of its requests.
func workspaceRates(log string) map[string]float64 {
	rates := map[string]float64{}
	if log == "" {
		return rates
	}
	s, err := author.New("lab", plog.New(log, nil)).Current()
	if err != nil {
		return rates
	}
	p, _ := s.Active()
	for name, w := range p.Workspaces {
		rates[name] = w.Rate
	}
	return rates
}
