package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/state"
)

// cmdKeyWithdraw returns the command that withdraws a key by its ID or its text.
func cmdKeyWithdraw() command {
	return command{
		group:     "key",
		name:      "withdraw",
		args:      "KEY-ID",
		short:     "Withdraw a key; it stops working within seconds",
		checkArgs: cobra.ExactArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			if err := e.requireLog(); err != nil {
				return err
			}
			id, _, _ := strings.Cut(args[0], ".")
			version, err := e.newAuthor().SubmitRebased(e.changeID, state.Change{
				Operation: state.WithdrawKey,
				Name:      id,
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "key %s withdrawn, version %d\n", id, version)
			return err
		},
	}
}
