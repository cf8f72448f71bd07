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
	// gcPercent is the GOGC value. It is high because the live heap is small, so that
	// fewer collections cost little memory; memoryLimit bounds the growth.
	gcPercent = 800
	// memoryLimit is the soft memory limit of the Go runtime, in bytes.
	memoryLimit = 160 << 20
)

// errReplaced is returned when a newer VM has taken over the node's slot.
var errReplaced = merry.Sentinel("a newer VM holds this slot; give this VM a slot of its own or stop it", merry.WithValue("exit", exitReplaced))

// rootCommand returns the command that runs the node from its settings file.
func rootCommand() *cobra.Command {
	var file string
	var drainTimeout time.Duration
	root := &cobra.Command{
		Use:           "fuchsiapierd",
		Short:         "Run the node of this VM",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			return run(file, drainTimeout)
		},
	}
	root.Flags().StringVar(&file, "settings", "/etc/fuchsiapier/node.toml", "settings file")
	root.Flags().DurationVar(&drainTimeout, "leave-limit", time.Minute, "longest wait for running requests when asked to stop")
	return root
}

// run runs the node until SIGTERM or SIGINT, then drains it for at most drainTimeout.
// If a newer VM replaces the node, run returns errReplaced without draining.
func run(file string, drainTimeout time.Duration) error {
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
	log.Info().Msg("node started")
	select {
	case <-signals:
	case <-d.Replaced():
		return errReplaced
	}
	log.Info().Msg("node stopping")
	if err := d.Leave(drainTimeout); err != nil {
		return err
	}
	log.Info().Msg("node stopped")
	return nil
}
