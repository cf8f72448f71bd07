// Package graph estimates the call graph of the services: the mean number of calls
// that one run of a service makes to each other service. Each node counts the calls
// of the target on its VM, and the nodes exchange the resulting edges by gossip.
// The package does no I/O and takes time as an argument, except in Counter.Edges,
// which reads the wall clock for the share of rejected calls.
package graph

import (
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
)

const (
	// countWindow is the time constant of the exponentially decaying counts.
	countWindow = 10 * time.Second
	// minRuns is the smallest decayed count of runs for which edges are reported.
	minRuns = 5
	// rejectedWeight is the weight of one call in the moving average of the share of
	// rejected calls. It is small enough to resolve a share of a few percent.
	rejectedWeight = 0.02
	// rejectedHalfLife is the time in which that share halves while there are no calls.
	rejectedHalfLife = 1 * time.Second
	// minCallRatio is the smallest reported number of calls per run; occasional calls
	// below it do not form an edge.
	minCallRatio = 0.02
)

// Edge describes the calls that the runs of one service make to another, Service. It is
// encoded as a CBOR array, so the order of its fields is part of the format.
type Edge struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// PerCent is the mean number of calls per 100 runs.
	PerCent uint16
	// RejectedPerMille is the share of recent calls, per 1000, that were rejected because
	// no target had capacity or their remaining time was too short.
	RejectedPerMille uint16
}

// Counter counts the runs of the target on one VM and the calls that it makes. It is
// safe for concurrent use.
type Counter struct {
	mu    sync.Mutex
	runs  decay.Sum
	calls map[string]*callee
}

// callee holds the counts of the calls to one service.
type callee struct {
	calls    decay.Sum
	rejected decay.Share
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{
		calls: map[string]*callee{},
	}
}

// CountRun counts a run of the target.
func (c *Counter) CountRun(now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Add(now, countWindow, 1)
}

// callee returns the counts of a service and creates them if needed. It must be called
// with c.mu held.
func (c *Counter) callee(service string) *callee {
	k, ok := c.calls[service]
	if !ok {
		k = &callee{
			rejected: decay.Share{
				Weight:   rejectedWeight,
				HalfLife: rejectedHalfLife,
			},
		}
		c.calls[service] = k
	}
	return k
}

// CountCall counts a call from the target to a service.
func (c *Counter) CountCall(now timer.Instant, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callee(service).calls.Add(now, countWindow, 1)
}

// RecordOutcome records the outcome of a call to a service. rejected is set if no target
// had capacity for the call or its remaining time was too short.
func (c *Counter) RecordOutcome(now time.Time, service string, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callee(service).rejected.Add(now, rejected)
}

// Reset clears all counts. It is called when another target starts on the VM.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = decay.Sum{}
	clear(c.calls)
}

// Edges returns the edges from the target to the services that it calls, or nil while
// fewer than minRuns runs are counted.
func (c *Counter) Edges(now timer.Instant) []Edge {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runs.Value(now, countWindow)
	if runs < minRuns {
		return nil
	}
	var out []Edge
	for service, k := range c.calls {
		if ratio := k.calls.Value(now, countWindow) / runs; ratio >= minCallRatio {
			out = append(out, Edge{
				Service:          service,
				PerCent:          uint16(min(math.Round(100*ratio), math.MaxUint16)),
				RejectedPerMille: uint16(math.Round(1000 * k.rejected.Value(time.Now()))),
			})
		}
	}
	return out
}

// Costs returns the number of arrivals that one additional run of a service causes at
// each service: 1 at the service itself and those at the services that it calls
// directly. Calls further downstream are left out: they count as first arrivals there.
// edges maps a service to its outgoing edges.
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
	// maxDepth is the number of hops over which calls are followed, the depth of the
	// deepest call graphs reported by users.
	maxDepth = 21
	// minFollowedCalls is the smallest expected number of calls over an edge that is
	// followed further.
	minFollowedCalls = 0.02
)

// Visits describes the calls that one request causes at a service, over all paths.
type Visits struct {
	// Calls is the expected number of calls, the visit ratio of queueing theory.
	Calls float64
	// Rejected is the share of these calls that are rejected, from 0 to 1.
	Rejected float64
}

// Reach returns the calls that one request to a service causes at each service over
// all hops, including the request itself. edges maps a service to its outgoing edges.
func Reach(service string, edges map[string][]Edge) map[string]Visits {
	calls := map[string]float64{}
	rejected := map[string]float64{}
	layer := map[string]float64{
		service: 1,
	}
	for range maxDepth {
		next := map[string]float64{}
		for from, n := range layer {
			calls[from] += n
			for _, e := range edges[from] {
				if m := n * float64(e.PerCent) / 100; m >= minFollowedCalls {
					next[e.Service] += m
					rejected[e.Service] += m * float64(e.RejectedPerMille) / 1000
				}
			}
		}
		if len(next) == 0 {
			break
		}
		layer = next
	}
	reach := map[string]Visits{}
	for s, n := range calls {
		reach[s] = Visits{
			Calls:    n,
			Rejected: rejected[s] / n,
		}
	}
	return reach
}
