package pool

import (
	"slices"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// initialWindowLevel is the fraction of a window's tokens that a new keeper
	// starts with. All domains may change their keeper at once, each after the
	// tokens of its window were spent.
	initialWindowLevel = 0.25
	// mergeInterval is the time within which entries of a window are merged into
	// one, which bounds their number.
	mergeInterval = 100 * time.Millisecond
)

// bucket holds the tokens of a limit, which is passed with each call. For a limit
// with a rate it is a token bucket; for one with a window it is a sliding window
// log.
type bucket struct {
	level    float64
	filledAt timer.Instant
	started  bool
	// ownedSince is when this node began to own the window; unused for limits
	// with a rate.
	ownedSince timer.Instant
	// entries is the sliding window log. The level follows from it.
	entries []entry
}

// entry is a number of tokens taken, or added if negative, that counts until a
// given instant.
type entry struct {
	amount float64
	until  timer.Instant
}

// fill brings the level up to date. ownedSince is when this node became the owner
// of the bucket; initial is the fraction of the burst that a bucket with a rate
// starts with.
func (b *bucket) fill(now timer.Instant, l Limit, ownedSince timer.Instant, initial float64) {
	if l.Window > 0 {
		b.fillWindow(now, l, ownedSince)
		return
	}
	if !b.started {
		b.started = true
		b.filledAt = now
		b.level = initial * l.Burst
	}
	elapsed := now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	if b.level < l.Burst {
		b.level = min(l.Burst, b.level+max(elapsed, 0)*l.Rate)
	}
}

// ownedSinceOr returns ownedSince, or now if the bucket has not been filled yet.
func (b *bucket) ownedSinceOr(now timer.Instant) timer.Instant {
	if b.started {
		return b.ownedSince
	}
	return now
}

// fillWindow brings the level of a sliding window log up to date. A new owner
// does not know how many tokens its predecessor granted, so it counts all but
// initialWindowLevel of the tokens as used for one window.
func (b *bucket) fillWindow(now timer.Instant, l Limit, ownedSince timer.Instant) {
	if !b.started || ownedSince > b.ownedSince {
		b.started = true
		b.ownedSince = ownedSince
		b.entries = append(b.entries, entry{
			amount: (1 - initialWindowLevel) * l.Burst,
			until:  ownedSince.Add(l.Window),
		})
	}
	b.entries = slices.DeleteFunc(b.entries, func(e entry) bool { return e.until <= now })
	b.level = l.Burst
	for _, e := range b.entries {
		b.level -= e.amount
	}
}

// take removes tokens. Those of a window become available again one window after
// the last moment at which they may be spent.
func (b *bucket) take(now timer.Instant, l Limit, amount float64) {
	b.level -= amount
	if l.Window <= 0 {
		return
	}
	until := now.Add(l.Window + grantTTL)
	if last := len(b.entries) - 1; last >= 0 && b.entries[last].amount > 0 && until.Sub(b.entries[last].until) < mergeInterval {
		b.entries[last].amount += amount
		b.entries[last].until = max(until, b.entries[last].until)
		return
	}
	b.entries = append(b.entries, entry{
		amount: amount,
		until:  until,
	})
}

// add adds tokens granted by another domain. Those of a window are no longer
// available after one window.
func (b *bucket) add(now timer.Instant, l Limit, amount float64) {
	b.level += amount
	if l.Window > 0 && amount > 0 {
		b.entries = append(b.entries, entry{
			amount: -amount,
			until:  now.Add(l.Window),
		})
	}
}
