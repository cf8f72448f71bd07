// Package gossip exchanges rosters, configuration versions and quarantined
// requests with peers, and detects failures in the manner of SWIM (Das, Gupta,
// Motivala, 2002): each node probes the peers of its own failure domain and
// suspects one that fails the direct and the indirect probes.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/mesh/roster"
)

// Methods of the peer protocol. MethodGossip takes a Message and returns one,
// MethodProbe takes a Probe and returns a bool, MethodConfiguration takes nothing
// and returns a state.State.
const (
	MethodGossip        = "gossip"
	MethodProbe         = "probe"
	MethodConfiguration = "configuration"
)

const (
	// Period is the length of a gossip round.
	Period = 500 * time.Millisecond
	// exchangeTimeout bounds the wait for the response to one message.
	exchangeTimeout = 700 * time.Millisecond
	// indirectProbes is the number of helpers that probe a node after its direct
	// probe has failed.
	indirectProbes = 2
	// rejoinRounds is the number of rounds between exchanges with nodes that are
	// down and with seeds.
	rejoinRounds = 4
	// fetchTimeout bounds a fetch of a peer's configuration.
	fetchTimeout = 3 * time.Second
)

// Message is the request and the response of an exchange between two nodes.
type Message struct {
	Roster roster.Message `json:"roster"`
	Stamp  event.Stamp    `json:"stamp"`
	// Version is the version of the sender's configuration, ContactMillis the time
	// in milliseconds since that configuration was last known to include the
	// platform's whole log.
	Version       uint64 `json:"version"`
	ContactMillis int64  `json:"contact-millis"`
	// Crash is the evidence against the quarantined requests that the sender knows of, at most
	// maxQuarantined. Each message repeats it for nodes that missed the
	// notifications of the crashes.
	Crash []crash.Crash `json:"crash,omitempty"`
}

// Probe asks a peer to probe a third node on the sender's behalf (ping-req in SWIM).
type Probe struct {
	Name string `json:"name"`
}

// Links sends requests to peers at an address (ip:port).
type Links interface {
	// Call sends a request and decodes the response into result.
	Call(ctx context.Context, address, method string, params, result any) error
	// Drop closes the connection to a peer, which fails its calls in flight.
	Drop(address string)
}

// Feed holds the node's configuration.
type Feed interface {
	// State returns the current configuration.
	State() state.State
	// Offer adopts a configuration that is newer than the current one.
	Offer(s state.State)
	// RecordContact records that a peer's configuration, which had the given version,
	// included the platform's whole log at an instant.
	RecordContact(version uint64, at timer.Instant)
	// ContactAge returns the time since the node's own configuration was last known to
	// include the whole log.
	ContactAge() time.Duration
}

// CrashTracker tracks the requests that crash targets.
type CrashTracker interface {
	// Quarantined returns the evidence against at most limit quarantined requests.
	Quarantined(limit int) []crash.Crash
	// Learn merges evidence received from the named peer and returns what of it was new.
	Learn(from string, crashes []crash.Crash) (news []crash.Crash)
}

// maxQuarantined bounds the quarantined requests of one message.
const maxQuarantined = 20

// Gossip runs the exchanges of one node. It is safe for concurrent use.
type Gossip struct {
	roster     *roster.Roster
	links      Links
	feed       Feed
	crashes    CrashTracker
	events     *event.Ring
	seeds      []string
	onReplaced func()
	// self is the node's own entry at the start; its name and domain never change.
	self roster.Entry
	// mu guards probeOrder and round.
	mu sync.Mutex
	// probeOrder lists the local peers that are still to be probed before the
	// list is shuffled anew.
	probeOrder []roster.Entry
	round      int
	// running counts the probes and exchanges in flight.
	running sync.WaitGroup
	// fetchMu admits one fetch of a configuration at a time.
	fetchMu sync.Mutex
}

// Option configures a Gossip.
type Option func(*Gossip)

// WithSeeds sets the addresses of nodes to join through; one of them, chosen at
// random, is contacted every rejoinRounds rounds.
func WithSeeds(seeds []string) Option {
	return func(g *Gossip) {
		g.seeds = seeds
	}
}

// WithOnReplaced registers a function that is called for each message which shows
// that a VM with a newer incarnation holds the node's slot.
func WithOnReplaced(f func()) Option {
	return func(g *Gossip) {
		g.onReplaced = f
	}
}

// New starts a gossip round every Period. It returns the Gossip and a function
// that stops the rounds and waits for the exchanges in flight.
func New(r *roster.Roster, links Links, feed Feed, crashes CrashTracker, events *event.Ring, timers *timer.Service, options ...Option) (*Gossip, func()) {
	g := &Gossip{
		roster:     r,
		links:      links,
		feed:       feed,
		crashes:    crashes,
		events:     events,
		onReplaced: func() {},
		self:       r.Self(),
	}
	for _, o := range options {
		o(g)
	}
	stop := timers.Every(Period, g.tick)
	return g, func() {
		stop()
		g.running.Wait()
	}
}

func (g *Gossip) message(now timer.Instant) Message {
	return Message{
		Roster:        g.roster.Message(now),
		Stamp:         g.events.Stamp(),
		Version:       g.feed.State().Version,
		ContactMillis: g.feed.ContactAge().Milliseconds(),
		Crash:         g.crashes.Quarantined(maxQuarantined),
	}
}

// Answer merges a peer's message and returns the response to it.
func (g *Gossip) Answer(m Message) Message {
	now := timer.Now()
	g.events.Observe(m.Stamp)
	g.crashes.Learn("peer", m.Crash)
	reply := g.message(now)
	reply.Roster = g.roster.Answer(now, m.Roster)
	g.checkReplaced(m.Roster)
	return reply
}

// checkReplaced calls onReplaced if the received entries show that a VM with a
// newer incarnation holds the node's slot.
func (g *Gossip) checkReplaced(m roster.Message) {
	entries := append(append([]roster.Entry{m.From}, m.Recent...), m.Full...)
	if g.roster.Superseded(entries) {
		g.onReplaced()
	}
}

// tick runs one gossip round: it probes the next local peer and exchanges messages
// with a random remote peer. Every rejoinRounds rounds it also exchanges messages
// with a random node that is down and with a random seed, so that a node that is
// reachable again rejoins.
func (g *Gossip) tick(now timer.Instant) {
	g.roster.Tick(now)
	g.mu.Lock()
	g.round++
	round := g.round
	peer, ok := g.nextLocalPeer()
	g.mu.Unlock()
	if ok {
		g.start(func() { g.probe(peer) })
	}
	if remotePeer, ok := g.roster.Random(g.remotePeer); ok {
		g.start(func() { _ = g.exchange(remotePeer.Peers) })
	}
	if round%rejoinRounds != 0 {
		return
	}
	if downPeer, ok := g.roster.Random(g.downPeer); ok {
		g.start(func() { _ = g.exchange(downPeer.Peers) })
	}
	if len(g.seeds) > 0 {
		seed := g.seeds[rand.IntN(len(g.seeds))]
		g.start(func() { _ = g.exchange(seed) })
	}
}

// start runs f in a goroutine for which the stop function of New waits.
func (g *Gossip) start(f func()) {
	g.running.Go(f)
}

// nextLocalPeer returns the local peer to probe next, and false if there is none. It
// iterates over a shuffled list of all local peers, which bounds the time until each
// is probed again, and shuffles a new list at the end. The caller holds g.mu.
func (g *Gossip) nextLocalPeer() (roster.Entry, bool) {
	if len(g.probeOrder) == 0 {
		g.probeOrder = g.roster.Filter(g.localPeer)
		rand.Shuffle(len(g.probeOrder), func(i, j int) {
			g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i]
		})
	}
	if len(g.probeOrder) == 0 {
		return roster.Entry{}, false
	}
	e := g.probeOrder[0]
	g.probeOrder = g.probeOrder[1:]
	return e, true
}

// localPeer reports whether e is a live peer in the local failure domain.
func (g *Gossip) localPeer(e roster.Entry) bool {
	return e.Name != g.self.Name && e.Domain == g.self.Domain && isLive(e)
}

// remotePeer reports whether e is a live peer in another failure domain.
func (g *Gossip) remotePeer(e roster.Entry) bool {
	return e.Domain != g.self.Domain && isLive(e)
}

// downPeer reports whether e is a peer that is down.
func (g *Gossip) downPeer(e roster.Entry) bool {
	return e.Health == roster.Down && e.Name != g.self.Name
}

// isLive reports whether a node is neither down nor has left; a suspected node
// is still probed.
func isLive(e roster.Entry) bool {
	return e.Health == roster.Alive || e.Health == roster.Suspect
}

// probe checks a local peer by an exchange, then through helpers, and marks it as
// suspected if all of these fail.
func (g *Gossip) probe(e roster.Entry) {
	if g.exchange(e.Peers) == nil || g.probeIndirectly(e) {
		return
	}
	g.roster.Suspect(timer.Now(), e.Name)
}

// probeIndirectly asks indirectProbes random local peers to probe a node and
// reports whether one of them reached it. One helper may be drawn more than once.
func (g *Gossip) probeIndirectly(e roster.Entry) bool {
	results := make(chan bool, indirectProbes)
	for range indirectProbes {
		helper, ok := g.roster.Random(func(h roster.Entry) bool {
			return g.localPeer(h) && h.Name != e.Name
		})
		if !ok {
			results <- false
			continue
		}
		g.start(func() {
			// The helper's own exchange with the node may take exchangeTimeout.
			ctx, cancel := context.WithTimeout(context.Background(), 2*exchangeTimeout)
			defer cancel()
			var reached bool
			err := g.links.Call(ctx, helper.Peers, MethodProbe, Probe{
				Name: e.Name,
			}, &reached)
			results <- err == nil && reached
		})
	}
	for range indirectProbes {
		if <-results {
			return true
		}
	}
	return false
}

// Probe exchanges messages with a node on behalf of a peer and reports whether the
// node responded. It returns false for a node that is not in the roster.
func (g *Gossip) Probe(p Probe) bool {
	e, ok := g.roster.Get(p.Name)
	return ok && g.exchange(e.Peers) == nil
}

// exchange sends the node's message to the peer at an address and merges the
// response. If the peer has a newer configuration, exchange fetches it; if the
// rosters differ, it reconciles them. After a timeout it closes the connection to
// the peer, so that other calls in flight fail at once.
func (g *Gossip) exchange(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	sentAt := timer.Now()
	var reply Message
	if err := g.links.Call(ctx, address, MethodGossip, g.message(sentAt), &reply); err != nil {
		if ctx.Err() != nil {
			g.links.Drop(address)
		}
		return err
	}
	now := timer.Now()
	g.events.Observe(reply.Stamp)
	g.crashes.Learn(address, reply.Crash)
	next, more := g.roster.MergeReply(now, reply.Roster)
	g.checkReplaced(reply.Roster)
	g.feed.RecordContact(reply.Version, sentAt.Add(-time.Duration(reply.ContactMillis)*time.Millisecond))
	if reply.Version > g.feed.State().Version {
		g.Fetch(address)
	}
	if more {
		g.reconcile(address, next)
	}
	return nil
}

// reconcile sends the entries of the failure domains whose digests differ and
// merges the response. It is the second step of an exchange between rosters that
// differ.
func (g *Gossip) reconcile(address string, next roster.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	m := g.message(timer.Now())
	m.Roster = next
	var reply Message
	if g.links.Call(ctx, address, MethodGossip, m, &reply) == nil {
		g.roster.MergeReply(timer.Now(), reply.Roster)
		g.checkReplaced(reply.Roster)
	}
}

// Fetch gets the whole configuration of the peer at an address and adopts it if
// it is newer. Concurrent calls run one after the other; a failed call changes
// nothing.
func (g *Gossip) Fetch(address string) {
	g.fetchMu.Lock()
	defer g.fetchMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var s state.State
	if g.links.Call(ctx, address, MethodConfiguration, struct{}{}, &s) == nil {
		g.feed.Offer(s)
	}
}

// ExchangeWithDomain exchanges messages with all local peers concurrently and returns
// when all exchanges have ended. A node that drains or leaves uses it to publish its
// changed entry without waiting for the next rounds.
func (g *Gossip) ExchangeWithDomain() {
	peers := g.roster.Filter(g.localPeer)
	var wg sync.WaitGroup
	for _, e := range peers {
		wg.Go(func() {
			_ = g.exchange(e.Peers)
		})
	}
	wg.Wait()
}
