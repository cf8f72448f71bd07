package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/node/call"
)

const (
	// crossDomainPerKB is the fraction of a route's objective by which a node of another
	// failure domain must be faster, for each kilobyte of the request and its response.
	// Bytes between domains are billed, so large responses cross only where the local
	// domain would respond late.
	crossDomainPerKB = 0.08
	// minCrossDomain and maxCrossDomain bound that fraction for the sum of all kilobytes.
	minCrossDomain = 0.4
	maxCrossDomain = 0.5
	// domainRTT and regionRTT are the round-trip times to another domain and region.
	domainRTT = 3 * time.Millisecond
	regionRTT = 62 * time.Millisecond
	// regionFactor multiplies crossDomainCost for a node of another region, where bytes are
	// billed twice and the links are shared.
	regionFactor = 1.6
	// serviceTimeWeight is the weight of a new sample in a target's mean service time.
	serviceTimeWeight = 0.2
	// loadTTL is how long the queueing time that came with a result is preferred to the
	// one that the node gossips.
	loadTTL = 700 * time.Millisecond
	// lastResortPenalty is added to the cost of a node that is used only where no other
	// node can serve.
	lastResortPenalty = time.Minute
	// unreachableTTL is how long a node counts as unreachable after a failed connection.
	unreachableTTL = 1 * time.Second
	// failureWeight is the weight of a new sample in a target's failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time in which the failure rate halves without samples. It is
	// not shorter since each probe of a target that still fails costs requests.
	failureHalfLife = 3 * time.Second
	// failureCost is the cost of a failure rate of 1, in multiples of the objective: a
	// lost request is worse than the bytes to another region.
	failureCost = 3
	// meanTTL is how long the service time measured here is preferred to the one that the
	// node gossips.
	meanTTL = 3 * time.Second
)

// profile is what the picker needs to know about a request.
type profile struct {
	// objective is the latency objective of the route.
	objective time.Duration
	// bytes is the expected size of the request and its response.
	bytes float64
}

// crossDomainCost returns the cost of sending the request to another domain, without
// the round trip.
func (p profile) crossDomainCost() time.Duration {
	fraction := min(max(crossDomainPerKB*p.bytes/1000, minCrossDomain), maxCrossDomain)
	return time.Duration(fraction * float64(p.objective))
}

// targetStats is what the picker has measured of a node's target. A field that ends in
// At is the time of the last update of the value before it.
type targetStats struct {
	// mean is the exponentially weighted moving average of the service time: the time to
	// a response without the queueing time at the gate.
	mean     time.Duration
	meanAt   time.Time
	inFlight int
	// wait is the expected queueing time that the gate reported last.
	wait   time.Duration
	waitAt time.Time
	// failureRate is the exponentially weighted moving average of failures, from 0 to 1.
	failureRate      float64
	failureRateAt    time.Time
	unreachableUntil time.Time
	// rateLimit is the rate limit of the target that its gate reported last, in requests per
	// second, 0 for none.
	rateLimit float64
	// leftAt is when a response of the target said that it is about to stop. The node beside it
	// may forget that in a restart.
	leftAt time.Time
}

// targetKey identifies one start of a target. A VM may get another target, and a target may
// start again under its ID.
type targetKey struct {
	node      string
	target    string
	startedAt int64
}

// picker balances the load of a service over the nodes beside its targets: it picks
// the node with the least cost, which is the expected latency plus penalties for
// failures and for traffic between failure domains. It is safe for concurrent use.
type picker struct {
	self    string
	domain  string
	region  string
	mu      sync.Mutex
	targets map[targetKey]*targetStats
}

// newPicker returns a picker for the node with the given name, failure domain and
// region.
func newPicker(self, domain, region string) *picker {
	return &picker{
		self:    self,
		domain:  domain,
		region:  region,
		targets: map[targetKey]*targetStats{},
	}
}

// targetStats returns the measurements of a node's target, which it creates if there
// are none. It must be called with p.mu held.
func (p *picker) targetStats(n *peers.Node) *targetStats {
	key := targetKey{
		node:      n.Name,
		target:    n.TargetID,
		startedAt: n.TargetStartedAt,
	}
	s, ok := p.targets[key]
	if !ok {
		p.trim()
		s = &targetStats{}
		p.targets[key] = s
	}
	return s
}

const (
	// maxTargets bounds the targets on record, most of which no longer exist.
	maxTargets = 4096
	// leavingTTL is how long a target that said that it leaves is not used. Its next start has
	// another start time, unless its announcements tell none.
	leavingTTL = 24 * time.Hour
)

// trim deletes the targets without calls in flight, except for those that are leaving, once
// there are maxTargets. It must be called with p.mu held.
func (p *picker) trim() {
	if len(p.targets) < maxTargets {
		return
	}
	now := time.Now()
	for key, s := range p.targets {
		if s.inFlight == 0 && !s.leaving(now) {
			delete(p.targets, key)
		}
	}
}

// leaving reports whether the target has said that it is about to stop.
func (s *targetStats) leaving(now time.Time) bool {
	return !s.leftAt.IsZero() && now.Sub(s.leftAt) < leavingTTL
}

// best returns the node with the least cost for which skip is false, and false where
// there is none. Suspect nodes are a last resort, and those whose target is leaving are not
// used.
func (p *picker) best(now time.Time, nodes []peers.Node, prof profile, suspect, skip func(name string) bool) (peers.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	baseline := baselineFailureRate(nodes)
	best := -1
	least := time.Duration(0)
	for i := range nodes {
		if skip(nodes[i].Name) {
			continue
		}
		s := p.targetStats(&nodes[i])
		if s.leaving(now) {
			continue
		}
		cost := p.cost(now, &nodes[i], s, prof, baseline)
		if suspect(nodes[i].Name) {
			cost += lastResortPenalty
		}
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return peers.Node{}, false
	}
	return nodes[best], true
}

// trial returns the node to which all entries send a suspected request, chosen by rendezvous hashing
// among those that best considers, and false where there is none: its exclusive runs then follow each
// other, and the first crash ends them.
func (p *picker) trial(now time.Time, nodes []peers.Node, f crash.Fingerprint, suspect, skip func(name string) bool) (peers.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byName := map[string]peers.Node{}
	var names []string
	for i := range nodes {
		n := &nodes[i]
		if skip(n.Name) || suspect(n.Name) || p.targetStats(n).leaving(now) {
			continue
		}
		byName[n.Name] = *n
		names = append(names, n.Name)
	}
	if len(names) == 0 {
		return peers.Node{}, false
	}
	return byName[rank.Best(f.String(), names)], true
}

// baselineFailureRate returns the median of the failure rates that the nodes gossip.
// Only the excess over it is attributed to a target itself, since failures of services
// that the targets call affect all of them alike.
func baselineFailureRate(nodes []peers.Node) float64 {
	if len(nodes) == 0 {
		return 0
	}
	percents := make([]uint8, 0, len(nodes))
	for i := range nodes {
		percents = append(percents, nodes[i].FailPercent)
	}
	slices.Sort(percents)
	return float64(percents[(len(percents)-1)/2]) / 100
}

// cost returns the expected latency of a request at a node plus the penalties, as a
// time. It must be called with p.mu held.
func (p *picker) cost(now time.Time, n *peers.Node, s *targetStats, prof profile, baseline float64) time.Duration {
	wait := time.Duration(n.WaitMillis) * time.Millisecond
	if now.Sub(s.waitAt) < loadTTL {
		wait = s.wait
	}
	mean := time.Duration(n.ServiceMillis) * time.Millisecond
	if now.Sub(s.meanAt) < meanTTL {
		mean = s.mean
	}
	cost := mean + wait
	if n.Slots > 0 {
		cost += mean * time.Duration(s.inFlight) / time.Duration(n.Slots)
	}
	switch {
	case n.Region != p.region:
		cost += regionRTT + time.Duration(regionFactor*float64(prof.crossDomainCost()))
	case n.Domain != p.domain:
		cost += domainRTT + prof.crossDomainCost()
	}
	excess := max(s.worstFailureRate(now, n)-baseline, 0)
	cost += time.Duration(excess * failureCost * float64(prof.objective))
	if now.Before(s.unreachableUntil) {
		cost += lastResortPenalty
	}
	return cost
}

// currentFailureRate returns the failure rate, decayed to now.
func (s *targetStats) currentFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// worstFailureRate returns the greater of the failure rate measured here and the one
// that the node gossips.
func (s *targetStats) worstFailureRate(now time.Time, n *peers.Node) float64 {
	return max(s.currentFailureRate(now), float64(n.FailPercent)/100)
}

// failureRateOf returns the recent failure rate of a node's target, from 0 to 1.
func (p *picker) failureRateOf(now time.Time, n *peers.Node) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetStats(n).worstFailureRate(now, n)
}

// updateFailureRate adds a sample to the failure rate: 1 for a failure, 0 for none.
func (s *targetStats) updateFailureRate(now time.Time, sample float64) {
	s.failureRate = s.currentFailureRate(now)
	s.failureRate += failureWeight * (sample - s.failureRate)
	s.failureRateAt = now
}

// begin counts a call to a node as in flight.
func (p *picker) begin(n *peers.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetStats(n).inFlight++
}

// nodeOutcome is what the result of a call says about the node that it went to.
type nodeOutcome int

const (
	// neutral results, such as refusals, say nothing about the target's health.
	neutral nodeOutcome = iota
	// answered means a response without a server error.
	answered
	// failed means a server error or no response.
	failed
	// unreachable means that no connection to the node could be opened.
	unreachable
)

// end records the result of a call that begin counted; took is the time since then.
func (p *picker) end(now time.Time, n *peers.Node, o nodeOutcome, took time.Duration, r call.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targetStats(n)
	s.inFlight--
	switch o {
	case answered:
		serviceTime := max(took-r.Queued, 0)
		if s.mean == 0 || now.Sub(s.meanAt) > meanTTL {
			s.mean = serviceTime
		}
		s.mean += time.Duration(serviceTimeWeight * float64(serviceTime-s.mean))
		s.meanAt = now
		s.updateFailureRate(now, 0)
	case failed:
		s.updateFailureRate(now, 1)
	case unreachable:
		s.unreachableUntil = now.Add(unreachableTTL)
	}
	if r.TargetLeaving {
		s.leftAt = now
	}
	if r.LoadKnown {
		s.wait = r.Wait
		s.waitAt = now
		s.rateLimit = r.RateLimit
	}
}

// rateLimit returns the rate limit that the gate of a node's target reported last, in
// requests per second, 0 for none.
func (p *picker) rateLimit(n *peers.Node) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetStats(n).rateLimit
}

// mean returns the mean service time measured for a node's target, 0 where there is
// none.
func (p *picker) mean(n *peers.Node) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetStats(n).mean
}
