package peers

import (
	"hash/maphash"
	"sync"
	"time"

	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/admit/shed"
	"fuchsiapier/internal/mesh/rank"
)

// View is an immutable snapshot of the live nodes.
type View struct {
	self      Node
	byService map[string][]Node
	nodes     []Node
	// domain is the number of known nodes of the local domain, lost ones included.
	domain int
	// localAlive is the number of live nodes of the local domain, known the number of
	// known nodes of all domains, lost ones included, and domains that of their domains.
	localAlive int
	known      int
	domains    int
	candidates *candidates
	// members is the sum of the hashes of the live nodes that are not leaving. Snapshots
	// with the same nodes have the same sum.
	members uint64
	// attached is the number of live nodes of the local domain that name this node as
	// their keeper, itself included.
	attached int
	keeper   string
	keepers  []string
	suspects map[string]bool
	// edges returns the call graph of the services by caller, computed on first use.
	edges func() map[string][]graph.Edge
}

// memberSeed seeds the hashes of nodes.
var memberSeed = maphash.MakeSeed()

// View returns the current snapshot.
func (p *Peers) View() *View {
	if v := p.view.Load(); !p.stale.Load() {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeSnapshot()
}

// publish makes the next call of View take a new snapshot. Most records change with each
// heartbeat, far more often than the view is asked for.
func (p *Peers) publish() {
	p.stale.Store(true)
}

// NewView returns the snapshot of a node for which exactly the given others are alive.
func NewView(self Node, others []Node) *View {
	v := newView(self, len(others))
	for _, n := range others {
		v.add(n)
	}
	v.candidates = newCandidates(v, nil)
	return v
}

// newView returns a snapshot of a node that knows no others, with room for some.
func newView(self Node, others int) *View {
	v := &View{
		self:      self,
		nodes:     make([]Node, 0, others+1),
		byService: map[string][]Node{},
		domain:    1,
		known:     1,
		domains:   1,
		attached:  1,
		keeper:    self.Name,
		suspects:  map[string]bool{},
	}
	v.edges = sync.OnceValue(v.sumEdges)
	v.add(self)
	return v
}

// takeSnapshot replaces the snapshot if it is stale, and returns it; p.mu must be held.
func (p *Peers) takeSnapshot() *View {
	if v := p.view.Load(); !p.stale.Swap(false) {
		return v
	}
	v := newView(p.self, len(p.others))
	v.keeper = p.keeper()
	names := map[string][]string{}
	domains := map[string]bool{p.self.Domain: true}
	v.known += len(p.others)
	for name, o := range p.others {
		local := o.node.Domain == p.self.Domain
		domains[o.node.Domain] = true
		if local {
			v.domain++
		}
		if !o.alive {
			continue
		}
		if o.suspect {
			v.suspects[name] = true
		}
		v.add(o.node)
		switch {
		case !local:
			names[o.node.Domain] = append(names[o.node.Domain], name)
		case o.node.Keeper == p.self.Name:
			v.attached++
		}
	}
	for domain, list := range names {
		v.keepers = append(v.keepers, rank.Best(domain, list))
	}
	v.domains = len(domains)
	var last *candidates
	if before := p.view.Load(); before != nil {
		last = before.candidates
	}
	v.candidates = newCandidates(v, last)
	p.view.Store(v)
	return v
}

// add adds a live node, and lists it for its service if it accepts calls for its
// target and is not leaving.
func (v *View) add(n Node) {
	v.nodes = append(v.nodes, n)
	if n.Domain == v.self.Domain {
		v.localAlive++
	}
	if !n.Leaving {
		v.members += maphash.String(memberSeed, n.Name)
	}
	if n.Service != "" && n.Open && !n.Leaving {
		v.byService[n.Service] = append(v.byService[n.Service], n)
	}
}

// Nodes returns the live nodes, this one first. The slice must not be changed.
func (v *View) Nodes() []Node {
	return v.nodes
}

// Self returns the record of the node that took the snapshot.
func (v *View) Self() Node {
	return v.self
}

// Keeper returns the name of the local domain's keeper.
func (v *View) Keeper() string {
	return v.keeper
}

// StoreReached reports whether a node of the local domain recently reached the
// platform's store.
func (v *View) StoreReached() bool {
	for _, n := range v.nodes {
		if n.Domain == v.self.Domain && n.Store && !n.Leaving {
			return true
		}
	}
	return false
}

// StoreInDoubt reports whether a live node of the local domain does not reach the platform's store.
func (v *View) StoreInDoubt() bool {
	for _, n := range v.nodes {
		if n.Domain == v.self.Domain && !n.Store && !n.Leaving {
			return true
		}
	}
	return false
}

// ReadingDomains returns the number of failure domains in which a live node recently reached the
// platform's store, the local one included in any case, and the place of the local one among
// them in the order of their names, from 0.
func (v *View) ReadingDomains() (place, domains int) {
	reading := map[string]bool{v.self.Domain: true}
	for _, n := range v.nodes {
		if n.Store && !n.Leaving && !reading[n.Domain] {
			reading[n.Domain] = true
			if n.Domain < v.self.Domain {
				place++
			}
		}
	}
	return place, len(reading)
}

// Suspect reports whether the heartbeats of the named node are overdue.
func (v *View) Suspect(node string) bool {
	return v.suspects[node]
}

// Targets returns the nodes that accept calls for a service. The slice must not be
// changed.
func (v *View) Targets(service string) []Node {
	return v.byService[service]
}

// Costs returns the mean number of calls that a request to a service causes at each
// service, itself included, by the call counts of the nodes. See graph.Costs.
func (v *View) Costs(service string) map[string]float64 {
	return graph.Costs(service, v.edges())
}

// Path returns the path of a caller's request to a service: the expected calls, waits
// and rejections at each service that it reaches, and the service time and the recent
// failures of callers' requests at the first service.
func (v *View) Path(service string) shed.Path {
	first := v.shortestWait(service)
	path := shed.Path{
		Run:    time.Duration(first.CallersServiceMillis) * time.Millisecond,
		Failed: float64(first.CallersFailPercent) / 100,
	}
	for s, r := range graph.Reach(service, v.edges()) {
		path.Hops = append(path.Hops, shed.Hop{
			Calls:    r.Calls,
			Wait:     time.Duration(v.shortestWait(s).WaitMillis) * time.Millisecond,
			Rejected: r.Rejected,
		})
	}
	return path
}

// shortestWait returns the node with the shortest wait among those that accept calls
// for a service in the local domain, where most calls stay, or, if there is none, among
// all. It returns the zero Node if no node accepts such calls.
func (v *View) shortestWait(service string) Node {
	best, bestLocal := Node{}, false
	for i, n := range v.byService[service] {
		local := n.Domain == v.self.Domain
		if i == 0 || local && !bestLocal || local == bestLocal && n.WaitMillis < best.WaitMillis {
			best, bestLocal = n, local
		}
	}
	return best
}

// edgeSum sums the reports of nodes on the calls from one service to another.
type edgeSum struct {
	// perCent is the sum of the mean numbers of calls per 100 runs.
	perCent int
	// rejected is the sum of the rejected calls per mille over a number of reports. Only
	// nodes of the local domain count if there are any, since callers' requests go to them.
	rejected int
	reports  int
	// local says that rejected and reports are those of nodes of the local domain.
	local bool
}

// add adds the report of a node; local says that the node is of the local domain.
func (s *edgeSum) add(e graph.Edge, local bool) {
	s.perCent += int(e.PerCent)
	if local && !s.local {
		s.rejected, s.reports, s.local = 0, 0, true
	}
	if local == s.local {
		s.rejected += int(e.RejectedPerMille)
		s.reports++
	}
}

// sumEdges returns the call graph by caller: for each edge, the mean of the reports of
// the nodes.
func (v *View) sumEdges() map[string][]graph.Edge {
	sums := map[string]map[string]*edgeSum{}
	reporting := map[string]int{}
	for _, n := range v.nodes {
		if len(n.Calls) == 0 {
			continue
		}
		reporting[n.Service]++
		if sums[n.Service] == nil {
			sums[n.Service] = map[string]*edgeSum{}
		}
		for _, e := range n.Calls {
			sum, ok := sums[n.Service][e.Service]
			if !ok {
				sum = &edgeSum{}
				sums[n.Service][e.Service] = sum
			}
			sum.add(e, n.Domain == v.self.Domain)
		}
	}
	edges := map[string][]graph.Edge{}
	for from, calls := range sums {
		for to, sum := range calls {
			edges[from] = append(edges[from], graph.Edge{
				Service:          to,
				PerCent:          uint16(sum.perCent / reporting[from]),
				RejectedPerMille: uint16(sum.rejected / sum.reports),
			})
		}
	}
	return edges
}

// Size returns the number of live nodes and of the failure domains that have live
// nodes.
func (v *View) Size() (nodes, domains int) {
	return len(v.nodes), len(v.keepers) + 1
}

// NewestConfig returns the newest version of the configuration that the live nodes have in force,
// 0 if none has any.
func (v *View) NewestConfig() int64 {
	version := int64(0)
	for i := range v.nodes {
		version = max(version, v.nodes[i].Rules)
	}
	return version
}

// Known returns the number of known nodes, lost ones and this one included.
func (v *View) Known() int {
	return v.known
}

// AllHeard reports whether all known nodes of the local domain, and one of each other domain,
// are alive.
func (v *View) AllHeard() bool {
	return v.localAlive == v.domain && len(v.keepers)+1 == v.domains
}

// Keeper returns the name of the local domain's keeper, which holds the domain's tokens.
func (p *Peers) Keeper() string {
	return p.View().keeper
}

// Keepers returns the names of the keepers of the other domains.
func (p *Peers) Keepers() []string {
	return p.View().keepers
}

// AttachedShare returns the fraction of the known nodes of the local domain, lost ones
// included, that are alive and name this node as their keeper. This node always counts
// as one of them, so the fraction is in (0, 1].
func (p *Peers) AttachedShare() float64 {
	v := p.View()
	return float64(v.attached) / float64(max(v.domain, v.attached))
}

// NodeShare returns 1 divided by the number of known nodes of the local domain, this
// node and lost nodes included.
func (p *Peers) NodeShare() float64 {
	return 1 / float64(p.View().domain)
}

// Readers returns the names of the live nodes of the local domain that may read the
// platform's store, in descending order of preference: nodes that recently reached it
// come first, then the others, both ordered by rendezvous hashing.
func (v *View) Readers() []string {
	var with, without []Node
	for _, n := range v.nodes {
		switch {
		case n.Domain != v.self.Domain || n.Leaving:
		case n.Store:
			with = append(with, n)
		default:
			without = append(without, n)
		}
	}
	order := rank.Order(v.self.Domain, sortedNames(with))
	return append(order, rank.Order(v.self.Domain, sortedNames(without))...)
}
