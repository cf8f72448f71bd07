// Package shed decides whether a new request may enter. Where the waits along its
// path leave it little chance to be answered in time, it is refused at once, before
// any target works for it: a request that fails halfway has taken the place of
// another. The chance of a refusal grows with the waits, since what is known of them
// is some beats old and all entries act on it at once. The least urgent requests
// are refused first, as in Zhou et al., "Overload Control for Scaling WeChat
// Microservices" (2018), but by expected waits in place of levels.
package shed

import "time"

const (
	// calmPart is the part of its time that a request of the lowest rank may be expected
	// to wait before some are refused: half of what a path usually takes is 0.2 to 0.3.
	calmPart = 0.1
	// fullPart is the part at which all of the lowest rank are refused.
	fullPart = 0.3
	// minRetry and maxRetry bound when a refused request should come back; the time
	// between grows with the overload. A cold target takes some seconds.
	minRetry = 400 * time.Millisecond
	maxRetry = 1600 * time.Millisecond
)

// Stop is a service on the path of a request.
type Stop struct {
	// Calls is how many calls the request brings there.
	Calls float64
	// Wait is how long a call waits there for a slot.
	Wait time.Duration
}

// Expected returns how long a request waits on its path in all. Calls are taken to
// follow each other, which most targets do.
func Expected(path []Stop) time.Duration {
	sum := 0.0
	for _, s := range path {
		sum += s.Calls * float64(s.Wait)
	}
	return time.Duration(sum)
}

// Odds returns the chance, from 0 to 1, that a request is refused: expected is its
// wait, left the time that it has, above the number of ranks that are less urgent.
func Odds(expected, left time.Duration, above int) float64 {
	if left <= 0 {
		return 0
	}
	part := float64(expected) / float64(left) / float64(1+max(above, 0))
	return min(max((part-calmPart)/(fullPart-calmPart), 0), 1)
}

// RetryAfter returns when a request that was refused with such odds should come back.
func RetryAfter(odds float64) time.Duration {
	return minRetry + time.Duration(odds*float64(maxRetry-minRetry))
}
