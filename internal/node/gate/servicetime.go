package gate

import (
	"math"
	"time"
)

const (
	// serviceTimeWeight is the weight of one more request in the moving average.
	serviceTimeWeight = 0.1
	// serviceTimeHalfLife is the time in which the average halves while the target
	// runs no requests, so that a target that is avoided for having been slow is
	// tried again.
	serviceTimeHalfLife = 2 * time.Second
	// serviceTimeIdle is how long a target may run no requests before its average
	// decays.
	serviceTimeIdle = 1 * time.Second
)

// serviceTime is the exponentially weighted moving average of the time that the
// target takes for a request.
type serviceTime struct {
	// took is the average as of at.
	took time.Duration
	at   time.Time
}

// add adds the time that one request took.
func (s *serviceTime) add(now time.Time, took time.Duration) {
	previous := s.value(now)
	if previous == 0 {
		previous = took
	}
	s.took = previous + time.Duration(serviceTimeWeight*float64(took-previous))
	s.at = now
}

// value returns the average as of now.
func (s *serviceTime) value(now time.Time) time.Duration {
	idle := now.Sub(s.at) - serviceTimeIdle
	if idle <= 0 {
		return s.took
	}
	return time.Duration(float64(s.took) * math.Exp2(-idle.Seconds()/serviceTimeHalfLife.Seconds()))
}
