package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/state"
)

// givenKey is the JSON output of key give. Key is the key's text, which is stored only
// as a hash.
type givenKey struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	Version   uint64 `json:"version"`
}

// cmdKeyGive returns the command that creates a key for a workspace.
func cmdKeyGive() command {
	return command{
		group:     "key",
		name:      "give",
		args:      "WORKSPACE",
		short:     "Give a workspace a new key and print it, once",
		long:      "Give a workspace a new key and print it. Only its hash is kept, so it can't be shown again.",
		checkArgs: cobra.ExactArgs(1),
		action: func(cmd *cobra.Command, e *env, args []string) error {
			if err := e.requireLog(); err != nil {
				return err
			}
			key, text := state.NewKey(args[0])
			version, err := e.newAuthor().SubmitRebased(e.changeID, state.Change{
				Operation: state.GiveKey,
				Key:       &key,
			})
			if err != nil {
				return err
			}
			if e.json {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(givenKey{
					ID:        key.ID,
					Workspace: key.Workspace,
					Key:       text,
					Version:   version,
				})
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s\n", text)
			return err
		},
	}
}
