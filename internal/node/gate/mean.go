package gate

import (
	"math"
	"time"
)

const (
	// meanWeight is the weight of one more run in the running mean.
	meanWeight = 0.1
	// meanHalfLife is the time in which the mean of a target without runs halves: one
	// that was slow and is avoided since must be tried again.
	meanHalfLife = 2 * time.Second
	// meanIdle is how long a target may be without runs before its mean shrinks.
	meanIdle = 1 * time.Second
)

// mean is the running mean of the time that a target takes for a request.
type mean struct {
	took time.Duration
	at   time.Time
}

// add counts a run.
func (m *mean) add(now time.Time, took time.Duration) {
	before := m.value(now)
	if before == 0 {
		before = took
	}
	m.took = before + time.Duration(meanWeight*float64(took-before))
	m.at = now
}

// value returns the mean as of now.
func (m *mean) value(now time.Time) time.Duration {
	idle := now.Sub(m.at) - meanIdle
	if idle <= 0 {
		return m.took
	}
	return time.Duration(float64(m.took) * math.Exp2(-idle.Seconds()/meanHalfLife.Seconds()))
}
