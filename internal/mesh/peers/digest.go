package peers

import (
	"hash/fnv"
	"strconv"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// fullPeriod is how often a digest holds the whole record of a node. In between it holds
	// only what changes all the time: digests are most of the bytes between domains that
	// are not calls.
	fullPeriod = 10 * time.Second
	// fullRepeats is how many digests in a row hold the whole record of a node that is new or
	// whose identity has changed, since single datagrams are lost.
	fullRepeats = 3
	// resendPeriod is the minimum interval between requests for the records of a domain.
	resendPeriod = 500 * time.Millisecond
)

// nodeID identifies an incarnation of a node in digests.
type nodeID uint32

// id returns the hash of the node's name and incarnation.
func (n *Node) id() nodeID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.Name))
	_, _ = h.Write(strconv.AppendInt(nil, n.Incarnation, 10))
	return nodeID(h.Sum32())
}

// load is the part of a node's record that changes all the time. It is encoded as a CBOR
// array, so the order of the fields is part of the wire format. The fields have the meaning
// of those of Node.
type load struct {
	_                    struct{} `cbor:",toarray"`
	ID                   nodeID
	Seq                  uint64
	Open                 bool
	Store                bool
	WaitMillis           uint16
	ServiceMillis        uint16
	CallersServiceMillis uint16
	CallersFailPercent   uint8
	FailPercent          uint8
	Rules                int64
}

// loadOf returns the load of a node.
func loadOf(n *Node) load {
	return load{
		ID:                   n.id(),
		Seq:                  n.Seq,
		Open:                 n.Open,
		Store:                n.Store,
		WaitMillis:           n.WaitMillis,
		ServiceMillis:        n.ServiceMillis,
		CallersServiceMillis: n.CallersServiceMillis,
		CallersFailPercent:   n.CallersFailPercent,
		FailPercent:          n.FailPercent,
		Rules:                n.Rules,
	}
}

// withLoad returns the record with the values of a load.
func (n Node) withLoad(l load) Node {
	n.Seq = l.Seq
	n.Open = l.Open
	n.Store = l.Store
	n.WaitMillis = l.WaitMillis
	n.ServiceMillis = l.ServiceMillis
	n.CallersServiceMillis = l.CallersServiceMillis
	n.CallersFailPercent = l.CallersFailPercent
	n.FailPercent = l.FailPercent
	n.Rules = l.Rules
	return n
}

// identity is the part of a record that changes rarely and that a receiver can't do
// without.
type identity struct {
	incarnation int64
	leaving     bool
	targetID    string
	startedAt   int64
	service     string
	slots       uint16
}

// identity returns the identity of a node.
func (n *Node) identity() identity {
	return identity{
		incarnation: n.Incarnation,
		leaving:     n.Leaving,
		targetID:    n.TargetID,
		startedAt:   n.TargetStartedAt,
		service:     n.Service,
		slots:       n.Slots,
	}
}

// digested is what digests have told of a node so far.
type digested struct {
	identity identity
	// repeats is how many more digests in a row hold the whole record.
	repeats int
	fullAt  timer.Instant
}

// split returns which of the nodes a digest holds with their whole records, and the loads
// of the others; p.mu must be held.
func (p *Peers) split(now timer.Instant, nodes []Node) (full []Node, loads []load) {
	for i := range nodes {
		n := &nodes[i]
		d, ok := p.digested[n.Name]
		if !ok || d.identity != n.identity() {
			d = &digested{
				identity: n.identity(),
				repeats:  fullRepeats,
			}
			p.digested[n.Name] = d
		}
		if d.repeats == 0 && now.Sub(d.fullAt) < fullPeriod {
			loads = append(loads, loadOf(n))
			continue
		}
		d.repeats = max(d.repeats-1, 0)
		d.fullAt = now
		full = append(full, *n)
	}
	return full, loads
}

// expand returns the records that the loads of a message stand for, and whether all of them
// are known; p.mu must be held.
func (p *Peers) expand(loads []load) (nodes []Node, complete bool) {
	complete = true
	for _, l := range loads {
		o, ok := p.others[p.names[l.ID]]
		if !ok || o.node.id() != l.ID {
			complete = false
			continue
		}
		nodes = append(nodes, o.node.withLoad(l))
	}
	return nodes, complete
}

// requestRecords requests the records that a digest did not hold and that are not known, from
// the node whose datagram it was: its sender, or the one that relayed it. p.mu must be held.
func (p *Peers) requestRecords(now timer.Instant, address string, m message) {
	if now.Sub(p.resendAt[m.From]) < resendPeriod {
		return
	}
	p.resendAt[m.From] = now
	data := encode(message{
		From:  p.self.Name,
		Kind:  kindResend,
		About: m.From,
	})
	to := p.sender(address)
	_ = p.transmit(&to, kindResend, data)
}

// receiveResend sends the records of the live nodes of a domain to the node that requests
// them, or of those from which it can learn of all others.
func (p *Peers) receiveResend(m message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to, ok := p.others[m.From]
	if !ok {
		return
	}
	if m.About == aboutAll {
		p.sendAll(&to.node)
		return
	}
	domain := p.self.Domain
	if about, ok := p.others[m.About]; ok {
		domain = about.node.Domain
	}
	var nodes []Node
	if domain == p.self.Domain {
		nodes = append(nodes, p.self)
	}
	for _, o := range p.others {
		if o.alive && o.node.Domain == domain {
			nodes = append(nodes, o.node)
		}
	}
	p.sendRecords(&to.node, m.About, nodes)
}
