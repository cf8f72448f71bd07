// Package crash detects requests that crash the targets they run on, also known as
// queries of death. The requests that ran on a target when it crashed become suspects.
// A suspect runs again only in an exclusive run, without any other request on the
// target, and is quarantined if the target crashes during that run. The package does
// no I/O and takes time as an argument.
package crash

import (
	"hash/fnv"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// suspicionTime is how long a request stays noted or suspected after its last crash.
	suspicionTime = 5 * time.Minute
	// QuarantineTime is how long a quarantined request is refused.
	QuarantineTime = 10 * time.Minute
	// gossipDelayMargin is the smallest accepted extension of an unchanged standing.
	// Entries carry a remaining time, so without it an entry that nodes send to each
	// other repeatedly would be extended by its transmission delay each time.
	gossipDelayMargin = 10 * time.Second
	// maxEntries is the maximum number of fingerprints with an entry.
	maxEntries = 10_000
)

// Fingerprint is a hash of the content of a request. It does not include the request ID,
// since a caller may retry the request with another.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request, an FNV-1a hash of the arguments.
func FingerprintOf(workspace, method, path string, body []byte) Fingerprint {
	h := fnv.New64a()
	for _, part := range []string{workspace, method, path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Standing tells whether a request is suspected of crashing targets.
type Standing string

// The standings, in order of severity.
const (
	// Clear requests have no entry.
	Clear Standing = "clear"
	// Noted requests ran on one target that crashed. This standing is used only where a
	// request becomes suspect after two crashes.
	Noted Standing = "noted"
	// Suspected requests run only with no other request on the target.
	Suspected Standing = "suspected"
	// Quarantined requests are refused.
	Quarantined Standing = "quarantined"
)

// Entry is the state of a fingerprint that is not Clear, as nodes exchange it.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Standing    Standing    `json:"standing"`
	// LeftMillis is the remaining time of the standing, in milliseconds.
	LeftMillis int64 `json:"left-millis"`
}

// severity orders the standings. Clear and unknown values have severity 0.
var severity = map[Standing]int{
	Noted:       1,
	Suspected:   2,
	Quarantined: 3,
}

// standing is a standing with the time at which it expires.
type standing struct {
	standing Standing
	until    timer.Instant
}

// Tracker tracks the suspected and quarantined requests on one node. It is not safe for
// concurrent use.
type Tracker struct {
	entries    map[Fingerprint]standing
	twoCrashes bool
}

// Option configures how requests become suspect.
type Option func(*Tracker)

// WithTwoCrashes makes a request suspect only after two targets crashed while it ran;
// after the first crash it is Noted. It is meant for targets that also crash for other
// causes: without it, every request that ran during such a crash and is retried by its
// caller would need an exclusive run.
func WithTwoCrashes() Option {
	return func(t *Tracker) {
		t.twoCrashes = true
	}
}

// NewTracker returns a Tracker without entries.
func NewTracker(options ...Option) *Tracker {
	t := &Tracker{
		entries: map[Fingerprint]standing{},
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Lookup returns the standing of a request and its remaining time, which is 0 for Clear.
func (t *Tracker) Lookup(now timer.Instant, f Fingerprint) (Standing, time.Duration) {
	e, ok := t.entries[f]
	if !ok {
		return Clear, 0
	}
	if now >= e.until {
		delete(t.entries, f)
		return Clear, 0
	}
	return e.standing, e.until.Sub(now)
}

// RecordCrash records that a target crashed while the given requests ran on it. It
// returns one entry for each of them, to be sent to the other nodes.
func (t *Tracker) RecordCrash(now timer.Instant, running []Fingerprint) []Entry {
	var changed []Entry
	for _, f := range running {
		old, _ := t.Lookup(now, f)
		e := Entry{
			Fingerprint: f,
			Standing:    Suspected,
			LeftMillis:  suspicionTime.Milliseconds(),
		}
		switch {
		case t.twoCrashes && old == Clear:
			e.Standing = Noted
		case len(running) == 1 && (old == Suspected || old == Quarantined):
			e.Standing = Quarantined
			e.LeftMillis = QuarantineTime.Milliseconds()
		}
		t.Learn(now, e)
		changed = append(changed, e)
	}
	return changed
}

// Learn merges an entry from a peer; the more severe standing wins. It ignores entries
// with an unknown standing, and new fingerprints while there are maxEntries.
func (t *Tracker) Learn(now timer.Instant, e Entry) {
	old, _ := t.Lookup(now, e.Fingerprint)
	if severity[e.Standing] == 0 || severity[e.Standing] < severity[old] {
		return
	}
	if len(t.entries) >= maxEntries {
		t.expire(now)
	}
	if len(t.entries) >= maxEntries && old == Clear {
		return
	}
	until := now.Add(min(time.Duration(e.LeftMillis)*time.Millisecond, QuarantineTime))
	if old == e.Standing && until.Sub(t.entries[e.Fingerprint].until) < gossipDelayMargin {
		return
	}
	t.entries[e.Fingerprint] = standing{
		standing: e.Standing,
		until:    until,
	}
}

// RecordSuccess records that a request has run without a crash. If the request is noted
// or suspected, RecordSuccess removes its entry and returns true.
func (t *Tracker) RecordSuccess(now timer.Instant, f Fingerprint) bool {
	old, _ := t.Lookup(now, f)
	if old != Suspected && old != Noted {
		return false
	}
	delete(t.entries, f)
	return true
}

// Entries returns the suspected and quarantined requests, in no particular order.
func (t *Tracker) Entries(now timer.Instant) []Entry {
	t.expire(now)
	out := make([]Entry, 0, len(t.entries))
	for f, e := range t.entries {
		if e.standing == Noted {
			continue
		}
		out = append(out, Entry{
			Fingerprint: f,
			Standing:    e.standing,
			LeftMillis:  e.until.Sub(now).Milliseconds(),
		})
	}
	return out
}

// expire removes the expired entries.
func (t *Tracker) expire(now timer.Instant) {
	for f, e := range t.entries {
		if now >= e.until {
			delete(t.entries, f)
		}
	}
}
