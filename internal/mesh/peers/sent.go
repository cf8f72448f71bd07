package peers

import "sync/atomic"

// reach says how far a datagram goes: to the same failure domain, to another one of the
// same region, or to another region. The last two are billed.
type reach int

const (
	withinDomain reach = iota
	withinRegion
	acrossRegions
	reachCount
)

// reachNames and kindNames are the values of metric labels.
var (
	reachNames = [reachCount]string{"domain", "region", "far"}
	kindNames  = map[kind]string{
		kindHeartbeat: "heartbeat",
		kindDigest:    "digest",
		kindRequest:   "token-request",
		kindGrant:     "token-grant",
		kindCrash:     "crash",
		kindResend:    "resend",
		kindCrashPull: "crash-pull",
	}
)

// sentBytes counts the bytes of the datagrams that were sent, by kind and reach.
type sentBytes [kindCrashPull + 1][reachCount]atomic.Uint64

// SentBytes is the number of bytes that were sent in datagrams of one kind.
type SentBytes struct {
	// Kind is heartbeat, digest, token-request, token-grant, crash, resend or crash-pull.
	Kind string
	// Reach is domain, region or far: to the same failure domain, to others of the same
	// region, or to other regions.
	Reach string
	// Read returns the number so far.
	Read func() uint64
}

// Sent returns the counters of the bytes that were sent.
func (p *Peers) Sent() []SentBytes {
	var out []SentBytes
	for k, name := range kindNames {
		for r, reachName := range reachNames {
			out = append(out, SentBytes{
				Kind:  name,
				Reach: reachName,
				Read:  p.sent[k][r].Load,
			})
		}
	}
	return out
}

// transmit sends a datagram to a node and counts its bytes.
func (p *Peers) transmit(to *Node, k kind, data []byte) error {
	p.count(to, k, len(data))
	return p.send(to.MeshAddress(), data)
}

// count counts the bytes of a datagram to a node.
func (p *Peers) count(to *Node, k kind, bytes int) {
	r := acrossRegions
	switch {
	case to.Domain == p.self.Domain:
		r = withinDomain
	case to.Region == p.self.Region:
		r = withinRegion
	}
	p.sent[k][r].Add(uint64(bytes))
}
