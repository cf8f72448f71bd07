// Package feed keeps a node's configuration up to date. A node that is one of the
// readers of its failure domain reads the platform's log; the others receive the
// records and the state from peers. The version never decreases.
package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/conf/state"
)

const (
	// Stream is the platform stream that holds the configuration.
	Stream = "configuration"
	// pollWait is how long a read of the log waits for a new record (long polling).
	pollWait = 2 * time.Second
	// retryDelay is the delay after a failed read.
	retryDelay = 250 * time.Millisecond
	// standbyPollInterval is how often a node that is not a reader checks whether it
	// became one.
	standbyPollInterval = 1 * time.Second
)

// Log is the client of the platform's log; plog.Client implements it.
type Log interface {
	Append(stream string, body []byte) (uint64, error)
	Read(stream string, from uint64, wait time.Duration) (plog.Page, error)
}

// Feed holds the configuration of a node and follows its changes. It is safe for
// concurrent use.
type Feed struct {
	log                Log
	events             *event.Ring
	isReader           func() bool
	onChange           func(state.State)
	onRecords          func(Update)
	checkpointInterval time.Duration
	mu                 sync.RWMutex
	state              state.State
	// loaded is set once the state came from a peer or from reading to the end of
	// the log.
	loaded bool
	// lastContact is the latest instant at which the state is known to have included
	// the whole log.
	lastContact timer.Instant
	// lastCheckpoint is when a checkpoint was last read from or appended to the log,
	// or when the feed was created.
	lastCheckpoint timer.Instant
	// failing and failure describe the last read; failure is "" if it succeeded.
	failing bool
	failure string
}

// Option configures a Feed.
type Option func(*Feed)

// WithReader sets the function that reports whether this node is currently a reader
// of the log. By default it always is.
func WithReader(isReader func() bool) Option {
	return func(f *Feed) {
		f.isReader = isReader
	}
}

// WithOnChange registers a function that is called with each state of a higher
// version, wherever it came from.
func WithOnChange(fn func(state.State)) Option {
	return func(f *Feed) {
		f.onChange = fn
	}
}

// WithOnRecords registers a function that is called with the records of each read
// of the log that returned any.
func WithOnRecords(fn func(Update)) Option {
	return func(f *Feed) {
		f.onRecords = fn
	}
}

// WithCheckpointEvery sets the age of the newest checkpoint after which a reader
// appends another. The default is one hour.
func WithCheckpointEvery(d time.Duration) Option {
	return func(f *Feed) {
		f.checkpointInterval = d
	}
}

// WithEvents sets the ring that receives an event for each new configuration, and when
// the log becomes readable or unreadable.
func WithEvents(r *event.Ring) Option {
	return func(f *Feed) {
		f.events = r
	}
}

// New returns a feed without a configuration. The caller must run Run and restart
// it after a panic.
func New(log Log, options ...Option) *Feed {
	f := &Feed{
		log:                log,
		events:             event.NewRing("", 1),
		isReader:           func() bool { return true },
		onChange:           func(state.State) {},
		onRecords:          func(Update) {},
		checkpointInterval: time.Hour,
		lastCheckpoint:     timer.Now(),
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// State returns the configuration in force.
func (f *Feed) State() state.State {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.state
}

// KeyValid reports whether a key that a peer accepted at a version is still valid as
// far as this node knows. A key that is missing here counts as valid if this node
// has an older version than the peer, and as withdrawn otherwise.
func (f *Feed) KeyValid(keyID string, version uint64) bool {
	s := f.State()
	if _, ok := s.Keys[keyID]; ok {
		return true
	}
	return s.Version < version
}

// ContactAge returns how long ago the state was last known to include the whole log.
func (f *Feed) ContactAge() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return timer.Now().Sub(f.lastContact)
}

// Offline reports whether the time since the last contact with the log, direct or
// through a peer, exceeds the preset's offline limit.
func (f *Feed) Offline(p preset.Preset) bool {
	return f.ContactAge() > p.OfflineLimit.D()
}

// RecordContact records that the state of a peer, which had the given version, included
// the whole log at an instant. This counts as contact of this node only if this node
// has at least that version.
func (f *Feed) RecordContact(version uint64, at timer.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.state.Version && at > f.lastContact {
		f.lastContact = at
	}
}

// Offer adopts a peer's state if its version is higher than this node's.
func (f *Feed) Offer(s state.State) {
	if s.Version == 0 {
		return
	}
	f.mu.Lock()
	newer := s.Version > f.state.Version
	if newer {
		f.state = s
		f.loaded = true
	}
	f.mu.Unlock()
	if newer {
		f.reportChange(s, "peer")
	}
}

// reportChange calls onChange with a new state and records an event; source says where
// the state came from.
func (f *Feed) reportChange(s state.State, source string) {
	f.onChange(s)
	f.events.Add(event.Event{
		Kind:   "configuration",
		Detail: "version " + strconv.FormatUint(s.Version, 10) + " from " + source + ", preset " + s.InForce,
	})
}

// Run reads the log while the node is a reader or has no configuration yet, until
// ctx is done. Failed reads are retried; it always returns nil.
func (f *Feed) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.isReader() && f.hasState() {
			sleep(ctx, standbyPollInterval)
			continue
		}
		if err := f.poll(); err != nil {
			f.recordReadResult(err)
			sleep(ctx, retryDelay)
			continue
		}
		f.recordReadResult(nil)
		f.appendCheckpointIfDue()
	}
	return nil
}

func (f *Feed) hasState() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.loaded
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recordReadResult stores the result of a read of the log and records an event when
// the log became readable or unreadable.
func (f *Feed) recordReadResult(err error) {
	f.mu.Lock()
	wasFailing := f.failing
	f.failing = err != nil
	f.failure = ""
	if err != nil {
		f.failure = err.Error()
	}
	f.mu.Unlock()
	if wasFailing == (err != nil) {
		return
	}
	kind := "platform-reached"
	detail := ""
	if err != nil {
		kind = "platform-unreachable"
		detail = err.Error()
	}
	f.events.Add(event.Event{
		Kind:   kind,
		Detail: detail,
	})
}

// Failure returns the error of the last read of the log, or "" if it succeeded.
func (f *Feed) Failure() string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.failure
}

// poll reads the log once, up to its end, and applies the records. It doesn't wait
// for new records until the node has a configuration.
func (f *Feed) poll() error {
	base := f.State()
	requestedAt := timer.Now()
	wait := pollWait
	if !f.hasState() {
		wait = 0
	}
	page, err := f.readToEnd(base.Next, wait)
	if err != nil {
		return err
	}
	next, _, err := base.Replay(page.First, page.Records)
	if err != nil {
		return err
	}
	f.adopt(next, requestedAt, page)
	if len(page.Records) > 0 {
		f.onRecords(Update{
			From:    base.Next,
			Records: page.Records,
		})
	}
	return nil
}

// readToEnd reads all pages up to the end of the log, since the checkpoint that
// replaces removed records may be on a later page. Only the first read waits for a
// new record.
func (f *Feed) readToEnd(from uint64, wait time.Duration) (plog.Page, error) {
	all, err := f.log.Read(Stream, from, wait)
	if err != nil {
		return plog.Page{}, err
	}
	for len(all.Records) > 0 {
		last := all.Records[len(all.Records)-1].Offset
		if last+1 >= all.Next {
			break
		}
		page, err := f.log.Read(Stream, last+1, 0)
		if err != nil {
			return plog.Page{}, err
		}
		if len(page.Records) == 0 {
			break
		}
		all.Records = append(all.Records, page.Records...)
		all.Next = page.Next
	}
	return all, nil
}

// Update carries the records that a reader has read to the other nodes of its
// failure domain.
type Update struct {
	// From is the offset at which the reader's read started. A node that lacks an
	// earlier record can't apply the update.
	From    uint64         `json:"from"`
	Records []state.Record `json:"records"`
}

// ApplyUpdate applies a reader's update and reports whether the node is up to date with
// it. If not, the node lacks earlier records or has no configuration, and must fetch
// the reader's whole state.
func (f *Feed) ApplyUpdate(u Update) bool {
	f.mu.Lock()
	if len(u.Records) == 0 || u.Records[len(u.Records)-1].Offset < f.state.Next {
		f.mu.Unlock()
		return true
	}
	if f.state.Next < u.From || !f.loaded {
		f.mu.Unlock()
		return false
	}
	next, _, err := f.state.Replay(f.state.Next, u.Records)
	newer := err == nil && next.Version > f.state.Version
	if err == nil {
		f.state = next
	}
	f.mu.Unlock()
	if newer {
		f.reportChange(next, "reader")
	}
	return err == nil
}

// adopt replaces the state by one that was read from the log, unless a peer has supplied
// a newer one meanwhile. It dates the contact with the log to requestedAt, the time of
// the read request, since the log service read the end of the log at an unknown time
// after that.
func (f *Feed) adopt(next state.State, requestedAt timer.Instant, page plog.Page) {
	f.mu.Lock()
	newer := next.Version > f.state.Version
	if newer || (next.Version == f.state.Version && next.Next > f.state.Next) {
		f.state = next
	}
	if next.Next >= page.Next {
		f.lastContact = requestedAt
		f.loaded = true
	}
	for _, r := range page.Records {
		c, err := state.Decode(r.Offset, r.Body)
		if err == nil && c.Operation == state.Checkpoint {
			f.lastCheckpoint = requestedAt
		}
	}
	s := f.state
	f.mu.Unlock()
	if newer {
		f.reportChange(s, "log")
	}
}

// appendCheckpointIfDue appends the whole state to the log when the last checkpoint
// is older than the checkpoint interval. Several readers may do so at the same time,
// which is harmless: a checkpoint doesn't change the configuration.
func (f *Feed) appendCheckpointIfDue() {
	f.mu.RLock()
	s := f.state
	due := timer.Now().Sub(f.lastCheckpoint) > f.checkpointInterval
	f.mu.RUnlock()
	if !due || s.Version == 0 {
		return
	}
	body, err := json.Marshal(state.Change{
		ID:        fmt.Sprintf("checkpoint-%d-%d", s.Version, s.Next),
		Operation: state.Checkpoint,
		State:     &s,
	})
	if err != nil {
		return
	}
	if _, err := f.log.Append(Stream, body); err != nil {
		return
	}
	f.mu.Lock()
	f.lastCheckpoint = timer.Now()
	f.mu.Unlock()
}
