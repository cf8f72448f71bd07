package retry

import (
	"context"
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
)

const (
	// safetyFactor is the fraction of the allowed retries that is used. The rates of
	// callers' requests are estimates, and services also see retries of retries.
	safetyFactor = 0.8
	// rateWindow is the time constant of the estimated rates of callers' requests.
	rateWindow = 10 * time.Second
	// minCost is the smallest expected number of arrivals at a service that is charged.
	minCost = 0.1
)

// Tokens is a set of named token buckets shared by all nodes.
type Tokens interface {
	// Take takes one token of a budget. If there is none, it returns the time after which
	// one is expected.
	Take(ctx context.Context, budget string) (ok bool, retryAfter time.Duration)
	// Return gives back an unused token.
	Return(budget string)
}

// Bounds limits the retries that a service receives from all nodes. Within any period
// of Window, these are at most Ratio times the callers' requests to the service, plus
// Slack retries.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is a retry budget for each service, shared by all nodes. A retry is charged
// at its service and at each service that a run of it calls directly. Budget is safe
// for concurrent use.
type Budget struct {
	tokens Tokens
	// costs returns the arrivals that a request to a service causes at each service.
	costs func(service string) map[string]float64
	// fleet returns the number of live nodes and of their failure domains.
	fleet func() (nodes, domains int)
	// mu guards the fields below.
	mu     sync.Mutex
	bounds Bounds
	rates  map[string]*decay.Sum
}

// NewBudget returns a budget that takes its tokens from the given set. costs returns
// the arrivals that a request to a service causes at each service, and fleet the number
// of live nodes and of their failure domains.
func NewBudget(bounds Bounds, tokens Tokens, costs func(string) map[string]float64, fleet func() (nodes, domains int)) *Budget {
	return &Budget{
		bounds: bounds,
		tokens: tokens,
		costs:  costs,
		fleet:  fleet,
		rates:  map[string]*decay.Sum{},
	}
}

// SetBounds replaces the bounds, from the next retry on.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// RecordRequest counts a caller's request to a service, the first try of a call.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rates[service]
	if !ok {
		r = &decay.Sum{}
		b.rates[service] = r
	}
	r.AddRate(timer.Now(), rateWindow, 1)
}

// budgetPrefix distinguishes the names of retry budgets from the names of workspaces,
// which share the same token buckets.
const budgetPrefix = "repeats/"

// BudgetService returns the service of a retry budget's name. ok is false for other names.
func BudgetService(budget string) (service string, ok bool) {
	if len(budget) <= len(budgetPrefix) || budget[:len(budgetPrefix)] != budgetPrefix {
		return "", false
	}
	return budget[len(budgetPrefix):], true
}

// Limit returns the number of retries to a service that one failure domain may send
// within any period of window. It extrapolates the callers' requests of all nodes
// from those counted at this node.
func (b *Budget) Limit(service string) (retries float64, window time.Duration) {
	nodes, domains := b.fleet()
	b.mu.Lock()
	localRate := 0.0
	if r, ok := b.rates[service]; ok {
		localRate = r.Value(timer.Now(), rateWindow)
	}
	bounds := b.bounds
	b.mu.Unlock()
	allowed := bounds.Ratio*localRate*float64(nodes)*bounds.Window.Seconds() + bounds.Slack
	return max(1, safetyFactor*allowed/float64(max(domains, 1))), bounds.Window
}

// Spend charges one retry at a service and at each service that it calls, and reports
// whether all budgets permit it. If one does not, Spend returns the tokens that it
// has taken. It may block for spendTimeout. refund returns the tokens of a retry that was
// not sent.
func (b *Budget) Spend(service string) (refund func(), ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), spendTimeout)
	defer cancel()
	var charged []string
	for s, n := range b.costs(service) {
		if n < minCost {
			continue
		}
		for range int(math.Round(max(n, 1))) {
			if ok, _ := b.tokens.Take(ctx, budgetPrefix+s); !ok {
				b.refund(charged)
				return func() {}, false
			}
			charged = append(charged, budgetPrefix+s)
		}
	}
	return func() { b.refund(charged) }, true
}

// refund returns one token to each named budget.
func (b *Budget) refund(budgets []string) {
	for _, name := range budgets {
		b.tokens.Return(name)
	}
}

// ChargesCallees reports whether a retry to a service is charged at other services as well.
func (b *Budget) ChargesCallees(service string) bool {
	return len(b.costs(service)) > 1
}

// spendTimeout bounds the wait for the tokens of a retry. It covers a round trip to the
// keepers in another region and the hop to the keeper of the local failure domain.
const spendTimeout = 150 * time.Millisecond
