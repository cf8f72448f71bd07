package peers

import (
	"bytes"
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/base/timer"
)

// askTime bounds the work on another node's ask; its asker waits no longer.
const askTime = 250 * time.Millisecond

// Receive takes a datagram from another node; what can't be read is dropped,
// and the result says so.
func (p *Peers) Receive(now timer.Instant, address string, data []byte) error {
	var m message
	if err := cbor.Unmarshal(bytes.Clone(data), &m); err != nil {
		return err
	}
	switch m.Kind {
	case kindBeat, kindDigest:
		p.receiveNodes(now, m)
	case kindAsk:
		p.receiveAsk(address, m)
	case kindGrant:
		p.receiveGrant(m)
	}
	if len(m.Docket) > 0 {
		p.learn(m.Docket)
	}
	return nil
}

func (p *Peers) receiveNodes(now timer.Instant, m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heardAny = now
	dirty := false
	best := Node{}
	for i := range m.Nodes {
		n := &m.Nodes[i]
		if n.Name == "" || n.Name == p.self.Name {
			continue
		}
		direct := n.Name == m.From
		if p.merge(now, n, m.From) {
			dirty = true
		}
		if n.Rules > p.self.Rules && (direct || best.Name == "") {
			best = *n
		}
	}
	if m.Kind == kindDigest {
		dirty = p.receiveDigest(m) || dirty
	}
	if dirty {
		p.publish()
	}
	if best.Name != "" {
		go p.newer(best)
	}
}

// receiveDigest drops who is gone from another domain and, at the delegate, hands
// the digest on to the own domain. p.mu must be held.
func (p *Peers) receiveDigest(m message) (dirty bool) {
	if len(m.Nodes) == 0 || m.Nodes[0].Domain == p.self.Domain {
		return false
	}
	if m.Whole {
		dirty = p.prune(m)
	}
	if m.Relayed || !p.isDelegate() {
		return dirty
	}
	m.Relayed = true
	data := encode(m)
	for _, k := range p.others {
		if k.alive && k.node.Domain == p.self.Domain {
			_ = p.send(k.node.MeshAddress(), data)
		}
	}
	return dirty
}

// prune takes nodes for lost that a whole digest does not name any more. Only
// the node that vouched for them before can take that back: one that was cut off
// names few. p.mu must be held.
func (p *Peers) prune(m message) bool {
	named := map[string]bool{}
	for i := range m.Nodes {
		named[m.Nodes[i].Name] = true
	}
	dirty := false
	for name, k := range p.others {
		if k.alive && k.via == m.From && !named[name] {
			k.alive = false
			dirty = true
			p.note(k.node, "lost", 0)
		}
	}
	return dirty
}

// merge takes what a node says of itself or another, and reports whether the view
// changes.
// p.mu must be held.
func (p *Peers) merge(now timer.Instant, n *Node, from string) bool {
	direct := n.Name == from
	k, ok := p.others[n.Name]
	if !ok {
		k = &known{
			node: *n,
		}
		p.others[n.Name] = k
		p.greet(n)
	}
	if n.Boot < k.node.Boot && k.alive && (!direct || now.Sub(k.heard) <= rebootAfter) {
		return false
	}
	if !direct && n.Domain == p.self.Domain {
		return false
	}
	changed := !ok || n.Boot != k.node.Boot || n.newer(&k.node)
	if changed {
		k.node = *n
	}
	k.via = from
	k.heard = now
	if k.suspect {
		k.suspect = false
		changed = true
	}
	if !k.alive && !n.Leaving {
		k.alive = true
		changed = true
		p.note(*n, "found", 0)
	}
	if k.alive && k.node.Leaving {
		k.alive = false
		changed = true
		p.note(*n, "leaving", 0)
	}
	return changed
}

// greet tells a new node of the own domain of this one at once.
func (p *Peers) greet(n *Node) {
	if n.Domain == p.self.Domain {
		_ = p.send(n.MeshAddress(), p.encode(kindBeat, []Node{p.self}, nil))
	}
}

func (p *Peers) receiveAsk(address string, m message) {
	if m.Ask == nil {
		return
	}
	p.mu.Lock()
	if k, ok := p.others[m.From]; ok {
		address = k.node.MeshAddress()
	}
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		g := p.lend(ctx, *m.Ask)
		_ = p.send(address, encode(message{
			From:  p.self.Name,
			Kind:  kindGrant,
			Call:  m.Call,
			Grant: &g,
		}))
	}()
}

func (p *Peers) receiveGrant(m message) {
	if m.Grant == nil {
		return
	}
	p.mu.Lock()
	answer := p.calls[m.Call]
	delete(p.calls, m.Call)
	p.mu.Unlock()
	if answer != nil {
		answer <- *m.Grant
	}
}
