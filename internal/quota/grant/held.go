package grant

import (
	"math"
	"time"

	"fuchsiapier/internal/base/timer"
)

// Held are tokens that were granted to a node for a term. Its zero value is empty. It is
// not safe for concurrent use.
type Held struct {
	amount float64
	// until is the end of the latest term.
	until timer.Instant
}

// Add adds tokens that were requested at sentAt and may be spent for a term from then on.
// Those whose term has ended, as after a pause of the process, are dropped.
func (h *Held) Add(sentAt, now timer.Instant, term time.Duration, amount float64) {
	until := sentAt.Add(term)
	if now >= h.until {
		h.amount = 0
	}
	if now < until {
		h.amount += amount
		h.until = max(h.until, until)
	}
}

// Left returns the number of tokens that can be spent now.
func (h *Held) Left(now timer.Instant) float64 {
	if now >= h.until {
		return 0
	}
	return h.amount
}

// Spend takes up to want tokens, whole ones, and returns their number.
func (h *Held) Spend(now timer.Instant, want float64) float64 {
	if now >= h.until {
		h.amount = 0
	}
	got := math.Floor(min(want, h.amount))
	h.amount -= got
	return got
}
