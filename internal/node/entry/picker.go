package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
)

const (
	// awayPartPerKB is the part of a route's objective that a node of another failure
	// domain must be faster by for each kilobyte of the request with its answer: bytes
	// between domains are billed, and large answers are worth it only where they would
	// be late at home.
	awayPartPerKB = 0.08
	minAwayPart   = 0.4
	maxAwayPart   = 0.5
	// domainWay and regionWay are the way to another domain or region and back.
	domainWay = 3 * time.Millisecond
	regionWay = 62 * time.Millisecond
	// regionFactor multiplies the part for a node of another region, where bytes are
	// billed twice and the links are shared.
	regionFactor = 1.6
	// smoothing is the weight of a new answer in a node's running mean.
	smoothing = 0.2
	// loadLife is how long what a node said of its wait counts.
	loadLife = 700 * time.Millisecond
	// lastChoice is added for a node that is asked only if no other can serve.
	lastChoice = time.Minute
	// failTime is how long a node that could not be reached is a last choice.
	failTime = 1 * time.Second
	// failWeight is the weight of one more answer in the running share of failures.
	failWeight = 0.2
	// failHalfLife is the time in which the share halves without answers: each probe
	// of a target that still fails costs requests.
	failHalfLife = 3 * time.Second
	// failCost is how many objectives a certain failure costs: a lost request is
	// worse than the bytes to another region.
	failCost = 3
	// meanLife is how long the running mean of the answers seen here goes before the
	// one that the gate tells of.
	meanLife = 3 * time.Second
)

// want is what a request asks of a node.
type want struct {
	objective time.Duration
	// bytes is the expected size of the request with its answer.
	bytes float64
}

// away is what the way to another domain costs apart from its time.
func (w want) away() time.Duration {
	part := min(max(awayPartPerKB*w.bytes/1000, minAwayPart), maxAwayPart)
	return time.Duration(part * float64(w.objective))
}

// standing is what an entry has seen of a node's target.
type standing struct {
	// mean is the running mean of the time to an answer, without the wait at the gate.
	mean     time.Duration
	meanAt   time.Time
	inflight int
	wait     time.Duration
	waitAt   time.Time
	// failures is the running share of failures.
	failures float64
	failedAt time.Time
	deadTill time.Time
}

// picker ranks the nodes that take calls for a service by the time that a call
// is expected to take there.
type picker struct {
	self   string
	domain string
	region string
	mu     sync.Mutex
	// nodes is keyed by node and service, since a VM may get another target.
	nodes map[string]*standing
}

func newPicker(self, domain, region string) *picker {
	return &picker{
		self:   self,
		domain: domain,
		region: region,
		nodes:  map[string]*standing{},
	}
}

func (p *picker) standing(n *peers.Node) *standing {
	key := n.Name + "/" + n.TargetID
	s, ok := p.nodes[key]
	if !ok {
		s = &standing{}
		p.nodes[key] = s
		p.trim()
	}
	return s
}

// maxStandings bounds the remembered targets, of which most are gone.
const maxStandings = 4096

// trim must be called with p.mu held.
func (p *picker) trim() {
	if len(p.nodes) <= maxStandings {
		return
	}
	for key, s := range p.nodes {
		if s.inflight == 0 {
			delete(p.nodes, key)
		}
	}
}

// best returns the node with the least expected time that skip lets through,
// and false where there is none.
func (p *picker) best(now time.Time, nodes []peers.Node, w want, suspect, skip func(name string) bool) (peers.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := usualFailures(nodes)
	best := -1
	least := time.Duration(0)
	for i := range nodes {
		if skip(nodes[i].Name) {
			continue
		}
		cost := p.cost(now, &nodes[i], w, usual)
		if suspect(nodes[i].Name) {
			cost += lastChoice
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

// usualFailures is the median share of failures that the gates tell of. Only what
// lies above it is a target's own fault: calls that fail further down fail at
// every target alike.
func usualFailures(nodes []peers.Node) float64 {
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

// cost must be called with p.mu held.
func (p *picker) cost(now time.Time, n *peers.Node, w want, usual float64) time.Duration {
	s := p.standing(n)
	wait := time.Duration(n.WaitMillis) * time.Millisecond
	if now.Sub(s.waitAt) < loadLife {
		wait = s.wait
	}
	mean := time.Duration(n.ServiceMillis) * time.Millisecond
	if now.Sub(s.meanAt) < meanLife {
		mean = s.mean
	}
	cost := mean + wait
	if n.Slots > 0 {
		cost += mean * time.Duration(s.inflight) / time.Duration(n.Slots)
	}
	switch {
	case n.Region != p.region:
		cost += regionWay + time.Duration(regionFactor*float64(w.away()))
	case n.Domain != p.domain:
		cost += domainWay + w.away()
	}
	share := max(s.worstShare(now, n)-usual, 0)
	cost += time.Duration(share * failCost * float64(w.objective))
	if now.Before(s.deadTill) {
		cost += lastChoice
	}
	return cost
}

// failShare is the share of failures as of now.
func (s *standing) failShare(now time.Time) float64 {
	return s.failures * math.Exp2(-now.Sub(s.failedAt).Seconds()/failHalfLife.Seconds())
}

// worstShare is the greater share of failures of those seen here and those that
// the gate tells of.
func (s *standing) worstShare(now time.Time, n *peers.Node) float64 {
	return max(s.failShare(now), float64(n.FailPercent)/100)
}

// failing returns the share of a node's answers that were failures lately.
func (p *picker) failing(now time.Time, n *peers.Node) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standing(n).worstShare(now, n)
}

// note adds an answer to the share of failures.
func (s *standing) note(now time.Time, sample float64) {
	s.failures = s.failShare(now)
	s.failures += failWeight * (sample - s.failures)
	s.failedAt = now
}

func (p *picker) begin(n *peers.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.standing(n).inflight++
}

// verdict is what a call says of the node that it went to.
type verdict int

const (
	neutral verdict = iota
	answered
	failed
	unreachable
)

// end notes how a call at a node ended.
func (p *picker) end(now time.Time, n *peers.Node, v verdict, took time.Duration, r call.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.standing(n)
	s.inflight--
	switch v {
	case answered:
		ran := max(took-r.Queued, 0)
		if s.mean == 0 || now.Sub(s.meanAt) > meanLife {
			s.mean = ran
		}
		s.mean += time.Duration(smoothing * float64(ran-s.mean))
		s.meanAt = now
		s.note(now, 0)
	case failed:
		s.note(now, 1)
	case unreachable:
		s.deadTill = now.Add(failTime)
	}
	if v != unreachable {
		s.wait = r.Wait
		s.waitAt = now
	}
}

// mean returns the running mean of the time to an answer from a node.
func (p *picker) mean(n *peers.Node) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.standing(n).mean
}
