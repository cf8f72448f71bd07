package send

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/roster"
)

const (
	// reportTTL is how long a reported load is used.
	reportTTL = 500 * time.Millisecond
	// penaltyTime is how long a node is avoided after a call to it failed.
	penaltyTime = 1 * time.Second
	// saturation is the utilization from which requests queue at a target.
	saturation = 1.0
)

// peerLoad is what this node knows of the load of one target.
type peerLoad struct {
	// outstanding counts the calls of this node in flight to the target.
	outstanding int
	// reported is the load in the latest reply: running and queued requests over
	// the concurrency limit.
	reported   float64
	reportedAt timer.Instant
	avoidUntil timer.Instant
}

// picker balances load over targets by the calls that this node has in flight and
// by the load that replies report. It is safe for concurrent use.
type picker struct {
	domain string
	region string
	// index holds the ready targets by service.
	index atomic.Pointer[map[string][]roster.Entry]
	mu    sync.Mutex
	// loads is keyed by the name of the node.
	loads map[string]*peerLoad
}

func newPicker(domain, region string) *picker {
	p := &picker{
		domain: domain,
		region: region,
		loads:  map[string]*peerLoad{},
	}
	p.index.Store(&map[string][]roster.Entry{})
	return p
}

// rebuild indexes the ready targets by service and drops the loads of nodes that are
// no longer listed.
func (p *picker) rebuild(entries []roster.Entry) {
	index := map[string][]roster.Entry{}
	known := map[string]bool{}
	for _, e := range entries {
		known[e.Name] = true
		if e.Serves(e.Target.Service) {
			index[e.Target.Service] = append(index[e.Target.Service], e)
		}
	}
	p.index.Store(&index)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.loads {
		if !known[name] {
			delete(p.loads, name)
		}
	}
}

// size returns the number of targets that can be chosen.
func (p *picker) size() int {
	n := 0
	for _, entries := range *p.index.Load() {
		n += len(entries)
	}
	return n
}

// load returns the entry of a node, which it creates if needed. The caller holds mu.
func (p *picker) load(name string) *peerLoad {
	l, ok := p.loads[name]
	if !ok {
		l = &peerLoad{}
		p.loads[name] = l
	}
	return l
}

// begin counts a call in flight to a node; end ends it.
func (p *picker) begin(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(name).outstanding++
}

func (p *picker) end(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(name).outstanding--
}

// report records the load that a reply carried.
func (p *picker) report(now timer.Instant, name string, load float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.load(name)
	l.reported = load
	l.reportedAt = now
}

// avoid makes pick prefer other targets in the region for penaltyTime, after a call to
// the node failed.
func (p *picker) avoid(now timer.Instant, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load(name).avoidUntil = now.Add(penaltyTime)
}

// utilization returns the utilization of a target and whether it is avoided. The
// utilization is the number of calls in flight over the slots, or the reported load
// if that is higher and recent.
func (p *picker) utilization(now timer.Instant, e *roster.Entry) (utilization float64, avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.load(e.Name)
	utilization = float64(l.outstanding) / float64(max(e.Target.Slots, 1))
	if now.Sub(l.reportedAt) < reportTTL {
		utilization = max(utilization, l.reported)
	}
	return utilization, now < l.avoidUntil
}

// tier returns the distance of a target: localDomain, localRegion or otherRegion.
func (p *picker) tier(e *roster.Entry) int {
	switch {
	case e.Domain == p.domain:
		return localDomain
	case e.Region == p.region:
		return localRegion
	}
	return otherRegion
}

// candidate is a target that may be chosen.
type candidate struct {
	entry       *roster.Entry
	tier        int
	utilization float64
	avoided     bool
}

// The tiers, from near to far.
const (
	localDomain = iota
	localRegion
	otherRegion
)

// pick returns a target of a service among those that accept admits. It prefers, in
// this order, unsaturated targets of the local domain, unsaturated targets of the
// local region and any target of the local region. Avoided targets and those of other
// regions are chosen only if none of these is left.
func (p *picker) pick(now timer.Instant, service string, accept func(*roster.Entry) bool) (roster.Entry, bool) {
	entries := (*p.index.Load())[service]
	candidates := make([]candidate, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		if !accept(e) {
			continue
		}
		used, avoided := p.utilization(now, e)
		candidates = append(candidates, candidate{
			entry:       e,
			tier:        p.tier(e),
			utilization: used,
			avoided:     avoided,
		})
	}
	for _, eligible := range []func(candidate) bool{
		func(c candidate) bool { return c.tier == localDomain && c.utilization < saturation && !c.avoided },
		func(c candidate) bool { return c.tier <= localRegion && c.utilization < saturation && !c.avoided },
		func(c candidate) bool { return c.tier <= localRegion && !c.avoided },
		func(candidate) bool { return true },
	} {
		if e := pickLessLoaded(candidates, eligible); e != nil {
			return *e, true
		}
	}
	return roster.Entry{}, false
}

// pickLessLoaded draws two eligible candidates at random, with replacement, and returns
// the one with the lower utilization (power of two choices), nil if none is eligible.
func pickLessLoaded(candidates []candidate, eligible func(candidate) bool) *roster.Entry {
	var a, b candidate
	seen := 0
	for _, c := range candidates {
		if !eligible(c) {
			continue
		}
		seen++
		if rand.IntN(seen) == 0 {
			a = c
		}
		if rand.IntN(seen) == 0 {
			b = c
		}
	}
	if b.utilization < a.utilization {
		a = b
	}
	return a.entry
}
