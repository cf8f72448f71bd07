package watch

import (
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/conf/rules"
)

// Option configures a Watcher.
type Option func(*Watcher)

// WithOnApply registers a function that is called with each configuration after it
// was applied.
func WithOnApply(f func(*rules.Rules)) Option {
	return func(w *Watcher) {
		w.onApply = f
	}
}

// WithOnCaughtUp registers a function that is called when a newer configuration that other nodes
// told of is in force, with the time since the node first heard of one.
func WithOnCaughtUp(f func(time.Duration)) Option {
	return func(w *Watcher) {
		w.onCaughtUp = f
	}
}

// WithLog sets the logger; without it nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(w *Watcher) {
		w.log = log
	}
}

// WithOwnKeys names the keys of the records that earlier processes of this node may have stored
// with Store. They are kept in the store like those of this process.
func WithOwnKeys(keys ...string) Option {
	return func(w *Watcher) {
		w.ownKeys = keys
	}
}

// WithOnStored registers a function that is called with each record of this node that the store
// has taken.
func WithOnStored(f func(Record)) Option {
	return func(w *Watcher) {
		w.onStored = f
	}
}
