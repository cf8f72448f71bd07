package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/quota/pool"
)

// Sender sends a datagram; it must not block.
type Sender func(address string, data []byte) error

// Change is a change of what the node believes of another.
type Change struct {
	Node  Node
	Event string
	// Silence is how long nothing was heard, for a node that is lost.
	Silence time.Duration
}

// Peers is safe for concurrent use.
type Peers struct {
	send    Sender
	changed func(Change)
	lend    func(context.Context, pool.Ask) pool.Grant
	learn   func([]crash.Entry)
	docket  func() []crash.Entry
	newer   func(from Node)

	mu       sync.Mutex
	self     Node
	others   map[string]*known
	digestAt timer.Instant
	urgent   bool
	beatAt   timer.Instant
	heardAny timer.Instant
	isolated atomic.Bool
	calls    map[uint64]chan pool.Grant
	lastCall uint64
	view     atomic.Pointer[View]
}

// known is a node with what is known of its being alive.
type known struct {
	node  Node
	heard timer.Instant
	alive bool
	// via names the node that vouched for it last.
	via string
	// suspect says that beats are overdue.
	suspect bool
}

// Option configures Peers.
type Option func(*Peers)

// WithChanged registers a function that is told of changes.
func WithChanged(f func(Change)) Option {
	return func(p *Peers) {
		p.changed = f
	}
}

// WithLender registers what answers asks for tokens.
func WithLender(f func(context.Context, pool.Ask) pool.Grant) Option {
	return func(p *Peers) {
		p.lend = f
	}
}

// WithDocket registers where news of crashing requests come from and go to.
func WithDocket(entries func() []crash.Entry, learn func([]crash.Entry)) Option {
	return func(p *Peers) {
		p.docket = entries
		p.learn = learn
	}
}

// WithNewer registers a function that is told of a node with a newer configuration.
func WithNewer(f func(from Node)) Option {
	return func(p *Peers) {
		p.newer = f
	}
}

// New returns the view of a node that knows nobody yet.
func New(self Node, send Sender, options ...Option) *Peers {
	p := &Peers{
		send:    send,
		changed: func(Change) {},
		lend:    func(context.Context, pool.Ask) pool.Grant { return pool.Grant{} },
		learn:   func([]crash.Entry) {},
		docket:  func() []crash.Entry { return nil },
		newer:   func(Node) {},
		self:    self,
		others:  map[string]*known{},
		calls:   map[uint64]chan pool.Grant{},
	}
	for _, o := range options {
		o(p)
	}
	p.publish()
	return p
}

// Self returns what the node says of itself.
func (p *Peers) Self() Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

// Update changes what the node says of itself; urgent news go out at once.
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
		p.beat(now)
		p.maybeDigest(now)
	}
}

// Learn takes records that the store keeps; they say nothing of who is alive.
// The nodes are told of this one.
func (p *Peers) Learn(now timer.Instant, nodes []Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hello := p.encode(kindBeat, []Node{p.self}, nil)
	for _, n := range nodes {
		if n.Name == p.self.Name {
			continue
		}
		if _, ok := p.others[n.Name]; !ok {
			p.others[n.Name] = &known{
				node:  n,
				heard: now,
			}
		}
		_ = p.send(n.MeshAddress(), hello)
	}
}

// Tick sends what is due and finds who has gone silent.
func (p *Peers) Tick(now timer.Instant) {
	p.mu.Lock()
	p.sweep(now)
	p.setKeeper()
	if now.Sub(p.beatAt) >= BeatPeriod {
		p.beat(now)
	}
	p.maybeDigest(now)
	p.mu.Unlock()
}

// sweep must be called with p.mu held.
func (p *Peers) sweep(now timer.Instant) {
	dirty := false
	for name, k := range p.others {
		silence := now.Sub(k.heard)
		if suspect := k.alive && k.node.Domain == p.self.Domain && silence > suspectAfter; suspect != k.suspect {
			k.suspect = suspect
			dirty = true
		}
		if k.alive && silence > p.patience(&k.node) {
			k.alive = false
			dirty = true
			p.urgent = true
			p.note(k.node, "lost", silence)
		}
		if limit := forgetTime(k); !k.alive && silence > limit {
			delete(p.others, name)
			dirty = true
		}
	}
	if dirty {
		p.publish()
	}
	p.judgeIsolation(now)
}

// judgeIsolation finds whether this node hears nobody any more; p.mu must be held.
func (p *Peers) judgeIsolation(now timer.Instant) {
	limit := isolatedAlone
	for _, k := range p.others {
		if k.node.Domain == p.self.Domain && !k.node.Leaving {
			limit = isolatedAfter
		}
	}
	silence := now.Sub(p.heardAny)
	isolated := p.heardAny > 0 && len(p.others) > 0 && silence > limit
	if isolated == p.isolated.Load() {
		return
	}
	p.isolated.Store(isolated)
	event := "back-in-touch"
	if isolated {
		event = "cut-off"
	}
	p.note(p.self, event, silence)
}

// Isolated reports whether this node has heard nobody for a while, though it
// knows others: it can serve only what its own target can do alone.
func (p *Peers) Isolated() bool {
	return p.isolated.Load()
}

func forgetTime(k *known) time.Duration {
	if k.node.Leaving {
		return forgetLeft
	}
	return forgetAfter
}

func (p *Peers) patience(n *Node) time.Duration {
	if n.Domain == p.self.Domain {
		return lostAfter
	}
	return foreignLostAfter
}

// note tells of a change without holding up the caller.
func (p *Peers) note(n Node, event string, silence time.Duration) {
	c := Change{
		Node:    n,
		Event:   event,
		Silence: silence,
	}
	go p.changed(c)
}

// setKeeper must be called with p.mu held.
func (p *Peers) setKeeper() {
	keeper := p.keeper()
	if keeper != p.self.Keeper {
		p.self.Keeper = keeper
		p.self.Seq++
		p.publish()
	}
}

// beat tells the own domain of this node, and of one more of its nodes, so that
// one known to some gets known to all. p.mu must be held.
func (p *Peers) beat(now timer.Instant) {
	p.beatAt = now
	nodes := []Node{p.self}
	if !p.self.Leaving {
		for _, k := range p.others {
			if k.alive && k.node.Domain == p.self.Domain {
				nodes = append(nodes, k.node)
				break
			}
		}
	}
	p.emit(kindBeat, nodes, func(k *known) bool { return k.node.Domain == p.self.Domain })
}

// maxNodes bounds the nodes in a datagram, which then fits a link's usual frame.
const maxNodes = 12

// emit sends nodes, in parts, to the known nodes that the filter lets through;
// p.mu must be held.
func (p *Peers) emit(k kind, nodes []Node, to func(*known) bool) {
	var parts [][]byte
	docket := p.docket()
	whole := len(nodes) <= maxNodes
	for first := true; first || len(nodes) > 0; first = false {
		n := min(len(nodes), maxNodes)
		parts = append(parts, p.encodePart(k, nodes[:n], docket, whole))
		nodes = nodes[n:]
		docket = nil
	}
	for _, o := range p.others {
		if !to(o) {
			continue
		}
		for _, part := range parts {
			_ = p.send(o.node.MeshAddress(), part)
		}
	}
}

func (p *Peers) encode(k kind, nodes []Node, docket []crash.Entry) []byte {
	return p.encodePart(k, nodes, docket, false)
}

func (p *Peers) encodePart(k kind, nodes []Node, docket []crash.Entry, whole bool) []byte {
	return encode(message{
		From:   p.self.Name,
		Kind:   k,
		Nodes:  nodes,
		Whole:  whole,
		Docket: docket,
	})
}

// encode can't fail on messages of this package's own types.
func encode(m message) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("peers: encode: " + err.Error())
	}
	return data
}

// maybeDigest tells the other domains of this one; p.mu must be held.
func (p *Peers) maybeDigest(now timer.Instant) {
	since := now.Sub(p.digestAt)
	due := since >= digestPeriod || p.urgent && since >= minDigestGap
	if !due || !(p.isDelegate() || p.self.Leaving && p.urgent) {
		return
	}
	p.digestAt = now
	p.urgent = false
	nodes := []Node{p.self}
	for _, k := range p.others {
		if k.alive && k.node.Domain == p.self.Domain {
			nodes = append(nodes, k.node)
		}
	}
	to := p.digestTargets()
	p.emit(kindDigest, nodes, func(k *known) bool { return to[k.node.Name] })
}

// digestTargets picks the delegate of each other domain, or a few nodes of a
// domain that is silent; p.mu must be held.
func (p *Peers) digestTargets() map[string]bool {
	alive := map[string][]string{}
	silent := map[string][]string{}
	for name, k := range p.others {
		switch {
		case k.node.Domain == p.self.Domain || k.node.Leaving:
		case k.alive:
			alive[k.node.Domain] = append(alive[k.node.Domain], name)
		default:
			silent[k.node.Domain] = append(silent[k.node.Domain], name)
		}
	}
	to := map[string]bool{}
	for domain, names := range alive {
		to[rank.Best(domain, names)] = true
	}
	for domain, names := range silent {
		if len(alive[domain]) > 0 {
			continue
		}
		for range probes {
			to[names[rand.IntN(len(names))]] = true
		}
	}
	return to
}

// isDelegate must be called with p.mu held.
func (p *Peers) isDelegate() bool {
	return !p.self.Leaving && p.keeper() == p.self.Name
}

// keeper names the node that speaks for the domain and keeps its tokens; p.mu
// must be held.
func (p *Peers) keeper() string {
	names := []string{}
	if !p.self.Leaving {
		names = append(names, p.self.Name)
	}
	for name, k := range p.others {
		if k.alive && !k.node.Leaving && k.node.Domain == p.self.Domain {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return p.self.Name
	}
	return rank.Best(p.self.Domain, names)
}

var errSilent = errors.New("peer did not answer")

// Ask asks a node for tokens.
func (p *Peers) Ask(ctx context.Context, node string, a pool.Ask) (pool.Grant, error) {
	p.mu.Lock()
	k, ok := p.others[node]
	if !ok {
		p.mu.Unlock()
		return pool.Grant{}, errSilent
	}
	p.lastCall++
	id := p.lastCall
	answer := make(chan pool.Grant, 1)
	p.calls[id] = answer
	address := k.node.MeshAddress()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls, id)
	}()
	err := p.send(address, encode(message{
		From: p.self.Name,
		Kind: kindAsk,
		Call: id,
		Ask:  &a,
	}))
	if err != nil {
		return pool.Grant{}, err
	}
	select {
	case g := <-answer:
		return g, nil
	case <-ctx.Done():
		return pool.Grant{}, errors.Join(errSilent, ctx.Err())
	}
}

// Spread tells the own domain and the delegates of news at once; the others
// learn them from the next beats.
func (p *Peers) Spread(entries []crash.Entry) {
	if len(entries) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	data := p.encode(kindNews, nil, entries)
	to := p.digestTargets()
	for name, k := range p.others {
		if to[name] || k.node.Domain == p.self.Domain {
			_ = p.send(k.node.MeshAddress(), data)
		}
	}
}

// sortedNames returns the names of live nodes in order.
func sortedNames(nodes []Node) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	sort.Strings(out)
	return out
}
