package peers

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"reflect"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/quota/grant"
)

// Sender sends a datagram to an address (ip:port). It must not block.
type Sender func(address string, data []byte) error

// Change is a change in the state of another node, or in the isolation of this node.
type Change struct {
	Node Node
	// Event is "found", "lost" or "leaving" for another node, and "cut-off" or
	// "back-in-touch" for this one.
	Event string
	// Silence is the time since the last message: that of the node if it was lost by
	// timeout, that of any node if the isolation changed. Otherwise it is 0.
	Silence time.Duration
}

// Peers tracks the other nodes and exchanges messages with them. It is safe for
// concurrent use.
type Peers struct {
	send          Sender
	onChange      func(Change)
	grant         func(context.Context, grant.Request) grant.Reply
	crashes       Crashes
	onNewerConfig func(from Node)
	onNewerEpoch  func(from Node)

	// mu guards the fields below, except for the atomic ones and self.Name, which never
	// changes.
	mu     sync.Mutex
	self   Node
	others map[string]*peer
	// lastDigest is when the last digest was sent.
	lastDigest timer.Instant
	// urgent says that the next digest reports an urgent change, so that it is due
	// minDigestGap after the last one and not digestPeriod after it.
	urgent        bool
	lastHeartbeat timer.Instant
	// lastReceived is when the last heartbeat or digest of any node was received.
	lastReceived timer.Instant
	isolated     atomic.Bool
	// digested is what this node's digests have told of the nodes of its domain, by name.
	digested map[string]*digested
	// resendAt is when the records of the domain of a sender were last requested.
	resendAt map[string]timer.Instant
	// pulledAt is when evidence of crashes was last requested from a node of a failure domain.
	pulledAt map[string]timer.Instant
	// names holds the names of the other nodes by ID.
	names map[nodeID]string
	// rounds holds the digests of the latest round of each sender.
	rounds map[string]*digestRound
	// pending holds the channels for the responses to pending token requests, by ID.
	pending       map[uint64]chan grant.Reply
	lastRequestID uint64
	view          atomic.Pointer[View]
	sent          sentBytes
	// stale says that the state has changed since the snapshot in view was taken.
	stale atomic.Bool
	// firstTick is when Tick was first called. learned says that the records of the
	// platform's store were read since, or that aloneAfter has passed.
	firstTick timer.Instant
	learned   atomic.Bool
	// listed says that the records of the store were read, acquaintedAt when another node was last
	// asked for the nodes that it knows.
	listed       bool
	acquaintedAt timer.Instant
}

// peer is another node and the state of its failure detection.
type peer struct {
	node      Node
	lastHeard timer.Instant
	alive     bool
	// source names the sender of the message that last confirmed the node as alive.
	source string
	// suspect says that heartbeats are overdue.
	suspect bool
}

// Option configures Peers.
type Option func(*Peers)

// WithOnChange registers a function that is called with each change, on a goroutine
// of its own.
func WithOnChange(f func(Change)) Option {
	return func(p *Peers) {
		p.onChange = f
	}
}

// WithTokenGranter registers the function that handles token requests of other nodes.
// Its context has a deadline.
func WithTokenGranter(f func(context.Context, grant.Request) grant.Reply) Option {
	return func(p *Peers) {
		p.grant = f
	}
}

// WithCrashes sets what holds the evidence of crashes of targets. Without it the node exchanges
// none.
func WithCrashes(c Crashes) Option {
	return func(p *Peers) {
		p.crashes = c
	}
}

// WithOnNewerConfig registers a function that is called, on a goroutine of its own,
// with a node that has a newer configuration in force.
func WithOnNewerConfig(f func(from Node)) Option {
	return func(p *Peers) {
		p.onNewerConfig = f
	}
}

// WithOnNewerEpoch registers a function that is called, on a goroutine of its own, with a
// node that has observed a newer epoch of the platform's store.
func WithOnNewerEpoch(f func(from Node)) Option {
	return func(p *Peers) {
		p.onNewerEpoch = f
	}
}

// New returns the Peers of a node that knows no other nodes yet.
func New(self Node, send Sender, options ...Option) *Peers {
	p := &Peers{
		send:          send,
		onChange:      func(Change) {},
		grant:         func(context.Context, grant.Request) grant.Reply { return grant.Reply{} },
		crashes:       noCrashes{},
		onNewerConfig: func(Node) {},
		onNewerEpoch:  func(Node) {},
		self:          self,
		others:        map[string]*peer{},
		digested:      map[string]*digested{},
		resendAt:      map[string]timer.Instant{},
		pulledAt:      map[string]timer.Instant{},
		names:         map[nodeID]string{},
		rounds:        map[string]*digestRound{},
		pending:       map[uint64]chan grant.Reply{},
	}
	for _, o := range options {
		o(p)
	}
	p.publish()
	p.takeSnapshot()
	return p
}

// Self returns the node's own record.
func (p *Peers) Self() Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// Update applies f to the node's own record and increases its sequence number if the
// record changed. An urgent change is sent at once in a heartbeat. The keeper and a
// leaving node also send it in a digest, at least minDigestGap after the last one.
func (p *Peers) Update(now timer.Instant, urgent bool, f func(n *Node)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.self
	f(&p.self)
	if reflect.DeepEqual(p.self, before) {
		return
	}
	p.self.Seq++
	p.publish()
	if urgent {
		p.urgent = true
		p.sendHeartbeat(now)
		p.sendDigestIfDue(now)
	}
}

// Learn adds unknown nodes from records of the platform's store. Such records are no
// evidence that a node is alive, so the nodes are not marked alive. Learn sends each
// node a heartbeat, from which the node learns of this one; when it is called again, only
// to those that are not alive.
func (p *Peers) Learn(now timer.Instant, nodes []Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heartbeat := p.encodeSelf()
	for _, n := range nodes {
		if n.Name == p.self.Name {
			continue
		}
		known, ok := p.others[n.Name]
		if ok && known.alive && p.learned.Load() {
			continue
		}
		if !ok {
			p.others[n.Name] = &peer{
				node:      n,
				lastHeard: now,
			}
			p.names[n.id()] = n.Name
		}
		_ = p.transmit(&n, kindHeartbeat, heartbeat)
	}
	p.learned.Store(true)
	p.listed = true
	p.publish()
}

// Tick detects failed nodes and sends the heartbeats and digests that are due. It
// must be called several times per heartbeat period.
func (p *Peers) Tick(now timer.Instant) {
	p.mu.Lock()
	if p.firstTick == 0 {
		p.firstTick = now
	}
	if now.Sub(p.firstTick) >= aloneAfter {
		p.learned.Store(true)
	}
	p.detectFailures(now)
	p.updateKeeper()
	if now.Sub(p.lastHeartbeat) >= HeartbeatPeriod {
		p.sendHeartbeat(now)
	}
	p.sendDigestIfDue(now)
	p.mu.Unlock()
}

// detectFailures marks silent nodes suspect and then lost, and removes nodes that
// have been lost for long; p.mu must be held.
func (p *Peers) detectFailures(now timer.Instant) {
	changed := false
	for name, o := range p.others {
		silence := now.Sub(o.lastHeard)
		if suspect := o.alive && o.node.Domain == p.self.Domain && silence > suspectAfter; suspect != o.suspect {
			o.suspect = suspect
			changed = true
		}
		if o.alive && silence > p.lostTimeout(&o.node) {
			o.alive = false
			changed = true
			p.urgent = true
			p.notify(o.node, "lost", silence)
		}
		if limit := removalTimeout(o); !o.alive && silence > limit {
			p.remove(name)
			changed = true
		}
	}
	if changed {
		p.publish()
	}
	p.updateIsolation(now)
}

// remove forgets a node; p.mu must be held.
func (p *Peers) remove(name string) {
	delete(p.names, p.others[name].node.id())
	delete(p.others, name)
	delete(p.rounds, name)
	delete(p.digested, name)
	delete(p.resendAt, name)
}

// updateIsolation determines whether this node has stopped receiving heartbeats and
// digests from all other nodes; p.mu must be held.
func (p *Peers) updateIsolation(now timer.Instant) {
	limit := isolatedAfterAlone
	for _, o := range p.others {
		if o.node.Domain == p.self.Domain && !o.node.Leaving {
			limit = isolatedAfter
		}
	}
	silence := now.Sub(p.lastReceived)
	isolated := p.lastReceived > 0 && len(p.others) > 0 && silence > limit
	if isolated == p.isolated.Load() {
		return
	}
	p.isolated.Store(isolated)
	event := "back-in-touch"
	if isolated {
		event = "cut-off"
	}
	p.notify(p.self, event, silence)
}

// Isolated reports whether this node knows other nodes but has received no heartbeat
// or digest for a while. It can then serve only requests that its own target handles
// without other services.
func (p *Peers) Isolated() bool {
	return p.isolated.Load()
}

// removalTimeout returns the silence after which a node that is not alive is removed.
func removalTimeout(o *peer) time.Duration {
	if o.node.Leaving {
		return removeLeftAfter
	}
	return removeAfter
}

// lostTimeout returns the silence after which a node is marked lost.
func (p *Peers) lostTimeout(n *Node) time.Duration {
	if n.Domain == p.self.Domain {
		return lostAfter
	}
	return remoteLostAfter
}

// notify reports a change on a goroutine of its own, so that the registered function
// may block and may call p.
func (p *Peers) notify(n Node, event string, silence time.Duration) {
	c := Change{
		Node:    n,
		Event:   event,
		Silence: silence,
	}
	go p.onChange(c)
}

// updateKeeper updates the keeper in the node's own record; p.mu must be held.
func (p *Peers) updateKeeper() {
	keeper := p.keeper()
	if keeper != p.self.Keeper {
		p.self.Keeper = keeper
		p.self.Seq++
		p.publish()
	}
}

// sendHeartbeat sends the node's own record to all nodes of its domain, with the
// record of one other live node of the domain, so that a node known to some becomes
// known to all; p.mu must be held.
func (p *Peers) sendHeartbeat(now timer.Instant) {
	p.lastHeartbeat = now
	nodes := []Node{p.self}
	if !p.self.Leaving {
		for _, o := range p.others {
			if o.alive && o.node.Domain == p.self.Domain {
				nodes = append(nodes, o.node)
				break
			}
		}
	}
	p.sendNodes(now, kindHeartbeat, nodes, nil, func(o *peer) bool { return o.node.Domain == p.self.Domain })
}

const (
	// maxNodes is the maximum number of records in a datagram: more would not fit into the
	// usual MTU of a link.
	maxNodes = 8
	// maxLoads is the same for loads, which are far smaller.
	maxLoads = 16
)

// sendNodes sends the records and loads of nodes, split into datagrams of at most maxNodes
// and maxLoads each, to the known nodes for which isRecipient returns true; p.mu must be held. The first
// datagram also carries the checksum of the evidence of crashes.
func (p *Peers) sendNodes(now timer.Instant, msgKind kind, nodes []Node, loads []load, isRecipient func(*peer) bool) {
	parts := max((len(nodes)+maxNodes-1)/maxNodes, (len(loads)+maxLoads-1)/maxLoads, 1)
	var datagrams [][]byte
	for part := range parts {
		m := message{
			From:  p.self.Name,
			Kind:  msgKind,
			Nodes: page(nodes, part, maxNodes),
			Loads: page(loads, part, maxLoads),
			Round: uint64(now),
			Part:  uint8(part),
			Parts: uint8(min(parts, math.MaxUint8)),
		}
		if part == 0 {
			m.Evidence = p.evidenceSum()
		}
		datagrams = append(datagrams, encode(m))
	}
	for _, o := range p.others {
		if !isRecipient(o) {
			continue
		}
		for _, datagram := range datagrams {
			_ = p.transmit(&o.node, msgKind, datagram)
		}
	}
}

// page returns the elements of one datagram out of those of several.
func page[T any](all []T, part, size int) []T {
	return all[min(part*size, len(all)):min((part+1)*size, len(all))]
}

// encodeSelf encodes a heartbeat with the node's own record; p.mu must be held.
func (p *Peers) encodeSelf() []byte {
	return encode(message{
		From:     p.self.Name,
		Kind:     kindHeartbeat,
		Nodes:    []Node{p.self},
		Evidence: p.evidenceSum(),
	})
}

// encode encodes a message. It panics on an error, which can't occur with the types
// of a message.
func encode(m message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("peers: encode: " + err.Error())
	}
	return data
}

// sendDigestIfDue sends the live nodes of the local domain to the other domains if this
// node is the keeper, or is leaving, and a digest is due; p.mu must be held.
func (p *Peers) sendDigestIfDue(now timer.Instant) {
	since := now.Sub(p.lastDigest)
	due := since >= digestPeriod || p.urgent && since >= minDigestGap
	if !due || !(p.isKeeper() || p.self.Leaving && p.urgent) {
		return
	}
	p.lastDigest = now
	p.urgent = false
	nodes := []Node{p.self}
	for _, o := range p.others {
		if o.alive && o.node.Domain == p.self.Domain {
			nodes = append(nodes, o.node)
		}
	}
	recipients := p.digestRecipients()
	full, loads := p.split(now, nodes)
	p.sendNodes(now, kindDigest, full, loads, func(o *peer) bool { return recipients[o.node.Name] })
}

// digestRecipients returns the names of the keepers of the other domains, and of up to
// probesPerDomain random nodes of each domain without live nodes; p.mu must be held.
func (p *Peers) digestRecipients() map[string]bool {
	alive := map[string][]string{}
	silent := map[string][]string{}
	for name, o := range p.others {
		switch {
		case o.node.Domain == p.self.Domain || o.node.Leaving:
		case o.alive:
			alive[o.node.Domain] = append(alive[o.node.Domain], name)
		default:
			silent[o.node.Domain] = append(silent[o.node.Domain], name)
		}
	}
	recipients := map[string]bool{}
	for domain, names := range alive {
		recipients[rank.Best(domain, names)] = true
	}
	for domain, names := range silent {
		if len(alive[domain]) > 0 {
			continue
		}
		for range probesPerDomain {
			recipients[names[rand.IntN(len(names))]] = true
		}
	}
	return recipients
}

// isKeeper reports whether this node is the keeper of the local domain, which a
// leaving node never is; p.mu must be held.
func (p *Peers) isKeeper() bool {
	return !p.self.Leaving && p.keeper() == p.self.Name
}

// keeper returns the name of the keeper of the local domain, chosen by rendezvous
// hashing among its live nodes that are not leaving, or this node's name if there are
// none; p.mu must be held, or p not yet shared.
func (p *Peers) keeper() string {
	names := []string{}
	if !p.self.Leaving {
		names = append(names, p.self.Name)
	}
	for name, o := range p.others {
		if o.alive && !o.node.Leaving && o.node.Domain == p.self.Domain {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return p.self.Name
	}
	return rank.Best(p.self.Domain, names)
}

// errNoResponse is returned for a token request to an unknown node, and for one without
// a response in time.
var errNoResponse = errors.New("peer is unknown or did not respond")

// Request sends a token request to a node and returns the grant. It fails if the node is
// unknown, the request could not be sent, or ctx ends first. Requests are not resent.
func (p *Peers) Request(ctx context.Context, node string, r grant.Request) (grant.Reply, error) {
	p.mu.Lock()
	o, ok := p.others[node]
	if !ok {
		p.mu.Unlock()
		return grant.Reply{}, errNoResponse
	}
	p.lastRequestID++
	id := p.lastRequestID
	response := make(chan grant.Reply, 1)
	p.pending[id] = response
	to := o.node
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pending, id)
	}()
	err := p.transmit(&to, kindRequest, encode(message{
		From:      p.self.Name,
		Kind:      kindRequest,
		RequestID: id,
		Request:   &r,
	}))
	if err != nil {
		return grant.Reply{}, err
	}
	select {
	case g := <-response:
		return g, nil
	case <-ctx.Done():
		return grant.Reply{}, errors.Join(errNoResponse, ctx.Err())
	}
}

// sortedNames returns the sorted names of nodes.
func sortedNames(nodes []Node) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	sort.Strings(out)
	return out
}
