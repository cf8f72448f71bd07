// Package poison tracks poison requests, which crash the targets they run on, for all
// components of a node. It wraps a tracker of package crash, reports what it learns and sends
// the evidence of crashes on this node to the peers.
package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
)

// Here is the origin of evidence that comes from this node.
const Here = "here"

// News is evidence of a crash that was new, and what followed from it.
type News struct {
	Crash crash.Crash
	// From names the node that the evidence came from, or is Here.
	From string
	// Changed are the requests whose standing has changed.
	Changed []crash.Entry
}

// Tracker holds the evidence of crashes by the rules of package crash, at the current
// time. It is safe for concurrent use.
type Tracker struct {
	broadcast func(crash.Crash)
	onNews    func(News)
	onCleared func(crash.Fingerprint)
	clock     func() timer.Instant
	options   []crash.Option
	received  atomic.Uint64
	mu        sync.Mutex
	tracker   *crash.Tracker
	// own holds the crashes that were recorded on this node, the oldest first.
	own []crash.ID
}

// maxOwn bounds the crashes that are remembered as recorded on this node.
const maxOwn = 256

// Option configures a Tracker.
type Option func(*Tracker)

// WithOnNews sets a function that is called with new evidence.
func WithOnNews(f func(News)) Option {
	return func(t *Tracker) {
		t.onNews = f
	}
}

// WithOnCleared sets a function that is called with each request that was cleared by a run on
// this node.
func WithOnCleared(f func(crash.Fingerprint)) Option {
	return func(t *Tracker) {
		t.onCleared = f
	}
}

// WithClock sets the clock. The default is timer.Now.
func WithClock(now func() timer.Instant) Option {
	return func(t *Tracker) {
		t.clock = now
	}
}

// WithRules sets when requests become suspect.
func WithRules(options ...crash.Option) Option {
	return func(t *Tracker) {
		t.options = options
	}
}

// New returns a Tracker without evidence. broadcast is called with the evidence to send to the
// peers at once.
func New(broadcast func(crash.Crash), options ...Option) *Tracker {
	t := &Tracker{
		broadcast: broadcast,
		onNews:    func(News) {},
		onCleared: func(crash.Fingerprint) {},
		clock:     timer.Now,
	}
	for _, o := range options {
		o(t)
	}
	t.tracker = crash.NewTracker(t.options...)
	return t
}

// Lookup returns the standing of a request and its remaining time.
func (t *Tracker) Lookup(f crash.Fingerprint) (crash.Standing, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Lookup(t.clock(), f)
}

// Empty reports whether there is no evidence, so that every request is clear.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Empty()
}

// Evidence returns what is known against a request that is not clear, to be sent along with it.
func (t *Tracker) Evidence(f crash.Fingerprint) []crash.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Evidence(t.clock(), f)
}

// RecordCrash records that a target crashed while the requests with the given fingerprints ran
// on it. It sends the evidence to the peers and returns it. Several calls with the same ID are
// about one crash.
func (t *Tracker) RecordCrash(id crash.ID, running []crash.Fingerprint) crash.Crash {
	t.mu.Lock()
	if !slices.Contains(t.own, id) {
		t.own = append(t.own[max(len(t.own)+1-maxOwn, 0):], id)
	}
	t.mu.Unlock()
	var c crash.Crash
	t.learn(Here, running, func(now timer.Instant) crash.Crash {
		c = t.tracker.RecordCrash(now, id, running)
		return c
	})
	t.broadcast(c)
	return c
}

// Own reports whether one of the crashes during which a request ran was recorded on this node.
func (t *Tracker) Own(f crash.Fingerprint) bool {
	for _, c := range t.Evidence(f) {
		t.mu.Lock()
		own := slices.Contains(t.own, c.ID)
		t.mu.Unlock()
		if own {
			return true
		}
	}
	return false
}

// Learn merges evidence from the named peer and returns what of it was new. It does not send it on.
func (t *Tracker) Learn(from string, crashes []crash.Crash) (news []crash.Crash) {
	for _, c := range crashes {
		t.received.Add(1)
		fresh := false
		t.learn(from, append(append([]crash.Fingerprint{}, c.Running...), c.Cleared...), func(now timer.Instant) crash.Crash {
			fresh = t.tracker.Learn(now, c)
			return c
		})
		if fresh {
			news = append(news, c)
		}
	}
	return news
}

// learn calls merge, which adds evidence about the given requests, and reports the changes.
func (t *Tracker) learn(from string, requests []crash.Fingerprint, merge func(now timer.Instant) crash.Crash) {
	news := News{
		From: from,
	}
	t.mu.Lock()
	now := t.clock()
	before := make([]crash.Standing, len(requests))
	for i, f := range requests {
		before[i], _ = t.tracker.Lookup(now, f)
	}
	news.Crash = merge(now)
	for i, f := range requests {
		if s, left := t.tracker.Lookup(now, f); s != before[i] {
			news.Changed = append(news.Changed, crash.Entry{
				Fingerprint: f,
				Standing:    s,
				LeftMillis:  left.Milliseconds(),
			})
		}
	}
	t.mu.Unlock()
	if len(news.Changed) > 0 {
		t.onNews(news)
	}
}

// RecordSuccess records that a request has run without a crash.
func (t *Tracker) RecordSuccess(f crash.Fingerprint) {
	t.mu.Lock()
	cleared := t.tracker.RecordSuccess(t.clock(), f)
	t.mu.Unlock()
	if cleared {
		t.onCleared(f)
	}
}

// Quarantined returns the evidence against at most limit quarantined requests.
func (t *Tracker) Quarantined(limit int) []crash.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	var out []crash.Crash
	for _, e := range t.tracker.Entries(now) {
		if e.Standing == crash.Quarantined && limit > 0 {
			limit--
			out = append(out, t.tracker.Evidence(now, e.Fingerprint)...)
		}
	}
	return out
}

// Entries returns the suspected and quarantined requests.
func (t *Tracker) Entries() []crash.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Entries(t.clock())
}

// Sums returns the checksums of the evidence; see crash.Tracker.Sums.
func (t *Tracker) Sums() (parts []uint64, all uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts, all = t.tracker.Sums(t.clock())
	return append([]uint64{}, parts...), all
}

// Differing returns the evidence that a node with the given checksums may lack; see
// crash.Tracker.Differing.
func (t *Tracker) Differing(theirs []uint64) []crash.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Differing(t.clock(), theirs)
}

// Received returns how many pieces of evidence came from peers so far.
func (t *Tracker) Received() uint64 {
	return t.received.Load()
}
