// Package decay computes exponentially decaying sums and averages.
package decay

import (
	"math"
	"time"

	"fuchsiapier/internal/base/timer"
)

// Sum is an exponentially decaying sum; its zero value is 0. All calls on one Sum
// must use the same window. It is not safe for concurrent use.
type Sum struct {
	value float64
	at    timer.Instant
}

// Add adds an amount, which decays to 1/e of its value within window.
func (s *Sum) Add(now timer.Instant, window time.Duration, amount float64) {
	s.Value(now, window)
	s.value += amount
}

// Value returns the sum at now. A now before that of an earlier call leaves the
// sum as it is.
func (s *Sum) Value(now timer.Instant, window time.Duration) float64 {
	if dt := now.Sub(s.at); dt > 0 {
		s.value *= math.Exp(-dt.Seconds() / window.Seconds())
		s.at = now
	}
	return s.value
}

// AddRate adds an amount divided by the window, so that Value estimates the rate
// in amounts per second.
func (s *Sum) AddRate(now timer.Instant, window time.Duration, amount float64) {
	s.Add(now, window, amount/window.Seconds())
}
