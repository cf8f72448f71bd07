package depart

import (
	"context"
	"slices"
	"sync"
	"time"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/mesh/rank"
)

const (
	// storeHeadStart is how long the store has to take a departure before nodes of all failure domains
	// are asked to hold it.
	storeHeadStart = 250 * time.Millisecond
	// holdTimeout bounds a call to a node: some round trips between regions.
	holdTimeout = 300 * time.Millisecond
	// holdPeriod is the time between two attempts to have nodes hold what the store has not taken.
	holdPeriod = 100 * time.Millisecond
	// holderCheckPeriod is how often holders that have restarted or ended are replaced.
	holderCheckPeriod = 1 * time.Second
)

// holding is a node that holds a revision.
type holding struct {
	node        string
	incarnation int64
	revision    int
}

// replicate has nodes of other failure domains hold the latest departures: of as many domains as a
// confirmation needs while the store takes them too, otherwise of all, until it has taken them.
func (r *Recorder) replicate(ctx context.Context) {
	began := time.Now()
	wait := storeHeadStart
	for attempt := 0; ctx.Err() == nil; attempt++ {
		enough := r.hold(ctx, attempt, attempt > 0)
		stored := r.awaitStore(ctx, wait)
		if stored && (enough || time.Since(began) >= bothTimeout) {
			return
		}
		if stored {
			sleep(ctx, holdPeriod)
		}
		wait = holdPeriod
	}
}

// awaitStore waits until the store has taken all departures, which it reports, at most for a time.
func (r *Recorder) awaitStore(ctx context.Context, timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		r.mu.Lock()
		stored, progress := r.stored == r.revision, r.progress
		r.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-expired:
			return false
		case <-progress:
		}
	}
}

// hold asks nodes to hold the latest departures, and reports whether live nodes of enough failure
// domains do. It asks in as many domains as lack a holder or, unless everywhere is set, as are needed.
// Other nodes and domains come first in each attempt.
func (r *Recorder) hold(ctx context.Context, attempt int, everywhere bool) (enough bool) {
	v := r.view()
	nodes := candidates(v)
	r.mu.Lock()
	revision := r.revision
	record := Record{
		Owner:      r.owner,
		Departures: r.departures,
	}
	var lacking []string
	for domain, list := range nodes {
		if !r.holds(domain, list, revision) {
			lacking = append(lacking, domain)
		}
	}
	r.mu.Unlock()
	missing := holderDomains(r.domains()) - (len(nodes) - len(lacking))
	if revision == 0 || missing <= 0 && !everywhere {
		return true
	}
	asked := r.nearestFirst(v, nodes, lacking)
	if !everywhere && len(asked) > missing {
		asked = slices.Repeat(asked, 2)[attempt%len(asked):][:missing]
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, domain := range asked {
		n := nodes[domain][attempt%len(nodes[domain])]
		wg.Go(func() {
			if err := r.links.Hold(ctx, n, record, ItsDomain); err != nil {
				r.log.Warn().Err(err).Str("node", n.Name).Str("domain", n.Domain).Msg("departures not held")
				return
			}
			r.holder(n, revision)
			mu.Lock()
			defer mu.Unlock()
			missing--
		})
	}
	wg.Wait()
	return missing <= 0
}

// nearestFirst orders failure domains: those of the local region first, as traffic between regions is
// slower and dearer, and within a region so that the nodes of a fleet choose different ones.
func (r *Recorder) nearestFirst(v *peers.View, nodes map[string][]peers.Node, domains []string) []string {
	slices.Sort(domains)
	ordered := rank.Order(r.owner, domains)
	slices.SortStableFunc(ordered, func(a, b string) int {
		return distance(v, nodes[a][0]) - distance(v, nodes[b][0])
	})
	return ordered
}

// distance returns 0 for a node of the local region, 1 for any other.
func distance(v *peers.View, n peers.Node) int {
	if n.Region == v.Self().Region {
		return 0
	}
	return 1
}

// holds reports whether one of the live nodes of a domain holds a revision; r.mu must be held.
func (r *Recorder) holds(domain string, nodes []peers.Node, revision int) bool {
	h, ok := r.holders[domain]
	if !ok || h.revision < revision {
		return false
	}
	for _, n := range nodes {
		if n.Name == h.node {
			return n.Incarnation == h.incarnation
		}
	}
	return false
}

// holder records that a node holds a revision.
func (r *Recorder) holder(n peers.Node, revision int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders[n.Domain] = holding{
		node:        n.Name,
		incarnation: n.Incarnation,
		revision:    revision,
	}
	domains := 0
	for _, h := range r.holders {
		if h.revision >= revision {
			domains++
		}
	}
	if needed := holderDomains(r.domains()); needed > 0 && domains >= needed && r.held < revision {
		r.held = revision
		r.advance()
	}
}
