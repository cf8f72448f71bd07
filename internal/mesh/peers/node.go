// Package peers holds the membership view of a node: which other nodes are alive
// and what each of them publishes about itself and its target.
//
// In a failure domain, every node sends heartbeats to every other. One live node of
// each domain, chosen by rendezvous hashing, is the keeper: it holds the tokens of
// the domain and exchanges digests of all live nodes of the domain with the keepers
// of the other domains. A keeper relays the digests that it receives within its own
// domain. The package opens no sockets and takes the time as an argument.
//
// The local domain is the failure domain of the node that holds the view.
package peers

import (
	"net"
	"strconv"
	"time"

	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/quota/grant"
)

// Node is the record that a node publishes about itself and the target on its VM. It
// is encoded as a CBOR array, so the order and the types of its fields are part of
// the wire format.
type Node struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Domain string
	Region string
	// IP is the IP address of the node, used with MeshPort and GatePort.
	IP string
	// MeshPort is the UDP port for messages of this package, GatePort the TCP port for
	// calls to the target.
	MeshPort uint16
	GatePort uint16
	// Incarnation is the start time of the node's process in Unix nanoseconds, by the
	// VM's own clock. It distinguishes a restarted node from its previous
	// incarnation.
	Incarnation int64
	// Seq increases with each change of the record.
	Seq uint64
	// Leaving says that the node is shutting down.
	Leaving bool
	// TargetID is empty until the target has announced itself.
	TargetID string
	// TargetStartedAt is when the target started, in Unix milliseconds, 0 if it doesn't say.
	TargetStartedAt int64
	Service         string
	// Slots is the number of requests that the target runs concurrently.
	Slots uint16
	// Open says that the node accepts calls for its target.
	Open bool
	// WaitMillis is how long a call currently waits for a slot of the target, in
	// milliseconds.
	WaitMillis uint16
	// ServiceMillis is the mean service time of the target, in milliseconds.
	ServiceMillis uint16
	// CallersServiceMillis is the mean service time, in milliseconds, of requests that
	// come from callers and not from other services.
	CallersServiceMillis uint16
	// CallersFailPercent is the recent percentage of requests from callers that the
	// target failed.
	CallersFailPercent uint8
	// FailPercent is the recent percentage of all requests that the target failed.
	FailPercent uint8
	// Calls is the mean number of calls that one run of the target makes, by callee.
	Calls []graph.Edge
	// Rules is the version of the configuration in force on the node.
	Rules int64
	// Store says that the node recently reached the platform's store.
	Store bool
	// StoreEpoch is the epoch of the platform's store that the node has observed. It
	// increases when the store is restored from a copy.
	StoreEpoch int64
	// Keeper names the keeper of the failure domain as the node sees it, from which it
	// gets the tokens of workspaces.
	Keeper string
}

// MeshAddress returns the address (ip:port) for messages to the node.
func (n *Node) MeshAddress() string {
	return net.JoinHostPort(n.IP, strconv.Itoa(int(n.MeshPort)))
}

// GateAddress returns the address (ip:port) for calls to the node's target.
func (n *Node) GateAddress() string {
	return net.JoinHostPort(n.IP, strconv.Itoa(int(n.GatePort)))
}

// supersedes reports whether n replaces old, a record of the same node: by
// incarnation, then by sequence number.
func (n *Node) supersedes(old *Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Seq > old.Seq
}

// message is a datagram between nodes, encoded as a CBOR array.
type message struct {
	_ struct{} `cbor:",toarray"`
	// From names the sender.
	From string
	Kind kind
	// RequestID matches a grant to its token request.
	RequestID uint64
	// Nodes holds records of nodes in heartbeats and digests. The first message of each
	// round starts with the sender's own record.
	Nodes []Node
	// Round identifies the digests that the sender sent at once, of which this is number
	// Part (from 0) of Parts. Together they name every live node of the sender's domain.
	Round uint64
	Part  uint8
	Parts uint8
	// Relayed says that a keeper forwarded the digest within its own domain.
	Relayed  bool
	Request  *grant.Request
	Grant    *grant.Reply
	Evidence *evidence
	// Loads are nodes of a digest whose whole records the receiver has from an earlier one.
	Loads []load
	// About names a node in a request for the records of its domain.
	About string
}

// kind is the type of a message. The values are part of the wire format.
type kind uint8

const (
	// kindHeartbeat goes to the nodes of the same domain.
	kindHeartbeat kind = iota + 1
	// kindDigest goes to the keepers of other domains.
	kindDigest
	// kindRequest requests tokens, kindGrant is the response.
	kindRequest
	kindGrant
	// kindCrash carries evidence of crashes of targets.
	kindCrash
	// kindResend requests the whole records of the nodes of a domain, which a digest named
	// by load only, or those from which a node that starts can learn of all others.
	kindResend
	// kindCrashPull requests the evidence of crashes that the sender lacks.
	kindCrashPull
)

// Periods and timeouts of heartbeats, digests and failure detection.
const (
	// HeartbeatPeriod is the interval between heartbeats within a failure domain.
	HeartbeatPeriod = 300 * time.Millisecond
	// digestPeriod is the interval between digests to other domains; traffic between
	// domains is priced by the byte.
	digestPeriod = 1 * time.Second
	// minDigestGap is the minimum interval between a digest that reports an urgent
	// change and the digest before it.
	minDigestGap = 200 * time.Millisecond
	// suspectAfter is the silence after which a node of the same domain is suspect and
	// gets calls only if no other node can serve: two heartbeat periods and some delay.
	suspectAfter = 700 * time.Millisecond
	// isolatedAfter is the silence of all other nodes after which this node considers
	// itself isolated.
	isolatedAfter = 1 * time.Second
	// isolatedAfterAlone replaces isolatedAfter for a node that is alone in its domain.
	isolatedAfterAlone = 2500 * time.Millisecond
	// lostAfter is the silence after which a node of the same domain is marked lost:
	// four heartbeat periods.
	lostAfter = 1200 * time.Millisecond
	// remoteLostAfter is the silence after which a node of another domain is marked
	// lost: three digest periods and some delay.
	remoteLostAfter = 3200 * time.Millisecond
	// restartAfter is the silence after which a lower incarnation is accepted from the
	// node itself, whose clock may have been set back before a restart.
	restartAfter = 700 * time.Millisecond
	// removeAfter is how long a lost node is kept. Until it is removed, it is still sent
	// messages and counts in the size of its domain, by which the domain's tokens are
	// divided.
	removeAfter = 30 * time.Second
	// removeLeftAfter replaces removeAfter for a node that announced that it was leaving.
	removeLeftAfter = 4 * time.Second
	// probesPerDomain is the number of digests sent to random nodes of a domain in which
	// no node is known to be alive.
	probesPerDomain = 2
)
