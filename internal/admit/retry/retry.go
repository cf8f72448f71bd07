// Package retry implements retry budgets. They bound the retries of one request over
// its whole call chain, and those to each service, per node or over all nodes.
package retry

import "sync"

const (
	// retryRatio is the number of retries that each first try of a service permits.
	retryRatio = 0.1
	// maxTokens is the maximum number of unused retries that a service accumulates.
	maxTokens = 10.0
)

// Allowance is the number of retries left to a request at one hop. It is safe for
// concurrent use by the nested calls of one run.
type Allowance struct {
	mu   sync.Mutex
	left int
}

// NewAllowance returns an allowance of n retries.
func NewAllowance(n int) *Allowance {
	return &Allowance{
		left: max(n, 0),
	}
}

// Split takes the larger half of the retries for a nested call and returns their
// number. Concurrent nested calls together never receive more than is left.
func (a *Allowance) Split() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	part := (a.left + 1) / 2
	a.left -= part
	return part
}

// Return gives back the retries that a nested call did not use, at most the number
// granted to it by Split.
func (a *Allowance) Return(granted, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += min(max(unused, 0), granted)
}

// Spend takes one retry and reports whether one was left.
func (a *Allowance) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Left returns the number of retries left.
func (a *Allowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}

// RatioBudget is a retry budget of one node for each service: a token bucket filled by
// first tries, which bounds the retries to a ratio of them. It is safe for concurrent
// use.
type RatioBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
	denied uint64
}

// NewRatioBudget returns a budget whose token bucket is full for every service.
func NewRatioBudget() *RatioBudget {
	return &RatioBudget{
		tokens: map[string]float64{},
	}
}

// RecordRequest adds retryRatio tokens for a first try of a service.
func (b *RatioBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(maxTokens, b.balance(service)+retryRatio)
}

// Spend takes the token for one retry of a service and reports whether there was one.
func (b *RatioBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.balance(service)
	if tokens < 1 {
		b.denied++
		return false
	}
	b.tokens[service] = tokens - 1
	return true
}

// balance returns the tokens of a service. It must be called with b.mu held.
func (b *RatioBudget) balance(service string) float64 {
	tokens, ok := b.tokens[service]
	if !ok {
		return maxTokens
	}
	return tokens
}
