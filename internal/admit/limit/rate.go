package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"fuchsiapier/internal/base/timer"
)

const (
	// MinRate is the lowest rate limit, in requests per second. A target that names a lower
	// one still gets some requests, since only a response can lift the limit.
	MinRate = 0.5
	// rateBurst is the time over which unused rate accumulates.
	rateBurst = 500 * time.Millisecond
	// rateQueue is the time in which a full queue empties at the rate limit. It bridges gaps
	// between arrivals; a longer queue starts no more requests, it only delays them all.
	rateQueue = 250 * time.Millisecond
)

// SetRate limits the rate at which requests start, in requests per second. A limit that
// was not in force before begins without accumulated rate.
func (l *Limiter) SetRate(now timer.Instant, perSecond float64) {
	perSecond = max(perSecond, MinRate)
	burst := max(1, int(perSecond*rateBurst.Seconds()))
	if l.rate != nil {
		l.rate.SetLimitAt(wall(now), rate.Limit(perSecond))
		l.rate.SetBurstAt(wall(now), burst)
		return
	}
	l.rate = rate.NewLimiter(rate.Limit(perSecond), burst)
	l.rate.AllowN(wall(now), burst)
}

// LiftRate ends the rate limit.
func (l *Limiter) LiftRate() {
	l.rate = nil
}

// StartDelay returns how long the head of the queue waits for the rate limit, 0 if the
// queue is empty or the rate limit does not hold it up.
func (l *Limiter) StartDelay(now timer.Instant) time.Duration {
	if len(l.queue) == 0 {
		return 0
	}
	return l.rateWait(now, 1)
}

// Backlog returns the time until the rate limit lets a request start that comes after all
// queued ones, 0 without a rate limit.
func (l *Limiter) Backlog(now timer.Instant) time.Duration {
	return l.rateWait(now, len(l.queue)+1)
}

// rateWait returns the time until the rate limit lets that many more requests start. It is
// rounded up: 0 means that the tokens are there.
func (l *Limiter) rateWait(now timer.Instant, requests int) time.Duration {
	if l.rate == nil {
		return 0
	}
	missing := float64(requests) - l.rate.TokensAt(wall(now))
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(l.rate.Limit()) * float64(time.Second)))
}

// maxRateQueue returns the maximum queue length under the rate limit.
func (l *Limiter) maxRateQueue() int {
	return max(1, int(float64(l.rate.Limit())*rateQueue.Seconds()))
}

// wall converts an instant to the type that the rate limiter takes. Only differences
// between the results have a meaning.
func wall(i timer.Instant) time.Time {
	return time.Unix(0, int64(i))
}
