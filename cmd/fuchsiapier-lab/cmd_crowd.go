package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fuchsiapier/lab/crowd"
)

// cmdCrowd returns the command that lets clients that don't behave come to a node.
func cmdCrowd() *cobra.Command {
	var s crowd.Settings
	var fields []string
	var hold time.Duration
	cmd := &cobra.Command{
		Use:   "crowd KIND",
		Short: "Open many connections to a node and send what no sound client sends",
		Long:  "Open many connections to a node and send requests that are large, cut short of their end or never read, then\nhold the connections. Kinds: " + strings.Join(crowd.Kinds(), ", ") + ".",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, ok := crowd.OfKind(args[0])
			if !ok {
				return fmt.Errorf("no crowd of kind %q; choose one of %s", args[0], strings.Join(crowd.Kinds(), ", "))
			}
			kind.Address, kind.Clients = s.Address, s.Clients
			kind.Method, kind.Path, kind.Host, kind.AttemptField = s.Method, s.Path, s.Host, s.AttemptField
			for _, f := range fields {
				kind.Fields += f + "\r\n"
			}
			clients, stop := crowd.Start(kind)
			defer stop()
			clients.WaitSent()
			time.Sleep(hold)
			r := clients.Report()
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "clients %d, refused %d, closed by the node %d, responses by status %v\n", s.Clients, r.Refused, r.Closed, r.Statuses)
			return err
		},
	}
	cmd.Flags().StringVar(&s.Address, "address", "127.0.0.1:7300", "address of the node for callers (ip:port)")
	cmd.Flags().IntVar(&s.Clients, "clients", 80, "number of clients, each with a connection of its own")
	cmd.Flags().StringVar(&s.Method, "method", "POST", "method of the requests")
	cmd.Flags().StringVar(&s.Path, "path", "/", "path of the requests")
	cmd.Flags().StringVar(&s.Host, "host", "localhost", "Host field of the requests")
	cmd.Flags().StringVar(&s.AttemptField, "id-field", "", "header field that gets an ID for each request")
	cmd.Flags().StringArrayVar(&fields, "field", nil, "further header line, as 'Name: value'")
	cmd.Flags().DurationVar(&hold, "hold", 10*time.Second, "how long the connections stay open after all was sent")
	return cmd
}
