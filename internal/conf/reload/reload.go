// Package reload keeps the settings of a running node in line with its settings file. A
// changed file is read on a signal, or when a periodic check finds it. What may change
// while the process runs is applied at once; a file with faults, or of another node, is
// refused as a whole.
package reload

import (
	"bytes"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/deploy"
)

// CheckPeriod is how often the file is read to find changes. It is below half of the time
// within which a change must be in force.
const CheckPeriod = 1 * time.Second

// Trigger says why the file was read, as it is logged.
type Trigger string

// The triggers.
const (
	OnSignal Trigger = "signal"
	OnCheck  Trigger = "check"
)

// Status is what a node knows of its settings file.
type Status struct {
	// Settings are those in force.
	Settings deploy.Settings
	// AppliedAt is when they were read.
	AppliedAt time.Time
	// Restart names the settings of the file that take effect with the next start.
	Restart []deploy.Field
	// Rejected is why the file as it is now was refused, "" if it was not.
	Rejected string
}

// Source is the settings file.
type Source interface {
	Read() ([]byte, error)
	// Parse decodes and validates what was read.
	Parse(data []byte) (deploy.Settings, error)
}

// Reloader reads the settings file and applies its changes. It is safe for concurrent use.
type Reloader struct {
	source Source
	apply  func(deploy.Settings)
	log    zerolog.Logger
	// readMu makes one read of the file at a time, and guards last.
	readMu sync.Mutex
	// last is what was read last, nil if that failed or nothing was read yet. A check
	// parses the file only if it has changed.
	last []byte
	// mu guards status.
	mu     sync.Mutex
	status Status
}

// Option is an option of New.
type Option func(*Reloader)

// WithLog sets the logger; without it nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(r *Reloader) {
		r.log = log
	}
}

// New returns a Reloader for a process that has started with the given settings, and the
// function that stops its checks. apply takes over changed settings.
func New(started deploy.Settings, source Source, apply func(deploy.Settings), options ...Option) (*Reloader, func()) {
	r := &Reloader{
		source: source,
		apply:  apply,
		log:    zerolog.Nop(),
		status: Status{
			Settings:  started,
			AppliedAt: time.Now(),
		},
	}
	for _, o := range options {
		o(r)
	}
	timers, stop := timer.New()
	timers.Every(CheckPeriod, func(timer.Instant) { r.Reload(OnCheck) })
	return r, stop
}

// Status returns what the node knows of its settings file.
func (r *Reloader) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Reload reads the file and applies what has changed. An unchanged file has no effect; on
// a signal it is logged all the same.
func (r *Reloader) Reload(trigger Trigger) {
	r.readMu.Lock()
	defer r.readMu.Unlock()
	data, err := r.source.Read()
	if err == nil && trigger == OnCheck && r.last != nil && bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	status := r.Status()
	var loaded deploy.Settings
	if err == nil {
		loaded, err = r.source.Parse(data)
	}
	var change deploy.Change
	if err == nil {
		change, err = deploy.Compare(status.Settings, loaded)
	}
	if err != nil {
		r.reject(trigger, status, err)
		return
	}
	if loaded.File.Digest == status.Settings.File.Digest && status.Rejected == "" {
		if trigger == OnSignal {
			r.log.Info().Str("trigger", string(trigger)).Str("digest", loaded.File.Digest).Msg("settings unchanged")
		}
		return
	}
	settings := status.Settings.WithLive(loaded)
	r.set(Status{
		Settings:  settings,
		AppliedAt: time.Now(),
		Restart:   change.Restart,
	})
	r.apply(settings)
	r.log.Info().Str("trigger", string(trigger)).Str("digest", loaded.File.Digest).Str("before", status.Settings.File.Digest).
		Str("shared-digest", loaded.File.SharedDigest).Strs("applied", names(change.Live)).Strs("need-restart", names(change.Restart)).Msg("settings reloaded")
}

// reject keeps the settings in force and records why the file was refused. The same
// reason is logged once, or again on a signal.
func (r *Reloader) reject(trigger Trigger, status Status, err error) {
	reason := err.Error()
	if status.Rejected == reason && trigger != OnSignal {
		return
	}
	status.Rejected = reason
	r.set(status)
	r.log.Warn().Str("trigger", string(trigger)).Str("digest", status.Settings.File.Digest).Err(err).
		Msg("settings file rejected; the settings in force stay")
}

func (r *Reloader) set(s Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
}

// names returns the names of settings, as they are logged.
func names(fields []deploy.Field) []string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, string(f))
	}
	return out
}
