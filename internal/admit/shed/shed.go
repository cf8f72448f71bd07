// Package shed decides whether a new request may enter. Where the waits along its
// path leave it little chance to be answered in time, it is refused at once, before
// any target works for it: a request that fails halfway has taken the place of
// another. The chance of a refusal grows with the waits, since what is known of them
// is some beats old and all entries act on it at once. The least urgent requests
// are refused first, as in Zhou et al., "Overload Control for Scaling WeChat
// Microservices" (2018), but by expected waits in place of levels.
package shed

import (
	"math"
	"time"
)

const (
	// calmPart is the part of its time that a request of the lowest rank may be expected
	// to wait before some are refused, fullPart the part at which all are. With lower
	// bounds callers of small services that are always busy are refused, with higher ones
	// cold targets fill up.
	calmPart = 0.15
	fullPart = 0.45
	// sureLoss is the chance to be turned away halfway at which waits are acted on in
	// full: waits alone, where all calls make their time, harm nobody.
	sureLoss = 0.1
	// calmLoss is the share of requests that are turned away halfway up to which it
	// refuses nobody by itself, fullLoss that at which all of the lowest rank are refused.
	calmLoss = 0.1
	fullLoss = 0.5
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
	// Turned is the share of calls that found no room or no time there.
	Turned float64
}

// Path is what a request meets on its way.
type Path struct {
	// Stops has the services that it reaches, in no order.
	Stops []Stop
	// Run is how long such requests run at their first service, with the waits of
	// their calls, 0 where it is not known. Other requests of the same service may make
	// calls that these do not make.
	Run time.Duration
	// Failed is the share of such requests that failed lately at their first service,
	// whatever the cause.
	Failed float64
}

// Wait returns how long a request is expected to wait on its path in all. Calls are
// taken to follow each other, which most targets do.
func (p Path) Wait() time.Duration {
	sum := 0.0
	for _, s := range p.Stops {
		sum += s.Calls * float64(s.Wait)
	}
	if p.Run > 0 {
		return min(time.Duration(sum), p.Run)
	}
	return time.Duration(sum)
}

// Loss returns the chance that one of the request's calls is turned away.
func (p Path) Loss() float64 {
	through := 1.0
	for _, s := range p.Stops {
		through *= math.Pow(1-min(max(s.Turned, 0), 1), s.Calls)
	}
	return 1 - through
}

// Odds returns the chance, from 0 to 1, that a request is refused: left is the time
// that it has, above the number of ranks that are less urgent.
func (p Path) Odds(left time.Duration, above int) float64 {
	if left <= 0 {
		return 0
	}
	urgency := float64(1 + max(above, 0))
	loss := p.Loss()
	waiting := ramp(float64(p.Wait())/float64(left)/urgency, calmPart, fullPart) * min(loss/sureLoss, 1)
	return max(waiting, ramp(min(loss, p.Failed)/urgency, calmLoss, fullLoss))
}

// ramp returns how far a value is from calm to full, from 0 to 1.
func ramp(value, calm, full float64) float64 {
	return min(max((value-calm)/(full-calm), 0), 1)
}

// RetryAfter returns when a request that was refused with such odds should come back.
func RetryAfter(odds float64) time.Duration {
	return minRetry + time.Duration(odds*float64(maxRetry-minRetry))
}
