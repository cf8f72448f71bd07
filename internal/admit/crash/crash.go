// Package crash finds the requests that crash the targets they run on. What was
// running when a target died is under suspicion and runs again only alone; a
// suspect that was alone when a target died is quarantined. The package does no
// I/O and takes time as an argument.
package crash

import (
	"hash/fnv"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// suspicionTime is how long a request stays suspect without another crash.
	suspicionTime = 5 * time.Minute
	// QuarantineTime is how long a convicted request is refused.
	QuarantineTime = 10 * time.Minute
	// repeatMargin keeps news that nodes repeat to each other from extending a
	// standing by the time they were on their way.
	repeatMargin = 10 * time.Second
	// maxEntries bounds the docket, in fingerprints.
	maxEntries = 10_000
)

// Fingerprint identifies a request by what it asks, not by its ID, since a
// caller may send it again under another.
type Fingerprint uint64

// Of returns the fingerprint of a request.
func Of(workspace, method, path string, body []byte) Fingerprint {
	h := fnv.New64a()
	for _, part := range []string{workspace, method, path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Standing is how a request stands.
type Standing string

// The standings, in order of severity.
const (
	Clear Standing = "clear"
	// Noted requests ran when one target died; only dockets with notes use it.
	Noted       Standing = "noted"
	Suspected   Standing = "suspected"
	Quarantined Standing = "quarantined"
)

// Entry is a fingerprint that is not clear, as nodes tell each other.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Standing    Standing    `json:"standing"`
	// LeftMillis is how long the standing lasts from now.
	LeftMillis int64 `json:"left-millis"`
}

// severity orders the standings.
var severity = map[Standing]int{
	Noted:       1,
	Suspected:   2,
	Quarantined: 3,
}

type standing struct {
	standing Standing
	until    timer.Instant
}

// Docket is one node's list; it is not safe for concurrent use.
type Docket struct {
	entries map[Fingerprint]standing
	notes   bool
}

// Option configures a Docket.
type Option func(*Docket)

// WithNotes makes a request suspect only after two targets died while it ran.
// Where targets also die of other causes, what ran on them and is sent again by
// its callers would all have to run alone otherwise.
func WithNotes() Option {
	return func(d *Docket) {
		d.notes = true
	}
}

// NewDocket returns an empty docket.
func NewDocket(options ...Option) *Docket {
	d := &Docket{
		entries: map[Fingerprint]standing{},
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Judge returns the standing of a request and how long it lasts.
func (d *Docket) Judge(now timer.Instant, f Fingerprint) (Standing, time.Duration) {
	e, ok := d.entries[f]
	if !ok {
		return Clear, 0
	}
	if now >= e.until {
		delete(d.entries, f)
		return Clear, 0
	}
	return e.standing, e.until.Sub(now)
}

// Died notes that a target died while the given requests ran on it and returns
// the entries that other nodes must learn.
func (d *Docket) Died(now timer.Instant, running []Fingerprint) []Entry {
	var news []Entry
	for _, f := range running {
		old, _ := d.Judge(now, f)
		e := Entry{
			Fingerprint: f,
			Standing:    Suspected,
			LeftMillis:  suspicionTime.Milliseconds(),
		}
		switch {
		case d.notes && old == Clear:
			e.Standing = Noted
		case len(running) == 1 && (old == Suspected || old == Quarantined):
			e.Standing = Quarantined
			e.LeftMillis = QuarantineTime.Milliseconds()
		}
		d.Learn(now, e)
		news = append(news, e)
	}
	return news
}

// Learn takes an entry from a peer; the more severe standing stays.
func (d *Docket) Learn(now timer.Instant, e Entry) {
	old, _ := d.Judge(now, e.Fingerprint)
	if severity[e.Standing] == 0 || severity[e.Standing] < severity[old] {
		return
	}
	if len(d.entries) >= maxEntries {
		d.sweep(now)
	}
	if len(d.entries) >= maxEntries && old == Clear {
		return
	}
	until := now.Add(min(time.Duration(e.LeftMillis)*time.Millisecond, QuarantineTime))
	if old == e.Standing && until.Sub(d.entries[e.Fingerprint].until) < repeatMargin {
		return
	}
	d.entries[e.Fingerprint] = standing{
		standing: e.Standing,
		until:    until,
	}
}

// Cleared notes a clean run of a suspect and reports whether it was one.
func (d *Docket) Cleared(now timer.Instant, f Fingerprint) bool {
	old, _ := d.Judge(now, f)
	if old != Suspected && old != Noted {
		return false
	}
	delete(d.entries, f)
	return true
}

// Entries returns what is suspected or quarantined.
func (d *Docket) Entries(now timer.Instant) []Entry {
	d.sweep(now)
	out := make([]Entry, 0, len(d.entries))
	for f, e := range d.entries {
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

func (d *Docket) sweep(now timer.Instant) {
	for f, e := range d.entries {
		if now >= e.until {
			delete(d.entries, f)
		}
	}
}
