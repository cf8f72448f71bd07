package main

import (
	"errors"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"fuchsiapier/internal/base/check"
	"fuchsiapier/internal/conf/author"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/state"
)

// Exit codes, as the manual page lists them.
const (
	exitFailure  = 1
	exitFindings = 2
	exitRefused  = 3
	exitUnknown  = 4
)

// exitCode tells scripts what became of a command.
func exitCode(err error) int {
	var findings check.Findings
	var refused *author.RefusedError
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, author.ErrUnknown):
		return exitUnknown
	}
	return exitFailure
}

// command is one command of the client.
type command struct {
	// group is the word before the name, "" for a command of its own.
	group  string
	name   string
	args   string
	short  string
	long   string
	count  cobra.PositionalArgs
	flags  func(cmd *cobra.Command, e *env)
	action func(cmd *cobra.Command, e *env, args []string) error
}

// env is what the flags common to all commands say.
type env struct {
	log      string
	nodes    []string
	author   string
	changeID string
	json     bool
	filter   filter
}

func (e *env) newAuthor() *author.Author {
	return author.New(e.author, plog.New(e.log, nil))
}

// groups describes the words before the names of commands.
var groups = map[string]string{
	"preset": "Publish, switch and show presets",
	"key":    "Give, withdraw and list workspace keys",
}

// commands lists all commands of the client.
func commands() []command {
	return []command{
		cmdPresetPublish(),
		cmdPresetSwitch(),
		cmdPresetShow(),
		cmdPresetForecast(),
		cmdKeyGive(),
		cmdKeyWithdraw(),
		cmdKeyList(),
		cmdStatus(),
		cmdTimeline(),
		cmdCheck(),
		cmdTrace(),
		cmdFleet(),
	}
}

func newRoot() *cobra.Command {
	e := &env{}
	root := &cobra.Command{
		Use:           "fuchsiapier",
		Short:         "Operate a fuchsiapier fleet",
		Long:          "Operate a fuchsiapier fleet.\n\nChanges go to the platform's log and are in force on all nodes within seconds.\nExit codes: 0 done, 1 failure, 2 findings in an input, 3 change refused, 4 outcome unknown.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&e.log, "log", os.Getenv("FUCHSIAPIER_LOG"), "address of the platform's log (ip:port), or FUCHSIAPIER_LOG")
	flags.StringSliceVar(&e.nodes, "node", nil, "operators' address of a node (ip:port); one is enough to find all")
	flags.StringVar(&e.author, "author", userName(), "name under which changes are made")
	flags.StringVar(&e.changeID, "change-id", "", "ID of an earlier attempt whose outcome was unknown")
	flags.BoolVar(&e.json, "json", false, "print JSON")
	parents := map[string]*cobra.Command{}
	for _, c := range commands() {
		parent := root
		if c.group != "" {
			parent = parents[c.group]
			if parent == nil {
				parent = &cobra.Command{
					Use:   c.group,
					Short: groups[c.group],
				}
				parents[c.group] = parent
				root.AddCommand(parent)
			}
		}
		parent.AddCommand(c.build(e))
	}
	return root
}

func (c command) build(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   c.name + " " + c.args,
		Short: c.short,
		Long:  c.long,
		Args:  c.count,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.action(cmd, e, args)
		},
	}
	if c.flags != nil {
		c.flags(cmd, e)
	}
	return cmd
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// needLog reports a missing address before anything is tried.
func (e *env) needLog() error {
	if e.log == "" {
		return errors.New("no platform log given; use --log ip:port or set FUCHSIAPIER_LOG")
	}
	return nil
}

// current reads the whole configuration from the log.
func (e *env) current() (state.State, error) {
	if err := e.needLog(); err != nil {
		return state.State{}, err
	}
	return e.newAuthor().Current()
}
