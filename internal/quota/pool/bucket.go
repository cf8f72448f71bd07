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

// bucket holds the tokens of a limit, which is passed with each call, as a sliding
// window log.
type bucket struct {
	// level is the number of tokens available, which follows from entries.
	level   float64
	started bool
	// ownedSince is when this node began to own the window.
	ownedSince timer.Instant
	entries    []entry
}

// entry is a number of tokens taken, or added if negative, that counts until a
// given instant.
type entry struct {
	amount float64
	until  timer.Instant
}

// ownedSinceOr returns ownedSince, or now if the bucket has not been filled yet.
func (b *bucket) ownedSinceOr(now timer.Instant) timer.Instant {
	if b.started {
		return b.ownedSince
	}
	return now
}

// fill brings the level up to date. ownedSince is when this node became the owner of
// the bucket. A new owner does not know how many tokens its predecessor granted, so it
// counts all but initialWindowLevel of the tokens as used for one window.
func (b *bucket) fill(now timer.Instant, l Limit, ownedSince timer.Instant) {
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

// take removes tokens. They become available again one window after the last moment at
// which they may be spent.
func (b *bucket) take(now timer.Instant, l Limit, amount float64) {
	b.level -= amount
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

// add adds tokens granted by another domain, which are available for one window.
func (b *bucket) add(now timer.Instant, l Limit, amount float64) {
	b.level += amount
	if amount > 0 {
		b.entries = append(b.entries, entry{
			amount: -amount,
			until:  now.Add(l.Window),
		})
	}
}
