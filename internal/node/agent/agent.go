// Package agent wires a node that runs beside a server on the users' platform.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/admit/retry"
	"fuchsiapier/internal/base/super"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/place"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/dgram"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/entry"
	"fuchsiapier/internal/node/gate"
	"fuchsiapier/internal/node/remote"
	"fuchsiapier/internal/node/stats"
	"fuchsiapier/internal/node/watch"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/inlet"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/quota/pool"
)

const (
	// tickPeriod drives the exchange with other nodes and the upkeep of connections.
	tickPeriod = 100 * time.Millisecond
	// trimPeriod is how often idle connections are looked through.
	trimPeriod = 2 * time.Second
	// steadyLeave is how long a leaving node still works as before, while the callers
	// on its VM notice that it is not ready: they ask once a second and go after two
	// misses. Its target stays in use meanwhile.
	steadyLeave = 2100 * time.Millisecond
	// settleLeave is how long the other nodes get to stop sending calls.
	settleLeave = 300 * time.Millisecond
	// leaveReserve is the part of the grace time left for closing.
	leaveReserve = 1 * time.Second
	// pendingPeriod is how often a leaving node looks whether requests are pending.
	pendingPeriod = 50 * time.Millisecond
)

// Dialect is what a deployment's platform names and speaks.
type Dialect struct {
	Names     msg.Names
	Topics    watch.Topics
	Parse     watch.Parser
	Store     watch.Store
	PathReady string
	// TargetID returns the target that a call's path names.
	TargetID func(path string) (string, bool)
	// Announcement decodes what a target says of itself.
	Announcement func(id string, body []byte) (gate.Target, error)
}

// Agent is a running node.
type Agent struct {
	place   place.Place
	dialect Dialect
	log     zerolog.Logger
	// requestLog is for lines about single requests; it is thinned out under load.
	requestLog zerolog.Logger
	stats      *stats.Stats
	tree       *super.Tree
	peers      *peers.Peers
	gate       *gate.Gate
	watcher    *watch.Watcher
	links      *remote.Links
	entry      *entry.Entry
	tokens     *pool.Pool
	callers    *inlet.Server
	calls      *frame.Server
	docket     *docket
	graph      *graph.Counter
	repeats    *retry.Budget
	trimmed    time.Time
	// targetBorn is the start of the target whose calls are being counted.
	targetBorn atomic.Int64
	leaving    atomic.Bool
	fetching   fetching
	// up says that all parts are there, so that messages of other nodes can be taken.
	up atomic.Bool
}

// New starts a node and returns it with its clean-up.
func New(p place.Place, dialect Dialect, log zerolog.Logger, counters *stats.Stats) (*Agent, func(), error) {
	tree, stop := super.New("node", log)
	a := &Agent{
		place:   p,
		dialect: dialect,
		log:     log,
		stats:   counters,

		requestLog: log.Sample(counters.Sampler()),
		tree:       tree,
		graph:      graph.NewCounter(),
		trimmed:    time.Now(),
	}
	a.docket = newDocket(log, func(news []crash.Entry) { a.peers.Spread(news) })
	if err := a.start(); err != nil {
		stop()
		return nil, nil, err
	}
	return a, stop, nil
}

func (a *Agent) start() error {
	self, err := a.self()
	if err != nil {
		return err
	}
	if err := a.startMesh(self); err != nil {
		return err
	}
	var stop func()
	a.gate, stop = gate.New(a.dialect.Names, gate.WithChanged(a.targetChanged), gate.WithDocket(a.docket), gate.WithLog(a.requestLog),
		gate.WithRan(func() { a.graph.Ran(timer.Now()) }))
	a.tree.Own(stop)
	a.links, stop = remote.New(self, a.dialect.Names)
	a.tree.Own(stop)
	if err := a.startWatch(self); err != nil {
		return err
	}
	if err := a.listen(self); err != nil {
		return err
	}
	a.showState()
	a.up.Store(true)
	timers, stopTimers := timer.New()
	a.tree.Own(stopTimers)
	timers.Every(tickPeriod, a.tick)
	return nil
}

// showState registers what the node knows at the moment as gauges.
func (a *Agent) showState() {
	show := func(name, help string, read func() int) {
		a.stats.Gauge("fuchsiapier_"+name, help, func() float64 { return float64(read()) })
	}
	show("gate_running", "Calls that run at the target.", func() int { return a.gate.State().Running })
	show("gate_waiting", "Calls that wait for the target.", func() int { return a.gate.State().Waiting })
	show("gate_limit", "Calls that may run at the target at once.", func() int { return a.gate.State().Limit })
	show("peers_alive", "Live nodes, this one included.", func() int { return len(a.peers.View().Nodes()) })
	show("rules_version", "Version of the configuration in force, 0 before the first.", a.rulesVersion)
}

func (a *Agent) rulesVersion() int {
	if r := a.watcher.Current(); r != nil {
		return int(r.Version())
	}
	return 0
}

func (a *Agent) self() (peers.Node, error) {
	_, port, err := net.SplitHostPort(a.place.Gate)
	if err != nil {
		return peers.Node{}, fmt.Errorf("address for other nodes: %w", err)
	}
	gatePort, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return peers.Node{}, fmt.Errorf("address for other nodes: %w", err)
	}
	return peers.Node{
		Name:     a.place.Node,
		Domain:   a.place.Domain,
		Region:   a.place.Region,
		IP:       a.place.IP,
		MeshPort: uint16(a.place.MeshPort),
		GatePort: uint16(gatePort),
		Boot:     time.Now().UnixNano(),
		Service:  a.place.TargetService,
		Keeper:   a.place.Node,
	}, nil
}

func (a *Agent) startMesh(self peers.Node) error {
	var socket atomic.Pointer[dgram.Socket]
	send := func(address string, data []byte) error {
		if bound := socket.Load(); bound != nil {
			return bound.Send(address, data)
		}
		return errNotBound
	}
	a.peers = peers.New(self, send,
		peers.WithChanged(a.peerChanged),
		peers.WithNewer(a.fetchRules),
		peers.WithDocket(a.docket.entries, a.docket.learn),
		peers.WithLender(func(ctx context.Context, q pool.Ask) pool.Grant { return a.tokens.Lend(ctx, q) }),
	)
	a.tokens = pool.New(self.Name, a.peers, a.limit)
	bounds := retry.Bounds{
		Ratio:  a.place.RetryRatio,
		Slack:  a.place.RetrySlack,
		Window: a.place.RetryWindow,
	}
	costs := func(service string) map[string]float64 { return a.peers.View().Costs(service) }
	a.repeats = retry.NewBudget(bounds, a.tokens, costs, func() (int, int) {
		nodes, _ := a.peers.View().Fleet()
		return nodes, a.domains()
	})
	receive := func(from net.Addr, data []byte) {
		if !a.up.Load() {
			return
		}
		if err := a.peers.Receive(timer.Now(), from.String(), data); err != nil {
			a.log.Warn().Err(err).Str("from", from.String()).Msg("datagram of another node can't be read")
		}
	}
	bound, stop, err := dgram.New(self.MeshAddress(), receive)
	if err != nil {
		return err
	}
	a.tree.Own(stop)
	socket.Store(bound)
	return nil
}

var errNotBound = errors.New("datagram socket is not bound yet")

func (a *Agent) startWatch(self peers.Node) error {
	record, err := cbor.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode node record: %w", err)
	}
	watcher, stop := watch.New(self.Name, record, a.dialect.Store, fleet{agent: a}, a.dialect.Topics, a.dialect.Parse,
		watch.WithLog(a.log),
		watch.WithApplied(a.applied),
	)
	a.watcher = watcher
	a.tree.Own(stop)
	return nil
}

func (a *Agent) listen(self peers.Node) error {
	a.entry = entry.New(entry.Parts{
		Names:   a.dialect.Names,
		Self:    self,
		Service: a.localService,
		Rules:   a.watcher.Current,
		Fleet:   a.peers,
		Gate:    a.gate,
		Remote:  a.links,
		Tokens:  a.tokens,
		Repeats: a.repeats,
		Graph:   a.graph,
		Meter:   a.stats,
		Log:     a.requestLog,
	})
	var stop func()
	var err error
	a.callers, stop, err = inlet.New(a.place.Callers, a.entry.Handle, inlet.WithLog(a.log), inlet.WithLimits(a.limits))
	if err != nil {
		return err
	}
	a.tree.Own(stop)
	receiver := remote.NewReceiver(a.gate, a.dialect.Names, a.watcher.Raw)
	a.calls, stop, err = frame.Serve(a.place.Gate, receiver.Handle, a.log, a.dialect.Names.Attempt, a.dialect.Names.Proof)
	if err != nil {
		return err
	}
	a.tree.Own(stop)
	if err := a.serveHTTP("announcements", a.place.Announce, a.handleAnnounce); err != nil {
		return err
	}
	if err := a.serveHTTP("readiness", a.place.Ready, a.handleReady); err != nil {
		return err
	}
	return a.serveHTTP("metrics", net.JoinHostPort(a.place.IP, strconv.Itoa(a.place.MetricsPort)), a.handleMetrics())
}

// localService names the service on this VM: what the target says, or else the settings.
func (a *Agent) localService() string {
	if s := a.gate.State().Service; s != "" {
		return s
	}
	return a.place.TargetService
}

func (a *Agent) limits() rules.Limits {
	if r := a.watcher.Current(); r != nil {
		return r.Limits()
	}
	return inlet.DefaultLimits
}

// domains is how many failure domains share each limit.
func (a *Agent) domains() int {
	return max(len(a.place.Domains), 1)
}

// limit returns the slice of a workspace's limit, or of a service's budget for
// repeats, that the failure domain owns.
func (a *Agent) limit(workspace string) (pool.Limit, bool) {
	if service, ok := retry.Service(workspace); ok {
		repeats, window := a.repeats.Limit(service)
		return pool.Limit{
			Burst:  repeats,
			Window: window,
		}, true
	}
	r := a.watcher.Current()
	if r == nil {
		return pool.Limit{}, false
	}
	w, ok := r.ByName(workspace)
	if !ok || w.Rate <= 0 {
		return pool.Limit{}, false
	}
	domains := float64(a.domains())
	return pool.Limit{
		Rate:  w.Rate / domains,
		Burst: max(w.Burst, 1) / domains,
	}, true
}

func (a *Agent) applied(r *rules.Rules) {
	a.peers.Update(timer.Now(), true, func(n *peers.Node) { n.Rules = r.Version() })
}

// fetchRules reads the configuration of a node that has a newer one.
func (a *Agent) fetchRules(from peers.Node) {
	if r := a.watcher.Current(); r != nil && r.Version() >= from.Rules {
		return
	}
	fetch, again := a.fetching.begin(time.Now(), from, a.peers.View())
	if again > 0 {
		time.AfterFunc(again, func() {
			a.fetching.due()
			a.fetchRules(from)
		})
	}
	if !fetch {
		return
	}
	defer a.fetching.done()
	raw, err := a.links.FetchRules(from)
	if err != nil {
		a.log.Warn().Err(err).Str("from", from.Name).Int64("version", from.Rules).Msg("newer configuration can't be fetched")
		return
	}
	a.watcher.Offer(raw, watch.FromPeer, from.Name)
}

func (a *Agent) targetChanged(s gate.State) {
	a.log.Info().Str("target", s.ID).Str("service", s.Service).Int("slots", s.Slots).Bool("open", s.Open).
		Int64("born", s.Born).Int64("seq", s.Seq).Msg("target changed")
	if s.Born != a.targetBorn.Swap(s.Born) {
		a.graph.Reset()
	}
	a.publishTarget(s, true)
}

func (a *Agent) publishTarget(s gate.State, urgent bool) {
	a.peers.Update(timer.Now(), urgent, func(n *peers.Node) {
		n.TargetID = s.ID
		if s.Service != "" {
			n.Service = s.Service
		}
		n.Slots = uint16(min(s.Slots, 1<<16-1))
		n.Open = s.Open
		n.WaitMillis = shortMillis(s.Wait)
		n.ServiceMillis = shortMillis(s.ServiceTime)
		n.CallersMillis = shortMillis(s.CallersTime)
		n.CallersFailPercent = uint8(100 * s.CallersFail)
		n.FailPercent = uint8(100 * s.FailShare)
		n.Calls = a.graph.Edges(timer.Now())
	})
}

func shortMillis(d time.Duration) uint16 {
	return uint16(min(d.Milliseconds(), 1<<16-1))
}

func (a *Agent) peerChanged(c peers.Change) {
	a.log.Info().Str("peer", c.Node.Name).Str("event", c.Event).Str("domain", c.Node.Domain).
		Str("service", c.Node.Service).Int64("silence-ms", c.Silence.Milliseconds()).Msg("view of a node changed")
}

func (a *Agent) tick(now timer.Instant) {
	a.gate.Tick()
	a.publishTarget(a.gate.State(), false)
	a.peers.Tick(now)
	a.tokens.Tick()
	if time.Since(a.trimmed) < trimPeriod {
		return
	}
	a.trimmed = time.Now()
	a.gate.Trim(a.trimmed)
	live := map[string]bool{}
	for _, n := range a.peers.View().Nodes() {
		live[n.GateAddress()] = true
	}
	a.links.Trim(a.trimmed, live)
}

// Leave lets the callers on the VM go, then the other nodes, finishes what runs,
// and returns when nothing is pending and nothing more is read, or the grace time
// is nearly over.
func (a *Agent) Leave() {
	began := time.Now()
	end := began.Add(a.place.Grace - leaveReserve)
	a.leaving.Store(true)
	a.callers.Drain()
	time.Sleep(steadyLeave)
	a.gate.Leave()
	a.peers.Update(timer.Now(), true, func(n *peers.Node) { n.Leaving = true })
	time.Sleep(settleLeave)
	idle := func() bool { return a.callers.Pending()+a.calls.Pending() == 0 }
	waitFor(end, idle)
	a.callers.Quiesce()
	waitFor(end, idle)
	a.calls.Quiesce()
	waitFor(end, idle)
	if pending := a.callers.Pending() + a.calls.Pending(); pending > 0 {
		a.log.Warn().Int("pending", pending).Msg("grace time is over with requests pending")
	}
}

// waitFor waits until a condition holds or a time has come.
func waitFor(end time.Time, f func() bool) {
	for time.Now().Before(end) && !f() {
		time.Sleep(pendingPeriod)
	}
}

// fleet shows the other nodes to the watcher.
type fleet struct {
	agent *Agent
}

// Readers names the nodes of the domain that may read the store.
func (f fleet) Readers() []string {
	return f.agent.peers.View().Readers()
}

// SetStore tells the others whether this node reaches the store.
func (f fleet) SetStore(reached bool) {
	f.agent.peers.Update(timer.Now(), false, func(n *peers.Node) { n.Store = reached })
}

// Learn takes the nodes' records; those that can't be read are left out.
func (f fleet) Learn(records []watch.Record) {
	var nodes []peers.Node
	for _, r := range records {
		var n peers.Node
		if r.Value == nil {
			continue
		}
		if err := cbor.Unmarshal(r.Value, &n); err != nil || !strings.EqualFold(n.Name, r.Key) {
			f.agent.log.Warn().Err(err).Str("key", r.Key).Msg("record of a node can't be read")
			continue
		}
		nodes = append(nodes, n)
	}
	f.agent.peers.Learn(timer.Now(), nodes)
}
