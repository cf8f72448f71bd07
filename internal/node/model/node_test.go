package model

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/fetch"
	"fuchsiapier/internal/node/watch"
)

const (
	// tickPeriod is that of node/agent.
	tickPeriod = 100 * time.Millisecond
	// putTimeout is that of the client of the store.
	putTimeout = 2 * time.Second
	// dialTimeout bounds opening a connection, as in node/remote.
	dialTimeout = 300 * time.Millisecond
	// configBytes is the size of a configuration.
	configBytes = 60_000
)

var topics = watch.Topics{
	Operator:  "op",
	ConfigKey: "config",
	Nodes:     "nodes",
}

// parse decodes a configuration, which is its version.
func parse(data []byte) (rules.Content, error, error) {
	version, err := strconv.ParseInt(string(data), 10, 64)
	return rules.Content{
		Version: version,
	}, nil, err
}

// node is a simulated machine.
type node struct {
	fleet   *fleet
	name    string
	address string
	domain  int
	region  int
	// process runs on the node; it is nil while none does.
	process atomic.Pointer[process]

	mu sync.Mutex
	// frozen is closed when the node goes on after it was frozen, nil while it runs.
	frozen chan struct{}
	// bytesPerSecond is the throughput of the node's link.
	bytesPerSecond int
	// transfers is the number of configurations that it sends or receives.
	transfers int
}

// process is the real code that keeps the configuration on a node.
type process struct {
	node      *node
	startedAt time.Time
	peers     *peers.Peers
	watcher   *watch.Watcher
	fetcher   *fetch.Fetcher
	crashes   *poison.Tracker
	// departures is nil in simulations without targets that leave.
	departures *departures
	// ended says that the process has ended: a call that was in flight has no effect any more.
	ended atomic.Bool
	stops []func()
}

// storeLatency returns the time to the store, one way.
func (n *node) storeLatency() time.Duration {
	n.waitWhileFrozen()
	if n.region == 0 {
		return domainDelay
	}
	return regionDelay
}

// waitWhileFrozen blocks while the node is frozen.
func (n *node) waitWhileFrozen() {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// start starts a process, unless one runs.
func (n *node) start() {
	f := n.fleet
	if n.up() {
		return
	}
	self := n.record()
	self.Incarnation = time.Now().UnixNano()
	self.Keeper = n.name
	p := &process{
		node:      n,
		startedAt: time.Now(),
	}
	client := &storeClient{
		store: f.store,
		node:  n,
		reset: make(chan struct{}),
	}
	p.crashes = poison.New(func(c crash.Crash) { p.peers.Broadcast(c) },
		poison.WithRules(crash.WithTwoCrashes()), poison.WithClock(f.instant))
	p.peers = peers.New(self, func(address string, data []byte) error {
		f.deliver(n, address, data)
		return nil
	}, peers.WithOnNewerConfig(func(from peers.Node) { p.fetcher.Hear(from) }),
		peers.WithCrashes(p.crashes))
	log := zerolog.New(logLine{node: n})
	var stopWatcher, stopFetcher func()
	options := []watch.Option{watch.WithLog(log), watch.WithOnApply(p.applied)}
	if f.targets != nil {
		options = append(options, p.startDepartures(log)...)
	}
	p.watcher, stopWatcher = watch.New(n.name, []byte(n.name), client, view{process: p}, topics, parse, options...)
	p.fetcher, stopFetcher = fetch.New(configuration{process: p}, links{node: n}, p.peers.View, fetch.WithLog(log))
	done := make(chan struct{})
	p.stops = append(p.stops, stopWatcher, stopFetcher, func() { close(done) })
	n.process.Store(p)
	if p.departures != nil {
		p.departures.recall(log)
	}
	go p.tick(done)
}

// applied is called with each configuration that the process has applied.
func (p *process) applied(r *rules.Rules) {
	if p.ended.Load() {
		return
	}
	p.node.fleet.applied(p.node, r.Version())
	p.peers.Update(p.node.fleet.instant(), true, func(self *peers.Node) { self.Rules = r.Version() })
}

// tick does the periodic work of the process until done is closed, as node/agent does.
func (p *process) tick(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(tickPeriod):
			p.node.waitWhileFrozen()
			p.peers.Tick(p.node.fleet.instant())
			p.watcher.Tick(p.node.fleet.instant())
		}
	}
}

// up reports whether a process runs.
func (n *node) up() bool {
	return n.process.Load() != nil
}

// stop ends the process.
func (n *node) stop() {
	p := n.process.Swap(nil)
	if p == nil {
		return
	}
	p.ended.Store(true)
	for _, stop := range p.stops {
		stop()
	}
}

// freeze stops the process for a while. What others send it meanwhile arrives afterwards.
func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	n.frozen = make(chan struct{})
	n.mu.Unlock()
	time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		close(n.frozen)
		n.frozen = nil
	})
}

// logLine adds the node's log lines to the timeline. It implements io.Writer.
type logLine struct {
	node *node
}

func (l logLine) Write(line []byte) (int, error) {
	l.node.fleet.noteOf(l.node.name, strings.TrimSpace(string(line)))
	return len(line), nil
}

// configuration implements fetch.Config.
type configuration struct {
	process *process
}

func (c configuration) Version() int64 { return c.process.watcher.Freshness().Version }

func (c configuration) Hear(version int64, from string) { c.process.watcher.Hear(version, from) }

func (c configuration) CheckStore(reason string) { c.process.watcher.CheckStore(reason) }

func (c configuration) Offer(data []byte, from string) bool {
	return c.process.watcher.Offer(data, watch.FromPeer, from)
}

// links implements fetch.Links over new connections.
type links struct {
	node *node
}

var errLost = errors.New("no answer from the node")

// FetchRules fetches the configuration in force on another node.
func (l links) FetchRules(ctx context.Context, from peers.Node) ([]byte, error) {
	f, n := l.node.fleet, l.node
	source := f.byName[from.Name]
	p := source.process.Load()
	if !f.reaches(n, source) || !f.reaches(source, n) || p == nil {
		sleepCtx(ctx, dialTimeout)
		return nil, errLost
	}
	// The connection is opened, and the request sent.
	if !sleepCtx(ctx, 4*f.latency(n, source)) || !waitWhileFrozen(ctx, source) {
		return nil, errLost
	}
	data := p.watcher.Raw()
	if data == nil {
		return nil, errLost
	}
	if !source.transfer(ctx) || !n.transfer(ctx) || !f.reaches(source, n) {
		<-ctx.Done()
		return nil, errLost
	}
	n.waitWhileFrozen()
	return data, nil
}

// transfer waits while a configuration passes the node's link, which others share. It reports
// whether that ended before ctx.
func (n *node) transfer(ctx context.Context) bool {
	n.mu.Lock()
	n.transfers++
	d := time.Duration(0)
	if n.bytesPerSecond > 0 {
		d = time.Duration(configBytes*n.transfers) * time.Second / time.Duration(n.bytesPerSecond)
	}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.transfers--
	}()
	return sleepCtx(ctx, d)
}

// waitWhileFrozen waits while a node is frozen, and reports whether that ended before ctx.
func waitWhileFrozen(ctx context.Context, n *node) bool {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	if frozen == nil {
		return true
	}
	select {
	case <-frozen:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleepCtx sleeps and reports whether ctx lasted as long.
func sleepCtx(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// view implements watch.Fleet, as node/agent does.
type view struct {
	process *process
}

func (v view) Readers() []string { return v.process.peers.View().Readers() }

func (v view) SetStoreReachable(reachable bool) {
	v.process.peers.Update(v.process.node.fleet.instant(), !reachable, func(n *peers.Node) { n.Store = reachable })
}

func (v view) StoreInDoubt() bool { return v.process.peers.View().StoreInDoubt() }

func (v view) ReadingDomains() (place, domains int) { return v.process.peers.View().ReadingDomains() }

func (v view) SetStoreEpoch(epoch int64) {
	v.process.peers.Update(v.process.node.fleet.instant(), true, func(n *peers.Node) { n.StoreEpoch = epoch })
}

func (v view) Size() int {
	nodes, _ := v.process.peers.View().Size()
	return nodes
}

func (v view) NewestConfig() (int64, watch.Heard) {
	view := v.process.peers.View()
	switch {
	case view.Known() == 1:
		return view.NewestConfig(), watch.NoneKnown
	case view.AllHeard():
		return view.NewestConfig(), watch.AllHeard
	}
	return view.NewestConfig(), watch.SomeSilent
}

func (v view) Learn(records []watch.Record) {
	var nodes []peers.Node
	if v.process.departures != nil {
		v.process.departures.listed(records)
	}
	for _, r := range records {
		if other, ok := v.process.node.fleet.byName[string(r.Value)]; ok {
			nodes = append(nodes, other.record())
		}
	}
	v.process.peers.Learn(v.process.node.fleet.instant(), nodes)
}

// record returns the record under which the node registers itself.
func (n *node) record() peers.Node {
	return peers.Node{
		Name:     n.name,
		Domain:   fmt.Sprintf("d%d", n.domain),
		Region:   fmt.Sprintf("r%d", n.region),
		IP:       n.address,
		MeshPort: 7000,
		GatePort: 7001,
	}
}

// instant returns the simulated time as the clock of package timer.
func (f *fleet) instant() timer.Instant {
	return timer.Instant(time.Hour + time.Since(f.began))
}
