package agent

import (
	"runtime/debug"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/conf/deploy"
	"fuchsiapier/internal/pipe/accept"
)

const (
	// defaultMemory and defaultDescriptors are the limits of the process where the settings have none, in
	// bytes and descriptors.
	defaultMemory      = 256 << 20
	defaultDescriptors = 1024
	// memoryFraction is the fraction of the memory limit in the settings that becomes the soft
	// memory limit of the Go runtime.
	memoryFraction = 0.6
	// heldFraction is the fraction of the memory limit for what peers make the node hold: connections,
	// requests and responses. The rest is for the node itself, for what waits unread in sockets, and for
	// memory that was released and is not collected yet.
	heldFraction = 0.4
	// smallDivisor gives the part of the held memory that is kept for connections and small requests.
	smallDivisor = 8
	// smallBytes is the memory of a small request, in bytes; those of ordinary callers are smaller.
	smallBytes = 64 << 10
	// minSockets is how many sockets the node takes at least, whatever the settings say: it can't work with
	// fewer.
	minSockets = 128
	// fileDescriptors are the descriptors that the platform reserves for files.
	fileDescriptors = 200
	// callersFraction and nodesFraction give the parts of the other descriptors for the connections of callers
	// and of other nodes, smallRequestsDivisor the part of each listener for small requests. The rest is for
	// connections to targets and other nodes, less storeDescriptors for those to the store.
	callersFraction      = 0.375
	nodesFraction        = 0.25
	smallRequestsDivisor = 32
	smallListeners       = 3
	storeDescriptors     = 32
	// headroomDivisor gives the part of the connections that is kept free by closing idle ones.
	headroomDivisor = 16
	// unreadDivisor gives the part of the held memory that may wait unread in sockets besides while requests
	// wait for memory, unreadBytes what waits in the socket of one of them, in bytes.
	unreadDivisor = 8
	unreadBytes   = 64 << 10
	// maxSmallRequests bounds the connections of a listener for small requests.
	maxSmallRequests = 64
)

// budgets bound what callers, other nodes and targets can make the node hold.
type budgets struct {
	// memory counts bytes; the others count connections: of callers, of other nodes, to targets and other
	// nodes, and of each listener for small requests.
	memory        *budget.Budget
	callers       *budget.Budget
	nodes         *budget.Budget
	outgoing      *budget.Budget
	smallRequests int64
}

// newBudgets returns the budgets that follow from the settings. The functions are called when memory, or
// connections of callers, begin to be short, and when that is over.
func newBudgets(s deploy.Settings, memoryShort, connectionsShort func(begins bool)) budgets {
	held, kept := heldMemory(s)
	sockets := sockets(s)
	small := min(sockets/smallRequestsDivisor, maxSmallRequests)
	callers := int64(callersFraction * float64(sockets))
	nodes := int64(nodesFraction * float64(sockets))
	return budgets{
		memory: budget.New(held, budget.WithReserve(kept, smallBytes), budget.WithRoomForAnswers(),
			budget.WithWaiting(int(held/unreadDivisor/unreadBytes)), budget.WithOnShortage(memoryShort)),
		callers:       connections(callers, budget.WithOnShortage(connectionsShort)),
		nodes:         connections(nodes),
		outgoing:      connections(sockets - callers - nodes - smallListeners*small - storeDescriptors),
		smallRequests: small,
	}
}

// sockets returns how many descriptors the process may have for sockets.
func sockets(s deploy.Settings) int64 {
	if s.Descriptors == 0 {
		return defaultDescriptors - fileDescriptors
	}
	return max(int64(s.Descriptors)-fileDescriptors, minSockets)
}

// connections returns a budget of connections.
func connections(n int64, options ...budget.Option) *budget.Budget {
	return budget.New(n, append(options, budget.WithHeadroom(n/headroomDivisor))...)
}

// heldMemory returns how many bytes peers may make the node hold, and how many of them are kept for small
// requests.
func heldMemory(s deploy.Settings) (held, kept int64) {
	held = int64(heldFraction * float64(memoryLimit(s)))
	return held, held / smallDivisor
}

// memoryLimit returns the memory limit of the process, in bytes.
func memoryLimit(s deploy.Settings) int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	return defaultMemory
}

// ofCallers returns the budgets of callers.
func (b budgets) ofCallers() accept.Budgets {
	return accept.Budgets{
		Owner:       budget.Callers,
		Connections: b.callers,
		Memory:      b.memory,
	}
}

// ofNodes returns the budgets of other nodes.
func (b budgets) ofNodes() accept.Budgets {
	return accept.Budgets{
		Owner:       budget.Nodes,
		Connections: b.nodes,
		Memory:      b.memory,
	}
}

// ofSmallRequests returns the budgets of a listener for small requests, whose memory is bounded by the number of its
// connections.
func (b budgets) ofSmallRequests() accept.Budgets {
	return accept.Budgets{
		Owner:       budget.Callers,
		Connections: connections(b.smallRequests),
		Memory:      budget.Unlimited(),
	}
}

// setMemoryLimit sets the soft memory limit of the Go runtime and the memory that peers may make the node
// hold.
func (a *Agent) setMemoryLimit(s deploy.Settings) {
	debug.SetMemoryLimit(int64(memoryFraction * float64(memoryLimit(s))))
	a.budgets.memory.Resize(heldMemory(s))
}

// checkBodyLimit logs a configuration that allows larger bodies than the node has memory for: those are
// answered 413.
func (a *Agent) checkBodyLimit() {
	largest := a.budgets.memory.Largest()
	if limit := a.limits().BodyBytes; int64(limit) > largest {
		a.log.Warn().Int("max-body-bytes", limit).Int64("largest-bytes", largest).
			Msg("configuration allows larger bodies than this node has memory for")
	}
}

// memoryShort logs that memory begins to be short, or that this is over.
func (a *Agent) memoryShort(begins bool) {
	if begins {
		a.requestLog.Warn().Msg("memory for connections, requests and responses is short; what makes no progress is closed or refused")
		return
	}
	a.requestLog.Info().Msg("memory for connections, requests and responses is no longer short")
}

// connectionsShort logs that connections of callers begin to be short, or that this is over.
func (a *Agent) connectionsShort(begins bool) {
	if begins {
		a.requestLog.Warn().Msg("connections of callers are short; idle ones are closed, new ones may be refused")
		return
	}
	a.requestLog.Info().Msg("connections of callers are no longer short")
}

// registerBudgets registers metrics of the budgets.
func (a *Agent) registerBudgets() {
	for _, o := range budget.Owners() {
		labels := map[string]string{"owner": o.Name()}
		a.stats.LabeledGauge("fuchsiapier_held_bytes", "Memory that connections, requests and responses use, by who sends them.", labels, func() float64 { return float64(a.budgets.memory.Used(o)) })
	}
	a.stats.Gauge("fuchsiapier_callers_connections", "Open connections of callers.", func() float64 { return float64(a.budgets.callers.Used(budget.Callers)) })
	a.stats.Gauge("fuchsiapier_nodes_connections", "Open connections of other nodes.", func() float64 { return float64(a.budgets.nodes.Used(budget.Nodes)) })
	a.stats.Gauge("fuchsiapier_outgoing_connections", "Open connections to the target and to other nodes.", func() float64 { return float64(a.budgets.outgoing.Used(budget.Answers)) })
	for name, b := range map[string]*budget.Budget{
		"memory":               a.budgets.memory,
		"callers-connections":  a.budgets.callers,
		"nodes-connections":    a.budgets.nodes,
		"outgoing-connections": a.budgets.outgoing,
	} {
		labels := map[string]string{"resource": name}
		a.stats.Counter("fuchsiapier_refused_for_want_total", "Requests, responses and connections for which there was no room.", labels, func() float64 { return float64(b.Refusals()) })
		a.stats.Counter("fuchsiapier_evicted_total", "Requests and connections without progress that were given up for others.", labels, func() float64 { return float64(b.Evictions()) })
	}
}
