// Package agent assembles the node that runs beside a target on the users' platform
// from its components, and starts and stops it.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/admit/retry"
	"fuchsiapier/internal/base/super"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/deploy"
	"fuchsiapier/internal/conf/reload"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/dgram"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/depart"
	"fuchsiapier/internal/node/entry"
	"fuchsiapier/internal/node/fetch"
	"fuchsiapier/internal/node/gate"
	"fuchsiapier/internal/node/remote"
	"fuchsiapier/internal/node/stats"
	"fuchsiapier/internal/node/watch"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/httpd"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/quota/grant"
	"fuchsiapier/internal/quota/lease"
	"fuchsiapier/internal/quota/pool"
)

const (
	// tickPeriod is the period of tick: reclaiming the slots of overdue requests, the
	// exchange of messages with other nodes and the closing of idle connections.
	tickPeriod = 100 * time.Millisecond
	// trimPeriod is how often idle connections are looked for and closed.
	trimPeriod = 2 * time.Second
)

// Adapter holds the names and formats of the users' platform and the client of its
// store.
type Adapter struct {
	// Names are the names of header fields.
	Names msg.Names
	// Topics names the topics and keys of the store.
	Topics watch.Topics
	// Parse decodes a configuration.
	Parse watch.Parser
	Store watch.Store
	// PathReady is the path of readiness checks.
	PathReady string
	// TargetID returns the ID of the target that the path of an announcement names, and
	// false for any other path.
	TargetID func(path string) (string, bool)
	// Announcement decodes the announcement of the target with the given ID.
	Announcement func(id string, body []byte) (gate.Target, error)
}

// Agent is a running node with all its components.
type Agent struct {
	// deploy are the settings at the start, live those in force, of which only some change
	// while the process runs (see deploy.Compare).
	deploy deploy.Settings
	live   atomic.Pointer[deploy.Settings]
	// reloader keeps live in line with the settings file.
	reloader *reload.Reloader
	adapter  Adapter
	log      zerolog.Logger
	// requestLog is for lines about single requests; it is sampled under load.
	requestLog  zerolog.Logger
	stats       *stats.Stats
	tree        *super.Tree
	peers       *peers.Peers
	gate        *gate.Gate
	watcher     *watch.Watcher
	links       *remote.Links
	entry       *entry.Entry
	leases      *lease.Leases
	retryTokens *pool.Pool
	callers     *httpd.Server
	calls       *frame.Server
	crashes     *poison.Tracker
	graph       *graph.Counter
	retryBudget *retry.Budget
	// lastTrim is when idle connections were last looked for.
	lastTrim time.Time
	// targetStartedAt is the start time of the target whose calls are counted, in Unix
	// milliseconds, 0 if it is unknown.
	targetStartedAt atomic.Int64
	// leaving is set when the shutdown has begun.
	leaving atomic.Bool
	fetcher *fetch.Fetcher
	// departures makes the departures of the target durable, held holds those of other nodes.
	departures *depart.Recorder
	// budgets bound what callers, other nodes and targets can make the node hold.
	budgets budgets
	held    *depart.Holder
	// storeListed is closed once the records of the store were read.
	storeListed chan struct{}
	onListed    sync.Once
	// started is set once all components exist; datagrams of other nodes that arrive before
	// are dropped.
	started atomic.Bool
}

// New starts a node and returns it with a function that stops it at once. source is
// the file that the settings were read from. Components that were started before an error
// are stopped.
func New(settings deploy.Settings, source reload.Source, adapter Adapter, log zerolog.Logger, counters *stats.Stats) (*Agent, func(), error) {
	tree, stop := super.New("node", log)
	a := &Agent{
		deploy:  settings,
		adapter: adapter,
		log:     log,
		stats:   counters,

		requestLog: log.Sample(counters.Sampler()),
		tree:       tree,
		graph:      graph.NewCounter(),
		lastTrim:   time.Now(),

		storeListed: make(chan struct{}),
	}
	a.live.Store(&settings)
	a.crashes = poison.New(func(c crash.Crash) { a.peers.Broadcast(c) },
		poison.WithRules(crash.WithTwoCrashes()),
		poison.WithOnNews(a.crashKnown),
		poison.WithOnCleared(a.logCleared),
	)
	if err := a.start(source); err != nil {
		stop()
		return nil, nil, err
	}
	return a, stop, nil
}

// start creates the components in the order of their dependencies and registers their
// clean-up functions.
func (a *Agent) start(source reload.Source) error {
	self, err := a.self()
	if err != nil {
		return err
	}
	a.budgets = newBudgets(a.deploy, a.memoryShort, a.connectionsShort)
	a.setMemoryLimit(a.deploy)
	if err := a.startMesh(self); err != nil {
		return err
	}
	var stop func()
	bodies := httpc.NewBodiesWithin(a.budgets.memory)
	a.gate, stop = gate.New(a.adapter.Names, gate.WithBodies(bodies), gate.WithConnections(a.budgets.outgoing), gate.WithOnChange(a.targetChanged), gate.WithCrashTracker(a.crashes), gate.WithLog(a.requestLog),
		gate.WithTargetLog(a.log.Sample(a.stats.Sampler())),
		gate.WithBlocked(), gate.WithOnDeparture(a.departed), gate.WithOnMalformed(a.stats.CountMalformed),
		gate.WithOnRun(func() { a.graph.CountRun(timer.Now()) }))
	a.tree.Cleanup(stop)
	a.links, stop = remote.New(self, a.adapter.Names, bodies, remote.WithConnections(a.budgets.outgoing))
	a.tree.Cleanup(stop)
	a.startDepartures()
	if err := a.startWatch(self); err != nil {
		return err
	}
	a.reloader, stop = reload.New(a.deploy, source, a.applySettings, reload.WithLog(a.log))
	a.tree.Cleanup(stop)
	if err := a.listen(self); err != nil {
		return err
	}
	a.registerGauges()
	a.started.Store(true)
	a.recallDepartures()
	timers, stopTimers := timer.New()
	a.tree.Cleanup(stopTimers)
	timers.Every(tickPeriod, a.tick)
	return nil
}

// crashCountHelp explains the counters of crashes.
var crashCountHelp = map[string]string{
	"target_crashes": "Crashes of the target that lost responses, by what showed them.",
	"exclusive_runs": "Suspected requests that were sent to the target alone.",
	"crash_refusals": "Requests that were refused because they crash targets.",
}

// registerGauges registers gauges of the current state of the node.
func (a *Agent) registerGauges() {
	register := func(name, help string, read func() int) {
		a.stats.Gauge("fuchsiapier_"+name, help, func() float64 { return float64(read()) })
	}
	register("gate_running", "Calls that run at the target.", func() int { return a.gate.State().Running })
	register("gate_waiting", "Calls that wait for the target.", func() int { return a.gate.State().Waiting })
	register("gate_limit", "Calls that may run at the target at once.", func() int { return a.gate.State().Limit })
	a.stats.Gauge("fuchsiapier_gate_rate_limit", "Requests per second that the target accepts, 0 for no limit.", func() float64 { return a.gate.State().RateLimit })
	a.stats.Counter("fuchsiapier_gate_sent_total", "Requests that were sent to the target, or would have been if it could be connected to.", nil, func() float64 { return float64(a.gate.State().Sent) })
	a.registerBudgets()
	register("peers_alive", "Live nodes, this one included.", func() int { return len(a.peers.View().Nodes()) })
	for _, c := range a.gate.CrashCounts() {
		labels := map[string]string{}
		if c.Evidence != "" {
			labels["evidence"] = c.Evidence
		}
		a.stats.Counter("fuchsiapier_gate_"+c.Name+"_total", crashCountHelp[c.Name], labels, func() float64 { return float64(c.Read()) })
	}
	a.stats.Counter("fuchsiapier_crash_evidence_received_total", "Pieces of evidence of crashes that came from other nodes.", nil, func() float64 { return float64(a.crashes.Received()) })
	register("departures_held_for_nodes", "Nodes for which this one holds departures of targets.", a.held.Owners)
	register("settings_need_restart", "Settings of the file that take effect with the next start.", func() int { return len(a.reloader.Status().Restart) })
	register("settings_rejected", "1 if the settings file as it is now was refused.", func() int {
		if a.reloader.Status().Rejected != "" {
			return 1
		}
		return 0
	})
	register("settings_applied_seconds", "Unix time at which the settings in force were read.", func() int { return int(a.reloader.Status().AppliedAt.Unix()) })
	for _, s := range a.peers.Sent() {
		labels := map[string]string{"kind": s.Kind, "reach": s.Reach}
		a.stats.Counter("fuchsiapier_mesh_sent_bytes_total", "Bytes sent to other nodes in datagrams, by kind and reach.", labels, func() float64 { return float64(s.Read()) })
	}
	a.stats.Gauge("fuchsiapier_store_epoch", "Epoch of the store, which increases when it is restored from a copy, -1 if it names none.", func() float64 { return float64(a.watcher.Epoch()) })
	a.stats.Counter("fuchsiapier_store_records_rewritten_total", "Records of this node that were written again since the store was restored from a copy.", nil, func() float64 { return float64(a.watcher.Rewritten()) })
	register("rules_version", "Version of the configuration in force, 0 before the first.", func() int { return int(a.watcher.Freshness().Version) })
	register("rules_newest_version", "Newest version of the configuration that the node knows to exist.", func() int { return int(a.watcher.Freshness().Newest) })
	a.stats.Gauge("fuchsiapier_rules_behind_seconds", "How long the node has known of a newer configuration than the one in force, 0 if of none.", func() float64 { return a.watcher.Freshness().Behind.Seconds() })
	a.stats.Gauge("fuchsiapier_store_response_age_seconds", "Time since the last response of the store to this node.", func() float64 { return a.watcher.Freshness().StoreAge.Seconds() })
}

// self returns the record of this node, made from its settings. It fails if the listen
// address for calls of other nodes has no port number.
func (a *Agent) self() (peers.Node, error) {
	_, port, err := net.SplitHostPort(a.deploy.Gate)
	if err != nil {
		return peers.Node{}, fmt.Errorf("parse listen address for other nodes: %w", err)
	}
	gatePort, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return peers.Node{}, fmt.Errorf("parse port of the listen address for other nodes: %w", err)
	}
	return peers.Node{
		Name:        a.deploy.Node,
		Domain:      a.deploy.Domain,
		Region:      a.deploy.Region,
		IP:          a.deploy.IP,
		MeshPort:    uint16(a.deploy.MeshPort),
		GatePort:    uint16(gatePort),
		Incarnation: time.Now().UnixNano(),
		Service:     a.deploy.TargetService,
		Keeper:      a.deploy.Node,
	}, nil
}

// startMesh creates the view of the other nodes, the token pool and the retry budget,
// and opens the datagram socket.
func (a *Agent) startMesh(self peers.Node) error {
	var socket atomic.Pointer[dgram.Socket]
	send := func(address string, data []byte) error {
		if bound := socket.Load(); bound != nil {
			return bound.Send(address, data)
		}
		return errNotBound
	}
	a.peers = peers.New(self, send,
		peers.WithOnChange(a.peerChanged),
		peers.WithOnNewerConfig(func(from peers.Node) { a.fetcher.Hear(from) }),
		peers.WithOnNewerEpoch(func(from peers.Node) { a.watcher.HearEpoch(from.StoreEpoch, from.Name) }),
		peers.WithCrashes(a.crashes),
		peers.WithTokenGranter(a.grantTokens),
	)
	a.leases = lease.New(self.Name, a.peers, a.workspaceLimit)
	a.retryTokens = pool.New(self.Name, a.peers, a.retryLimit)
	costs := func(service string) map[string]float64 { return a.peers.View().Costs(service) }
	a.retryBudget = retry.NewBudget(retryBounds(a.deploy), a.retryTokens, costs, func() (int, int) {
		nodes, _ := a.peers.View().Size()
		return nodes, a.domains()
	})
	receive := func(from net.Addr, data []byte) {
		if !a.started.Load() {
			return
		}
		if err := a.peers.Receive(timer.Now(), from.String(), data); err != nil {
			a.log.Warn().Err(err).Str("from", from.String()).Msg("malformed datagram dropped")
		}
	}
	bound, stop, err := dgram.New(self.MeshAddress(), receive)
	if err != nil {
		return err
	}
	a.tree.Cleanup(stop)
	socket.Store(bound)
	return nil
}

// errNotBound is returned by sends before the datagram socket is open.
var errNotBound = errors.New("datagram socket is not bound yet")

// startWatch starts watching the configuration and registers the node's record in the
// store.
func (a *Agent) startWatch(self peers.Node) error {
	record, err := cbor.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode node record: %w", err)
	}
	watcher, stop := watch.New(self.Name, record, a.adapter.Store, fleet{agent: a}, a.adapter.Topics, a.adapter.Parse,
		watch.WithLog(a.log),
		watch.WithOnApply(a.configApplied),
		watch.WithOnCaughtUp(a.stats.RecordCaughtUp),
		watch.WithOnStored(a.recordStored),
		watch.WithOwnKeys(departuresPrefix+a.deploy.Node, crashesPrefix+a.deploy.Node),
	)
	a.watcher = watcher
	a.tree.Cleanup(stop)
	a.fetcher, stop = fetch.New(configuration{agent: a}, a.links, a.peers.View, fetch.WithLog(a.log), fetch.WithOnFailed(a.stats.CountFailedFetch))
	a.tree.Cleanup(stop)
	return nil
}

// listen opens the listeners for callers, other nodes, announcements of the target,
// readiness checks and metrics.
func (a *Agent) listen(self peers.Node) error {
	a.entry = entry.New(entry.Config{
		Names:       a.adapter.Names,
		Self:        self,
		Service:     a.localService,
		Rules:       a.watcher.Current,
		Freshness:   a.watcher.Freshness,
		Fleet:       a.peers,
		Gate:        a.gate,
		Remote:      a.links,
		Tokens:      a.leases,
		RetryBudget: a.retryBudget,
		Crashes:     a.crashes,
		Graph:       a.graph,
		Meter:       a.stats,
		Log:         a.requestLog,
	})
	var stop func()
	var err error
	a.callers, stop, err = httpd.New(a.deploy.CallersAddress, a.entry.Handle, httpd.WithLog(a.log), httpd.WithLimits(a.limits), httpd.WithBudgets(a.budgets.ofCallers()), httpd.WithRefusalLog(a.requestLog))
	if err != nil {
		return err
	}
	a.tree.Cleanup(stop)
	receiver := remote.NewReceiver(a.gate, a.adapter.Names, a.watcher.Raw, remote.WithDepartures(a.held))
	a.calls, stop, err = frame.Serve(a.deploy.Gate, receiver.Handle, a.budgets.ofNodes(), a.log, a.adapter.Names.Attempt, a.adapter.Names.Signature)
	if err != nil {
		return err
	}
	a.tree.Cleanup(stop)
	if err := a.serveHTTP("announcements", a.deploy.AnnounceAddress, a.handleAnnounce); err != nil {
		return err
	}
	if err := a.serveHTTP("readiness", a.deploy.ReadinessAddress, a.handleReady); err != nil {
		return err
	}
	return a.serveHTTP("metrics", net.JoinHostPort(a.deploy.IP, strconv.Itoa(a.deploy.MetricsPort)), a.handleMetrics())
}

// localService returns the service of the target on this VM: the announced one, or
// the one in the settings before the first announcement.
func (a *Agent) localService() string {
	if s := a.gate.State().Service; s != "" {
		return s
	}
	return a.deploy.TargetService
}

// limits returns the limits on requests of callers: those of the configuration in
// force, or defaults before the first one.
func (a *Agent) limits() rules.Limits {
	if r := a.watcher.Current(); r != nil {
		return r.Limits()
	}
	return httpd.DefaultLimits
}

// retryBounds returns the bounds on retries that the settings hold.
func retryBounds(s deploy.Settings) retry.Bounds {
	return retry.Bounds{
		Ratio:  s.RetryRatio,
		Slack:  s.RetrySlack,
		Window: s.RetryWindow,
	}
}

// Reload reads the settings file again and applies what may change while the process runs.
func (a *Agent) Reload() {
	a.reloader.Reload(reload.OnSignal)
}

// applySettings takes over the settings that may change while the process runs. Open
// connections and pending requests are not affected.
func (a *Agent) applySettings(s deploy.Settings) {
	a.live.Store(&s)
	a.retryBudget.SetBounds(retryBounds(s))
	a.setMemoryLimit(s)
	a.checkBodyLimit()
}

// domains returns the number of failure domains, which share each retry budget equally.
func (a *Agent) domains() int {
	return max(len(a.live.Load().Domains), 1)
}

// grantTokens handles a request of another node for tokens of a workspace or of a retry
// budget.
func (a *Agent) grantTokens(ctx context.Context, r grant.Request) grant.Reply {
	if _, ok := retry.BudgetService(r.Budget); ok {
		return a.retryTokens.Serve(ctx, r)
	}
	return a.leases.Serve(ctx, r)
}

// retryLimit returns the failure domain's slice of the retry budget of a service, and
// false if the name is not that of a retry budget.
func (a *Agent) retryLimit(budget string) (pool.Limit, bool) {
	service, ok := retry.BudgetService(budget)
	if !ok {
		return pool.Limit{}, false
	}
	retries, window := a.retryBudget.Limit(service)
	return pool.Limit{
		Burst:  retries,
		Window: window,
	}, true
}

// workspaceLimit returns the rate limit of a workspace over the whole fleet, and false if
// it has none.
func (a *Agent) workspaceLimit(workspace string) (lease.Limit, bool) {
	r := a.watcher.Current()
	if r == nil {
		return lease.Limit{}, false
	}
	w, ok := r.ByName(workspace)
	if !ok || w.Rate <= 0 {
		return lease.Limit{}, false
	}
	return lease.Limit{
		Rate:  w.Rate,
		Burst: w.Burst,
	}, true
}

// configApplied publishes the version of the configuration in force to the other nodes.
func (a *Agent) configApplied(r *rules.Rules) {
	a.checkBodyLimit()
	a.peers.Update(timer.Now(), true, func(n *peers.Node) { n.Rules = r.Version() })
}

// targetChanged publishes a new state of the target to the other nodes. The counts of
// its calls are reset if the target has restarted, since the previous process made them.
func (a *Agent) targetChanged(s gate.State) {
	a.log.Info().Str("target", s.ID).Str("service", s.Service).Int("slots", s.Slots).Bool("open", s.Open).
		Int64("born", s.StartedAt).Int64("seq", s.Seq).Msg("target changed")
	if s.StartedAt != a.targetStartedAt.Swap(s.StartedAt) {
		a.graph.Reset()
	}
	a.publishTarget(s, true)
}

// publishTarget copies the state of the target into the node's record; urgent changes
// are sent to the other nodes at once.
func (a *Agent) publishTarget(s gate.State, urgent bool) {
	a.peers.Update(timer.Now(), urgent, func(n *peers.Node) {
		n.TargetID = s.ID
		n.TargetStartedAt = s.StartedAt
		if s.Service != "" {
			n.Service = s.Service
		}
		n.Slots = uint16(min(s.Slots, 1<<16-1))
		n.Open = s.Open
		n.WaitMillis = clampMillis(s.Wait)
		n.ServiceMillis = clampMillis(s.ServiceTime)
		n.CallersServiceMillis = clampMillis(s.CallersServiceTime)
		n.CallersFailPercent = uint8(100 * s.CallersFailureRate)
		n.FailPercent = uint8(100 * s.FailureRate)
		n.Calls = a.graph.Edges(timer.Now())
	})
}

// clampMillis returns a duration in milliseconds, at most the largest uint16.
func clampMillis(d time.Duration) uint16 {
	return uint16(min(d.Milliseconds(), 1<<16-1))
}

// peerChanged logs a change of state of another node, or of this one.
func (a *Agent) peerChanged(c peers.Change) {
	a.log.Info().Str("peer", c.Node.Name).Str("event", c.Event).Str("domain", c.Node.Domain).
		Str("service", c.Node.Service).Int64("silence-ms", c.Silence.Milliseconds()).Msg("node state changed")
}

// tick does the periodic work of the node, every tickPeriod.
func (a *Agent) tick(now timer.Instant) {
	a.gate.Tick()
	a.publishTarget(a.gate.State(), false)
	a.peers.Tick(now)
	a.watcher.Tick(now)
	a.leases.Tick()
	a.retryTokens.Tick()
	if time.Since(a.lastTrim) < trimPeriod {
		return
	}
	a.lastTrim = time.Now()
	a.gate.Trim(a.lastTrim)
	live := map[string]bool{}
	for _, n := range a.peers.View().Nodes() {
		live[n.GateAddress()] = true
	}
	a.links.Trim(a.lastTrim, live)
}

// fleet implements watch.Fleet.
type fleet struct {
	agent *Agent
}

// Readers returns the names of the nodes of the local domain that may read the store;
// the first one is to read it.
func (f fleet) Readers() []string {
	return f.agent.peers.View().Readers()
}

// SetStoreReachable publishes to the other nodes whether this node reaches the store. One that
// does not is replaced as the reader at once.
func (f fleet) SetStoreReachable(reachable bool) {
	f.agent.peers.Update(timer.Now(), !reachable, func(n *peers.Node) { n.Store = reachable })
}

// StoreInDoubt reports whether a live node of the local domain does not reach the store.
func (f fleet) StoreInDoubt() bool {
	return f.agent.peers.View().StoreInDoubt()
}

// ReadingDomains returns the number of failure domains in which a live node reaches the store, and
// the place of the local one among them.
func (f fleet) ReadingDomains() (place, domains int) {
	return f.agent.peers.View().ReadingDomains()
}

// SetStoreEpoch publishes the epoch of the store to the other nodes.
func (f fleet) SetStoreEpoch(epoch int64) {
	f.agent.peers.Update(timer.Now(), true, func(n *peers.Node) { n.StoreEpoch = epoch })
}

// Size returns the number of live nodes.
func (f fleet) Size() int {
	nodes, _ := f.agent.peers.View().Size()
	return nodes
}

// NewestConfig returns the newest version of the configuration that live nodes have in force,
// and which nodes were heard.
func (f fleet) NewestConfig() (version int64, heard watch.Heard) {
	v := f.agent.peers.View()
	switch {
	case v.Known() == 1:
		heard = watch.NoneKnown
	case v.AllHeard():
		heard = watch.AllHeard
	default:
		heard = watch.SomeSilent
	}
	return v.NewestConfig(), heard
}

// Learn adds the nodes of the given records to the known ones. Deleted records are
// skipped. So are records that can't be decoded or whose name differs from their key;
// these are logged.
func (f fleet) Learn(records []watch.Record) {
	var nodes []peers.Node
	for _, r := range records {
		var n peers.Node
		if r.Value == nil {
			continue
		}
		if strings.HasPrefix(r.Key, crashesPrefix) {
			f.agent.restoreCrashes(r)
			continue
		}
		if node, ok := strings.CutPrefix(r.Key, departuresPrefix); ok {
			if node == f.agent.deploy.Node {
				f.agent.restoreStored(r.Value)
			}
			continue
		}
		if err := cbor.Unmarshal(r.Value, &n); err != nil || !strings.EqualFold(n.Name, r.Key) {
			f.agent.log.Warn().Err(err).Str("key", r.Key).Msg("invalid node record skipped")
			continue
		}
		nodes = append(nodes, n)
	}
	f.agent.onListed.Do(func() { close(f.agent.storeListed) })
	f.agent.peers.Learn(timer.Now(), nodes)
}
