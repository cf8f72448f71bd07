package runner

import (
	"context"
	"sync"
	"time"

	"fuchsiapier/internal/admit/level"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/timer"
)

// gate controls admission to a target: a request must reach the admission level
// and then get a slot from the concurrency limiter or wait for one. It is safe for
// concurrent use.
type gate struct {
	mu      sync.Mutex
	limiter *limit.Limiter
	control level.Controller
	// waiting holds a channel for each queued request, which receives whether the
	// request starts or was rejected.
	waiting map[*limit.Ticket]chan bool
	// shed is set if a request that had passed the admission level was rejected
	// since the last call of adjust.
	shed      bool
	useLevels bool
}

// admitResult is the outcome of acquire.
type admitResult int

const (
	admitted admitResult = iota
	// belowLevel means that the priority is below the admission level.
	belowLevel
	// overloaded means that the queue was full, that the request was evicted from
	// it, or that the request could not finish or start before its deadline.
	overloaded
	// contextDone means that the context ended while the request was queued.
	contextDone
)

func newGate(slots int, useLevels bool, options ...limit.Option) *gate {
	return &gate{
		limiter:   limit.New(slots, options...),
		waiting:   map[*limit.Ticket]chan bool{},
		useLevels: useLevels,
	}
}

// acquire waits until the request may run. If it returns admitted, the caller
// must call release.
func (g *gate) acquire(ctx context.Context, t *limit.Ticket) admitResult {
	g.mu.Lock()
	now := timer.Now()
	if g.useLevels && !g.control.Admit(t.Priority) {
		g.mu.Unlock()
		return belowLevel
	}
	verdict, evicted := g.limiter.Offer(now, t)
	if evicted != nil {
		g.wake(evicted, false)
	}
	if verdict == limit.Refused {
		g.shed = true
	}
	if verdict != limit.Queued {
		g.mu.Unlock()
		return resultOf(verdict)
	}
	woken := make(chan bool, 1)
	g.waiting[t] = woken
	g.mu.Unlock()
	select {
	case ok := <-woken:
		if ok {
			return admitted
		}
		return overloaded
	case <-ctx.Done():
		return g.cancel(t, woken)
	}
}

func resultOf(v limit.Verdict) admitResult {
	if v == limit.Started {
		return admitted
	}
	return overloaded
}

// cancel removes a request from the queue. If the request was started or rejected
// concurrently, cancel returns that result instead.
func (g *gate) cancel(t *limit.Ticket, woken chan bool) admitResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter.Cancel(t) {
		delete(g.waiting, t)
		g.shed = true
		return contextDone
	}
	if <-woken {
		return admitted
	}
	return overloaded
}

// wake tells a queued request whether it starts or was rejected.
func (g *gate) wake(t *limit.Ticket, start bool) {
	if !start {
		g.shed = true
	}
	g.waiting[t] <- start
	delete(g.waiting, t)
}

// release frees the slot of a request that ran for the given time and starts queued
// requests.
func (g *gate) release(t *limit.Ticket, took time.Duration, r limit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	g.limiter.Finish(now, t, took, r)
	g.startNext(now)
}

// startNext starts queued requests while slots are free and rejects those whose
// deadline has passed.
func (g *gate) startNext(now timer.Instant) {
	for {
		started, expired := g.limiter.Next(now)
		for _, e := range expired {
			g.wake(e, false)
		}
		if started == nil {
			return
		}
		g.wake(started, true)
	}
}

// adjust ends a measurement interval of the admission level and returns the old and
// the new level.
func (g *gate) adjust(now timer.Instant) (old, level int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old = g.control.Level()
	level = g.control.Adjust(g.limiter.TakeMeanWait(now), g.limiter.ServiceTime(), g.shed)
	g.shed = false
	return old, level
}

// resize sets the announced slots; coldStart also resets the concurrency limit.
func (g *gate) resize(slots int, coldStart bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if coldStart {
		g.limiter.Restart(slots)
	} else {
		g.limiter.Resize(slots)
	}
	g.startNext(timer.Now())
}

// gateState is the state of a gate as reported in replies and to operators.
type gateState struct {
	// Level is the lowest priority that is admitted.
	Level int `json:"level"`
	// Limit is the concurrency limit.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Retry is the estimated time until all queued requests have finished.
	Retry time.Duration `json:"-"`
}

// load returns the running and waiting requests as a fraction of the limit. It is
// usually above 1 while requests wait.
func (s gateState) load() float64 {
	return float64(s.Running+s.Waiting) / float64(max(s.Limit, 1))
}

func (g *gate) state() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateState{
		Level:   g.control.Level(),
		Limit:   g.limiter.Limit(),
		Running: g.limiter.Running(),
		Waiting: g.limiter.Waiting(),
		Retry:   g.limiter.RetryAfter(timer.Now()),
	}
}
