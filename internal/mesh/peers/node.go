// Package peers keeps what a node knows of the others. In a failure domain every
// node tells every other of itself; between domains one delegate of each tells
// the delegates of the others of all its nodes. The package does no I/O of its
// own and takes time as an argument.
package peers

import (
	"net"
	"strconv"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/quota/pool"
)

// Node is what a node says of itself and of the target on its VM.
type Node struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Domain string
	Region string
	// IP is where the node's ports are.
	IP string
	// MeshPort receives datagrams, GatePort calls.
	MeshPort uint16
	GatePort uint16
	// Boot is when the process started, in Unix nanoseconds of its own clock.
	Boot int64
	// Seq grows with each change of the record.
	Seq     uint64
	Leaving bool
	// TargetID is empty until the target has announced itself.
	TargetID string
	Service  string
	Slots    uint16
	// Open says that the node takes calls for its target.
	Open bool
	// WaitMillis is how long calls wait for the target.
	WaitMillis uint16
	// ServiceMillis is the mean time that the target takes for a request.
	ServiceMillis uint16
	// CallersMillis is the same for callers' own requests alone.
	CallersMillis uint16
	// CallersFailPercent is the recent part of callers' own requests that failed there.
	CallersFailPercent uint8
	// FailPercent is the recent part of requests that the target failed.
	FailPercent uint8
	// Calls are the calls that one run of the target makes.
	Calls []graph.Edge
	// Rules is the version of the configuration in force on the node.
	Rules int64
	// Store says that the node reached the platform's store lately.
	Store bool
	// Keeper names the node that keeps its workspaces' tokens.
	Keeper string
}

// MeshAddress returns where datagrams for the node go.
func (n *Node) MeshAddress() string {
	return net.JoinHostPort(n.IP, strconv.Itoa(int(n.MeshPort)))
}

// GateAddress returns where calls for the node's target go.
func (n *Node) GateAddress() string {
	return net.JoinHostPort(n.IP, strconv.Itoa(int(n.GatePort)))
}

// newer reports whether n says more recent things than old of the same node.
func (n *Node) newer(old *Node) bool {
	if n.Boot != old.Boot {
		return n.Boot > old.Boot
	}
	return n.Seq > old.Seq
}

// message is a datagram between nodes.
type message struct {
	_ struct{} `cbor:",toarray"`
	// From names the sender.
	From string
	Kind kind
	// Call pairs an ask with its grant.
	Call uint64
	// Nodes has the sender first, in beats and digests.
	Nodes []Node
	// Whole says that a digest names every live node of the sender's domain.
	Whole bool
	// Relayed says that a delegate handed a digest on within its own domain.
	Relayed bool
	Ask     *pool.Ask
	Grant   *pool.Grant
	Docket  []crash.Entry
}

type kind uint8

const (
	// kindBeat goes to nodes of the own domain.
	kindBeat kind = iota + 1
	// kindDigest goes to the delegates of other domains.
	kindDigest
	kindAsk
	kindGrant
	// kindNews carries docket entries as they arise.
	kindNews
)

// Timing of the exchange.
const (
	// BeatPeriod is the time between beats in a domain.
	BeatPeriod = 300 * time.Millisecond
	// digestPeriod is the time between digests of domains; bytes between domains
	// are priced.
	digestPeriod = 1 * time.Second
	// minDigestGap bounds how often changes are told to other domains.
	minDigestGap = 200 * time.Millisecond
	// suspectAfter is the silence after which a node of the own domain is asked only
	// if no other can serve: two beats and some delay.
	suspectAfter = 700 * time.Millisecond
	// isolatedAfter is the silence of all other nodes after which this one takes
	// itself for cut off.
	isolatedAfter = 1 * time.Second
	// isolatedAlone is the same for a node that is alone in its domain.
	isolatedAlone = 2500 * time.Millisecond
	// lostAfter is the silence after which a node of the own domain counts as
	// lost: four beats.
	lostAfter = 1200 * time.Millisecond
	// foreignLostAfter is the silence after which a node of another domain counts
	// as lost: three digests.
	foreignLostAfter = 3200 * time.Millisecond
	// rebootAfter is the silence after which a lower boot time is believed of a
	// node itself, whose clock may have been set back.
	rebootAfter = 700 * time.Millisecond
	// forgetAfter is how long a lost node is still told news and counts as owner
	// of its part of the workspaces' tokens.
	forgetAfter = 30 * time.Second
	// forgetLeft is the same for a node that said it was leaving.
	forgetLeft = 4 * time.Second
	// probes is how many nodes of a silent domain are told news.
	probes = 2
)
