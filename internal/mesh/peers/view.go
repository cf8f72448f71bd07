package peers

import (
	"sync"
	"time"

	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/admit/shed"
	"fuchsiapier/internal/mesh/rank"
)

// View is an immutable picture of the live nodes.
type View struct {
	self     Node
	byTarget map[string][]Node
	nodes    []Node
	domain   int
	attached int
	keeper   string
	keepers  []string
	suspects map[string]bool
	// edges are the calls between services, summed up when first asked for.
	edges func() map[string][]graph.Edge
}

// View returns the current picture.
func (p *Peers) View() *View {
	return p.view.Load()
}

// NewView returns the picture of a node that sees the given others.
func NewView(self Node, others []Node) *View {
	v := &View{
		self:     self,
		byTarget: map[string][]Node{},
		domain:   1,
		attached: 1,
		keeper:   self.Name,
		suspects: map[string]bool{},
	}
	v.edges = sync.OnceValue(v.sumEdges)
	v.add(self)
	for _, n := range others {
		v.add(n)
	}
	return v
}

// publish must be called with p.mu held, or before the value is shared.
func (p *Peers) publish() {
	v := NewView(p.self, nil)
	v.keeper = p.keeper()
	names := map[string][]string{}
	for name, k := range p.others {
		own := k.node.Domain == p.self.Domain
		if own {
			v.domain++
		}
		if !k.alive {
			continue
		}
		if k.suspect {
			v.suspects[name] = true
		}
		v.add(k.node)
		switch {
		case !own:
			names[k.node.Domain] = append(names[k.node.Domain], name)
		case k.node.Keeper == p.self.Name:
			v.attached++
		}
	}
	for domain, list := range names {
		v.keepers = append(v.keepers, rank.Best(domain, list))
	}
	p.view.Store(v)
}

func (v *View) add(n Node) {
	v.nodes = append(v.nodes, n)
	if n.Service != "" && n.Open && !n.Leaving {
		v.byTarget[n.Service] = append(v.byTarget[n.Service], n)
	}
}

// Nodes returns the live nodes, this one first; callers must not change it.
func (v *View) Nodes() []Node {
	return v.nodes
}

// Self returns the node whose picture this is.
func (v *View) Self() Node {
	return v.self
}

// Keeper names the node that speaks for the own domain.
func (v *View) Keeper() string {
	return v.keeper
}

// StoreReached reports whether a node of the own domain reached the store lately.
func (v *View) StoreReached() bool {
	for _, n := range v.nodes {
		if n.Domain == v.self.Domain && n.Store && !n.Leaving {
			return true
		}
	}
	return false
}

// Suspect reports whether a node's beats are overdue.
func (v *View) Suspect(node string) bool {
	return v.suspects[node]
}

// Targets returns the nodes that take calls for a service.
func (v *View) Targets(service string) []Node {
	return v.byTarget[service]
}

// Costs returns how many arrivals a request to a service brings to each service,
// as the nodes have counted them.
func (v *View) Costs(service string) map[string]float64 {
	return graph.Costs(service, v.edges())
}

// Path returns what a caller's request to a service meets on its way.
func (v *View) Path(service string) shed.Path {
	first := v.nearest(service)
	path := shed.Path{
		Run:    time.Duration(first.CallersMillis) * time.Millisecond,
		Failed: float64(first.CallersFailPercent) / 100,
	}
	for s, r := range graph.Reach(service, v.edges()) {
		path.Stops = append(path.Stops, shed.Stop{
			Calls:  r.Calls,
			Wait:   time.Duration(v.nearest(s).WaitMillis) * time.Millisecond,
			Turned: r.Turned,
		})
	}
	return path
}

// nearest returns the node with the least wait for a target of a service: in the own
// domain, where most calls stay, or else anywhere.
func (v *View) nearest(service string) Node {
	best, own := Node{}, false
	for i, n := range v.byTarget[service] {
		home := n.Domain == v.self.Domain
		if i == 0 || home && !own || home == own && n.WaitMillis < best.WaitMillis {
			best, own = n, home
		}
	}
	return best
}

// edgeSum adds up what nodes tell of the calls of one service to another.
type edgeSum struct {
	perCent int
	// turned and told are for the nodes that count most: those of the own domain, to
	// which a caller's request goes, where there are any.
	turned int
	told   int
	own    bool
}

func (s *edgeSum) add(e graph.Edge, own bool) {
	s.perCent += int(e.PerCent)
	if own && !s.own {
		s.turned, s.told, s.own = 0, 0, true
	}
	if own == s.own {
		s.turned += int(e.TurnedPerMille)
		s.told++
	}
}

// sumEdges takes the mean of what the nodes of each service have counted.
func (v *View) sumEdges() map[string][]graph.Edge {
	sums := map[string]map[string]*edgeSum{}
	counted := map[string]int{}
	for _, n := range v.nodes {
		if len(n.Calls) == 0 {
			continue
		}
		counted[n.Service]++
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
				Service:        to,
				PerCent:        uint16(sum.perCent / counted[from]),
				TurnedPerMille: uint16(sum.turned / sum.told),
			})
		}
	}
	return edges
}

// Fleet counts the live nodes and the failure domains that they are in.
func (v *View) Fleet() (nodes, domains int) {
	return len(v.nodes), len(v.keepers) + 1
}

// Keeper names the node that keeps the tokens of the own domain.
func (p *Peers) Keeper() string {
	return p.View().keeper
}

// Keepers names the keepers of the other domains.
func (p *Peers) Keepers() []string {
	return p.View().keepers
}

// Share is the part of the domain's nodes that are attached to this one.
func (p *Peers) Share() float64 {
	v := p.View()
	return float64(v.attached) / float64(max(v.domain, v.attached))
}

// Alone is the part of the domain's nodes that one node is.
func (p *Peers) Alone() float64 {
	return 1 / float64(p.View().domain)
}

// Readers returns the live nodes of the own domain that may watch the store, the
// first choice first: those that reach it go before the others.
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
