// Package gate controls admission to the target on the node's VM. All requests
// for the target pass through it, so that it knows how many are in flight and how
// many are queued. From that it decides which requests to refuse and in which
// order the others start. It sends each request to the target at most once.
package gate

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// dialTimeout bounds opening a connection to the target, which is on the same VM.
	dialTimeout = 400 * time.Millisecond
	// downBackoff is how long a target gets no requests after it refused a
	// connection, and the retry delay given with refusals while the gate is closed.
	downBackoff = 200 * time.Millisecond
	// minTimeLeft is the least time to the deadline with which a request is sent.
	minTimeLeft = 5 * time.Millisecond
	// deadlineMargin is subtracted from the deadline that the target gets, so that
	// a response that it sends at its deadline arrives in time.
	deadlineMargin = 10 * time.Millisecond
	// responseGrace is how long after the deadline the target's response is awaited.
	responseGrace = 150 * time.Millisecond
	// defaultSlots is the number of slots assumed before a target is announced.
	defaultSlots = 8
	// headerCapacity is enough for the header of most requests, in bytes.
	headerCapacity = 768
	// failureWeight is the weight of a new result in a failure rate, which is an
	// exponentially weighted moving average.
	failureWeight = 0.1
	// failureHalfLife is the time in which a failure rate halves without results, so
	// that a target that is avoided for its failures is tried again.
	failureHalfLife = 3 * time.Second
)

// cautiousReports is how many reports of a target show that it has not left, where a restarted node
// could not learn of departures: late reports are few.
const cautiousReports = 2

// Gate admits requests to the target on this VM and sends them. It is safe for
// concurrent use.
type Gate struct {
	names    msg.Names
	filter   msg.Filter
	onChange func(State)
	onRun    func()
	// onMalformed is called with the reason for each response that is not the target's answer.
	onMalformed func(reason string)
	// onDeparture is called with all departures on record after a new one.
	onDeparture func([]starts.Departure)
	crashes     CrashTracker
	log         zerolog.Logger
	// targetLog is for lines about changes of the target.
	targetLog zerolog.Logger

	mu     sync.Mutex
	target Target
	// announced says that a target has announced itself.
	announced bool
	// rateLimit is the number of requests per second that the target accepts, 0 for no limit.
	// rateLimitKnown says that it is from a response that this process has read.
	rateLimit      float64
	rateLimitKnown bool
	// paced starts queued requests that the rate limit holds up; nil before the first.
	paced *time.Timer
	// sent counts the requests that were sent to targets.
	sent uint64
	// leaving says that the node is about to stop.
	leaving   bool
	downUntil time.Time
	pool      *httpc.Pool
	// bodies bounds the memory of responses that are read; nil for the default.
	bodies *httpc.Bodies
	// connections bounds the connections to the target; nil for no bound.
	connections *budget.Budget
	limiter     *limit.Limiter
	// waiting holds a channel for each queued request, with a buffer of one. It
	// receives true when the request starts and false when it is dropped from the
	// queue.
	waiting map[*limit.Ticket]chan bool
	// starts decides which announcements are applied.
	starts starts.Tracker
	// blocked keeps the gate closed until Unblock is called, and if that left departures unknown,
	// as cautious says, until there were cautiousReports of the present start. reports counts
	// them.
	blocked  bool
	cautious bool
	reports  int
	// failed is the recent failure rate of the target.
	failed      decay.Share
	serviceTime serviceTime
	// callersTime and callersFailed count callers' own requests only, without
	// nested calls.
	callersTime   serviceTime
	callersFailed decay.Share
	runs          runs
	crashCounts   crashCounts
	// checks are the running checks for crashes of the target, by its address.
	checks singleflight.Group
}

// Option configures a Gate.
type Option func(*Gate)

// WithOnChange sets a function that is called with the new state when the target's
// ID or service changes and when the gate opens or closes. It is not called when
// the gate pauses after a refused connection.
func WithOnChange(f func(State)) Option {
	return func(g *Gate) {
		g.onChange = f
	}
}

// WithCrashTracker sets where the standing of requests that are suspected of crashing
// targets is kept. Without it no request is suspected.
func WithCrashTracker(t CrashTracker) Option {
	return func(g *Gate) {
		g.crashes = t
	}
}

// noCrashes suspects no request of crashing targets.
type noCrashes struct{}

func (noCrashes) Lookup(crash.Fingerprint) (crash.Standing, time.Duration)  { return crash.Clear, 0 }
func (noCrashes) RecordCrash(crash.ID, []crash.Fingerprint) (c crash.Crash) { return c }
func (noCrashes) RecordSuccess(crash.Fingerprint)                           {}
func (noCrashes) Learn(string, []crash.Crash) (n []crash.Crash)             { return n }
func (noCrashes) Evidence(crash.Fingerprint) []crash.Crash                  { return nil }

// WithLog sets the logger for requests that are refused or fail.
func WithLog(log zerolog.Logger) Option {
	return func(g *Gate) {
		g.log = log
	}
}

// WithTargetLog sets the logger for what the target says about itself in responses.
func WithTargetLog(log zerolog.Logger) Option {
	return func(g *Gate) {
		g.targetLog = log
	}
}

// WithOnRun sets a function that is called after each request that was, or may have
// been, sent to the target.
func WithOnRun(f func()) Option {
	return func(g *Gate) {
		g.onRun = f
	}
}

// WithOnDeparture sets a function that is called with all departures on record after each
// new one, so that they outlive this process.
func WithOnDeparture(f func([]starts.Departure)) Option {
	return func(g *Gate) {
		g.onDeparture = f
	}
}

// WithBlocked keeps the gate closed until Unblock is called.
func WithBlocked() Option {
	return func(g *Gate) {
		g.blocked = true
	}
}

// WithConnections sets the bound on connections to the target, which others may share.
func WithConnections(b *budget.Budget) Option {
	return func(g *Gate) {
		g.connections = b
	}
}

// WithBodies sets the bound on the memory of responses that are read from the target.
func WithBodies(b *httpc.Bodies) Option {
	return func(g *Gate) {
		g.bodies = b
	}
}

// New returns a gate that knows no target yet, and a function that closes its
// idle connections to the target.
func New(names msg.Names, options ...Option) (*Gate, func()) {
	g := &Gate{
		names:         names,
		filter:        msg.NewFilter(call.FieldCall, call.FieldLoad, call.FieldRefused, call.FieldCrash),
		onChange:      func(State) {},
		onRun:         func() {},
		onMalformed:   func(string) {},
		onDeparture:   func([]starts.Departure) {},
		crashes:       noCrashes{},
		log:           zerolog.Nop(),
		targetLog:     zerolog.Nop(),
		failed:        newFailureRate(),
		callersFailed: newFailureRate(),
		runs:          newRuns(),
		limiter:       limit.New(defaultSlots),
		waiting:       map[*limit.Ticket]chan bool{},
	}
	for _, o := range options {
		o(g)
	}
	return g, g.close
}

func newFailureRate() decay.Share {
	return decay.Share{
		Weight:   failureWeight,
		HalfLife: failureHalfLife,
	}
}

func (g *Gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool != nil {
		g.pool.Close()
	}
	if g.paced != nil {
		g.paced.Stop()
	}
}

// Leave makes the gate refuse all requests that have not been sent to the target
// yet, the queued ones at once, since the node is about to stop. Requests in flight continue.
func (g *Gate) Leave() {
	g.mu.Lock()
	g.leaving = true
	for t := range g.waiting {
		if g.limiter.Cancel(t) {
			g.evict(t)
		}
	}
	state := g.stateLocked()
	g.mu.Unlock()
	g.onChange(state)
}

// State returns the current state of the target and its queue.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateLocked()
}

// stateLocked returns the state; g.mu must be held.
func (g *Gate) stateLocked() State {
	return State{
		Target:  g.target,
		Open:    g.announced && g.target.Ready && !g.leaving && !g.blocked && time.Now().After(g.downUntil),
		Wait:    g.wait(),
		Running: g.limiter.Running(),
		Waiting: g.limiter.Waiting(),
		Limit:   g.limiter.Limit(),

		RateLimit: g.rateLimit,
		Sent:      g.sent,

		ServiceTime:        g.serviceTime.value(time.Now()),
		CallersServiceTime: g.callersTime.value(time.Now()),
		CallersFailureRate: g.callersFailed.Value(time.Now()),
		FailureRate:        g.failed.Value(time.Now()),
	}
}

// wait returns the expected queueing time of a new request: that of an important one, or
// of any request where the target limits the rate; g.mu must be held.
func (g *Gate) wait() time.Duration {
	now := timer.Now()
	return max(g.limiter.Wait(now, &limit.Ticket{}), g.limiter.Backlog(now))
}

// Tick starts queued requests in the slots of requests that are overdue. It is to
// be called periodically.
func (g *Gate) Tick() {
	g.mu.Lock()
	var woken []chan bool
	if g.limiter.Reclaim(timer.Now()) {
		woken = g.startQueued()
	}
	g.mu.Unlock()
	wake(woken)
}

// Trim closes connections to the target that have been idle for too long. It is
// to be called periodically.
func (g *Gate) Trim(now time.Time) {
	g.mu.Lock()
	pool := g.pool
	g.mu.Unlock()
	if pool != nil {
		pool.Trim(now)
	}
}
