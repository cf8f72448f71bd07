// Package model simulates how a configuration reaches all nodes of a fleet: the real code of
// node/watch, node/fetch and mesh/peers on virtual time, with a simulated store and network that
// fail as the platform's do. A seed decides the disturbances and the changes of a run; the jitter
// of the code itself is not a part of it.
package model

import (
	"fmt"
	"math/rand/v2"
	"sort"
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
	rng    *rand.Rand
	store  *store
	nodes  []*node
	byName map[string]*node

	mu sync.Mutex
	// cut holds the directions in which nothing passes between two nodes.
	cut map[[2]string]bool
	// silenced is when the open connections between nodes went silent.
	silenced time.Time
	// disturbedUntil is when the last disturbance that excuses a node ended, by its name, and
	// of all nodes under "".
	disturbedUntil map[string]time.Time
	// changes are the versions with the times of their confirmation.
	changes []change
	events  []string
	// broken describes violations of the bounds, by node.
	broken map[string]string
	last   map[string]int64
	// delays are the times from the confirmation of a version to its application by each node.
	delays []time.Duration
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

// elapsed returns the time since the start of the simulation.
func (f *fleet) elapsed() time.Duration {
	return time.Since(f.began)
}

// note adds a line to the timeline.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%8.3f %s", f.elapsed().Seconds(), fmt.Sprintf(format, args...)))
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

func (f *fleet) connsSilenced() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silenced
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
	lost := to == nil || f.cut[[2]string{from.name, to.name}] || f.rng.Float64() < lossRate
	f.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(f.latency(from, to), func() {
		to.waitWhileFrozen()
		if to.up {
			_ = to.peers.Receive(f.instant(), from.address+":40000", data)
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
	f.note("%s applies version %d", n.name, version)
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
	if end := time.Now().Add(d); end.After(f.disturbedUntil[node]) {
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
	for _, n := range f.nodes {
		excused := now.Before(f.disturbedUntil[""].Add(stableTime)) || now.Before(f.disturbedUntil[n.name].Add(stableTime))
		if !n.up || excused || f.last[n.name] >= due || f.broken[n.name] != "" {
			continue
		}
		f.broken[n.name] = fmt.Sprintf("%8.3f %s has version %d in force although %d was confirmed more than %v before", f.elapsed().Seconds(), n.name, f.last[n.name], due, applyBound)
	}
}

// report returns the violations with the timeline, and "" if there are none.
func (f *fleet) report() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.broken) == 0 {
		return ""
	}
	var lines []string
	for _, text := range f.broken {
		lines = append(lines, text)
	}
	sort.Strings(lines)
	count := len(lines)
	return fmt.Sprintf("%d nodes are late\n%s\n%s", count, strings.Join(lines[:min(count, 3)], "\n"), strings.Join(f.events, "\n"))
}
