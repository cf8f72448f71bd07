// Package watch keeps the configuration in force up to date. In each failure
// domain one node at a time reads the platform's store by long polls; the others
// learn of a newer configuration from it, or from any node that has one. A node
// never goes back to an older version.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/conf/rules"
)

// Record is the newest value of a key; a nil Value means that the key was dropped.
type Record struct {
	Key   string
	Value []byte
}

// Errors of the store, by what they say of a call.
var (
	// ErrRefused means that the store did nothing: it is busy or turns the node away.
	ErrRefused = errors.New("store refused the call")
	// ErrTrimmed means that the records asked for have been deleted.
	ErrTrimmed = errors.New("records are gone from the store")
	// ErrUnknown means that no answer came: a write may take effect even later.
	ErrUnknown = errors.New("store did not answer")
)

// Store is the platform's store: topics that keep the newest record of each key.
type Store interface {
	// Newest returns the newest records and the offset to read on from.
	Newest(topic string) ([]Record, int64, error)
	// Read waits for records from an offset on.
	Read(topic string, from int64, wait time.Duration) ([]Record, int64, error)
	// Put writes a record; an empty value drops the key.
	Put(topic, key string, value []byte) error
}

// Fleet is what the watcher needs of the other nodes.
type Fleet interface {
	// Readers names the nodes of the domain that may read the store, the first
	// choice first.
	Readers() []string
	// SetStore tells the others whether this node reaches the store.
	SetStore(reached bool)
	// Learn takes the nodes' records.
	Learn(records []Record)
}

// Topics says where things are in the store.
type Topics struct {
	Operator  string
	ConfigKey string
	Nodes     string
}

// Parser decodes a configuration; findings are faults that leave it usable.
type Parser func(data []byte) (content rules.Content, findings, err error)

const (
	// pollWait is how long one read waits for a record.
	pollWait = 4 * time.Second
	// settle is the pause after a change, so that a series of changes is read in
	// few calls; far below the time in which a change must be in force.
	settle = 200 * time.Millisecond
	// turnPeriod is how often a node looks whether it is its turn to read.
	turnPeriod = 150 * time.Millisecond
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// Source says where a configuration came from.
type Source string

// The sources.
const (
	FromStore Source = "store"
	FromPeer  Source = "peer"
)

// Watcher is safe for concurrent use.
type Watcher struct {
	self   string
	record []byte
	store  Store
	fleet  Fleet
	topics Topics
	parse  Parser
	log    zerolog.Logger

	mu      sync.Mutex
	raw     []byte
	rules   *rules.Rules
	applied func(*rules.Rules)
	reached bool
	offset  int64
}

// Option configures a Watcher.
type Option func(*Watcher)

// WithApplied registers a function that is told of each configuration put in force.
func WithApplied(f func(*rules.Rules)) Option {
	return func(w *Watcher) {
		w.applied = f
	}
}

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option {
	return func(w *Watcher) {
		w.log = log
	}
}

// New starts watching and returns the watcher and the function that stops it.
// record is what other nodes need to find this one.
func New(self string, record []byte, store Store, fleet Fleet, topics Topics, parse Parser, options ...Option) (*Watcher, func()) {
	w := &Watcher{
		self:    self,
		record:  record,
		store:   store,
		fleet:   fleet,
		topics:  topics,
		parse:   parse,
		log:     zerolog.Nop(),
		applied: func(*rules.Rules) {},
		offset:  -1,
	}
	for _, o := range options {
		o(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	return w, cancel
}

// Current returns the configuration in force, nil before the first.
func (w *Watcher) Current() *rules.Rules {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rules
}

// Raw returns the record of the configuration in force, for other nodes.
func (w *Watcher) Raw() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.raw
}

// Offer puts a configuration in force if it is newer, and reports whether it was.
func (w *Watcher) Offer(data []byte, source Source, from string) bool {
	content, findings, err := w.parse(data)
	if err != nil {
		w.log.Warn().Err(err).Str("source", string(source)).Str("from", from).Msg("configuration can't be used; the present one stays")
		return false
	}
	w.mu.Lock()
	if w.rules != nil && content.Version <= w.rules.Version() {
		w.mu.Unlock()
		return false
	}
	before := int64(-1)
	if w.rules != nil {
		before = w.rules.Version()
	}
	w.rules = rules.New(content)
	w.raw = data
	current := w.rules
	w.mu.Unlock()
	if findings != nil {
		w.log.Warn().Err(findings).Int64("version", content.Version).Msg("parts of the configuration are left out")
	}
	w.log.Info().Int64("version", content.Version).Int64("before", before).Str("source", string(source)).Str("from", from).
		Int("routes", len(content.Routes)).Int("workspaces", len(content.Keyrings)).Msg("configuration in force")
	w.applied(current)
	return true
}

// run makes the node known, then reads the store whenever it is its turn.
func (w *Watcher) run(ctx context.Context) {
	w.persist(ctx, "register", func() error { return w.store.Put(w.topics.Nodes, w.self, w.record) })
	w.persist(ctx, "list nodes", w.listNodes)
	for ctx.Err() == nil {
		if w.needsNewest() {
			w.persist(ctx, "read configuration", w.readNewest)
			continue
		}
		if !w.myTurn() {
			pause(ctx, turnPeriod)
			continue
		}
		w.persist(ctx, "poll", w.poll)
	}
}

// persist repeats a call of the store with growing pauses until it succeeds.
func (w *Watcher) persist(ctx context.Context, what string, f func() error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f()
		if err == nil {
			w.setReached(true, what, nil)
			return
		}
		if errors.Is(err, ErrTrimmed) {
			w.forgetOffset()
			return
		}
		w.setReached(false, what, err)
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (w *Watcher) setReached(reached bool, what string, err error) {
	w.mu.Lock()
	changed := w.reached != reached
	w.reached = reached
	w.mu.Unlock()
	if !changed {
		return
	}
	w.fleet.SetStore(reached)
	if reached {
		w.log.Info().Str("dependency", "store").Str("call", what).Msg("dependency regained")
		return
	}
	w.log.Warn().Str("dependency", "store").Str("call", what).Err(err).Msg("dependency lost")
}

func (w *Watcher) listNodes() error {
	records, _, err := w.store.Newest(w.topics.Nodes)
	if err != nil {
		return err
	}
	w.fleet.Learn(records)
	return nil
}

func (w *Watcher) needsNewest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.offset < 0
}

func (w *Watcher) forgetOffset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offset = -1
}

func (w *Watcher) readNewest() error {
	records, end, err := w.store.Newest(w.topics.Operator)
	if err != nil {
		return err
	}
	w.take(records)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offset = end
	return nil
}

// myTurn reports whether this node is the domain's reader. A node that lost the
// store goes on trying, since nobody else can tell when it is back for it.
func (w *Watcher) myTurn() bool {
	w.mu.Lock()
	reached := w.reached
	w.mu.Unlock()
	readers := w.fleet.Readers()
	return !reached || len(readers) == 0 || readers[0] == w.self
}

func (w *Watcher) poll() error {
	w.mu.Lock()
	from := w.offset
	w.mu.Unlock()
	records, next, err := w.store.Read(w.topics.Operator, from, pollWait)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.offset = next
	w.mu.Unlock()
	w.take(records)
	if len(records) > 0 {
		time.Sleep(settle)
	}
	return nil
}

// take puts the newest configuration of a batch of records in force.
func (w *Watcher) take(records []Record) {
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key != w.topics.ConfigKey || records[i].Value == nil {
			continue
		}
		if w.Offer(records[i].Value, FromStore, "") {
			return
		}
	}
}
