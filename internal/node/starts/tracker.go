// Package starts decides which start of a target is present on the node's VM and which ones are
// leaving or have left, by what the targets report. It keeps no time of its own.
package starts

import (
	"slices"
	"time"
)

// Report is what a target's announcement says about its start.
type Report struct {
	ID string
	// StartedAt is when the target started, in Unix milliseconds, or 0 if it doesn't say. With the
	// ID it names the start.
	StartedAt int64
	// Seq increases with each report of a start.
	Seq int64
	// Ready is false if the target is draining.
	Ready bool
}

// Tracker holds the present start of the target on a VM and the departures. The zero value knows no
// target. It is not safe for concurrent use.
type Tracker struct {
	// present is the last report of the present start; known says that there is one.
	present    Report
	known      bool
	departures []Departure
}

// Announce takes a report. It returns whether the report is applied, so that its start is the present
// one, and whether it has added a departure.
func (t *Tracker) Announce(now time.Time, r Report) (applied, departed bool) {
	if t.outdated(r, now) || !t.supersedes(r) {
		return false, false
	}
	wasReady := !t.sameStart(r) || t.present.Ready
	t.present, t.known = r, true
	if r.Ready || !wasReady {
		return true, false
	}
	return true, t.record(Departure{
		ID:        r.ID,
		StartedAt: r.StartedAt,
		At:        now.UnixMilli(),
		LastSeq:   r.Seq,
	})
}

// sameStart reports whether a report is of the present start.
func (t *Tracker) sameStart(r Report) bool {
	return t.known && t.present.ID == r.ID && t.present.StartedAt == r.StartedAt
}

// supersedes reports whether a report replaces the last one of the present start: reports of the same
// start are ordered by sequence number, others by start time.
func (t *Tracker) supersedes(r Report) bool {
	switch {
	case !t.known:
		return true
	case t.sameStart(r):
		return r.Seq > t.present.Seq
	}
	return r.StartedAt > t.present.StartedAt
}

// Withdraw records that the target with an ID has left for good, and reports whether that is news.
func (t *Tracker) Withdraw(now time.Time, id string) bool {
	startedAt := int64(0)
	if t.known && t.present.ID == id {
		startedAt = t.present.StartedAt
	}
	return t.WithdrawStart(now, id, startedAt)
}

// WithdrawStart records that a start of a target (0 if it is not known which) has left for good, and
// reports whether that is news.
func (t *Tracker) WithdrawStart(now time.Time, id string, startedAt int64) bool {
	return t.record(Departure{
		ID:        id,
		StartedAt: startedAt,
		At:        now.UnixMilli(),
		LastSeq:   ForGood,
	})
}

// Restore adds departures that an earlier process of the node has recorded.
func (t *Tracker) Restore(departures []Departure) {
	t.departures, _ = MergeAll(t.departures, departures)
}

// Departures returns the departures on record, the oldest first. The slice must not be changed.
func (t *Tracker) Departures() []Departure {
	return t.departures
}

// Leaving reports whether the present start is draining or has left.
func (t *Tracker) Leaving(now time.Time) bool {
	return t.known && (!t.present.Ready || t.outdated(t.present, now))
}

// Left reports whether a departure outdates all reports of a start.
func (t *Tracker) Left(id string, startedAt int64) bool {
	return slices.ContainsFunc(t.departures, func(d Departure) bool {
		return d.ID == id && d.StartedAt == startedAt && d.LastSeq == ForGood
	})
}

func (t *Tracker) outdated(r Report, now time.Time) bool {
	return slices.ContainsFunc(t.departures, func(d Departure) bool { return d.outdates(r, now) })
}

func (t *Tracker) record(d Departure) (isNew bool) {
	t.departures, isNew = Merge(t.departures, d)
	return isNew
}
