package main

import (
	"encoding/json"
	"strings"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"fuchsiapier/lab/relay"
)

// faultRequest is the JSON body that sets the faults of one direction.
type faultRequest struct {
	relay.Direction
	relay.Faults
}

// cmdProxy returns the command that relays connections and injects faults.
func cmdProxy() *cobra.Command {
	var control string
	var forwards []string
	cmd := &cobra.Command{
		Use:   "proxy",
		Short: "Relay connections and cut, delay or throttle them on request",
		Long:  "Relay connections. POST {\"From\":\"1\",\"To\":\"2\",\"Cut\":true,\"Delay\":30000000} to the control address\nto change one direction between networks; the network is the third number of the IP address.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, stop := relay.New()
			defer stop()
			for _, f := range forwards {
				listen, to, _ := strings.Cut(f, "=")
				if err := r.Forward(listen, to); err != nil {
					return err
				}
			}
			return fasthttp.ListenAndServe(control, func(ctx *fasthttp.RequestCtx) {
				var d faultRequest
				if err := json.Unmarshal(ctx.PostBody(), &d); err != nil {
					ctx.Error(err.Error(), fasthttp.StatusBadRequest)
					return
				}
				r.Set(d.Direction, d.Faults)
			})
		},
	}
	cmd.Flags().StringVar(&control, "control", "127.0.0.1:7200", "address that takes faults (ip:port)")
	cmd.Flags().StringArrayVar(&forwards, "forward", nil, "listen=to addresses")
	return cmd
}
