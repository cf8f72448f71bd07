package main

import (
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"fuchsiapier/lab/logd"
)

// cmdLog returns the command that serves a stand-in for the platform's log.
func cmdLog() *cobra.Command {
	var listen string
	var retention time.Duration
	cmd := &cobra.Command{
		Use:   "log",
		Short: "Stand in for the platform's append-only log",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return fasthttp.ListenAndServe(listen, logd.New(retention).Handle)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "address (ip:port)")
	cmd.Flags().DurationVar(&retention, "retention", time.Hour, "how long records are kept")
	return cmd
}
