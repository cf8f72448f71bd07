// Package watch keeps the configuration in force up to date. In each failure
// domain one node at a time, the reader, follows the platform's store by long
// polling. The other nodes fetch a newer configuration from any node that has it.
// Versions only increase: a node never applies an older one.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
)

// Record is a keyed record of a topic; a nil Value is a tombstone, which deletes the
// key.
type Record struct {
	Key   string
	Value []byte
}

// Errors of the store, by the effect that the call had.
var (
	// ErrRefused means that the store rejected the call without effect: it is busy
	// or rejects the node.
	ErrRefused = errors.New("store rejected the call")
	// ErrTrimmed means that the store no longer retains the requested records.
	ErrTrimmed = errors.New("records are no longer retained by the store")
	// ErrFenced means that the store has taken a write of a later session, or lacks an
	// earlier one of this session.
	ErrFenced = errors.New("store expects a later session of writes")
	// ErrUnknown means that no response arrived. The outcome is unknown, and a write
	// may still take effect later.
	ErrUnknown = errors.New("no response from the store")
)

// Store is the platform's store: append-only topics that retain at least the newest
// record of each key (log compaction).
type Store interface {
	// Newest returns the newest record of each key and the position at which to
	// continue with Read. The error is ErrUnknown if a response takes longer than timeout.
	Newest(topic string, timeout time.Duration) ([]Record, Position, error)
	// Read is a long poll: it waits at most for wait until the topic has records at or
	// after the offset of from, and returns them with the position of the next call, whose
	// epoch is that of the response. The error is ErrTrimmed if the store has no records at
	// the offset, since they were deleted or it was restored from a copy without them, and
	// ErrUnknown if the response takes longer than timeout.
	Read(topic string, from Position, wait, timeout time.Duration) ([]Record, Position, error)
	// Put writes a record and returns the epoch in which the store has taken it; an empty
	// value deletes the key. The error is ErrFenced if the order does not allow the write.
	Put(topic string, r Record, order Order) (epoch int64, err error)
	// Reconnect closes all connections, since one of them may be dead without a sign. The error
	// of the calls in flight is ErrUnknown.
	Reconnect()
}

// Fleet gives the watcher access to the other nodes.
type Fleet interface {
	// Readers returns the names of the live nodes of the local domain that may read the
	// store. The first one is to read it, the others are its replacements in order.
	Readers() []string
	// StoreInDoubt reports whether a live node of the local domain does not reach the store.
	StoreInDoubt() bool
	// SetStoreReachable tells the other nodes whether this node reaches the store.
	SetStoreReachable(reachable bool)
	// SetStoreEpoch tells the other nodes the epoch of the store that this node has observed.
	SetStoreEpoch(epoch int64)
	// Learn adds the nodes whose records were found in the store to the known nodes.
	Learn(records []Record)
	// Size returns the number of live nodes.
	Size() int
	// ReadingDomains returns the number of failure domains in which a live node reaches the store,
	// the local one included, and the place of the local one among them, from 0.
	ReadingDomains() (place, domains int)
	// NewestConfig returns the newest version of the configuration that live nodes have in
	// force, 0 if none has any, and which of the other nodes have been heard.
	NewestConfig() (version int64, heard Heard)
}

// Topics names the topics and keys of the store that a node uses.
type Topics struct {
	// Operator is the topic that the operator of the platform writes.
	Operator string
	// ConfigKey is the key of the configuration in the topic Operator.
	ConfigKey string
	// Nodes is the topic in which each node registers its record.
	Nodes string
}

// Parser decodes a configuration. findings reports invalid parts that were left
// out of an otherwise usable content; err means that nothing is usable.
type Parser func(data []byte) (content rules.Content, findings, err error)

const (
	// coalesceDelay is the pause after a change, so that a series of changes is read
	// in few calls. It is far below the time within which a change must be in force.
	coalesceDelay = 200 * time.Millisecond
	// listTimeout bounds listing the nodes, and newestTimeout reading the configuration, unless
	// the store has lately taken longer.
	listTimeout   = 2 * time.Second
	newestTimeout = 1 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff between attempts of a
	// store call, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// Source is the origin of a configuration, as it is logged.
type Source string

// Origins of a configuration.
const (
	// FromStore marks a configuration that this node read from the store.
	FromStore Source = "store"
	// FromPeer marks a configuration that was fetched from another node.
	FromPeer Source = "peer"
)

// Watcher holds the configuration in force and keeps it up to date; it is safe for
// concurrent use.
type Watcher struct {
	self   string
	store  Store
	fleet  Fleet
	topics Topics
	parse  Parser
	log    zerolog.Logger

	mu sync.Mutex
	// raw is the record from which rules was decoded.
	raw        []byte
	rules      *rules.Rules
	onApply    func(*rules.Rules)
	onCaughtUp func(time.Duration)
	onStored   func(Record)
	reachable  bool
	// newest is the newest version that other nodes have in force.
	newest heardVersion
	// respondedAt is when the store last responded to this node, or when this node started.
	respondedAt time.Time
	// reader is whether this node read the store when it last looked, since readerSince.
	reader      bool
	readerSince time.Time
	// records are this node's records in the store, ownKeys the keys of those that earlier
	// processes of the node may have stored. queued is signalled when one is set, restored when
	// the store may have lost some.
	records  ownRecords
	ownKeys  []string
	queued   chan struct{}
	restored chan struct{}
	// order is that of the next write. It is used by keepRecords alone.
	order writeOrder
	// rewriteDue says that records are about to be written again.
	rewriteDue atomic.Bool
	// rewritten counts the records that were written after a restore.
	rewritten atomic.Int64
	// position is where the next poll starts. Its offset is -1 if the newest records must be
	// read first.
	position Position
	// epoch is the newest known epoch of the store, EpochUnknown before the first.
	epoch int64
	// heard is the newest epoch that another node has observed.
	heard int64
	// unnamed says that the last response named no epoch although an earlier one did.
	unnamed bool
	// upToDate says that the last call has confirmed position, and staggered that the last poll
	// waited for a full period. Both are used by run alone.
	upToDate  bool
	staggered bool
	// checks is signalled when the newest configuration is to be read at once.
	checks chan struct{}
	// reconnects counts how often this node has closed the connections to the store.
	reconnects atomic.Int64
	// polling is the poll in flight.
	polling poll
	// lastTick is when Tick was last called, by a clock that counts suspensions.
	lastTick timer.Instant
	// margin is how long a response may take beyond the wait that a poll asks for.
	margin time.Duration
}

// New starts a watcher and returns it with a function that stops it without waiting
// for a call of the store that is in flight. record is stored under the node's name
// self, so that other nodes can find this one.
func New(self string, record []byte, store Store, fleet Fleet, topics Topics, parse Parser, options ...Option) (*Watcher, func()) {
	w := &Watcher{
		self:        self,
		store:       store,
		fleet:       fleet,
		topics:      topics,
		parse:       parse,
		log:         zerolog.Nop(),
		onApply:     func(*rules.Rules) {},
		onCaughtUp:  func(time.Duration) {},
		onStored:    func(Record) {},
		respondedAt: time.Now(),
		readerSince: time.Now(),
		records:     ownRecords{},
		queued:      make(chan struct{}, 1),
		restored:    make(chan struct{}, 1),
		checks:      make(chan struct{}, 1),
		position: Position{
			Offset: -1,
		},
		epoch:  EpochUnknown,
		order:  newOrder(self, time.Now()),
		margin: minMargin,
	}
	for _, o := range options {
		o(w)
	}
	w.records.set(Record{
		Key:   self,
		Value: record,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go w.run(ctx)
	return w, cancel
}

// Current returns the configuration in force, nil before the first one.
func (w *Watcher) Current() *rules.Rules {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rules
}

// Raw returns the undecoded record of the configuration in force, nil before the
// first one, for other nodes to fetch.
func (w *Watcher) Raw() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.raw
}

// Offer applies a configuration if it can be decoded and is newer than the one in
// force, and reports whether it did. from names the node that it was fetched from.
func (w *Watcher) Offer(data []byte, source Source, from string) bool {
	content, findings, err := w.parse(data)
	if err != nil {
		w.log.Warn().Err(err).Str("source", string(source)).Str("from", from).Msg("configuration rejected; the current one stays in force")
		return false
	}
	w.mu.Lock()
	if w.rules != nil && content.Version <= w.rules.Version() {
		w.mu.Unlock()
		return false
	}
	previous := int64(-1)
	if w.rules != nil {
		previous = w.rules.Version()
	}
	behind, wasBehind := w.caughtUp(w.version())
	w.rules = rules.New(content)
	w.raw = data
	current := w.rules
	storeAge := time.Since(w.respondedAt)
	w.mu.Unlock()
	if wasBehind {
		w.onCaughtUp(behind)
	}
	if findings != nil {
		w.log.Warn().Err(findings).Int64("version", content.Version).Msg("invalid parts of the configuration ignored")
	}
	w.log.Info().Int64("version", content.Version).Int64("before", previous).Str("source", string(source)).Str("from", from).
		Int("routes", len(content.Routes)).Int("workspaces", len(content.Keyrings)).
		Int64("behind-ms", behind.Milliseconds()).Int64("store-age-ms", storeAge.Milliseconds()).Msg("configuration applied")
	w.onApply(current)
	return true
}

// run reads the records of the other nodes and the newest configuration, and then follows
// the store while this node is the reader. The node is registered meanwhile: the store takes
// one write at a time, which lasts when all nodes start at once.
func (w *Watcher) run(ctx context.Context) {
	wasListed := make(chan bool, 1)
	go w.keepRecords(ctx, wasListed)
	wait := func(ctx context.Context, d time.Duration) { w.pause(ctx, d) }
	w.retry(ctx, "list nodes", wait, func() error {
		listed, err := w.listNodes()
		if err == nil {
			wasListed <- listed
		}
		return err
	})
	readNewest := func() error { return w.readNewest(ctx) }
	w.retry(ctx, "read configuration", wait, readNewest)
	for ctx.Err() == nil {
		switch {
		case !w.isReader():
			// Another node reads meanwhile.
			w.upToDate = false
			if w.pause(ctx, readerCheckPeriod) {
				w.reconnect()
				w.retry(ctx, "read configuration", wait, readNewest)
			}
		case w.needsNewest():
			w.retry(ctx, "read configuration", wait, readNewest)
		default:
			w.retry(ctx, "poll", wait, w.pollOnce)
		}
	}
}

// retry repeats a call of the store with exponential backoff and jitter until it
// succeeds or the context ends. It gives up on ErrTrimmed, after which the newest
// records are read again, and on errPollEnded. A call without a response leaves all
// connections in doubt. wait waits between two attempts.
func (w *Watcher) retry(ctx context.Context, operation string, wait func(context.Context, time.Duration), f func() error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		begin, reconnects := time.Now(), w.reconnects.Load()
		err := f()
		if err == nil {
			w.setReachable(true, operation, nil, time.Since(begin))
			return
		}
		if errors.Is(err, ErrTrimmed) {
			w.resetPosition()
			return
		}
		if errors.Is(err, errPollEnded) {
			return
		}
		switch {
		case errors.Is(err, ErrFenced):
		case errors.Is(err, ErrUnknown) && w.reconnects.Load() != reconnects:
			// This node has closed the connection.
		case errors.Is(err, ErrUnknown):
			w.reconnect()
			w.setReachable(false, operation, err, time.Since(begin))
		default:
			w.setReachable(false, operation, err, time.Since(begin))
		}
		wait(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause waits for a duration, until CheckStore is called, which it reports, or until the context
// ends. Only run may call it, which reads the store then.
func (w *Watcher) pause(ctx context.Context, d time.Duration) (check bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w.checks:
		return true
	}
	return false
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// setReachable records whether the last call of the store, which took the given time, succeeded;
// a change is logged and published to the other nodes.
func (w *Watcher) setReachable(reachable bool, operation string, err error, took time.Duration) {
	w.mu.Lock()
	changed := w.reachable != reachable
	w.reachable = reachable
	silence := time.Since(w.respondedAt)
	if reachable {
		w.respondedAt = time.Now()
	}
	w.mu.Unlock()
	if !changed {
		return
	}
	w.fleet.SetStoreReachable(reachable)
	if reachable {
		w.log.Info().Str("dependency", "store").Str("call", operation).Int64("store-age-ms", silence.Milliseconds()).Msg("dependency reachable")
		return
	}
	w.log.Warn().Str("dependency", "store").Str("call", operation).Err(err).
		Int64("took-ms", took.Milliseconds()).Int64("store-age-ms", silence.Milliseconds()).Msg("dependency unreachable")
}

// listNodes passes the records of the nodes on, and reports whether this node was among
// them.
func (w *Watcher) listNodes() (listed bool, err error) {
	known := w.Epoch()
	records, position, err := w.store.Newest(w.topics.Nodes, listTimeout)
	if err != nil {
		return false, err
	}
	w.observeEpoch(position.Epoch, known, "list nodes")
	w.mu.Lock()
	for _, r := range records {
		listed = listed || r.Key == w.self && r.Value != nil
		if slices.Contains(w.ownKeys, r.Key) && r.Value != nil {
			w.records.adopt(r, position.Epoch)
		}
	}
	w.mu.Unlock()
	w.fleet.Learn(records)
	return listed, nil
}

// needsNewest reports whether the newest records must be read before the next poll.
func (w *Watcher) needsNewest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	restored := w.position.Epoch != EpochUnknown && w.position.Epoch < w.epoch
	return w.position.Offset < 0 || restored
}

func (w *Watcher) resetPosition() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.position.Offset = -1
}

func (w *Watcher) readNewest(ctx context.Context) error {
	w.mu.Lock()
	known, timeout := w.epoch, max(newestTimeout, w.margin)
	w.mu.Unlock()
	records, end, err := w.store.Newest(w.topics.Operator, timeout)
	if err != nil {
		return err
	}
	w.observeEpoch(end.Epoch, known, "read configuration")
	w.upToDate = true
	w.awaitPeers(ctx, records)
	w.applyNewest(records)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.position = end
	return nil
}

// applyNewest applies the newest usable configuration of a batch of records, if it
// is newer than the one in force.
func (w *Watcher) applyNewest(records []Record) {
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key != w.topics.ConfigKey || records[i].Value == nil {
			continue
		}
		if w.Offer(records[i].Value, FromStore, "") {
			return
		}
	}
}
