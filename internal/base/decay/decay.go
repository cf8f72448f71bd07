// Package decay holds sums that fade: each amount counts less the longer ago it
// was added.
package decay

import (
	"math"
	"time"

	"fuchsiapier/internal/base/timer"
)

// Sum is an exponentially fading sum; its zero value is empty. It is not safe for
// concurrent use, and each Sum is to be used with one window.
type Sum struct {
	value float64
	at    timer.Instant
}

// Add adds an amount. window is the time in which it fades to 1/e.
func (s *Sum) Add(now timer.Instant, window time.Duration, amount float64) {
	s.Value(now, window)
	s.value += amount
}

// Value returns the sum as of now.
func (s *Sum) Value(now timer.Instant, window time.Duration) float64 {
	if dt := now.Sub(s.at); dt > 0 {
		s.value *= math.Exp(-dt.Seconds() / window.Seconds())
		s.at = now
	}
	return s.value
}

// AddRate adds an amount so that Value estimates amounts a second.
func (s *Sum) AddRate(now timer.Instant, window time.Duration, amount float64) {
	s.Add(now, window, amount/window.Seconds())
}
