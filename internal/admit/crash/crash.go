// Package crash detects requests that crash the targets they run on, also known as
// queries of death. A node holds the evidence of all crashes that it knows of: which
// requests ran on a target when it crashed, and which of them have run without a
// crash since. From that alone follows the standing of a request. Evidence of several
// nodes is merged by union (a grow-only set with tombstones, a CRDT), so that its order,
// its repetition and its way don't matter. The package does no I/O and takes time as
// an argument.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// QuarantineTime is how long the evidence of a crash counts, and with it how long a
	// request is refused.
	QuarantineTime = 10 * time.Minute
	// exchangeTime is the age up to which evidence is sent to other nodes and accepted from
	// them. The rest of its time exceeds all delays, so that nodes don't bring evidence that has
	// expired back to each other.
	exchangeTime = QuarantineTime - 10*time.Second
	// maxSightings bounds the evidence, as the sum of the requests over all crashes.
	maxSightings = 50_000
)

// Fingerprint is a hash of the content of a request. It does not include the request ID,
// since a caller may retry the request with another.
type Fingerprint uint64

// String returns the hexadecimal form of a fingerprint, as log lines and events contain it.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// FingerprintOf returns the fingerprint of a request, the first bytes of a SHA-256 hash of the
// arguments. The hash is a cryptographic one so that no workspace can make a request that counts as
// another one's, crash targets with it and have that one refused.
func FingerprintOf(workspace, method, path string, body ...[]byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{workspace, method, path} {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = h.Write([]byte(part))
	}
	for _, piece := range body {
		_, _ = h.Write(piece)
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// ID identifies a crash.
type ID uint64

// String returns the hexadecimal form of an ID, as log lines contain it.
func (id ID) String() string {
	return strconv.FormatUint(uint64(id), 16)
}

// NewID returns a random ID.
func NewID() ID {
	return ID(rand.Uint64())
}

// Crash is the evidence of one crash of a target, or a part of it, as nodes exchange it. In
// CBOR it is an array, so the order of its fields is part of the wire format.
type Crash struct {
	_  struct{} `cbor:",toarray"`
	ID ID       `json:"id"`
	// AgeMillis is the time since the crash, in milliseconds.
	AgeMillis int64 `json:"age-millis"`
	// Ran is the number of different requests that ran on the target when it crashed.
	Ran int `json:"ran"`
	// Running are those of them that may have crashed it, Cleared those that have run without
	// a crash since.
	Running []Fingerprint `json:"running,omitempty"`
	Cleared []Fingerprint `json:"cleared,omitempty"`
}

// Standing says whether a request is suspected of crashing targets.
type Standing string

// The standings, in order of severity.
const (
	// Clear requests ran during no crash, or have run without one since.
	Clear Standing = "clear"
	// Noted requests ran during too few crashes to be suspected.
	Noted Standing = "noted"
	// Suspected requests run only with no other request on the target.
	Suspected Standing = "suspected"
	// Quarantined requests are refused.
	Quarantined Standing = "quarantined"
)

// Entry is the standing of a request, as operators see it.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Standing    Standing    `json:"standing"`
	// LeftMillis is the remaining time of the standing, in milliseconds.
	LeftMillis int64 `json:"left-millis"`
}

// record is the evidence of one crash.
type record struct {
	at timer.Instant
	// ran is the number of requests that ran, of which cleared may name only a part.
	ran int
	// cleared holds the requests that ran, and whether they have run without a crash since.
	cleared map[Fingerprint]bool
}

// alone reports whether only one request ran.
func (r *record) alone() bool {
	return max(r.ran, len(r.cleared)) == 1
}

// Tracker holds the evidence of crashes on one node. It is not safe for concurrent use.
type Tracker struct {
	// suspectAfter is the number of crashes after which a request is suspected.
	suspectAfter int
	records      map[ID]*record
	// crashes holds the crashes during which a request ran.
	crashes map[Fingerprint][]ID
	// sightings is the sum of the requests over all records.
	sightings int
	sums      sums
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithTwoCrashes makes a request suspect only after two targets crashed while it ran;
// after the first crash it is Noted. It is meant for targets that also crash for other
// causes: without it, every request that ran during such a crash and is retried by its
// caller would need an exclusive run.
func WithTwoCrashes() Option {
	return func(t *Tracker) {
		t.suspectAfter = 2
	}
}

// NewTracker returns a Tracker without evidence.
func NewTracker(options ...Option) *Tracker {
	t := &Tracker{
		suspectAfter: 1,
		records:      map[ID]*record{},
		crashes:      map[Fingerprint][]ID{},
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Empty reports whether there is no evidence.
func (t *Tracker) Empty() bool {
	return len(t.records) == 0
}

// Lookup returns the standing of a request and its remaining time, which is 0 for Clear.
// A request is suspected after suspectAfter crashes that nothing clears it of, and
// quarantined after one more if it ran alone during one of them.
func (t *Tracker) Lookup(now timer.Instant, f Fingerprint) (Standing, time.Duration) {
	var at []timer.Instant
	alone := false
	for _, id := range t.crashes[f] {
		r := t.records[id]
		if r.cleared[f] || now.Sub(r.at) >= QuarantineTime {
			continue
		}
		at = append(at, r.at)
		alone = alone || r.alone()
	}
	slices.Sort(at)
	// left returns how long at least n of the crashes count.
	left := func(n int) time.Duration { return QuarantineTime - now.Sub(at[len(at)-n]) }
	switch {
	case len(at) == 0:
		return Clear, 0
	case len(at) > t.suspectAfter && alone:
		return Quarantined, left(t.suspectAfter + 1)
	case len(at) >= t.suspectAfter:
		return Suspected, left(t.suspectAfter)
	}
	return Noted, left(1)
}

// RecordCrash records that a target crashed while the given requests ran on it, and returns the
// evidence for the other nodes. Several calls with the same ID are about one crash.
func (t *Tracker) RecordCrash(now timer.Instant, id ID, running []Fingerprint) Crash {
	running = slices.Clone(running)
	slices.Sort(running)
	c := Crash{
		ID:      id,
		Running: slices.Compact(running),
	}
	c.Ran = len(c.Running)
	t.Learn(now, c)
	return c
}

// Learn merges evidence from a peer and reports whether any of it was new. It ignores evidence
// that is about to expire, and evidence of further requests while there are maxSightings.
func (t *Tracker) Learn(now timer.Instant, c Crash) (news bool) {
	age := time.Duration(max(c.AgeMillis, 0)) * time.Millisecond
	r, known := t.records[c.ID]
	if !known {
		if age >= exchangeTime || len(c.Running)+len(c.Cleared) == 0 {
			return false
		}
		r = &record{
			at:      now.Add(-age),
			cleared: map[Fingerprint]bool{},
		}
	}
	// The age includes the delays of all messages that brought the evidence here: the highest
	// one is closest to the truth.
	r.at = min(r.at, now.Add(-age))
	if c.Ran > r.ran {
		r.ran, news = c.Ran, true
	}
	for _, f := range c.Running {
		news = t.sight(now, c.ID, r, f, false) || news
	}
	for _, f := range c.Cleared {
		news = t.sight(now, c.ID, r, f, true) || news
	}
	if len(r.cleared) > 0 {
		t.records[c.ID] = r
	}
	if news {
		t.sums.stale = true
	}
	return news
}

// sight adds that a request ran during a crash, and that it was cleared if so. It reports
// whether that was new.
func (t *Tracker) sight(now timer.Instant, id ID, r *record, f Fingerprint, cleared bool) bool {
	if was, ok := r.cleared[f]; ok {
		r.cleared[f] = was || cleared
		return cleared && !was
	}
	if t.sightings >= maxSightings {
		t.expire(now)
	}
	if t.sightings >= maxSightings {
		return false
	}
	r.cleared[f] = cleared
	t.crashes[f] = append(t.crashes[f], id)
	t.sightings++
	return true
}

// RecordSuccess records that a request has run without a crash. If the request is noted
// or suspected, RecordSuccess clears it of all crashes so far and returns true.
func (t *Tracker) RecordSuccess(now timer.Instant, f Fingerprint) bool {
	old, _ := t.Lookup(now, f)
	if old != Suspected && old != Noted {
		return false
	}
	for _, id := range t.crashes[f] {
		t.records[id].cleared[f] = true
	}
	t.sums.stale = true
	return true
}

// Evidence returns what is known of the crashes during which a request ran and of which it is
// not cleared, with no other request named.
func (t *Tracker) Evidence(now timer.Instant, f Fingerprint) []Crash {
	var out []Crash
	for _, id := range t.crashes[f] {
		r := t.records[id]
		if r.cleared[f] || now.Sub(r.at) >= exchangeTime {
			continue
		}
		out = append(out, Crash{
			ID:        id,
			AgeMillis: now.Sub(r.at).Milliseconds(),
			Ran:       max(r.ran, len(r.cleared)),
			Running:   []Fingerprint{f},
		})
	}
	return out
}

// Entries returns the suspected and quarantined requests, in no particular order.
func (t *Tracker) Entries(now timer.Instant) []Entry {
	t.expire(now)
	out := []Entry{}
	for f := range t.crashes {
		s, left := t.Lookup(now, f)
		if s != Suspected && s != Quarantined {
			continue
		}
		out = append(out, Entry{
			Fingerprint: f,
			Standing:    s,
			LeftMillis:  left.Milliseconds(),
		})
	}
	return out
}

// expire removes the crashes that no longer count.
func (t *Tracker) expire(now timer.Instant) {
	for id, r := range t.records {
		if now.Sub(r.at) < QuarantineTime {
			continue
		}
		delete(t.records, id)
		t.sightings -= len(r.cleared)
		for f := range r.cleared {
			rest := slices.DeleteFunc(t.crashes[f], func(o ID) bool { return o == id })
			if len(rest) == 0 {
				delete(t.crashes, f)
				continue
			}
			t.crashes[f] = rest
		}
		t.sums.stale = true
	}
}
