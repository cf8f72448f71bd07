package peers

import (
	"bytes"
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/base/timer"
)

// requestTimeout bounds the handling of a token request. The requesting node waits at
// most as long for the grant.
const requestTimeout = 250 * time.Millisecond

// Receive handles a datagram from the given address (ip:port). It returns an error if
// the datagram can't be decoded, and does not retain data.
func (p *Peers) Receive(now timer.Instant, address string, data []byte) error {
	var m message
	if err := cbor.Unmarshal(bytes.Clone(data), &m); err != nil {
		return err
	}
	switch m.Kind {
	case kindHeartbeat, kindDigest:
		p.receiveNodes(now, address, m)
	case kindResend:
		p.receiveResend(m)
	case kindRequest:
		p.receiveRequest(address, m)
	case kindGrant:
		p.receiveGrant(m)
	case kindCrash:
		p.receiveCrashes(m)
	case kindCrashPull:
		p.receiveCrashPull(m)
	}
	return nil
}

// receiveNodes merges the records of a heartbeat or digest. If some of the nodes have a
// newer configuration in force, or have observed a newer epoch of the store, it reports one
// of them, preferably the sender.
func (p *Peers) receiveNodes(now timer.Instant, address string, m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived = now
	changed := false
	var configSource, epochSource Node
	expanded, allKnown := p.expand(m.Loads)
	received := m.Nodes
	m.Nodes = append(slices.Clip(m.Nodes), expanded...)
	for i := range m.Nodes {
		n := &m.Nodes[i]
		if n.Name == "" || n.Name == p.self.Name {
			continue
		}
		direct := n.Name == m.From
		if p.merge(now, n, m.From) {
			changed = true
		}
		if n.Rules > p.self.Rules && (direct || configSource.Name == "") {
			configSource = *n
		}
		if n.StoreEpoch > p.self.StoreEpoch && (direct || epochSource.Name == "") {
			epochSource = *n
		}
	}
	p.pullCrashes(now, address, m)
	p.requestAll(now, address)
	if m.Kind == kindDigest {
		changed = p.receiveDigest(m, received, allKnown) || changed
		if !allKnown {
			p.requestRecords(now, address, m)
		}
	}
	if changed {
		p.publish()
	}
	if configSource.Name != "" {
		go p.onNewerConfig(configSource)
	}
	if epochSource.Name != "" {
		go p.onNewerEpoch(epochSource)
	}
}

// receiveDigest marks nodes lost that a digest of another domain no longer names and
// relays the digest within the local domain. It reports whether the view
// changed. received are the records that the digest itself holds; allKnown says that the
// nodes of all its loads are known. p.mu must be held.
func (p *Peers) receiveDigest(m message, received []Node, allKnown bool) (changed bool) {
	if len(m.Nodes) > 0 && m.Nodes[0].Domain == p.self.Domain {
		return false
	}
	if named := p.completeRound(m, allKnown); named != nil {
		changed = p.prune(m.From, named)
	}
	// Whoever gets a digest from its sender relays it: the sender may know fewer nodes of this
	// domain, or more, and so name another keeper.
	if m.Relayed {
		return changed
	}
	m.Relayed = true
	m.Nodes = received
	data := encode(m)
	for _, o := range p.others {
		if o.alive && o.node.Domain == p.self.Domain {
			_ = p.transmit(&o.node, kindDigest, data)
		}
	}
	return changed
}

// digestRound holds what the digests of one round name so far.
type digestRound struct {
	round    uint64
	named    map[string]bool
	received map[uint8]bool
	// unknown says that the round names nodes that are not known here.
	unknown bool
}

// completeRound adds a digest to its round. It returns the names of all nodes that the
// round names once all its digests have arrived, and nil before or where some of the nodes
// are not known; p.mu must be held.
func (p *Peers) completeRound(m message, allKnown bool) map[string]bool {
	r, ok := p.rounds[m.From]
	if !ok || r.round != m.Round {
		r = &digestRound{
			round:    m.Round,
			named:    map[string]bool{},
			received: map[uint8]bool{},
		}
		p.rounds[m.From] = r
	}
	for i := range m.Nodes {
		r.named[m.Nodes[i].Name] = true
	}
	r.received[m.Part] = true
	r.unknown = r.unknown || !allKnown
	if len(r.received) < int(m.Parts) || r.unknown {
		return nil
	}
	return r.named
}

// prune marks nodes lost that a complete round of digests no longer names, and reports
// whether it marked any. It applies only to nodes that the sender of the digests was the
// last to confirm, since a sender that was itself isolated names few nodes. p.mu must be
// held.
func (p *Peers) prune(from string, named map[string]bool) bool {
	changed := false
	for name, o := range p.others {
		if o.alive && o.source == from && !named[name] {
			o.alive = false
			changed = true
			p.notify(o.node, "lost", 0)
		}
	}
	return changed
}

// merge merges a record sent by the node itself or by another node, and reports
// whether the view changed; p.mu must be held.
//
// A record of a live node with a lower incarnation is stale, unless it comes from the
// node itself after restartAfter without messages. A record of a node of the
// local domain that comes from another node only makes the node known: whether it is
// alive is decided by its own heartbeats.
func (p *Peers) merge(now timer.Instant, n *Node, from string) bool {
	direct := n.Name == from
	o, ok := p.others[n.Name]
	if !ok {
		o = &peer{
			node: *n,
		}
		p.others[n.Name] = o
	}
	if direct && (!ok || n.Incarnation != o.node.Incarnation) || !ok && n.Domain == p.self.Domain {
		p.announceTo(n)
	}
	if n.Incarnation < o.node.Incarnation && o.alive && (!direct || now.Sub(o.lastHeard) <= restartAfter) {
		return false
	}
	if !direct && n.Domain == p.self.Domain {
		return false
	}
	changed := !ok || n.Incarnation != o.node.Incarnation || n.supersedes(&o.node)
	if changed {
		delete(p.names, o.node.id())
		o.node = *n
		p.names[n.id()] = n.Name
	}
	o.source = from
	o.lastHeard = now
	if o.suspect {
		o.suspect = false
		changed = true
	}
	if !o.alive && !n.Leaving {
		o.alive = true
		changed = true
		p.notify(*n, "found", 0)
	}
	if o.alive && o.node.Leaving {
		o.alive = false
		changed = true
		p.notify(*n, "leaving", 0)
	}
	return changed
}

// announceTo sends a heartbeat at once to a node that has just started, if it is of the local domain
// or this node is the keeper: it waits to hear which configuration is in force.
func (p *Peers) announceTo(n *Node) {
	if n.Domain == p.self.Domain || p.isKeeper() {
		_ = p.transmit(n, kindHeartbeat, p.encodeSelf())
	}
}

// sender returns the node that a datagram from an address (ip:port) came from. Nodes send from
// another port than the one where they receive. The record of an unknown node holds its IP
// address, and the local node's port, since the ports of all nodes are the same. p.mu must be
// held.
func (p *Peers) sender(address string) Node {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return Node{}
	}
	for _, o := range p.others {
		if o.node.IP == host {
			return o.node
		}
	}
	return Node{
		IP:       host,
		MeshPort: p.self.MeshPort,
	}
}

// receiveRequest handles a token request on a goroutine of its own and sends the grant to
// the known address of the sender, or else to the node that the request came from.
func (p *Peers) receiveRequest(address string, m message) {
	if m.Request == nil {
		return
	}
	p.mu.Lock()
	var to Node
	if o, ok := p.others[m.From]; ok {
		to = o.node
	} else {
		to = p.sender(address)
	}
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		g := p.grant(ctx, *m.Request)
		reply := encode(message{
			From:      p.self.Name,
			Kind:      kindGrant,
			RequestID: m.RequestID,
			Grant:     &g,
		})
		_ = p.transmit(&to, kindGrant, reply)
	}()
}

// receiveGrant delivers a grant to the pending request. A grant that is late or a
// duplicate is dropped.
func (p *Peers) receiveGrant(m message) {
	if m.Grant == nil {
		return
	}
	p.mu.Lock()
	response := p.pending[m.RequestID]
	delete(p.pending, m.RequestID)
	p.mu.Unlock()
	if response != nil {
		response <- *m.Grant
	}
}
