package fetch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiapier/internal/mesh/peers"
)

const (
	// readerDelay is how long the reader of the local domain gets to read a configuration
	// from the store before it is fetched from another domain: it may have paused after the
	// last change, and the store may be a region away. Bytes between domains are billed.
	readerDelay = 300 * time.Millisecond
	// keeperDelay is how much longer a node waits that is not the keeper of its domain, so
	// that the keeper can fetch the configuration for all of the domain.
	keeperDelay = 200 * time.Millisecond
	// hedgeDelay is how long a node has to send its configuration before another one is
	// asked beside it: a few round trips between regions.
	hedgeDelay = 250 * time.Millisecond
	// maxInFlight bounds how many nodes are asked at once.
	maxInFlight = 3
	// minTimeout and maxTimeout bound the time that a node has to send its configuration, which
	// doubles with each failure: a large one over a narrow link takes seconds.
	minTimeout = 1 * time.Second
	maxTimeout = 4 * time.Second
	// minPause and maxPause bound the exponential backoff after a node failed to send its
	// configuration.
	minPause = 100 * time.Millisecond
	maxPause = 1 * time.Second
	// maxDoublings bounds the exponents of these.
	maxDoublings = 10
	// storeDelay is how long the other nodes have to send a newer configuration before it is
	// read from the store, to which storeJitter is added at random.
	storeDelay  = 700 * time.Millisecond
	storeJitter = 200 * time.Millisecond
	// minStorePause and maxStorePause bound the exponential backoff between two reads of the store.
	minStorePause = 1 * time.Second
	maxStorePause = 8 * time.Second
)

// plan decides which nodes are asked for a newer configuration, and when it is read from the
// store instead. It does no I/O. It begins when a newer one becomes known and ends when none is.
type plan struct {
	began time.Time
	// inFlight holds the nodes that were asked and have not responded yet.
	inFlight map[string]bool
	// failures counts the failed attempts of each node, notBefore is when it may be asked again.
	failures  map[string]int
	notBefore map[string]time.Time
	// hedgeAt is when a further node may be asked beside those in flight.
	hedgeAt time.Time
	// storeAt is when the store is read next, storePause the time to the read after that.
	storeAt    time.Time
	storePause time.Duration
}

// newPlan returns the plan for a newer configuration that became known at the given time.
func newPlan(now time.Time) *plan {
	return &plan{
		began:      now,
		inFlight:   map[string]bool{},
		failures:   map[string]int{},
		notBefore:  map[string]time.Time{},
		storeAt:    now.Add(storeDelay + rand.N(storeJitter)),
		storePause: minStorePause,
	}
}

// advanced records that a newer configuration is in force now, while a still newer one is known.
func (p *plan) advanced(now time.Time) {
	if at := now.Add(storeDelay + rand.N(storeJitter)); at.Before(p.storeAt) {
		p.storeAt = at
	}
	p.storePause = minStorePause
}

// source returns the node to ask now, out of those that have a newer configuration, and false if
// it is not yet time: wait is the time after which to call again.
func (p *plan) source(now time.Time, nodes []peers.Node, view *peers.View) (from peers.Node, ok bool, wait time.Duration) {
	wait = maxPause
	if len(p.inFlight) >= maxInFlight {
		return peers.Node{}, false, wait
	}
	if len(p.inFlight) > 0 && now.Before(p.hedgeAt) {
		return peers.Node{}, false, p.hedgeAt.Sub(now)
	}
	var ready []peers.Node
	for _, n := range nodes {
		if p.inFlight[n.Name] {
			continue
		}
		at := p.began.Add(delay(n, view))
		if p.notBefore[n.Name].After(at) {
			at = p.notBefore[n.Name]
		}
		if at.After(now) {
			wait = min(wait, at.Sub(now))
			continue
		}
		ready = append(ready, n)
	}
	if len(ready) == 0 {
		return peers.Node{}, false, wait
	}
	from = slices.MinFunc(ready, func(a, b peers.Node) int { return p.compare(a, b, view.Self()) })
	return from, true, 0
}

// compare orders nodes by preference: those that failed least, then those of the local failure
// domain, of the local region, and those with the newest configuration.
func (p *plan) compare(a, b, self peers.Node) int {
	return cmp.Or(
		cmp.Compare(p.failures[a.Name], p.failures[b.Name]),
		cmp.Compare(distance(a, self), distance(b, self)),
		cmp.Compare(b.Rules, a.Rules),
		cmp.Compare(a.Name, b.Name),
	)
}

// distance returns 0 for a node of the same failure domain, 1 for one of the same region, else 2.
func distance(n, self peers.Node) int {
	switch {
	case n.Domain == self.Domain:
		return 0
	case n.Region == self.Region:
		return 1
	}
	return 2
}

// ask records that a node was asked, and returns how long it has to respond.
func (p *plan) ask(now time.Time, node string) (timeout time.Duration) {
	p.inFlight[node] = true
	p.hedgeAt = now.Add(hedgeDelay)
	return min(minTimeout<<min(p.failures[node], maxDoublings), maxTimeout)
}

// responded records the response of a node, or its failure.
func (p *plan) responded(now time.Time, node string, failed bool) {
	delete(p.inFlight, node)
	if failed {
		pause := min(minPause<<min(p.failures[node], maxDoublings), maxPause)
		p.failures[node]++
		p.notBefore[node] = now.Add(pause)
		p.hedgeAt = now
	}
}

// store reports whether the store is to be read now; if not, wait is the time until then.
func (p *plan) store(now time.Time) (due bool, wait time.Duration) {
	if now.Before(p.storeAt) {
		return false, p.storeAt.Sub(now)
	}
	p.storeAt = now.Add(p.storePause)
	p.storePause = min(2*p.storePause, maxStorePause)
	return true, 0
}

// delay returns how long to wait before the configuration of a node is fetched:
// not at all for a node of the local domain. Before a fetch from another domain, the
// nodes of the local domain get time to obtain the configuration: readerDelay if one of
// them reaches the store, and keeperDelay more if this node is not the keeper.
func delay(from peers.Node, view *peers.View) time.Duration {
	if from.Domain == view.Self().Domain {
		return 0
	}
	wait := time.Duration(0)
	if view.StoreReached() {
		wait += readerDelay
	}
	if view.Keeper() != view.Self().Name {
		wait += keeperDelay
	}
	return wait
}
