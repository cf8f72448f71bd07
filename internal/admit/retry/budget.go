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
	// budgetSafety is the part of the allowed repeats that is used; counts of callers'
	// requests are estimates, and services see repeats of repeats.
	budgetSafety = 0.8
	// rateWindow is the time constant of the estimate of callers' requests.
	rateWindow = 10 * time.Second
	// minCost is the least part of a repeat at a service that is charged.
	minCost = 0.1
)

// Tokens keeps named budgets over all nodes.
type Tokens interface {
	Take(ctx context.Context, budget string) (ok bool, retryAfter time.Duration)
	// Return gives back a token that was not used.
	Return(budget string)
}

// Bounds say how many repeats a service may get, over all nodes: within any
// window Ratio of the callers' requests to it and Slack more.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget bounds the repeats of each service over all nodes. A repeat is charged
// at every service that it reaches, through the calls it makes there.
type Budget struct {
	bounds Bounds
	tokens Tokens
	// costs returns the arrivals that a request to a service brings to each service.
	costs func(service string) map[string]float64
	// nodes and domains count the fleet.
	fleet func() (nodes, domains int)
	mu    sync.Mutex
	rates map[string]*decay.Sum
}

// NewBudget returns a budget.
func NewBudget(bounds Bounds, tokens Tokens, costs func(string) map[string]float64, fleet func() (nodes, domains int)) *Budget {
	return &Budget{
		bounds: bounds,
		tokens: tokens,
		costs:  costs,
		fleet:  fleet,
		rates:  map[string]*decay.Sum{},
	}
}

// First notes a caller's request to a service.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rates[service]
	if !ok {
		r = &decay.Sum{}
		b.rates[service] = r
	}
	r.AddRate(timer.Now(), rateWindow, 1)
}

// budgetPrefix keeps the names of these budgets apart from workspaces.
const budgetPrefix = "repeats/"

// Service returns the service of a budget's name.
func Service(budget string) (service string, ok bool) {
	if len(budget) <= len(budgetPrefix) || budget[:len(budgetPrefix)] != budgetPrefix {
		return "", false
	}
	return budget[len(budgetPrefix):], true
}

// Limit returns how many repeats of a service a failure domain may send within any
// window, and the window. The callers' requests of the fleet are estimated from
// those at this node.
func (b *Budget) Limit(service string) (repeats float64, window time.Duration) {
	nodes, domains := b.fleet()
	b.mu.Lock()
	own := 0.0
	if r, ok := b.rates[service]; ok {
		own = r.Value(timer.Now(), rateWindow)
	}
	b.mu.Unlock()
	allowed := b.bounds.Ratio*own*float64(nodes)*b.bounds.Window.Seconds() + b.bounds.Slack
	return max(1, budgetSafety*allowed/float64(max(domains, 1))), b.bounds.Window
}

// Spend takes one repeat of a service, and of each service that it calls, and
// reports whether all of them allow it; otherwise none is charged.
func (b *Budget) Spend(service string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), spendWait)
	defer cancel()
	var taken []string
	for s, n := range b.costs(service) {
		if n < minCost {
			continue
		}
		for range int(math.Round(max(n, 1))) {
			if ok, _ := b.tokens.Take(ctx, budgetPrefix+s); !ok {
				b.giveBack(taken)
				return false
			}
			taken = append(taken, budgetPrefix+s)
		}
	}
	return true
}

func (b *Budget) giveBack(budgets []string) {
	for _, name := range budgets {
		b.tokens.Return(name)
	}
}

// Deep reports whether a repeat of a service is charged at other services too.
func (b *Budget) Deep(service string) bool {
	return len(b.costs(service)) > 1
}

// spendWait bounds how long a request waits for the budget: the way to the keepers
// of another region and back, and the hop to the own one.
const spendWait = 150 * time.Millisecond
