// Package fetch obtains newer configurations from other nodes. It decides when a node
// asks which other one.
package fetch

import (
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/mesh/peers"
)

// Config is the configuration in force on the local node.
type Config interface {
	// Version returns its version, 0 before the first.
	Version() int64
	// Hear records that another node has a version in force.
	Hear(version int64, from string)
	// Offer applies an encoded configuration of another node if it is newer.
	Offer(data []byte, from string)
}

// Links fetches the configuration in force on other nodes.
type Links interface {
	FetchRules(from peers.Node) ([]byte, error)
}

// Fetcher keeps the configuration up with that of the other nodes. It is safe for
// concurrent use.
type Fetcher struct {
	config   Config
	links    Links
	view     func() *peers.View
	onFailed func()
	log      zerolog.Logger
	schedule schedule
}

// Option configures a Fetcher.
type Option func(*Fetcher)

// WithLog sets the logger; without it nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(f *Fetcher) {
		f.log = log
	}
}

// WithOnFailed registers a function that is called after each failed attempt.
func WithOnFailed(onFailed func()) Option {
	return func(f *Fetcher) {
		f.onFailed = onFailed
	}
}

// New returns a fetcher for the configuration of the node that view shows.
func New(config Config, links Links, view func() *peers.View, options ...Option) *Fetcher {
	f := &Fetcher{
		config:   config,
		links:    links,
		view:     view,
		onFailed: func() {},
		log:      zerolog.Nop(),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// Hear fetches and applies the configuration of a node that has a newer one, now or at the
// time that the schedule sets. It blocks meanwhile.
func (f *Fetcher) Hear(from peers.Node) {
	f.config.Hear(from.Rules, from.Name)
	if f.config.Version() >= from.Rules {
		return
	}
	now, retryIn := f.schedule.begin(time.Now(), from, f.view())
	if retryIn > 0 {
		time.AfterFunc(retryIn, func() {
			f.schedule.startScheduled()
			f.Hear(from)
		})
	}
	if !now {
		return
	}
	defer f.schedule.done()
	begin := time.Now()
	raw, err := f.links.FetchRules(from)
	if err != nil {
		f.onFailed()
		f.log.Warn().Err(err).Str("from", from.Name).Int64("version", from.Rules).Int64("took-ms", time.Since(begin).Milliseconds()).Msg("configuration fetch failed")
		return
	}
	f.config.Offer(raw, from.Name)
}
