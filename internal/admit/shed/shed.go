// Package shed implements load shedding at the entry. A request is refused before any
// target works on it if the queueing times along its path make it unlikely to finish
// before its deadline: a request that fails halfway has used capacity that another
// could have used. The refusal is probabilistic, with a probability that grows with
// the queueing times. These are known by gossip that is some heartbeats old, and all
// entries react to the same values, so that a hard threshold would refuse all requests
// at once. The least urgent requests are refused first, as in Zhou et al., "Overload
// Control for Scaling WeChat Microservices" (2018), but based on expected queueing
// times rather than on admission levels.
package shed

import (
	"math"
	"time"
)

const (
	// noRefusalWait is the expected queueing time, as a fraction of the time left before
	// the deadline, up to which no request of the lowest rank is refused.
	// fullRefusalWait is the fraction from which all are. Lower bounds refuse callers of
	// small services that are always busy; higher ones let the queues of cold targets
	// fill up.
	noRefusalWait   = 0.15
	fullRefusalWait = 0.45
	// fullWeightLoss is the loss probability of a request's calls from which queueing
	// times have their full weight. Below it their weight is proportional to the loss:
	// waiting does no harm where all calls finish in time.
	fullWeightLoss = 0.1
	// noRefusalLoss is the share of requests that fail because of rejected calls up to
	// which this share alone refuses no request. fullRefusalLoss is the share from which
	// all requests of the lowest rank are refused.
	noRefusalLoss   = 0.1
	fullRefusalLoss = 0.5
	// minRetry and maxRetry bound the retry delay of a refused request, which grows with
	// the overload. A cold target takes some seconds to warm up.
	minRetry = 400 * time.Millisecond
	maxRetry = 1600 * time.Millisecond
)

// Hop describes one service on the path of a request.
type Hop struct {
	// Calls is the expected number of calls that the request causes at the service, the
	// visit ratio.
	Calls float64
	// Wait is the expected queueing time of one call at the service.
	Wait time.Duration
	// Rejected is the share of recent calls to the service, from 0 to 1, that were rejected
	// because no target had capacity or their remaining time was too short.
	Rejected float64
}

// Path describes the services that a request reaches and their current load.
type Path struct {
	// Hops are the services on the path, in no particular order.
	Hops []Hop
	// Run is the time for which callers' requests run at the first service, including
	// the queueing times of the calls that they make, or 0 if unknown. It bounds the
	// expected wait, since the other requests of the service may make calls that callers'
	// requests do not make.
	Run time.Duration
	// Failed is the share of callers' requests, from 0 to 1, that recently failed at the
	// first service for any cause.
	Failed float64
}

// Wait returns the total expected queueing time of a request along its path. It assumes
// that calls are made sequentially, as most targets do.
func (p Path) Wait() time.Duration {
	sum := 0.0
	for _, h := range p.Hops {
		sum += h.Calls * float64(h.Wait)
	}
	if p.Run > 0 {
		return min(time.Duration(sum), p.Run)
	}
	return time.Duration(sum)
}

// Loss returns the probability that at least one of the request's calls is rejected.
func (p Path) Loss() float64 {
	accepted := 1.0
	for _, h := range p.Hops {
		accepted *= math.Pow(1-min(max(h.Rejected, 0), 1), h.Calls)
	}
	return 1 - accepted
}

// RefusalProbability returns the probability, from 0 to 1, with which to refuse a
// request. remaining is the time before its deadline, and lowerRanks the number of less
// urgent ranks. It returns 0 if no time remains.
func (p Path) RefusalProbability(remaining time.Duration, lowerRanks int) float64 {
	if remaining <= 0 {
		return 0
	}
	urgency := float64(1 + max(lowerRanks, 0))
	loss := p.Loss()
	waiting := ramp(float64(p.Wait())/float64(remaining)/urgency, noRefusalWait, fullRefusalWait) * min(loss/fullWeightLoss, 1)
	return max(waiting, ramp(min(loss, p.Failed)/urgency, noRefusalLoss, fullRefusalLoss))
}

// ramp interpolates linearly from 0 at low to 1 at high.
func ramp(value, low, high float64) float64 {
	return min(max((value-low)/(high-low), 0), 1)
}

// RetryAfter returns the delay before a retry of a request that was refused with the
// given probability.
func RetryAfter(probability float64) time.Duration {
	return minRetry + time.Duration(probability*float64(maxRetry-minRetry))
}
