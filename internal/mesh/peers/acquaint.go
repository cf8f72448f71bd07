package peers

import (
	"math"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/rank"
)

const (
	// aboutAll in a request for records stands for the nodes from which the sender can learn of all
	// others.
	aboutAll = "*"
	// acquaintPeriod is the minimum time between two such requests, and acquaintTime how long a node
	// that starts sends them: the others then know that it is there.
	acquaintPeriod = 300 * time.Millisecond
	acquaintTime   = 10 * time.Second
)

// requestAll requests the nodes that the sender of a message knows, if this node has not read the
// records of the platform's store yet: it may be away, and whoever else starts at the same time knows
// nobody either. p.mu must be held.
func (p *Peers) requestAll(now timer.Instant, address string) {
	started := p.firstTick != 0 && now.Sub(p.firstTick) < acquaintTime
	if p.listed || !started || now.Sub(p.acquaintedAt) < acquaintPeriod {
		return
	}
	p.acquaintedAt = now
	to := p.sender(address)
	_ = p.transmit(&to, kindResend, encode(message{
		From:  p.self.Name,
		Kind:  kindResend,
		About: aboutAll,
	}))
}

// sendAll sends a node the records of the known nodes of its failure domain and of one live node of each
// other domain. Those of its domain may have been lost in a restart of the whole domain, and only it can
// find out whether they are alive. p.mu must be held.
func (p *Peers) sendAll(to *Node) {
	var nodes []Node
	names := map[string][]string{p.self.Domain: {p.self.Name}}
	for name, o := range p.others {
		switch {
		case o.node.Leaving || name == to.Name:
		case o.node.Domain == to.Domain:
			nodes = append(nodes, o.node)
		case o.alive:
			names[o.node.Domain] = append(names[o.node.Domain], name)
		}
	}
	for domain, list := range names {
		if domain == to.Domain {
			continue
		}
		if best := rank.Best(domain, list); best != p.self.Name {
			nodes = append(nodes, p.others[best].node)
		}
	}
	nodes = append(nodes, p.self)
	p.sendRecords(to, p.self.Name, nodes)
}

// sendRecords sends records to a node as a part of a round of a sender that is never complete; p.mu must
// be held.
func (p *Peers) sendRecords(to *Node, from string, nodes []Node) {
	for part := 0; part*maxNodes < len(nodes); part++ {
		_ = p.transmit(to, kindDigest, encode(message{
			From:    from,
			Kind:    kindDigest,
			Nodes:   page(nodes, part, maxNodes),
			Parts:   math.MaxUint8,
			Relayed: true,
		}))
	}
}
