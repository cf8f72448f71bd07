// Package graph learns the call graph of the services: how many calls one run at
// a service brings to each other service. Each node
// counts the calls of the target on its VM; the nodes tell each other.
// The package does no I/O and takes time as an argument.
package graph

import (
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
)

const (
	// window is the time constant of the counts.
	window = 10 * time.Second
	// minRuns is how many runs must have been counted before the ratio is told.
	minRuns = 5
	// minCalls is the least ratio that is told; stray calls are no edge.
	minCalls = 0.02
)

// Edge is the mean number of calls to a service for each run.
type Edge struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// PerCent is the number of calls for a hundred runs.
	PerCent uint16
}

// Counter counts the runs and calls of the target on one VM; it is safe for
// concurrent use.
type Counter struct {
	mu    sync.Mutex
	runs  decay.Sum
	calls map[string]*decay.Sum
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{
		calls: map[string]*decay.Sum{},
	}
}

// Ran counts a run at the target.
func (c *Counter) Ran(now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Add(now, window, 1)
}

// Called counts a call of the target to a service.
func (c *Counter) Called(now timer.Instant, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.calls[service]
	if !ok {
		d = &decay.Sum{}
		c.calls[service] = d
	}
	d.Add(now, window, 1)
}

// Reset forgets what another target did on the VM.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = decay.Sum{}
	clear(c.calls)
}

// Edges returns what one run of the target calls.
func (c *Counter) Edges(now timer.Instant) []Edge {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runs.Value(now, window)
	if runs < minRuns {
		return nil
	}
	var out []Edge
	for service, d := range c.calls {
		if ratio := d.Value(now, window) / runs; ratio >= minCalls {
			out = append(out, Edge{
				Service: service,
				PerCent: uint16(min(math.Round(100*ratio), math.MaxUint16)),
			})
		}
	}
	return out
}

// Costs returns how many arrivals one more run at a service brings to each
// service: itself and what it calls directly. Calls further down are first
// arrivals of their own.
func Costs(service string, edges map[string][]Edge) map[string]float64 {
	costs := map[string]float64{
		service: 1,
	}
	for _, e := range edges[service] {
		costs[e.Service] += float64(e.PerCent) / 100
	}
	return costs
}

const (
	// maxDepth bounds how far calls are followed: the deepest call graphs that the
	// users tell of.
	maxDepth = 21
	// minReach is the least number of calls that is followed further.
	minReach = 0.02
)

// Reach returns how many calls a request to a service brings to each service, itself
// included, over all hops.
func Reach(service string, edges map[string][]Edge) map[string]float64 {
	reach := map[string]float64{}
	layer := map[string]float64{
		service: 1,
	}
	for range maxDepth {
		next := map[string]float64{}
		for from, calls := range layer {
			reach[from] += calls
			for _, e := range edges[from] {
				if n := calls * float64(e.PerCent) / 100; n >= minReach {
					next[e.Service] += n
				}
			}
		}
		if len(next) == 0 {
			break
		}
		layer = next
	}
	return reach
}
