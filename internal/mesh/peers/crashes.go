package peers

import (
	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
)

// Crashes holds the evidence of crashes of targets, which all nodes are to share.
type Crashes interface {
	// Sums returns the checksums of the parts of the evidence, and that of all of it, 0 if there
	// is none. Those of two nodes are equal if their evidence is.
	Sums() (parts []uint64, all uint64)
	// Differing returns the evidence of the parts whose checksums differ from those of another
	// node.
	Differing(theirs []uint64) []crash.Crash
	// Learn merges evidence of the named node and returns what of it was new.
	Learn(from string, crashes []crash.Crash) (news []crash.Crash)
}

// noCrashes is the Crashes of a node without evidence.
type noCrashes struct{}

func (noCrashes) Sums() (parts []uint64, all uint64)            { return nil, 0 }
func (noCrashes) Differing([]uint64) []crash.Crash              { return nil }
func (noCrashes) Learn(string, []crash.Crash) (n []crash.Crash) { return nil }

// evidence is the part of a message that is about crashes of targets, encoded as a CBOR array.
type evidence struct {
	_ struct{} `cbor:",toarray"`
	// Sum is the checksum of the sender's evidence, in heartbeats and digests.
	Sum uint64
	// Parts are the checksums of its parts, in requests for what it lacks.
	Parts []uint64
	// Crashes is evidence.
	Crashes []crash.Crash
}

const (
	// maxRequests is the maximum number of requests that the evidence in a datagram names: more
	// would not fit into the usual MTU of a link.
	maxRequests = 100
	// pullPeriod is the minimum time between two requests for evidence to nodes of a failure
	// domain.
	pullPeriod = HeartbeatPeriod
	// maxLocalPieces and maxRemotePieces are the maximum number of datagrams with evidence that
	// answer a request of a node of the local domain and of another one. What is left out is
	// requested again.
	maxLocalPieces  = 32
	maxRemotePieces = 8
)

// evidenceSum returns what heartbeats and digests say of the evidence of crashes, nil if there is
// none.
func (p *Peers) evidenceSum() *evidence {
	_, sum := p.crashes.Sums()
	if sum == 0 {
		return nil
	}
	return &evidence{
		Sum: sum,
	}
}

// Broadcast sends new evidence at once to the nodes of the local domain and the keepers of the other
// domains, which pass it on there. Nodes that it doesn't reach find that out by the checksums in
// heartbeats and digests, and request it.
func (p *Peers) Broadcast(c crash.Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	recipients := p.digestRecipients()
	p.sendCrashes([]crash.Crash{c}, false, func(o *peer) bool {
		return recipients[o.node.Name] || o.node.Domain == p.self.Domain
	})
}

// sendCrashes sends evidence to the known nodes for which isRecipient returns true; p.mu must be
// held.
func (p *Peers) sendCrashes(crashes []crash.Crash, relayed bool, isRecipient func(*peer) bool) {
	for _, datagram := range p.encodeCrashes(crashes, relayed) {
		for _, o := range p.others {
			if isRecipient(o) {
				_ = p.transmit(&o.node, kindCrash, datagram)
			}
		}
	}
}

// encodeCrashes encodes evidence in datagrams that name at most maxRequests requests each.
func (p *Peers) encodeCrashes(crashes []crash.Crash, relayed bool) (datagrams [][]byte) {
	var pieces []crash.Crash
	requests := 0
	flush := func() {
		datagrams = append(datagrams, encode(message{
			From:    p.self.Name,
			Kind:    kindCrash,
			Relayed: relayed,
			Evidence: &evidence{
				Crashes: pieces,
			},
		}))
		pieces, requests = nil, 0
	}
	for _, c := range crashes {
		for _, piece := range c.Split(maxRequests) {
			n := len(piece.Running) + len(piece.Cleared)
			if requests > 0 && requests+n > maxRequests {
				flush()
			}
			pieces = append(pieces, piece)
			requests += n
		}
	}
	if len(pieces) > 0 {
		flush()
	}
	return datagrams
}

// receiveCrashes merges evidence. What is new and comes from another domain is passed on to the
// nodes of the local one.
func (p *Peers) receiveCrashes(m message) {
	if m.Evidence == nil {
		return
	}
	news := p.crashes.Learn(m.From, m.Evidence.Crashes)
	if m.Relayed || len(news) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if from, ok := p.others[m.From]; ok && from.node.Domain == p.self.Domain {
		return
	}
	p.sendCrashes(news, true, func(o *peer) bool { return o.node.Domain == p.self.Domain })
}

// pullCrashes requests evidence from the sender of a heartbeat or digest if its checksum differs from
// that of this node. Relayed digests tell nothing of the node that sent the datagram; p.mu must be held.
func (p *Peers) pullCrashes(now timer.Instant, address string, m message) {
	if m.Evidence == nil || m.Relayed || len(m.Nodes) == 0 {
		return
	}
	parts, sum := p.crashes.Sums()
	if sum == m.Evidence.Sum {
		return
	}
	domain := m.Nodes[0].Domain
	if last, ok := p.pulledAt[domain]; ok && now.Sub(last) < pullPeriod {
		return
	}
	p.pulledAt[domain] = now
	to := p.sender(address)
	_ = p.transmit(&to, kindCrashPull, encode(message{
		From: p.self.Name,
		Kind: kindCrashPull,
		Evidence: &evidence{
			Parts: parts,
		},
	}))
}

// receiveCrashPull sends the evidence that a node may lack.
func (p *Peers) receiveCrashPull(m message) {
	if m.Evidence == nil {
		return
	}
	crashes := p.crashes.Differing(m.Evidence.Parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	to, ok := p.others[m.From]
	if !ok {
		return
	}
	limit := maxRemotePieces
	if to.node.Domain == p.self.Domain {
		limit = maxLocalPieces
	}
	datagrams := p.encodeCrashes(crashes, false)
	for _, datagram := range datagrams[:min(len(datagrams), limit)] {
		_ = p.transmit(&to.node, kindCrash, datagram)
	}
}
