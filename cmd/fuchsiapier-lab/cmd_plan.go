package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"fuchsiapier/lab/plan"
)

// workload returns the workload with the given name.
func workload(name string) (plan.Workload, error) {
	switch name {
	case "litoral":
		return plan.Litoral(), nil
	case "vltava":
		return plan.Vltava(), nil
	}
	return plan.Workload{}, fmt.Errorf("unknown workload %q; use litoral or vltava", name)
}

// cmdPlan returns the command that writes the files of a deployment.
func cmdPlan() *cobra.Command {
	var name string
	o := plan.Options{}
	cmd := &cobra.Command{
		Use:   "plan DIR",
		Short: "Write the settings and presets of a deployment",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			w, err := workload(name)
			if err != nil {
				return err
			}
			d := plan.New(w, o)
			return d.Write(args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&name, "workload", "litoral", "litoral or vltava")
	flags.IntVar(&o.Domains, "domains", 3, "failure domains")
	flags.Float64Var(&o.Scale, "scale", 0.25, "factor on slots and rates")
	flags.IntVar(&o.BasePort, "base", 7000, "first port")
	flags.IntVar(&o.Network, "network", 10, "first network; addresses are 127.0.N.x")
	flags.StringVar(&o.Baseline, "baseline", "", "policy baseline of the nodes")
	flags.DurationVar(&o.Retention, "retention", time.Hour, "the platform's retention")
	flags.Float64Var(&o.BytesPerSecond, "bytes-per-second", 1e6, "cross-region bytes a second for each pair")
	return cmd
}
