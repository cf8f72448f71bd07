// Package starts decides which start of a target is present on the node's VM and which ones are
// leaving or have left, by what the targets report.
//
// The start time that a target reports is a time of day, which jumps: two starts are two names, not an
// earlier and a later one. Reports are delayed by seconds, so that a start that was replaced may still
// be heard of. What decides is what was seen: sequence numbers, the order of arrival and the starts
// seen before. A report that could be a late one counts only once the next one of its start confirms
// it. The package keeps no time of its own.
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

// sameStart reports whether both reports are of the same start.
func (r Report) sameStart(o Report) bool {
	return r.ID == o.ID && r.StartedAt == o.StartedAt
}

// Verdict is what a report does. Its values stand in log lines.
type Verdict string

// The verdicts.
const (
	// Applied means that the start of the report is the present one.
	Applied Verdict = "applied"
	// Outdated means that the report is older than what is known.
	Outdated Verdict = "outdated"
	// Unconfirmed means that the next report of the same start will make it the present one.
	Unconfirmed Verdict = "unconfirmed"
)

const (
	// maxEarlier bounds the earlier starts that are known.
	maxEarlier = 16
	// confirmingReports is how many reports in a row, with none of the present start between them,
	// make a start the present one whose reports could be late ones.
	confirmingReports = 2
	// confirmingLateReports replaces it for a start that may be one whose withdrawal came before any
	// report of it, and that was not heard from its beginning on.
	confirmingLateReports = 4
	// beginSeq is the highest sequence number with which a start may be heard of for the first time
	// and count as new.
	beginSeq = 2
	// lateWithdrawalTime is how long the withdrawal of an earlier start may arrive after the first
	// report of the next one.
	lateWithdrawalTime = 10 * time.Second
	// inFlightReports is how many reports that a target sent before its withdrawal may arrive after
	// it.
	inFlightReports = 1
)

// Tracker holds the present start of the target on a VM and the departures. The zero value knows no
// target. It is not safe for concurrent use.
type Tracker struct {
	// present is the last report of the present start, which is present since a time; known says
	// that there is one, withdrawn that a withdrawal has been taken for its own.
	present   Report
	since     time.Time
	known     bool
	withdrawn bool
	// leftAt is when a withdrawal was last taken for the late one of an earlier start.
	leftAt time.Time
	// earlier are starts that were present before, the oldest first.
	earlier []earlierStart
	// candidate is the last of a number of reports in a row that were not confirmed, of which the first
	// had the sequence number candidateFrom.
	candidate     Report
	candidates    int
	candidateFrom int64
	departures    []Departure
}

// earlierStart is a start that was present before.
type earlierStart struct {
	last Report
	// withdrawn says that a withdrawal has been taken for one of this start.
	withdrawn bool
}

// Announce takes a report. It returns what the report does and whether it has added a departure.
func (t *Tracker) Announce(now time.Time, r Report) (verdict Verdict, departed bool) {
	if t.outdated(r) {
		return Outdated, false
	}
	verdict = t.judge(r, now)
	switch {
	case verdict == Outdated:
		return verdict, false
	case verdict == Unconfirmed:
		// The confirmation that this start drains binds all the same.
		return verdict, !r.Ready && !t.isPresent(r) && t.recordDraining(r, now)
	}
	wasReady := !t.isPresent(r) || t.present.Ready
	if t.mayBeWithdrawn(r, now) {
		departed = t.vet(r, now)
	}
	t.setPresent(r, now)
	return verdict, !r.Ready && wasReady && t.recordDraining(r, now) || departed
}

// vet records that the start of a report is not the one that was withdrawn before any report of it.
func (t *Tracker) vet(r Report, now time.Time) bool {
	return t.record(Departure{
		ID:        r.ID,
		StartedAt: r.StartedAt,
		At:        now.UnixMilli(),
	})
}

// isPresent reports whether a report is of the present start.
func (t *Tracker) isPresent(r Report) bool {
	return t.known && t.present.sameStart(r)
}

// judge decides about a report that no departure outdates.
func (t *Tracker) judge(r Report, now time.Time) Verdict {
	i := t.findEarlier(r)
	switch {
	case !t.known:
		if !t.inDoubt(r, now) {
			return Applied
		}
	case t.isPresent(r):
		if r.Seq > t.present.Seq && !(r.StartedAt == 0 && t.inDoubt(r, now)) {
			return Applied
		}
	case !r.Ready && r.ID == t.present.ID && (i < 0 || r.Seq > t.earlier[i].last.Seq):
		// Requests reach this start by the ID of the present one.
		return Applied
	case i >= 0:
		if r.Seq <= t.earlier[i].last.Seq {
			return Outdated
		}
	case t.replacesPresent(r, now):
		return Applied
	}
	return t.confirm(r, now)
}

// replacesPresent reports whether the first report of a start shows by itself that the start replaces
// the present one.
func (t *Tracker) replacesPresent(r Report, now time.Time) bool {
	if t.inDoubt(r, now) {
		return false
	}
	return r.StartedAt > t.present.StartedAt || !t.Usable() && r.ID != t.present.ID
}

// inDoubt reports whether a report could be a late one of a start before one that has departed.
func (t *Tracker) inDoubt(r Report, now time.Time) bool {
	return !t.onRecord(r) && slices.ContainsFunc(t.departures, func(d Departure) bool { return d.doubts(r, now) })
}

// onRecord reports whether there is a record of the start of a report, which alone decides on its reports.
func (t *Tracker) onRecord(r Report) bool {
	return r.StartedAt > 0 && slices.ContainsFunc(t.departures, func(d Departure) bool {
		return d.ID == r.ID && d.StartedAt == r.StartedAt
	})
}

// confirm counts a report of a start that is not known to be the present one.
func (t *Tracker) confirm(r Report, now time.Time) Verdict {
	if !t.isCandidate(r) {
		t.candidates, t.candidateFrom = 0, r.Seq
	} else if r.Seq <= t.candidate.Seq {
		return Outdated
	}
	t.candidate = r
	t.candidates++
	needed := confirmingReports
	if t.candidateFrom > beginSeq && t.mayBeWithdrawn(r, now) {
		needed = confirmingLateReports
	}
	if t.candidates < needed {
		return Unconfirmed
	}
	return Applied
}

// mayBeWithdrawn reports whether a report could be of a start whose withdrawal came before any report of
// it.
func (t *Tracker) mayBeWithdrawn(r Report, now time.Time) bool {
	return !t.onRecord(r) && slices.ContainsFunc(t.departures, func(d Departure) bool { return d.StartedAt == 0 && d.doubts(r, now) })
}

// isCandidate reports whether a report follows one of the same start that was not confirmed.
func (t *Tracker) isCandidate(r Report) bool {
	return t.candidates > 0 && t.candidate.sameStart(r)
}

// findEarlier returns the index of the start of a report among the earlier ones, -1 if it is none.
func (t *Tracker) findEarlier(r Report) int {
	return slices.IndexFunc(t.earlier, func(e earlierStart) bool { return e.last.sameStart(r) })
}

// setPresent makes the start of a report the present one.
func (t *Tracker) setPresent(r Report, now time.Time) {
	t.candidates = 0
	if t.isPresent(r) {
		t.present = r
		return
	}
	t.earlier = slices.DeleteFunc(t.earlier, func(e earlierStart) bool { return e.last.sameStart(r) })
	if t.known {
		t.earlier = append(t.earlier, earlierStart{
			last:      t.present,
			withdrawn: t.withdrawn,
		})
	}
	if len(t.earlier) > maxEarlier {
		t.earlier = slices.Delete(t.earlier, 0, 1)
	}
	t.present, t.since, t.known, t.withdrawn = r, now, true, false
}

// recordDraining records that the start of a report drains.
func (t *Tracker) recordDraining(r Report, now time.Time) bool {
	return t.record(Departure{
		ID:        r.ID,
		StartedAt: r.StartedAt,
		At:        now.UnixMilli(),
		LastSeq:   r.Seq,
	})
}

// Withdraw records that the target with an ID has left for good, and reports whether that is news. A
// withdrawal names no start: soon after a target has started again under its ID, it may be the late one
// of its earlier start. The present start then counts as left until it has reported again, which a
// target does not do after its withdrawal.
func (t *Tracker) Withdraw(now time.Time, id string) bool {
	startedAt, isLate := t.withdrawnBefore(now, id)
	isNews := t.withdrawCandidate(now, id)
	switch {
	case !t.known:
		// It may be that of a start of which this process has not heard.
		if startedAt > 0 {
			isNews = t.withdrawEarlier(now, id, startedAt) || isNews
		}
		return t.WithdrawStart(now, id, 0) || isNews
	case t.present.ID != id:
		return t.withdrawEarlier(now, id, startedAt) || isNews
	case isLate && t.present.Ready:
		t.leftAt = now
		isNews = t.withdrawEarlier(now, id, startedAt) || isNews
		return t.leaveUntilReport(t.present, now) || isNews
	case t.leftUntilReport() && now.Sub(t.leftAt) < repeatTime:
		// The withdrawal is repeated.
		return isNews
	}
	if t.withdrawn {
		// It may be that of the next start, of which no report has arrived yet.
		return t.WithdrawStart(now, id, 0) || isNews
	}
	t.withdrawn = true
	return t.WithdrawStart(now, id, t.present.StartedAt) || isNews
}

// withdrawCandidate makes a start that is not confirmed count as left until it reports again, if it is
// one of the target with an ID.
func (t *Tracker) withdrawCandidate(now time.Time, id string) bool {
	if t.candidates == 0 || t.candidate.ID != id || t.isPresent(t.candidate) {
		return false
	}
	t.candidates = 0
	return t.leaveUntilReport(t.candidate, now)
}

// leaveUntilReport makes the start of a report count as left until there is one that was sent after the
// withdrawal.
func (t *Tracker) leaveUntilReport(last Report, now time.Time) bool {
	last.Seq += inFlightReports
	return t.recordDraining(last, now)
}

// withdrawnBefore returns the latest start of the target with an ID, other than the present one, of which
// no withdrawal is known, 0 if there is none, and whether a withdrawal that arrives now may be that of
// this start.
func (t *Tracker) withdrawnBefore(now time.Time, id string) (startedAt int64, isLate bool) {
	recent := now.Sub(t.since) < lateWithdrawalTime
	for i := len(t.earlier) - 1; i >= 0; i-- {
		if e := t.earlier[i]; e.last.ID == id && !e.withdrawn {
			return e.last.StartedAt, recent
		}
	}
	for i := len(t.departures) - 1; i >= 0; i-- {
		d := t.departures[i]
		if d.ID == id && d.LastSeq < ForGood && (t.present.ID != id || d.StartedAt != t.present.StartedAt) {
			return d.StartedAt, recent
		}
	}
	return 0, false
}

// withdrawEarlier records that a start other than the present one has left for good.
func (t *Tracker) withdrawEarlier(now time.Time, id string, startedAt int64) bool {
	for i := range t.earlier {
		if e := &t.earlier[i]; e.last.ID == id && e.last.StartedAt == startedAt {
			e.withdrawn = true
		}
	}
	return t.WithdrawStart(now, id, startedAt)
}

// leftUntilReport reports whether the present start was ready and counts as left until it reports
// again.
func (t *Tracker) leftUntilReport() bool {
	return t.present.Ready && t.outdated(t.present)
}

// WithdrawStart records that a start of a target (0 if it is not known which) has left for good, and
// reports whether that is news.
func (t *Tracker) WithdrawStart(now time.Time, id string, startedAt int64) bool {
	if t.known && t.present.ID == id && t.present.StartedAt == startedAt {
		t.present.Ready = false
	}
	return t.record(Departure{
		ID:        id,
		StartedAt: startedAt,
		At:        now.UnixMilli(),
		LastSeq:   ForGood,
	})
}

// Restore adds departures that an earlier process of the node has recorded. A present start that one of
// them casts doubt on must be confirmed again.
func (t *Tracker) Restore(now time.Time, departures []Departure) {
	for _, d := range departures {
		isNews := t.record(d)
		if isNews && d.StartedAt == 0 && d.doubts(t.present, now) && !t.onRecord(t.present) {
			t.known = false
		}
	}
}

// Departures returns the departures on record, the oldest first. The slice must not be changed.
func (t *Tracker) Departures() []Departure {
	return t.departures
}

// Usable reports whether there is a present start that is neither draining nor has left.
func (t *Tracker) Usable() bool {
	return t.known && t.present.Ready && !t.outdated(t.present)
}

// StartLeaving reports whether a start has left for good, or is the present one and leaving.
func (t *Tracker) StartLeaving(id string, startedAt int64) bool {
	if t.known && t.present.ID == id && t.present.StartedAt == startedAt && !t.Usable() {
		return true
	}
	return slices.ContainsFunc(t.departures, func(d Departure) bool {
		return d.ID == id && d.StartedAt == startedAt && d.LastSeq == ForGood
	})
}

// Departed reports whether there is a departure of a start, so that the confirmation that it drains
// binds.
func (t *Tracker) Departed(id string, startedAt int64) bool {
	return slices.ContainsFunc(t.departures, func(d Departure) bool {
		return d.ID == id && d.StartedAt == startedAt && d.LastSeq > 0
	})
}

// outdated reports whether a departure outdates a report.
func (t *Tracker) outdated(r Report) bool {
	return slices.ContainsFunc(t.departures, func(d Departure) bool { return d.outdates(r) })
}

func (t *Tracker) record(d Departure) (isNew bool) {
	t.departures, isNew = Merge(t.departures, d)
	return isNew
}
