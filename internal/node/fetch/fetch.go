// Package fetch obtains newer configurations that other nodes have in force: from these nodes,
// several if the first ones don't respond, and from the store if none does in time.
package fetch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/mesh/peers"
)

// sourceTTL is how long a node is asked for its configuration after it was last heard to have
// one: three digest periods and some delay.
const sourceTTL = 3500 * time.Millisecond

// Config is the configuration in force on the local node.
type Config interface {
	// Version returns its version, 0 before the first.
	Version() int64
	// Hear records that another node has a version in force.
	Hear(version int64, from string)
	// Offer applies an encoded configuration of another node if it is newer, and reports whether
	// it did.
	Offer(data []byte, from string) bool
	// CheckStore has the newest configuration read from the store, in the background.
	CheckStore(reason string)
}

// Links fetches the configuration in force on other nodes.
type Links interface {
	// FetchRules returns the encoded configuration of a node. It ends with ctx.
	FetchRules(ctx context.Context, from peers.Node) ([]byte, error)
}

// source is a node that has a newer configuration.
type source struct {
	node    peers.Node
	heardAt time.Time
}

// Fetcher keeps the configuration up with that of the other nodes. It is safe for
// concurrent use.
type Fetcher struct {
	config   Config
	links    Links
	view     func() *peers.View
	onFailed func()
	log      zerolog.Logger
	// heard is signalled when a newer configuration is heard of.
	heard chan struct{}

	mu      sync.Mutex
	sources map[string]source
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

// New returns a fetcher for the configuration of the node that view shows, and the function that
// stops it.
func New(config Config, links Links, view func() *peers.View, options ...Option) (*Fetcher, func()) {
	f := &Fetcher{
		config:   config,
		links:    links,
		view:     view,
		onFailed: func() {},
		log:      zerolog.Nop(),
		heard:    make(chan struct{}, 1),
		sources:  map[string]source{},
	}
	for _, o := range options {
		o(f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-f.heard:
				f.catchUp(ctx)
			}
		}
	}()
	return f, cancel
}

// Hear tells the fetcher that another node has a configuration in force, which is fetched if it is
// newer than the local one.
func (f *Fetcher) Hear(from peers.Node) {
	f.config.Hear(from.Rules, from.Name)
	if from.Rules <= f.config.Version() {
		return
	}
	f.mu.Lock()
	f.sources[from.Name] = source{
		node:    from,
		heardAt: time.Now(),
	}
	f.mu.Unlock()
	select {
	case f.heard <- struct{}{}:
	default:
	}
}

// newer returns the nodes that were lately heard to have a newer configuration than the local one.
func (f *Fetcher) newer(now time.Time) []peers.Node {
	version := f.config.Version()
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []peers.Node
	for name, s := range f.sources {
		if s.node.Rules <= version || now.Sub(s.heardAt) > sourceTTL {
			delete(f.sources, name)
			continue
		}
		nodes = append(nodes, s.node)
	}
	return nodes
}

// answer is the response of a node, or its failure.
type answer struct {
	from peers.Node
	data []byte
	err  error
	took time.Duration
}

// catchUp fetches newer configurations until none is known.
func (f *Fetcher) catchUp(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := newPlan(time.Now())
	version := f.config.Version()
	answers := make(chan answer, maxInFlight)
	for ctx.Err() == nil {
		now := time.Now()
		nodes := f.newer(now)
		if len(nodes) == 0 {
			return
		}
		if current := f.config.Version(); current > version {
			version = current
			p.advanced(now)
		}
		from, ask, wait := p.source(now, nodes, f.view())
		if ask {
			timeout := p.ask(now, from.Name)
			go func() { answers <- f.ask(ctx, from, timeout) }()
			continue
		}
		due, storeWait := p.store(now)
		if due {
			f.config.CheckStore("other nodes have a newer configuration")
			continue
		}
		select {
		case a := <-answers:
			p.responded(time.Now(), a.from.Name, !f.accept(a))
		case <-f.heard:
		case <-time.After(min(wait, storeWait)):
		}
	}
}

// ask fetches the configuration of a node.
func (f *Fetcher) ask(ctx context.Context, from peers.Node, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	data, err := f.links.FetchRules(ctx, from)
	return answer{
		from: from,
		data: data,
		err:  err,
		took: time.Since(began),
	}
}

// accept applies the configuration in a response, and reports whether it was newer.
func (f *Fetcher) accept(a answer) bool {
	if a.err == nil {
		return f.config.Offer(a.data, a.from.Name)
	}
	f.onFailed()
	f.log.Warn().Err(a.err).Str("from", a.from.Name).Int64("version", a.from.Rules).Int64("took-ms", a.took.Milliseconds()).Msg("configuration fetch failed")
	return false
}
