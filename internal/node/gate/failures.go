package gate

import (
	"math"
	"time"
)

const (
	// failWeight is the weight of one more result in the running share.
	failWeight = 0.1
	// failHalfLife is the time in which the share halves without results, so that a
	// target that was avoided is tried again.
	failHalfLife = 3 * time.Second
)

// failures is the running share of requests that failed.
type failures struct {
	value float64
	at    time.Time
}

// add counts a result, unless it says nothing of the target.
func (f *failures) add(now time.Time, failed, counts bool) {
	if !counts {
		return
	}
	f.value = f.share(now)
	f.at = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.value += failWeight * (sample - f.value)
}

// share returns the share as of now.
func (f *failures) share(now time.Time) float64 {
	idle := now.Sub(f.at).Seconds()
	return f.value * math.Exp2(-idle/failHalfLife.Seconds())
}
