// Package model simulates how a configuration reaches all nodes of a fleet: the real code of
// node/watch, node/fetch and mesh/peers on virtual time, with a simulated store and network that
// fail as the platform's do. A seed decides the disturbances and the changes of a run; the jitter
// of the code itself is not a part of it.
package model

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// Delays of messages, one way.
	localDelay  = 300 * time.Microsecond
	domainDelay = 1400 * time.Microsecond
	regionDelay = 30 * time.Millisecond
	// lossRate is the share of the datagrams that are lost at any time.
	lossRate = 0.002
	// regions is the number of regions, which the failure domains share equally.
	regions = 3
	// checkPeriod is how often the checker looks at all nodes.
	checkPeriod = 50 * time.Millisecond
)

// Bounds of the platform, by the smallest of its sites.
const (
	// applyBound is the time within which a confirmed change must be in force.
	applyBound = 2500 * time.Millisecond
	// stableTime is how long a node and the store must have been without disturbance for the
	// bound to hold.
	stableTime = 4 * time.Second
)

// fleet is a simulated fleet.
type fleet struct {
	began  time.Time
	store  *store
	nodes  []*node
	byName map[string]*node
	// targets are the targets that leave and start again, by node; nil if there are none.
	targets map[string]*leaver
	// departureCosts counts what their leaving takes.
	departureCosts departureCosts

	mu sync.Mutex
	// rng decides the scenario.
	rng *rand.Rand
	// cut holds the directions in which nothing passes between two nodes.
	cut map[[2]string]bool
	// disturbedUntil is when the last disturbance that excuses a node ended, by its name, and
	// of all nodes under "".
	disturbedUntil map[string]time.Time
	// changes are the versions with the times of their confirmation.
	changes []change
	events  []event
	// broken describes violations of the bounds, by node.
	broken map[string]string
	last   map[string]int64
	// delays are the times from the confirmation of a version to its application by each node.
	delays []time.Duration
}

// event is a line of the timeline; node is empty if it is about the whole fleet.
type event struct {
	node string
	text string
}

// change is a confirmed change of the configuration.
type change struct {
	version int64
	at      time.Time
}

// newFleet returns a fleet of domains with as many nodes each; none runs yet.
func newFleet(seed uint64, domains, perDomain int) *fleet {
	f := &fleet{
		began:          time.Now(),
		rng:            rand.New(rand.NewPCG(seed, seed)),
		store:          newStore(),
		byName:         map[string]*node{},
		cut:            map[[2]string]bool{},
		disturbedUntil: map[string]time.Time{},
		broken:         map[string]string{},
		last:           map[string]int64{},
	}
	for d := range domains {
		for i := range perDomain {
			n := &node{
				fleet:   f,
				name:    fmt.Sprintf("n%d-%d", d, i),
				address: fmt.Sprintf("10.%d.0.%d", d, i),
				domain:  d,
				region:  d % regions,
			}
			f.nodes = append(f.nodes, n)
			f.byName[n.name] = n
		}
	}
	return f
}

// random returns a random number below n, by the seed.
func (f *fleet) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// elapsed returns the time since the start of the simulation.
func (f *fleet) elapsed() time.Duration {
	return time.Since(f.began)
}

// note adds a line about the whole fleet to the timeline.
func (f *fleet) note(format string, args ...any) {
	f.noteOf("", fmt.Sprintf(format, args...))
}

// noteOf adds a line about a node to the timeline.
func (f *fleet) noteOf(node, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event{
		node: node,
		text: fmt.Sprintf("%8.3f %s %s", f.elapsed().Seconds(), node, text),
	})
}

// latency returns the delay between two nodes, one way.
func (f *fleet) latency(a, b *node) time.Duration {
	switch {
	case a.domain == b.domain:
		return localDelay
	case a.region == b.region:
		return domainDelay
	}
	return regionDelay
}

// reaches reports whether messages of one node reach another one.
func (f *fleet) reaches(from, to *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cut[[2]string{from.name, to.name}]
}

// setCut cuts a direction between two nodes, or heals it.
func (f *fleet) setCut(from, to *node, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from.name, to.name}] = cut
}

// deliver carries a datagram to the node at an address.
func (f *fleet) deliver(from *node, address string, data []byte) {
	host, _, _ := strings.Cut(address, ":")
	var to *node
	for _, n := range f.nodes {
		if n.address == host {
			to = n
		}
	}
	f.mu.Lock()
	lost := to == nil || f.cut[[2]string{from.name, to.name}] || rand.Float64() < lossRate
	f.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(f.latency(from, to), func() {
		to.waitWhileFrozen()
		if p := to.process.Load(); p != nil {
			_ = p.peers.Receive(f.instant(), from.address+":40000", data)
		}
	})
}

// publish makes a change of the configuration.
func (f *fleet) publish(version int64) {
	f.note("version %d is confirmed", version)
	f.store.publish(version)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, change{
		version: version,
		at:      time.Now(),
	})
}

// applied records that a node has applied a version.
func (f *fleet) applied(n *node, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.last[n.name] {
		f.broken[n.name] = fmt.Sprintf("%s goes back from version %d to %d", n.name, f.last[n.name], version)
	}
	f.last[n.name] = version
	for _, c := range f.changes {
		if c.version == version {
			f.delays = append(f.delays, time.Since(c.at))
		}
	}
}

// disturb excuses a node, or all for "", until stableTime after a disturbance of the given
// length.
func (f *fleet) disturb(node string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excuse(node, time.Now().Add(d))
}

// excuse excuses a node, or all for "", until stableTime after a disturbance that ends at the given
// time; f.mu must be held.
func (f *fleet) excuse(node string, end time.Time) {
	if end.After(f.disturbedUntil[node]) {
		f.disturbedUntil[node] = end
	}
}

// check looks for nodes that are in touch and have an older version in force than the bound
// allows.
func (f *fleet) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	due := int64(0)
	for _, c := range f.changes {
		if now.Sub(c.at) > applyBound {
			due = c.version
		}
	}
	informed := f.informed()
	for _, n := range f.nodes {
		excused := now.Before(f.disturbedUntil[""].Add(stableTime)) || now.Before(f.disturbedUntil[n.name].Add(stableTime))
		if !informed[n] {
			// No code can learn of a change here.
			f.excuse(n.name, now)
			excused = true
		}
		if !n.up() || excused || f.last[n.name] >= due || f.broken[n.name] != "" {
			continue
		}
		f.broken[n.name] = fmt.Sprintf("%8.3f %s has version %d in force although %d was confirmed more than %v before", f.elapsed().Seconds(), n.name, f.last[n.name], due, applyBound)
	}
}

// informed returns the nodes that can learn of a change: those that the store serves, and those that
// such a node reaches over nodes that reach each other both ways. f.mu must be held.
func (f *fleet) informed() map[*node]bool {
	informed := map[*node]bool{}
	var next []*node
	for _, n := range f.nodes {
		if n.up() && f.store.state(n.name) == serves {
			informed[n] = true
			next = append(next, n)
		}
	}
	for len(next) > 0 {
		from := next[0]
		next = next[1:]
		for _, n := range f.nodes {
			if n.up() && !informed[n] && !f.cut[[2]string{n.name, from.name}] && !f.cut[[2]string{from.name, n.name}] {
				informed[n] = true
				next = append(next, n)
			}
		}
	}
	return informed
}

// report returns the violations with the timeline of the fleet and of one late node, and "" if
// there are none.
func (f *fleet) report() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.broken) == 0 {
		return ""
	}
	late := slices.Sorted(maps.Keys(f.broken))
	lines := []string{fmt.Sprintf("%d nodes are late", len(late)), f.broken[late[0]]}
	for _, e := range f.events {
		if e.node == "" || e.node == late[0] {
			lines = append(lines, e.text)
		}
	}
	return strings.Join(lines, "\n")
}
