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
		if p.merge(now, n, direct) {
			dirty = true
		}
		if n.Rules > p.self.Rules && (direct || best.Name == "") {
			best = *n
		}
	}
	if m.Kind == kindDigest && m.Whole {
		dirty = p.prune(now, m.Nodes) || dirty
	}
	if m.Kind == kindDigest {
		for i := range m.Nodes {
			p.relay[m.Nodes[i].Name] = true
		}
	}
	if dirty {
		p.publish()
	}
	if best.Name != "" {
		go p.newer(best)
	}
}

// prune takes nodes for lost that a whole digest of their domain does not name.
// p.mu must be held.
func (p *Peers) prune(now timer.Instant, nodes []Node) bool {
	if len(nodes) == 0 || nodes[0].Domain == p.self.Domain {
		return false
	}
	named := map[string]bool{}
	for i := range nodes {
		named[nodes[i].Name] = true
	}
	dirty := false
	for name, k := range p.others {
		if k.alive && k.node.Domain == nodes[0].Domain && !named[name] && now.Sub(k.heard) > pruneAfter {
			k.alive = false
			dirty = true
			p.note(k.node, "lost", now.Sub(k.heard))
		}
	}
	return dirty
}

// pruneAfter is the least silence of a node that a digest does not name: another
// node of its domain may have told of it a moment ago.
const pruneAfter = 500 * time.Millisecond

// merge takes what is said of a node and reports whether the view changes.
// p.mu must be held.
func (p *Peers) merge(now timer.Instant, n *Node, direct bool) bool {
	k, ok := p.others[n.Name]
	if !ok {
		k = &known{
			node: *n,
		}
		p.others[n.Name] = k
		p.greet(n)
	}
	rebooted := direct && n.Boot != k.node.Boot && (n.Boot > k.node.Boot || now.Sub(k.heard) > rebootAfter || !k.alive)
	if n.Boot < k.node.Boot && !rebooted {
		return false
	}
	if !direct && n.Domain == p.self.Domain {
		return false
	}
	changed := !ok || rebooted || n.newer(&k.node)
	if changed {
		k.node = *n
	}
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
