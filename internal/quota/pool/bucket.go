package pool

import (
	"slices"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// windowLevel is the part of a window's tokens that a new keeper starts with. All
	// domains may change their keeper at once, each after its window was spent.
	windowLevel = 0.25
	// useStep is the time within which tokens handed out are remembered as one.
	useStep = 100 * time.Millisecond
)

// bucket holds tokens of a limit that is given at each use.
type bucket struct {
	level  float64
	filled timer.Instant
	begun  bool
	// since is when the node became the holder of the bucket's window.
	since timer.Instant
	// uses are the tokens of a window that come back; the level follows from them.
	uses []use
}

// use is a number of tokens handed out, or received where it is negative.
type use struct {
	amount float64
	until  timer.Instant
}

// fill brings a bucket up to date. since is when the node became its holder, first
// the part of the burst that it starts with.
func (b *bucket) fill(now timer.Instant, l Limit, since timer.Instant, first float64) {
	if l.Window > 0 {
		b.fillWindow(now, l, since)
		return
	}
	if !b.begun {
		b.begun = true
		b.filled = now
		b.level = first * l.Burst
	}
	dt := now.Sub(b.filled).Seconds()
	b.filled = now
	if b.level < l.Burst {
		b.level = min(l.Burst, b.level+max(dt, 0)*l.Rate)
	}
}

// start returns when the bucket was begun, or now.
func (b *bucket) start(now timer.Instant) timer.Instant {
	if b.begun {
		return b.since
	}
	return now
}

func (b *bucket) fillWindow(now timer.Instant, l Limit, since timer.Instant) {
	if !b.begun || since > b.since {
		b.begun = true
		b.since = since
		b.uses = append(b.uses, use{
			amount: (1 - windowLevel) * l.Burst,
			until:  since.Add(l.Window),
		})
	}
	b.uses = slices.DeleteFunc(b.uses, func(u use) bool { return u.until <= now })
	b.level = l.Burst
	for _, u := range b.uses {
		b.level -= u.amount
	}
}

// take hands out tokens. Those of a window come back a window after the last
// moment at which they may be spent.
func (b *bucket) take(now timer.Instant, l Limit, amount float64) {
	b.level -= amount
	if l.Window <= 0 {
		return
	}
	until := now.Add(l.Window + stockLife)
	if last := len(b.uses) - 1; last >= 0 && b.uses[last].amount > 0 && until.Sub(b.uses[last].until) < useStep {
		b.uses[last].amount += amount
		b.uses[last].until = max(until, b.uses[last].until)
		return
	}
	b.uses = append(b.uses, use{
		amount: amount,
		until:  until,
	})
}

// add puts in tokens of another domain.
func (b *bucket) add(now timer.Instant, l Limit, amount float64) {
	b.level += amount
	if l.Window > 0 && amount > 0 {
		b.uses = append(b.uses, use{
			amount: -amount,
			until:  now.Add(l.Window),
		})
	}
}
