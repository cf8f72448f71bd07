// Package gate is the only way to the target on the node's VM. It knows what
// runs there and what waits, decides order and refusals on that, and sends each
// request at most once.
package gate

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

const (
	// dialTimeout bounds opening a connection to the target, which is on the same VM.
	dialTimeout = 400 * time.Millisecond
	// downTime is how long a target that refuses connections is left alone.
	downTime = 200 * time.Millisecond
	// minLeft is the least time that is worth handing to a target.
	minLeft = 5 * time.Millisecond
	// sendMargin is taken off the deadline that a target gets, so that its own
	// answer at the deadline is back in time.
	sendMargin = 10 * time.Millisecond
	// answerGrace is how long after the deadline a target's answer is awaited.
	answerGrace = 150 * time.Millisecond
	// unknownSlots is assumed of a target that has not announced itself yet.
	unknownSlots = 8
	// headRoom is what the header of most requests needs, in bytes.
	headRoom = 768
	// failWeight is the weight of one more result in the share of failures.
	failWeight = 0.1
	// failHalfLife is the time in which the share halves without results, so that a
	// target that was avoided is tried again.
	failHalfLife = 3 * time.Second
	// tombstones bounds the remembered IDs of targets that have left.
	tombstones = 64
)

// Gate is safe for concurrent use.
type Gate struct {
	names   msg.Names
	filter  msg.Filter
	changed func(State)
	ran     func()
	docket  Docket
	log     zerolog.Logger

	mu        sync.Mutex
	target    Target
	known     bool
	leaving   bool
	downUntil time.Time
	pool      *outlet.Outlet
	limiter   *limit.Limiter
	waiting   map[*limit.Ticket]chan bool
	left      map[string]int64
	leftOrder []string
	failed    decay.Share
	mean      mean
	// callers is the mean of callers' own requests alone.
	callers       mean
	callersFailed decay.Share
	deaths        deaths
}

// Option configures a Gate.
type Option func(*Gate)

// WithChanged registers a function that is told when the target's state changes.
func WithChanged(f func(State)) Option {
	return func(g *Gate) {
		g.changed = f
	}
}

// WithDocket sets where requests that crash targets are kept.
func WithDocket(d Docket) Option {
	return func(g *Gate) {
		g.docket = d
	}
}

// clear is a docket that knows no request.
type clear struct{}

func (clear) Judge(crash.Fingerprint) (crash.Standing, time.Duration) { return crash.Clear, 0 }
func (clear) Died([]crash.Fingerprint)                                {}
func (clear) Cleared(crash.Fingerprint)                               {}

// WithLog sets where calls that were refused or failed are logged.
func WithLog(log zerolog.Logger) Option {
	return func(g *Gate) {
		g.log = log
	}
}

// WithRan registers a function that is told of each run at the target.
func WithRan(f func()) Option {
	return func(g *Gate) {
		g.ran = f
	}
}

// New returns a gate without a target and its clean-up.
func New(names msg.Names, options ...Option) (*Gate, func()) {
	g := &Gate{
		names:   names,
		filter:  msg.NewFilter(call.FieldCall, call.FieldLoad, call.FieldRefused),
		changed: func(State) {},
		ran:     func() {},
		docket:  clear{},
		log:     zerolog.Nop(),
		failed:  newFailed(),

		callersFailed: newFailed(),
		deaths:        newDeaths(),
		limiter:       limit.New(unknownSlots),
		waiting:       map[*limit.Ticket]chan bool{},
		left:          map[string]int64{},
	}
	for _, o := range options {
		o(g)
	}
	return g, g.close
}

func newFailed() decay.Share {
	return decay.Share{
		Weight:   failWeight,
		HalfLife: failHalfLife,
	}
}

func (g *Gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool != nil {
		g.pool.Close()
	}
}

// Leave refuses further requests from other nodes: this node is about to stop.
func (g *Gate) Leave() {
	g.mu.Lock()
	g.leaving = true
	state := g.stateLocked()
	g.mu.Unlock()
	g.changed(state)
}

// State returns the gate's state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateLocked()
}

func (g *Gate) stateLocked() State {
	return State{
		Target:  g.target,
		Open:    g.known && g.target.Ready && !g.leaving && time.Now().After(g.downUntil),
		Wait:    g.limiter.Wait(&limit.Ticket{}),
		Running: g.limiter.Running(),
		Waiting: g.limiter.Waiting(),
		Limit:   g.limiter.Limit(),

		ServiceTime: g.mean.value(time.Now()),
		CallersTime: g.callers.value(time.Now()),
		CallersFail: g.callersFailed.Value(time.Now()),
		FailShare:   g.failed.Value(time.Now()),
	}
}

// Tick gives the slots of overdue runs to what waits.
func (g *Gate) Tick() {
	g.mu.Lock()
	var woken []chan bool
	if g.limiter.Reclaim(timer.Now()) {
		woken = g.next()
	}
	g.mu.Unlock()
	wake(woken)
}

// Trim closes connections to the target that were idle for too long.
func (g *Gate) Trim(now time.Time) {
	g.mu.Lock()
	pool := g.pool
	g.mu.Unlock()
	if pool != nil {
		pool.Trim(now)
	}
}
