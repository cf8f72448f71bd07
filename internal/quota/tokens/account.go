package tokens

import (
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/bucket"
)

const (
	// demandWindow is the time constant of the demand estimate, an exponentially
	// weighted moving average.
	demandWindow = 500 * time.Millisecond
	// reserveTime is the period of its own demand for which a lender keeps tokens.
	reserveTime = 200 * time.Millisecond
	// lookahead is the period of its demand for which a node should hold tokens; it
	// borrows the shortfall.
	lookahead = 300 * time.Millisecond
	// idleTime is the time without requests after which borrowed tokens are
	// returned.
	idleTime = 500 * time.Millisecond
	// returnMargin is how long before the end of their term borrowed tokens are
	// returned. The return through a broker takes two ticks.
	returnMargin = 350 * time.Millisecond
	// rateTolerance is the factor by which the demand may exceed the rate before
	// it counts as over the rate. It allows for the noise of a demand estimated
	// from few requests.
	rateTolerance = 2
	// reportTTL is how long the reported demand of a member counts.
	reportTTL = 2 * time.Second
)

// account is the state of one budget on a node: its token bucket, the state of
// borrowing, and, while the node is the broker of the budget, the demand of the
// members of its failure domain.
type account struct {
	// mu guards the other fields, except for name, which does not change.
	mu     sync.Mutex
	name   string
	bucket *bucket.Bucket
	demand decay.Sum
	// usedAt is when tokens were last requested, by callers of this node or by
	// other nodes.
	usedAt timer.Instant
	// backoffUntil is when the node may request tokens again after a request was
	// not met in full.
	backoffUntil timer.Instant
	// inFlight is closed when the request to the broker that is in flight
	// completes; nil if there is none.
	inFlight chan struct{}
	// reports holds the latest demand of each member, by node.
	reports map[string]report
	// lastDomainDemand is the demand of the failure domain in the broker's last
	// answer, in tokens per second.
	lastDomainDemand float64
	// borrowing is the round of requests to other nodes that is under way while
	// this node acts as a broker; nil if there is none.
	borrowing *borrowRound
}

// report is the demand that a member reported.
type report struct {
	// rate is in tokens per second.
	rate float64
	at   timer.Instant
}

// borrowRound is a round of requests to other nodes, shared by concurrent
// requests for one budget.
type borrowRound struct {
	// done is closed when the round ends.
	done chan struct{}
}

// reserve returns how many tokens are kept when lending. It is a whole number,
// since a fraction of a token serves no request on this node but may complete one
// on another.
func (a *account) reserve(now timer.Instant) float64 {
	return math.Floor(a.demand.Value(now, demandWindow) * reserveTime.Seconds())
}

// domainDemand returns the sum of the demand that members reported within
// reportTTL, in tokens per second.
func (a *account) domainDemand(now timer.Instant) float64 {
	sum := 0.0
	for node, r := range a.reports {
		if now.Sub(r.at) > reportTTL {
			delete(a.reports, node)
			continue
		}
		sum += r.rate
	}
	return sum
}

// negligible reports whether the demand within lookahead is less than one token,
// so that borrowed tokens are of more use on other nodes.
func (a *account) negligible(now timer.Instant) bool {
	return max(a.demand.Value(now, demandWindow), a.domainDemand(now))*lookahead.Seconds() < 1
}

// withinRate reports whether the demand of the failure domain, which has the
// given number of members, is at most rateTolerance times the rate of its slices.
// A request within the rate may wait for tokens that are in transit; one far over
// the rate is refused at once.
func (a *account) withinRate(now timer.Instant, members int) bool {
	entitled := a.bucket.Slice().Rate * float64(members)
	return max(a.lastDomainDemand, a.domainDemand(now), a.demand.Value(now, demandWindow)) <= rateTolerance*entitled
}

// shortfall returns how many tokens are missing to cover the demand within
// lookahead, or minimum tokens if that is more. It is negative if none are missing.
func (a *account) shortfall(now timer.Instant, minimum float64) float64 {
	return max(a.demand.Value(now, demandWindow)*lookahead.Seconds(), minimum) - a.bucket.Available(now)
}
