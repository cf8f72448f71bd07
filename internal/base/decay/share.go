package decay

import (
	"math"
	"time"
)

// Share is the running share of samples that were true. It fades while there are
// none. It is not safe for concurrent use.
type Share struct {
	// Weight is the weight of one more sample.
	Weight float64
	// HalfLife is the time in which the share halves without samples.
	HalfLife time.Duration

	value float64
	at    time.Time
}

// Add counts a sample.
func (s *Share) Add(now time.Time, sample bool) {
	s.value = s.Value(now)
	s.at = now
	goal := 0.0
	if sample {
		goal = 1
	}
	s.value += s.Weight * (goal - s.value)
}

// Value returns the share as of now.
func (s *Share) Value(now time.Time) float64 {
	idle := now.Sub(s.at).Seconds()
	return s.value * math.Exp2(-idle/s.HalfLife.Seconds())
}
