package model

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/fetch"
	"fuchsiapier/internal/node/watch"
)

const (
	// tickPeriod is that of node/agent.
	tickPeriod = 100 * time.Millisecond
	// callTimeout is that of the client of the store.
	callTimeout = 2 * time.Second
	// fetchTimeout bounds a fetch, and the acknowledgement timeouts a fetch over a connection that
	// is silent, as in node/remote.
	fetchTimeout          = 1 * time.Second
	sameRegionAckTimeout  = 500 * time.Millisecond
	crossRegionAckTimeout = 900 * time.Millisecond
	// configBytes is the size of a configuration.
	configBytes = 60_000
	// pooledConns is how many connections a node holds to another one.
	pooledConns = 3
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

// node is a simulated machine with the real code that keeps the configuration.
type node struct {
	fleet   *fleet
	name    string
	address string
	domain  int
	region  int
	peers   *peers.Peers
	watcher *watch.Watcher
	fetcher *fetch.Fetcher
	client  *storeClient
	stops   []func()
	// up says that the process runs.
	up bool

	mu sync.Mutex
	// frozen is closed when the node goes on after it was frozen, nil while it runs.
	frozen chan struct{}
	// noStore says that the node is cut off from the store.
	noStore bool
	// bytesPerSecond is the throughput of the node's link.
	bytesPerSecond int
	// conns holds when the pooled connections to other nodes were opened.
	conns map[string][]time.Time
}

// storeLatency returns the time to the store, one way.
func (n *node) storeLatency() time.Duration {
	n.waitWhileFrozen()
	if n.region == 0 {
		return domainDelay
	}
	return regionDelay
}

func (n *node) cutFromStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noStore
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

// start starts the process.
func (n *node) start() {
	f := n.fleet
	self := peers.Node{
		Name:        n.name,
		Domain:      fmt.Sprintf("d%d", n.domain),
		Region:      fmt.Sprintf("r%d", n.region),
		IP:          n.address,
		MeshPort:    7000,
		GatePort:    7001,
		Incarnation: time.Now().UnixNano(),
		Keeper:      n.name,
	}
	n.client = &storeClient{
		store: f.store,
		node:  n,
		reset: make(chan struct{}),
	}
	n.conns = map[string][]time.Time{}
	n.peers = peers.New(self, n.send, peers.WithOnNewerConfig(func(from peers.Node) {
		n.fetcher.Hear(from)
	}))
	record := []byte(n.name)
	var stop func()
	n.watcher, stop = watch.New(n.name, record, n.client, view{node: n}, topics, parse, watch.WithOnApply(func(r *rules.Rules) {
		f.applied(n, r.Version())
		n.peers.Update(f.instant(), true, func(self *peers.Node) { self.Rules = r.Version() })
	}))
	n.fetcher = fetch.New(configuration{node: n}, links{node: n}, n.peers.View)
	n.up = true
	done := make(chan struct{})
	n.stops = []func(){stop, func() { close(done) }}
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(tickPeriod):
				n.waitWhileFrozen()
				n.peers.Tick(f.instant())
				n.watcher.Tick()
			}
		}
	}()
}

// stop ends the process.
func (n *node) stop() {
	n.up = false
	for _, stop := range n.stops {
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

// send implements peers.Sender.
func (n *node) send(address string, data []byte) error {
	n.fleet.deliver(n, address, data)
	return nil
}

// configuration implements fetch.Config.
type configuration struct {
	node *node
}

func (c configuration) Version() int64                  { return c.node.watcher.Freshness().Version }
func (c configuration) Hear(version int64, from string) { c.node.watcher.Hear(version, from) }
func (c configuration) Offer(data []byte, from string) {
	c.node.watcher.Offer(data, watch.FromPeer, from)
}

// links implements fetch.Links over connections that may be silent.
type links struct {
	node *node
}

var errLost = errors.New("no answer from the node")

// FetchRules fetches the configuration in force on another node.
func (l links) FetchRules(from peers.Node) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	return l.fetch(ctx, from, true)
}

// fetch fetches the configuration of another node over a pooled or a new connection.
func (l links) fetch(ctx context.Context, from peers.Node, pooled bool) ([]byte, error) {
	f, n := l.node.fleet, l.node
	source := f.byName[from.Name]
	ackTimeout := sameRegionAckTimeout
	if source.region != n.region {
		ackTimeout = crossRegionAckTimeout
	}
	fail := func(after time.Duration) ([]byte, error) {
		select {
		case <-ctx.Done():
		case <-time.After(after):
		}
		return nil, errLost
	}
	if pooled && n.takeSilentConn(source.name) {
		return fail(ackTimeout)
	}
	delay := f.latency(n, source)
	if !sleepCtx(ctx, 2*delay) || !f.reaches(n, source) || !source.up {
		return fail(ackTimeout)
	}
	n.waitWhileFrozen()
	if !waitWhileFrozen(ctx, source) {
		return nil, errLost
	}
	data := source.watcher.Raw()
	if data == nil {
		return nil, errLost
	}
	if !sleepCtx(ctx, source.transferTime(1)+n.transferTime(1)) || !f.reaches(source, n) {
		return fail(ackTimeout)
	}
	return data, nil
}

// takeSilentConn takes a pooled connection to a node that went silent, if there is one.
func (n *node) takeSilentConn(to string) bool {
	silenced := n.fleet.connsSilenced()
	n.mu.Lock()
	defer n.mu.Unlock()
	conns, ok := n.conns[to]
	if !ok {
		for range pooledConns {
			conns = append(conns, n.fleet.began)
		}
	}
	last := len(conns) - 1
	if last >= 0 && conns[last].Before(silenced) {
		n.conns[to] = conns[:last]
		return true
	}
	n.conns[to] = conns
	return false
}

// transferTime returns how long a configuration takes over the node's link beside others.
func (n *node) transferTime(others int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(configBytes*others) * time.Second / time.Duration(n.bytesPerSecond)
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
	node *node
}

func (v view) Readers() []string { return v.node.peers.View().Readers() }

func (v view) SetStoreReachable(reachable bool) {
	v.node.peers.Update(v.node.fleet.instant(), !reachable, func(n *peers.Node) { n.Store = reachable })
}

func (v view) ReadingDomains() (place, domains int) { return v.node.peers.View().ReadingDomains() }

func (v view) SetStoreEpoch(epoch int64) {
	v.node.peers.Update(v.node.fleet.instant(), true, func(n *peers.Node) { n.StoreEpoch = epoch })
}

func (v view) Size() int {
	nodes, _ := v.node.peers.View().Size()
	return nodes
}

func (v view) NewestConfig() (int64, watch.Heard) {
	view := v.node.peers.View()
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
	for _, r := range records {
		if other, ok := v.node.fleet.byName[string(r.Value)]; ok {
			nodes = append(nodes, other.record())
		}
	}
	v.node.peers.Learn(v.node.fleet.instant(), nodes)
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
