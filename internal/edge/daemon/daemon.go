// Package daemon assembles the components of a node and runs them under one
// supervisor.
package daemon

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/super"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/feed"
	"fuchsiapier/internal/conf/local"
	"fuchsiapier/internal/conf/plog"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/front"
	"fuchsiapier/internal/edge/once"
	"fuchsiapier/internal/edge/runner"
	"fuchsiapier/internal/edge/send"
	"fuchsiapier/internal/mesh/gossip"
	"fuchsiapier/internal/mesh/link"
	"fuchsiapier/internal/mesh/rank"
	"fuchsiapier/internal/mesh/roster"
	"fuchsiapier/internal/ops/admin"
	"fuchsiapier/internal/ops/meter"
	"fuchsiapier/internal/quota/tokens"
)

const (
	// eventCapacity is how many events a node keeps.
	eventCapacity = 4096
	// indexPeriod is how often a changed roster is indexed and passed to the sender.
	indexPeriod = 100 * time.Millisecond
	// readersPerDomain is how many nodes of a failure domain read the platform's log.
	readersPerDomain = 2
	// sharesPeriod is how often the usable shares of the budgets are computed.
	sharesPeriod = 500 * time.Millisecond
	// drainPoll is how often a leaving node checks whether callers' requests have
	// ended.
	drainPoll = 10 * time.Millisecond
	// leaveDelay is the time for peers to learn that a node is leaving, before it
	// refuses requests.
	leaveDelay = 300 * time.Millisecond
)

// Daemon is a running node.
type Daemon struct {
	settings local.Settings
	log      zerolog.Logger
	tree     *super.Tree
	timers   *timer.Service
	events   *event.Ring
	meter    *meter.Meter
	roster   *roster.Roster
	links    *link.Links
	feed     *feed.Feed
	gossip   *gossip.Gossip
	tokens   *tokens.Limiter
	once     *once.Once
	poison   *poison.Tracker
	sender   *send.Sender
	runner   *runner.Runner
	front    *front.Front
	// rosterChanged is set until refresh has handled a change of the roster.
	rosterChanged atomic.Bool
	view          atomic.Pointer[view]
	// memory bounds what requests make the node hold.
	memory   *budget.Budget
	shares   shares
	replaced chan struct{}
	// started is closed once all components that peers may call have started.
	started chan struct{}
}

// New starts a node and returns it with the function that stops it immediately,
// without Leave. It fails if a listen address is malformed or can't be opened.
func New(s local.Settings, log zerolog.Logger) (*Daemon, func(), error) {
	tree, stop := super.New(s.Node.Name, log)
	timers, stopTimers := timer.New()
	tree.Cleanup(stopTimers)
	d := &Daemon{
		settings: s,
		log:      log,
		tree:     tree,
		timers:   timers,
		events:   event.NewRing(s.Node.Name, eventCapacity),
		meter:    meter.New(),
		replaced: make(chan struct{}, 1),
		started:  make(chan struct{}),
		memory:   budget.New(heldMemory, budget.WithReserve(heldMemory/8, smallRequest)),
		shares: shares{
			node: s.Node,
		},
	}
	for _, start := range []func() error{d.startMesh, d.startPolicy, d.startFeed, d.listen} {
		if err := start(); err != nil {
			stop()
			return nil, nil, err
		}
	}
	d.registerMetrics()
	d.tree.Cleanup(d.timers.Every(indexPeriod, d.refresh))
	d.tree.Cleanup(d.timers.Every(sharesPeriod, d.applyShares))
	d.events.Add(event.Event{
		Kind:   "node-started",
		Detail: s.Node.Domain,
	})
	return d, stop, nil
}

// Replaced returns a channel that receives a value when a newer VM holds this
// node's slot.
func (d *Daemon) Replaced() <-chan struct{} {
	return d.replaced
}

// startMesh creates the roster and opens the links for peers. The node announces
// itself to peers only in startFeed.
func (d *Daemon) startMesh() error {
	n := d.settings.Node
	d.roster = roster.New(roster.Entry{
		Name:        n.Name,
		Domain:      n.Domain,
		Region:      n.Region,
		Slot:        n.Slot,
		Peers:       d.settings.Listen.Advertise,
		Operators:   d.settings.Listen.Operators,
		Incarnation: time.Now().UnixNano(),
	}, roster.WithOnChange(d.nodeChanged))
	d.view.Store(newView(d.roster.All()))
	links, stop, err := link.New(d.settings.Listen.Peers, append(d.handlers(),
		link.WithMeter(n.Region, d.regionOf, d.countSent))...)
	if err != nil {
		return err
	}
	d.links = links
	d.tree.Cleanup(stop)
	return nil
}

// startPolicy creates the components that decide on calls: budgets, claims, the
// crash tracker and the sender.
func (d *Daemon) startPolicy() error {
	self := d.roster.Self()
	p := peers{
		d: d,
	}
	var stop func()
	d.tokens, stop = tokens.New(self.Name, p, d.timers, tokens.WithEvents(d.events), tokens.WithIncarnation(self.Incarnation))
	d.tree.Cleanup(stop)
	d.once, stop = once.New(self.Name, self.Incarnation, p, d.timers)
	d.tree.Cleanup(stop)
	d.poison = poison.New(d.broadcastCrash, poison.WithOnNews(d.recordCrash), poison.WithOnCleared(func(f crash.Fingerprint) {
		d.recordStanding("suspect-cleared", f)
	}))
	d.sender = send.New(self, p, d.once, d.poison, d.senderOptions()...)
	return nil
}

// startFeed starts the components that depend on the configuration, and gossip with
// the peers.
func (d *Daemon) startFeed() error {
	d.feed = feed.New(plog.New(d.settings.Platform.Log, d.settings.IP()),
		feed.WithReader(d.isLogReader),
		feed.WithOnChange(d.configure),
		feed.WithOnRecords(d.broadcastRecords),
		feed.WithEvents(d.events),
		feed.WithCheckpointEvery(d.settings.Platform.CheckpointEvery()),
	)
	var stop func()
	d.runner, stop = runner.New(runner.Dependencies{
		Sender:   d.sender,
		Keys:     d.feed,
		Tracker:  d.poison,
		Events:   d.events,
		Timers:   d.timers,
		Announce: d.announce,
		Route:    d.route,
	}, d.runnerOptions()...)
	d.tree.Cleanup(stop)
	d.front = front.New(d.settings.Node.Domain, d.feed, d.tokens, d.sender, d.meter, d.frontOptions()...)
	d.gossip, stop = gossip.New(d.roster, d.links, d.feed, d.poison, d.events, d.timers,
		gossip.WithSeeds(d.settings.Mesh.Seeds),
		gossip.WithOnReplaced(d.signalReplaced),
	)
	d.tree.Cleanup(stop)
	d.tree.Run("feed", d.feed.Run)
	return nil
}

func (d *Daemon) senderOptions() []send.Option {
	if d.settings.Policy.Baseline == "" {
		return nil
	}
	return []send.Option{send.WithPolicy(send.Policy{})}
}

func (d *Daemon) runnerOptions() []runner.Option {
	switch d.settings.Policy.Baseline {
	case local.BaselineNone:
		return []runner.Option{runner.WithoutLevels(), runner.WithLimits(limit.WithUnlimited(), limit.WithFixed())}
	case local.BaselineFixed:
		return []runner.Option{runner.WithoutLevels(), runner.WithLimits(limit.WithFixed())}
	}
	return nil
}

func (d *Daemon) frontOptions() []front.Option {
	if d.settings.Policy.Baseline == "" {
		return nil
	}
	return []front.Option{front.WithoutRateLimits()}
}

// nodeChanged records a change of a roster entry. It is called with the roster
// locked and must not call it.
func (d *Daemon) nodeChanged(old, now roster.Entry) {
	d.rosterChanged.Store(true)
	if old.Health == now.Health && old.Incarnation == now.Incarnation {
		return
	}
	d.events.Add(event.Event{
		Kind:   "peer-" + string(now.Health),
		Detail: now.Name,
	})
}

// refresh rebuilds the view of a changed roster and passes its entries to the
// sender.
func (d *Daemon) refresh(timer.Instant) {
	if d.rosterChanged.Swap(false) {
		entries := d.roster.All()
		d.view.Store(newView(entries))
		d.sender.SetTargets(entries)
	}
}

// announce publishes the state of the target in this node's roster entry.
func (d *Daemon) announce(t roster.Target) {
	d.roster.Update(timer.Now(), func(e roster.Entry) roster.Entry {
		e.Target = t
		return e
	})
}

// route returns the route of a path in the preset in force.
func (d *Daemon) route(path string) (preset.Route, bool) {
	p, ok := d.feed.State().Active()
	if !ok {
		return preset.Route{}, false
	}
	return p.Route(path)
}

// isLogReader reports whether this node is one of the nodes of its domain that read
// the platform's log, which rendezvous hashing chooses among the live ones.
func (d *Daemon) isLogReader() bool {
	p := peers{
		d: d,
	}
	order := rank.Order("reader", p.members(d.settings.Node.Domain))
	for i, name := range order {
		if i >= readersPerDomain {
			break
		}
		if name == d.settings.Node.Name {
			return true
		}
	}
	return false
}

func (d *Daemon) signalReplaced() {
	select {
	case d.replaced <- struct{}{}:
	default:
	}
}

func (d *Daemon) regionOf(address string) string {
	return d.view.Load().regions[address]
}

// countSent counts bytes sent to other nodes and charges those that leave the
// region to the budget of the region link.
func (d *Daemon) countSent(region string, n int) {
	d.meter.CountSent(region, n)
	if region != "" && region != d.settings.Node.Region && d.tokens != nil {
		d.tokens.Charge(linkBudget(region), float64(n))
	}
}

// Events returns the events that the node keeps, in order of their stamps.
func (d *Daemon) Events() []event.Event {
	return d.events.Events()
}

// Nodes returns the roster entries of all known nodes, this one included.
func (d *Daemon) Nodes() []roster.Entry {
	return d.roster.All()
}

// Status returns the state of the node as reported to operators.
func (d *Daemon) Status() admin.Status {
	s := d.feed.State()
	return admin.Status{
		Node:            d.roster.Self(),
		Version:         s.Version,
		Preset:          s.InForce,
		ContactMillis:   d.feed.ContactAge().Milliseconds(),
		PlatformFailure: d.feed.Failure(),
		Target:          d.runner.Status(),
		Targets:         d.sender.Targets(),
		Budgets:         d.tokens.Status(),
		Levels:          d.sender.Levels(),
		Quarantine:      d.poison.Entries(),
		Claims:          d.once.Len(),
		RegionBytes:     d.meter.Bytes(),
		Retries:         d.sender.Retries.Load(),
	}
}

// Leave takes the node out of service gracefully: it announces that its target is
// draining, so that peers stop choosing it, and waits for running requests to end.
// It returns an error if requests still run after limit.
func (d *Daemon) Leave(limit time.Duration) error {
	d.roster.Update(timer.Now(), func(e roster.Entry) roster.Entry {
		e.Target.State = roster.Draining
		return e
	})
	d.gossip.ExchangeWithDomain()
	time.Sleep(leaveDelay)
	deadline := time.Now().Add(limit)
	for d.front.Drain() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	select {
	case <-d.runner.Drain():
	case <-time.After(time.Until(deadline)):
		return fmt.Errorf("requests still running after %s", limit)
	}
	d.roster.Update(timer.Now(), func(e roster.Entry) roster.Entry {
		e.Health = roster.Left
		return e
	})
	d.gossip.ExchangeWithDomain()
	return nil
}
