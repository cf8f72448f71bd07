// Package limit bounds what runs at once on one target and what waits for it.
// The concurrency limit starts low after a cold start, grows with clean
// completions up to the announced slots, and shrinks when the target sheds.
// The package does no I/O and takes time as an argument.
package limit

import (
	"slices"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// coldShare is the part of the slots used right after a start.
	coldShare = 0.25
	// shrink multiplies the limit when the target sheds.
	shrink = 0.8
	// shrinkInterval bounds how often the limit shrinks.
	shrinkInterval = 100 * time.Millisecond
	// smoothing is the weight of a new service time in the running mean.
	smoothing = 0.05
	// queueFactor bounds the queue, in multiples of the limit.
	queueFactor = 4
	// minQueue is the least bound of the queue, in requests.
	minQueue = 4
	// overdueFactor is how many times the mean a request may run before its slot goes to
	// the next: work with a heavy tail takes five times the mean at most 1 time in 100.
	overdueFactor = 5
	// minOverdue is the least time before that.
	minOverdue = 50 * time.Millisecond
)

// Verdict is what becomes of an offered request.
type Verdict int

// The verdicts.
const (
	// Started means that the request runs now.
	Started Verdict = iota
	// Queued means that it waits; it starts or is evicted later.
	Queued
	// Refused means that it can't finish before its deadline or that the queue is full.
	Refused
)

// Ticket is a request offered to a target.
type Ticket struct {
	// Priority orders the queue; higher goes first.
	Priority int
	// Nested calls belong to a request that is admitted already and go first.
	Nested bool
	// Alone asks that nothing else runs on the target meanwhile.
	Alone    bool
	Deadline timer.Instant
	// Due is when the request should have been answered; earlier ones go first. Where
	// it is not set, nested calls and then the priority decide.
	Due      timer.Instant
	queuedAt timer.Instant
	began    timer.Instant
	// reclaimed says that the request runs without a slot.
	reclaimed bool
	sequence  uint64
}

// before reports whether t is started ahead of o.
func (t *Ticket) before(o *Ticket) bool {
	if t.Due != 0 && o.Due != 0 && t.Due != o.Due {
		return t.Due < o.Due
	}
	if t.Nested != o.Nested {
		return t.Nested
	}
	if t.Priority != o.Priority {
		return t.Priority > o.Priority
	}
	return t.sequence < o.sequence
}

// Limiter is not safe for concurrent use.
type Limiter struct {
	slots   int
	limit   float64
	running int
	// holders are the requests with a slot, the oldest first.
	holders []*Ticket
	// reclaimed counts the requests that run without a slot.
	reclaimed int
	alone     bool
	queue     []*Ticket
	sequence  uint64
	service   time.Duration
	shrunkAt  timer.Instant
	fixed     bool
	unlimited bool
	waited    time.Duration
	started   int
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithFixed keeps the limit at the announced slots, as a baseline for comparison.
func WithFixed() Option {
	return func(l *Limiter) {
		l.fixed = true
	}
}

// WithUnlimited starts every request at once, as a baseline for comparison.
func WithUnlimited() Option {
	return func(l *Limiter) {
		l.unlimited = true
	}
}

// New returns the limiter of a target that has just started.
func New(slots int, options ...Option) *Limiter {
	l := &Limiter{}
	for _, o := range options {
		o(l)
	}
	l.Restart(slots)
	return l
}

// Restart sets the limit back after a cold start of the target.
func (l *Limiter) Restart(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(1, coldShare*float64(l.slots))
	if l.fixed {
		l.limit = float64(l.slots)
	}
}

// Warm sets the limit for a target that is past its cold start.
func (l *Limiter) Warm(slots int) {
	l.slots = max(slots, 1)
	l.limit = float64(l.slots)
}

// Resize adapts to a changed announcement of a target that goes on running.
func (l *Limiter) Resize(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, float64(l.slots))
	if l.fixed {
		l.limit = float64(l.slots)
	}
}

// Limit returns how many requests may run at once.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// Service returns the mean time a request runs.
func (l *Limiter) Service() time.Duration {
	return l.service
}

// Running returns how many requests run.
func (l *Limiter) Running() int {
	return l.running
}

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int {
	return len(l.queue)
}

// Offer takes a request. A queued request may displace the last of the queue,
// which is returned as evicted.
func (l *Limiter) Offer(now timer.Instant, t *Ticket) (v Verdict, evicted *Ticket) {
	l.sequence++
	t.sequence = l.sequence
	t.queuedAt = now
	if l.fits(t) && len(l.queue) == 0 {
		l.start(now, t)
		return Started, nil
	}
	if now.Add(l.estimate(l.ahead(t))) > t.Deadline {
		return Refused, nil
	}
	l.insert(t)
	if len(l.queue) <= l.bound() {
		return Queued, nil
	}
	last := l.queue[len(l.queue)-1]
	l.queue = l.queue[:len(l.queue)-1]
	if last == t {
		return Refused, nil
	}
	return Queued, last
}

// ahead counts the waiting requests that start before t.
func (l *Limiter) ahead(t *Ticket) int {
	n := 0
	for _, q := range l.queue {
		if q.before(t) {
			n++
		}
	}
	return n
}

// Wait estimates how long a request would wait before it starts.
func (l *Limiter) Wait(t *Ticket) time.Duration {
	if l.fits(t) && len(l.queue) == 0 {
		return 0
	}
	return time.Duration(float64(l.ahead(t)+1) / l.limit * float64(l.service))
}

func (l *Limiter) bound() int {
	return max(minQueue, int(l.limit)*queueFactor)
}

// estimate is the time until a request with so many ahead of it has finished.
func (l *Limiter) estimate(ahead int) time.Duration {
	rounds := float64(ahead+1)/l.limit + 1
	return time.Duration(rounds * float64(l.service))
}

func (l *Limiter) fits(t *Ticket) bool {
	switch {
	case l.unlimited:
		return true
	case l.alone:
		return false
	case t.Alone:
		return l.running+l.reclaimed == 0
	}
	return l.running < int(l.limit)
}

func (l *Limiter) start(now timer.Instant, t *Ticket) {
	l.running++
	l.holders = append(l.holders, t)
	t.began = now
	l.alone = t.Alone
	l.waited += now.Sub(t.queuedAt)
	l.started++
}

func (l *Limiter) insert(t *Ticket) {
	i := len(l.queue)
	for i > 0 && t.before(l.queue[i-1]) {
		i--
	}
	l.queue = append(l.queue, nil)
	copy(l.queue[i+1:], l.queue[i:])
	l.queue[i] = t
}

// Cancel takes a waiting request off the queue and reports whether it was there.
func (l *Limiter) Cancel(t *Ticket) bool {
	for i, q := range l.queue {
		if q == t {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Result is how a run ended, as far as the limit is concerned.
type Result int

// The results of a run.
const (
	// Clean is an ordinary answer.
	Clean Result = iota
	// Shed means that the target refused for overload or did not answer in time.
	Shed
	// Neutral says nothing of the target's load.
	Neutral
)

// Finish ends a run and adapts the limit.
func (l *Limiter) Finish(now timer.Instant, t *Ticket, took time.Duration, r Result) {
	l.leave(t)
	if t.Alone {
		l.alone = false
	}
	if r == Clean {
		l.observe(took)
	}
	if l.fixed {
		return
	}
	switch {
	case r == Clean:
		l.limit = min(float64(l.slots), l.limit+1/l.limit)
	case r == Shed && now.Sub(l.shrunkAt) >= shrinkInterval:
		l.limit = max(1, l.limit*shrink)
		l.shrunkAt = now
	}
}

// leave takes a request that has ended off its slot.
func (l *Limiter) leave(t *Ticket) {
	if t.reclaimed {
		l.reclaimed--
		return
	}
	l.running--
	if i := slices.Index(l.holders, t); i >= 0 {
		l.holders = slices.Delete(l.holders, i, i+1)
	}
}

// Reclaim takes the slots of requests that run far longer than others do and reports
// whether there were any: their answers are probably lost, and the target works on
// something else by now. No more than the limit run without a slot, which a target's own
// queue can take if it is only slow.
func (l *Limiter) Reclaim(now timer.Instant) bool {
	if l.service == 0 || l.fixed {
		return false
	}
	bound := max(minOverdue, overdueFactor*l.service)
	before := l.reclaimed
	for len(l.holders) > 0 && l.reclaimed < int(l.limit) {
		t := l.holders[0]
		if t.Alone || now.Sub(t.began) < bound {
			break
		}
		t.reclaimed = true
		l.reclaimed++
		l.running--
		l.holders = l.holders[1:]
	}
	return l.reclaimed > before
}

func (l *Limiter) observe(took time.Duration) {
	if l.service == 0 {
		l.service = took
		return
	}
	l.service += time.Duration(smoothing * float64(took-l.service))
}

// Next starts the first waiting request that fits and drops those whose
// deadline has passed; it returns nil for both when there is nothing to do.
func (l *Limiter) Next(now timer.Instant) (started *Ticket, expired []*Ticket) {
	for len(l.queue) > 0 {
		t := l.queue[0]
		if now >= t.Deadline {
			l.queue = l.queue[1:]
			expired = append(expired, t)
			continue
		}
		if !l.fits(t) {
			return nil, expired
		}
		l.queue = l.queue[1:]
		l.start(now, t)
		return t, expired
	}
	return nil, expired
}

// DrainWait returns the mean time that requests started since the last call
// had waited, and the wait of the head of the queue if that is longer.
func (l *Limiter) DrainWait(now timer.Instant) time.Duration {
	wait := time.Duration(0)
	if l.started > 0 {
		wait = l.waited / time.Duration(l.started)
	}
	l.waited, l.started = 0, 0
	if len(l.queue) > 0 {
		wait = max(wait, now.Sub(l.queue[0].queuedAt))
	}
	return wait
}

// RetryAfter estimates when the queue will have drained.
func (l *Limiter) RetryAfter() time.Duration {
	return l.estimate(len(l.queue))
}
