package starts

import (
	"math"
	"slices"
	"time"
)

const (
	// ForGood is the last sequence number of a start that has left for good.
	ForGood = math.MaxInt64
	// maxDepartures bounds the departures on record.
	maxDepartures = 64
	// lateReportTime is how long reports of a target may still arrive whose start was not known
	// when it was withdrawn.
	lateReportTime = 30 * time.Second
	// repeatTime is how long a withdrawal counts as repeated whose start is not certain.
	repeatTime = 1 * time.Second
	// clockStep is how far the time of day of a target may be ahead of the node's.
	clockStep = 3 * time.Second
)

// Departure says that a start of a target is leaving or has left, so that its reports up to LastSeq
// are outdated. It outlives the node's process, since such reports may still arrive. It is encoded as
// a CBOR array, so the order of the fields is part of the format.
type Departure struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// StartedAt is the start time that the target reported, in Unix milliseconds, 0 if no report
	// of it was known.
	StartedAt int64
	// At is when the departure was recorded, in Unix milliseconds.
	At int64
	// LastSeq is the sequence number of the report that said that the target drains, or ForGood. It is
	// 0 for a start that is present after the withdrawal of one under the same ID that was not known.
	LastSeq int64
}

// outdates reports whether a report is of the departed start and not newer than its departure.
func (d Departure) outdates(r Report) bool {
	return d.StartedAt > 0 && d.ID == r.ID && d.StartedAt == r.StartedAt && r.Seq <= d.LastSeq
}

// doubts reports whether a report could be a late one of a start of the target before the departed one:
// its start time is the earlier one. Where the departed start is not known, this holds for the reports
// of starts before the departure, for the time in which late ones may arrive.
func (d Departure) doubts(r Report, now time.Time) bool {
	switch {
	case d.ID != r.ID:
		return false
	case d.StartedAt == 0:
		return r.StartedAt <= d.At+clockStep.Milliseconds() && now.Sub(time.UnixMilli(d.At)) < lateReportTime
	}
	return r.StartedAt < d.StartedAt
}

// Merge adds a departure to a list and reports whether that changes what the list says. The list is
// ordered by age. The oldest departure without a known start is dropped first if there are too many,
// then the oldest one.
func Merge(list []Departure, d Departure) ([]Departure, bool) {
	i := slices.IndexFunc(list, func(o Departure) bool { return o.ID == d.ID && o.StartedAt == d.StartedAt })
	if i >= 0 {
		old := list[i]
		if old.LastSeq >= d.LastSeq && (d.StartedAt > 0 || d.At-old.At < repeatTime.Milliseconds()) {
			return list, false
		}
		d.LastSeq, d.At = max(old.LastSeq, d.LastSeq), max(old.At, d.At)
		list = slices.Delete(slices.Clone(list), i, i+1)
	}
	list = append(slices.Clone(list), d)
	if len(list) > maxDepartures {
		drop := max(slices.IndexFunc(list, func(o Departure) bool { return o.StartedAt == 0 }), 0)
		list = slices.Delete(list, drop, drop+1)
	}
	return list, true
}

// MergeAll adds several departures to a list and reports whether that changes what the list says.
func MergeAll(list, more []Departure) (merged []Departure, changed bool) {
	merged = list
	for _, d := range more {
		var added bool
		merged, added = Merge(merged, d)
		changed = changed || added
	}
	return merged, changed
}
