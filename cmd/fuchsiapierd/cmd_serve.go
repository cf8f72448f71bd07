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
	// logBufferLines is the capacity of the buffer of log lines; when it is full,
	// lines are dropped and counted.
	logBufferLines = 2000
	// logFlushPeriod is how often buffered lines are written.
	logFlushPeriod = 100 * time.Millisecond
	// serveGCPercent is the GOGC value. It is raised because the live heap is small,
	// so that fewer collections cost little memory.
	serveGCPercent = 200
)

// serveCommand returns the command that runs the node from the platform's settings
// file.
func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the node beside a server on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return serve(settingsFile())
		},
	}
}

// settingsFile returns the platform's settings file.
func settingsFile() platform.SettingsFile {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		return platform.SettingsFile(path)
	}
	return platform.SettingsPath
}

// serve runs the node until SIGTERM or SIGINT, then shuts it down gracefully. On SIGHUP it
// reads the settings file again at once.
func serve(file platform.SettingsFile) error {
	settings, err := file.Load()
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	counters := stats.New()
	out := diode.NewWriter(os.Stdout, logBufferLines, logFlushPeriod, counters.CountDropped)
	defer func() { _ = out.Close() }()
	log := zerolog.New(out).With().Timestamp().Str("node", settings.Node).Logger()
	debug.SetGCPercent(serveGCPercent)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	store, closeStore := platform.NewStore(settings.StoreAddress)
	defer closeStore()
	adapter := agent.Adapter{
		Names:        platform.HeaderNames,
		Topics:       platform.StoreTopics,
		Parse:        platform.ParseConfig,
		Store:        store,
		PathReady:    platform.PathReady,
		TargetID:     platform.TargetID,
		Announcement: platform.ParseAnnouncement,
	}
	a, stop, err := agent.New(settings, file, adapter, log, counters)
	if err != nil {
		return err
	}
	defer stopWithin(stop, stopTimeout)
	log.Info().Str("domain", settings.Domain).Str("region", settings.Region).Str("service", settings.TargetService).
		Str("settings", settings.File.Digest).Str("shared-settings", settings.File.SharedDigest).Msg("node started")
	for s := range signals {
		if s != syscall.SIGHUP {
			log.Info().Str("signal", s.String()).Msg("node stopping")
			break
		}
		a.Reload()
	}
	a.Leave()
	log.Info().Msg("node stopped")
	return nil
}

// stopTimeout bounds the cleanup; the process exits afterwards in any case.
const stopTimeout = 300 * time.Millisecond

// stopWithin calls stop and returns when it is done or the timeout has passed; stop
// then goes on in the background.
func stopWithin(stop func(), timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		stop()
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
