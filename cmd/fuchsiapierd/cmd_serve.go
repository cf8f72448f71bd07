package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"fuchsiapier/internal/node/agent"
	"fuchsiapier/internal/node/stats"
	"fuchsiapier/platform"
)

const (
	// logBuffer is how many lines wait to be written before some are dropped.
	logBuffer = 2000
	// logPeriod is how often waiting lines are written.
	logPeriod = 100 * time.Millisecond
	// memoryPart is the part of the VM's memory that the heap is kept within.
	memoryPart = 0.6
	// serveGCPercent lets the heap of a small process grow before it is collected.
	serveGCPercent = 200
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the node beside a server on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve(settingsPath())
		},
	}
}

func settingsPath() string {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return path
	}
	return platform.SettingsPath
}

// serve runs until a signal asks the node to leave.
func serve(path string) error {
	place, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	counters := stats.New()
	out := diode.NewWriter(os.Stdout, logBuffer, logPeriod, counters.Dropped)
	defer func() { _ = out.Close() }()
	log := zerolog.New(out).With().Timestamp().Str("node", place.Node).Logger()
	debug.SetGCPercent(serveGCPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(place.MemoryBytes)))
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	store, closeStore := platform.NewStore(place.StoreAddress)
	defer closeStore()
	dialect := agent.Dialect{
		Names:        platform.HeaderNames,
		Topics:       platform.StoreTopics,
		Parse:        platform.ParseConfig,
		Store:        store,
		PathReady:    platform.PathReady,
		TargetID:     platform.TargetID,
		Announcement: platform.ParseAnnouncement,
	}
	a, stop, err := agent.New(place, dialect, log, counters)
	if err != nil {
		return err
	}
	defer bounded(stop, stopLimit)
	log.Info().Str("domain", place.Domain).Str("region", place.Region).Str("service", place.TargetService).Msg("started")
	for s := range signals {
		if s != syscall.SIGHUP {
			log.Info().Str("signal", s.String()).Msg("leaving")
			break
		}
		reload(path, log)
	}
	a.Leave()
	log.Info().Msg("left")
	return nil
}

// stopLimit bounds the clean-up of a process that is about to end anyway.
const stopLimit = 300 * time.Millisecond

// bounded runs a clean-up and goes on without it when it takes too long.
func bounded(stop func(), limit time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		stop()
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// reload checks a changed settings file. What it may change while a process runs
// reaches the node by other ways; addresses need a restart.
func reload(path string, log zerolog.Logger) {
	if _, err := platform.LoadSettings(path); err != nil {
		log.Warn().Err(err).Msg("changed settings can't be used; those read at start stay")
		return
	}
	log.Info().Msg("settings read again")
}
