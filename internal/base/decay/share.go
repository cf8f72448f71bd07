package decay

import (
	"math"
	"time"
)

// Share is the exponentially weighted moving average of boolean samples: the share
// of them that were true, from 0 to 1. Without samples it decays towards 0, with a
// half-life. It is not safe for concurrent use.
type Share struct {
	// Weight is the weight of a new sample in the average, from 0 to 1.
	Weight float64
	// HalfLife is the time without samples in which the share halves.
	HalfLife time.Duration

	value float64
	at    time.Time
}

// Add adds a sample taken at now.
func (s *Share) Add(now time.Time, sample bool) {
	s.value = s.Value(now)
	s.at = now
	observed := 0.0
	if sample {
		observed = 1
	}
	s.value += s.Weight * (observed - s.value)
}

// Value returns the share at now.
func (s *Share) Value(now time.Time) float64 {
	idle := now.Sub(s.at).Seconds()
	return s.value * math.Exp2(-idle/s.HalfLife.Seconds())
}
