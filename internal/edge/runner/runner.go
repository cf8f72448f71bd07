// Package runner runs calls on the target of the node's VM: it admits them, sends
// them to the target, and handles the announcements and nested calls that the
// target makes.
package runner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/admit/poison"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/edge/pool"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/roster"
)

const (
	// adjustPeriod is how often the admission level is adjusted.
	adjustPeriod = 100 * time.Millisecond
	// announceTimeout is how long a target counts as up after an announcement, and
	// how long a cancellation without its call is kept.
	announceTimeout = 3 * time.Second
	// crashDialTimeout bounds the check whether a target has crashed.
	crashDialTimeout = 100 * time.Millisecond
	// unavailableRetryAfter is when to retry after a refusal because the node is
	// draining or has no target that is ready.
	unavailableRetryAfter = 1 * time.Second
)

// Sender performs nested calls.
type Sender interface {
	// Call sends a call to a target of its service.
	Call(ctx context.Context, c wire.Call) wire.Reply
	// ServiceLevel returns the admission level of a service.
	ServiceLevel(service string) int
}

// Keys checks the keys of callers.
type Keys interface {
	// KeyValid reports whether a key that an entry node accepted under the given
	// configuration version is not known to be withdrawn.
	KeyValid(keyID string, version uint64) bool
}

// Runner runs calls on the target of a node's VM. It is safe for concurrent use.
type Runner struct {
	sender    Sender
	keys      Keys
	poison    *poison.Tracker
	events    *event.Ring
	announce  func(roster.Target)
	route     Router
	handles   *handles
	useLevels bool
	options   []limit.Option
	mu        sync.Mutex
	target    *target
	draining  bool
	drained   chan struct{}
	// cancels holds the cancel functions of the calls in flight, by serial.
	cancels map[string]context.CancelFunc
	// cancelledEarly holds the serials of cancellations that arrived before their
	// calls, and when they arrived.
	cancelledEarly map[string]timer.Instant
	inFlight       int
}

// target is a target that was announced on this VM.
type target struct {
	service     string
	announced   Announcement
	pool        *pool.Pool
	closePool   func()
	gate        *gate
	announcedAt timer.Instant
	// down is set after a crash or when announcements stop.
	down bool
}

// Option configures a Runner.
type Option func(*Runner)

// WithLimits sets options of the concurrency limiter.
func WithLimits(o ...limit.Option) Option {
	return func(r *Runner) {
		r.options = o
	}
}

// WithoutLevels disables the admission levels, as a baseline for comparison.
func WithoutLevels() Option {
	return func(r *Runner) {
		r.useLevels = false
	}
}

// Dependencies holds the dependencies of a Runner.
type Dependencies struct {
	Sender  Sender
	Keys    Keys
	Tracker *poison.Tracker
	Events  *event.Ring
	Timers  *timer.Service
	// Announce publishes the state of the target.
	Announce func(roster.Target)
	Route    Router
}

// New returns the runner of a node and the function that stops its timer.
func New(d Dependencies, options ...Option) (*Runner, func()) {
	r := &Runner{
		sender:         d.Sender,
		keys:           d.Keys,
		poison:         d.Tracker,
		events:         d.Events,
		announce:       d.Announce,
		route:          d.Route,
		handles:        newHandles(),
		useLevels:      true,
		cancels:        map[string]context.CancelFunc{},
		cancelledEarly: map[string]timer.Instant{},
	}
	for _, o := range options {
		o(r)
	}
	return r, d.Timers.Every(adjustPeriod, r.tick)
}

// track registers the cancel function of a call. It returns false if the
// cancellation has arrived already.
func (r *Runner) track(serial string, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.cancelledEarly[serial]; ok {
		delete(r.cancelledEarly, serial)
		return false
	}
	r.cancels[serial] = cancel
	return true
}

func (r *Runner) untrack(serial string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, serial)
}

// Cancel cancels the call with the given serial, also if the call arrives later.
func (r *Runner) Cancel(serial string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel, ok := r.cancels[serial]; ok {
		cancel()
		return
	}
	r.cancelledEarly[serial] = timer.Now()
}

// tick expires early cancellations, marks a target down whose announcements have
// stopped, and adjusts the admission level.
func (r *Runner) tick(now timer.Instant) {
	r.mu.Lock()
	t := r.target
	for serial, at := range r.cancelledEarly {
		if now.Sub(at) > announceTimeout {
			delete(r.cancelledEarly, serial)
		}
	}
	lost := t != nil && !t.down && now.Sub(t.announcedAt) > announceTimeout
	if lost {
		t.down = true
	}
	r.mu.Unlock()
	if lost {
		r.announce(roster.Target{})
		r.events.Add(event.Event{
			Kind:   "target-silent",
			Detail: t.service,
		})
	}
	if t != nil {
		r.adjust(now, t)
	}
}

// adjust adjusts the admission level and records an event when the level leaves 0
// or returns to it.
func (r *Runner) adjust(now timer.Instant, t *target) {
	old, level := t.gate.adjust(now)
	if (old == 0) != (level == 0) {
		r.events.Add(event.Event{
			Kind:   "admission-level",
			Detail: t.service + " " + strconv.Itoa(level),
		})
	}
}

// Drain makes the runner refuse new calls and returns a channel that is closed
// when no call is in flight any more.
func (r *Runner) Drain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		r.draining = true
		r.drained = make(chan struct{})
		if r.inFlight == 0 {
			close(r.drained)
		}
	}
	return r.drained
}

// Status is the state of the target as reported to operators.
type Status struct {
	Service string `json:"service,omitempty"`
	State   string `json:"state,omitempty"`
	gateState
}

// Status returns the state of the target on this VM, the zero Status if none was
// announced.
func (r *Runner) Status() Status {
	r.mu.Lock()
	t := r.target
	state := ""
	if t != nil {
		state = t.announced.State
		if t.down {
			state = "dead"
		}
	}
	r.mu.Unlock()
	if t == nil {
		return Status{}
	}
	return Status{
		Service:   t.service,
		State:     state,
		gateState: t.gate.state(),
	}
}
