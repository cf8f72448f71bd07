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

// exitCode returns the exit code for an error, so that scripts can tell findings,
// refused changes and unknown outcomes from other failures.
func exitCode(err error) int {
	var findings check.Findings
	var refused *author.RefusedError
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, author.ErrOutcomeUnknown):
		return exitUnknown
	}
	return exitFailure
}

// command describes one command of the client.
type command struct {
	// group is the parent command, "" for a top-level command.
	group string
	name  string
	// args describes the positional arguments in the usage line.
	args  string
	short string
	long  string
	// checkArgs validates the number of positional arguments.
	checkArgs cobra.PositionalArgs
	// flags adds flags of this command; it may be nil.
	flags  func(cmd *cobra.Command, e *env)
	action func(cmd *cobra.Command, e *env, args []string) error
}

// env holds the values of the flags.
type env struct {
	// log is the address of the platform's log (ip:port).
	log string
	// nodes holds addresses of nodes (ip:port): the operators' addresses, or the
	// metrics addresses for the fleet command.
	nodes  []string
	author string
	// changeID is the idempotency key of a change, "" for a new one.
	changeID string
	json     bool
	filter   filter
}

// newAuthor returns an author that submits changes under the name of the --author
// flag.
func (e *env) newAuthor() *author.Author {
	return author.New(e.author, plog.New(e.log, nil))
}

// groups maps each parent command to its short help.
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

// newRoot returns the root command with all subcommands and flags.
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

// build returns the cobra command.
func (c command) build(e *env) *cobra.Command {
	cmd := &cobra.Command{
		Use:   c.name + " " + c.args,
		Short: c.short,
		Long:  c.long,
		Args:  c.checkArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.action(cmd, e, args)
		},
	}
	if c.flags != nil {
		c.flags(cmd, e)
	}
	return cmd
}

// userName returns the name of the current user, or "unknown".
func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// requireLog returns an error if no address of the platform's log is given.
func (e *env) requireLog() error {
	if e.log == "" {
		return errors.New("no platform log given; use --log ip:port or set FUCHSIAPIER_LOG")
	}
	return nil
}

// current reads the current configuration from the platform's log.
func (e *env) current() (state.State, error) {
	if err := e.requireLog(); err != nil {
		return state.State{}, err
	}
	return e.newAuthor().Current()
}
