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
	// turnedWeight is the weight of one more call in the share of those turned away; a
	// few in a hundred matter.
	turnedWeight = 0.02
	// turnedHalfLife is the time in which that share halves without calls.
	turnedHalfLife = 1 * time.Second
	// minCalls is the least ratio that is told; stray calls are no edge.
	minCalls = 0.02
)

// Edge is the mean number of calls to a service for each run.
type Edge struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// PerCent is the number of calls for a hundred runs.
	PerCent uint16
	// TurnedPerMille is how many of a thousand calls found no room or no time lately.
	TurnedPerMille uint16
}

// Counter counts the runs and calls of the target on one VM; it is safe for
// concurrent use.
type Counter struct {
	mu    sync.Mutex
	runs  decay.Sum
	calls map[string]*callee
}

// callee is what is counted of the calls to one service.
type callee struct {
	calls  decay.Sum
	turned decay.Share
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{
		calls: map[string]*callee{},
	}
}

// Ran counts a run at the target.
func (c *Counter) Ran(now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Add(now, window, 1)
}

// callee must be called with c.mu held.
func (c *Counter) callee(service string) *callee {
	k, ok := c.calls[service]
	if !ok {
		k = &callee{
			turned: decay.Share{
				Weight:   turnedWeight,
				HalfLife: turnedHalfLife,
			},
		}
		c.calls[service] = k
	}
	return k
}

// Called counts a call of the target to a service.
func (c *Counter) Called(now timer.Instant, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callee(service).calls.Add(now, window, 1)
}

// Ended counts how a call ended: turned says that it found no room or no time
// anywhere.
func (c *Counter) Ended(now time.Time, service string, turned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callee(service).turned.Add(now, turned)
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
	for service, k := range c.calls {
		if ratio := k.calls.Value(now, window) / runs; ratio >= minCalls {
			out = append(out, Edge{
				Service:        service,
				PerCent:        uint16(min(math.Round(100*ratio), math.MaxUint16)),
				TurnedPerMille: uint16(math.Round(1000 * k.turned.Value(time.Now()))),
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

// Reached is what a request brings to a service.
type Reached struct {
	// Calls is how many calls come there.
	Calls float64
	// Turned is the share of them that find no room or no time.
	Turned float64
}

// Reach returns what a request to a service brings to each service, itself included,
// over all hops.
func Reach(service string, edges map[string][]Edge) map[string]Reached {
	calls := map[string]float64{}
	turned := map[string]float64{}
	layer := map[string]float64{
		service: 1,
	}
	for range maxDepth {
		next := map[string]float64{}
		for from, n := range layer {
			calls[from] += n
			for _, e := range edges[from] {
				if m := n * float64(e.PerCent) / 100; m >= minReach {
					next[e.Service] += m
					turned[e.Service] += m * float64(e.TurnedPerMille) / 1000
				}
			}
		}
		if len(next) == 0 {
			break
		}
		layer = next
	}
	reach := map[string]Reached{}
	for s, n := range calls {
		reach[s] = Reached{
			Calls:  n,
			Turned: turned[s] / n,
		}
	}
	return reach
}
