package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"fuchsiapier/internal/conf/local"
	"fuchsiapier/internal/edge/daemon"
)

const (
	// gcPercent lets the heap of a small process grow before it is collected,
	// within memoryLimit.
	gcPercent = 800
	// memoryLimit is in bytes.
	memoryLimit = 160 << 20
)

// errReplaced ends a node whose slot a newer VM has taken.
var errReplaced = merry.Sentinel("a newer VM holds this slot; give this VM a slot of its own or stop it", merry.WithValue("exit", exitReplaced))

func rootCommand() *cobra.Command {
	var file string
	var limit time.Duration
	root := &cobra.Command{
		Use:           "fuchsiapierd",
		Short:         "Run the node of this VM",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			return run(file, limit)
		},
	}
	root.Flags().StringVar(&file, "settings", "/etc/fuchsiapier/node.toml", "settings file")
	root.Flags().DurationVar(&limit, "leave-limit", time.Minute, "longest wait for running requests when asked to stop")
	return root
}

// run serves until a signal asks the node to leave or a newer VM replaces it.
func run(file string, limit time.Duration) error {
	settings, err := local.Load(file)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("node", settings.Node.Name).Logger()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, stop, err := daemon.New(settings, log)
	if err != nil {
		return err
	}
	defer stop()
	log.Info().Msg("started")
	select {
	case <-signals:
	case <-d.Replaced():
		return errReplaced
	}
	log.Info().Msg("leaving")
	if err := d.Leave(limit); err != nil {
		return err
	}
	log.Info().Msg("left")
	return nil
}
