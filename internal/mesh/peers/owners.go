package peers

import (
	"sync"
	"time"

	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/quota/lease"
)

// aloneAfter is how long after its start a node that has learned of no other node
// assumes that there is none.
const aloneAfter = 3 * time.Second

// candidates are the nodes that may own the tokens of a workspace: the live ones that are
// not leaving. They are immutable but for the cache of owners.
type candidates struct {
	// all and local hold the names of those of the fleet and of the local domain.
	all   []string
	local []string
	// members is that of the view.
	members uint64
	mu      sync.Mutex
	// owners caches the owners by workspace.
	owners map[string]lease.Owners
}

// maxCachedOwners bounds the cache of owners. It exceeds the number of workspaces that
// the product is designed for.
const maxCachedOwners = 8192

// newCandidates returns the candidates among the nodes of a view, or the given ones if
// they are the same nodes, so that the cache is kept.
func newCandidates(v *View, last *candidates) *candidates {
	if last != nil && last.members == v.members {
		return last
	}
	c := &candidates{
		members: v.members,
		owners:  map[string]lease.Owners{},
	}
	for i := range v.nodes {
		n := &v.nodes[i]
		if n.Leaving {
			continue
		}
		c.all = append(c.all, n.Name)
		if n.Domain == v.self.Domain {
			c.local = append(c.local, n.Name)
		}
	}
	return c
}

// of returns the owner and the local broker of a workspace, or self where there is none.
func (c *candidates) of(workspace, self string) lease.Owners {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.owners[workspace]; ok {
		return o
	}
	if len(c.owners) >= maxCachedOwners {
		clear(c.owners)
	}
	o := lease.Owners{
		Owner:  self,
		Broker: self,
	}
	if len(c.all) > 0 {
		o.Owner = rank.Best(workspace, c.all)
	}
	if len(c.local) > 0 {
		o.Broker = rank.Best(workspace, c.local)
	}
	c.owners[workspace] = o
	return o
}

// Owners returns the node that holds the tokens of a workspace, and the one that leases
// tokens from it for the local domain, by rendezvous hashing over the live nodes.
func (p *Peers) Owners(workspace string) lease.Owners {
	v := p.View()
	return v.candidates.of(workspace, v.self.Name)
}

// Shares returns the fractions of each limit that the live nodes stand for. They are 0
// while this node has only just started and knows no other, since it can't tell then
// whether it is alone. An isolated node stands for itself only, before the other nodes'
// timeouts have passed.
func (p *Peers) Shares() lease.Shares {
	v := p.View()
	if v.known <= 1 && !p.learned.Load() {
		return lease.Shares{}
	}
	known := float64(max(v.known, len(v.nodes)))
	alive, localAlive := len(v.nodes), v.localAlive
	if p.Isolated() {
		alive, localAlive = 1, 1
	}
	return lease.Shares{
		Fleet:  float64(alive) / known,
		Domain: float64(localAlive) / float64(max(v.domain, v.localAlive)) / float64(v.domains),
		Node:   1 / known,
	}
}
