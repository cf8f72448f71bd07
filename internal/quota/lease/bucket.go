package lease

import (
	"time"

	"fuchsiapier/internal/base/timer"
)

// bucket is a token bucket. The limit is passed with each call, since configurations
// and the share of the limit change.
type bucket struct {
	level    float64
	filledAt timer.Instant
	started  bool
}

// fill adds the tokens that have accrued since the last call of fill or restart.
func (b *bucket) fill(now timer.Instant, l Limit) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level += elapsed.Seconds() * l.Rate
	}
	b.filledAt = now
	b.level = min(b.level, l.Burst)
}

// restart makes tokens accrue from now on only, and leaves the bucket at most the given
// number of tokens, which is also the number that a new bucket starts with.
func (b *bucket) restart(now timer.Instant, initial float64) {
	if !b.started {
		b.level = initial
	}
	b.started = true
	b.level = min(b.level, initial)
	b.filledAt = now
}

// untilNext returns the time until the bucket holds a token.
func (b *bucket) untilNext(l Limit) time.Duration {
	if l.Rate <= 0 {
		return maxRetryAfter
	}
	seconds := max(1-b.level, 0) / l.Rate
	return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
}
