package bank

import (
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/purse"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 500 * time.Millisecond
	// reserveTime is how much of its own demand a lender keeps.
	reserveTime = 200 * time.Millisecond
	// lookahead is how much of its demand a node wants to hold.
	lookahead = 300 * time.Millisecond
	// idleTime is how long without demand until borrowed tokens go back.
	idleTime = 500 * time.Millisecond
	// giveBackMargin is how long before their end borrowed tokens go back; the way
	// back through a broker takes two ticks.
	giveBackMargin = 350 * time.Millisecond
	// withinFactor allows for the noise of a demand estimated from few requests.
	withinFactor = 2
	// reportLife is how long a member's reported demand counts.
	reportLife = 2 * time.Second
)

// account is a node's purse for one budget with what it needs to borrow for it
// and, as broker, what the members of its domain demand.
type account struct {
	mu       sync.Mutex
	name     string
	purse    *purse.Purse
	demand   decay.Sum
	usedAt   timer.Instant
	dryUntil timer.Instant
	asking   chan struct{}
	reports  map[string]report
	domain   float64
	collect  *collection
}

// report is the demand that a member stated.
type report struct {
	rate float64
	at   timer.Instant
}

// collection is a round of asking others that several asks share.
type collection struct {
	done chan struct{}
}

// reserve is in whole tokens, since a part of one serves no request here but
// may complete one elsewhere.
func (a *account) reserve(now timer.Instant) float64 {
	return math.Floor(a.demand.Value(now, demandWindow) * reserveTime.Seconds())
}

// domainDemand adds up what the members reported lately.
func (a *account) domainDemand(now timer.Instant) float64 {
	sum := 0.0
	for node, r := range a.reports {
		if now.Sub(r.at) > reportLife {
			delete(a.reports, node)
			continue
		}
		sum += r.rate
	}
	return sum
}

// small reports whether the demand to come is less than a token, so that what
// is borrowed serves others better.
func (a *account) small(now timer.Instant) bool {
	return max(a.demand.Value(now, demandWindow), a.domainDemand(now))*lookahead.Seconds() < 1
}

// within reports whether the failure domain, which has so many members, asks for
// about what its slices yield. Such a request may wait for the tokens that are
// on their way; one far over the rate is refused at once.
func (a *account) within(now timer.Instant, members int) bool {
	entitled := a.purse.Slice().Rate * float64(members)
	return max(a.domain, a.domainDemand(now), a.demand.Value(now, demandWindow)) <= withinFactor*entitled
}

// want returns how many tokens are lacking for the demand to come and for at
// least so many now.
func (a *account) want(now timer.Instant, least float64) float64 {
	return max(a.demand.Value(now, demandWindow)*lookahead.Seconds(), least) - a.purse.Holds(now)
}
