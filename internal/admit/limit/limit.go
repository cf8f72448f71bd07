// Package limit implements the concurrency limit and the bounded priority queue of
// one target. The limit adapts by additive increase and multiplicative decrease: it
// starts low after a cold start, grows with successful requests up to the slots
// that the target announced, and decreases when the target sheds load. The rate at which
// requests start can be limited as well.
// The package does no I/O and takes time as an argument.
package limit

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"fuchsiapier/internal/base/timer"
)

const (
	// initialLimitFraction is the initial limit after a cold start, as a fraction of the
	// slots.
	initialLimitFraction = 0.25
	// decreaseFactor multiplies the limit when the target sheds load.
	decreaseFactor = 0.8
	// minDecreaseInterval is the minimum time between two decreases of the limit.
	minDecreaseInterval = 100 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the exponentially weighted
	// moving average of the service time.
	serviceTimeWeight = 0.05
	// queueFactor is the maximum queue length, as a multiple of the limit.
	queueFactor = 4
	// minQueue is a lower bound of the maximum queue length, in requests.
	minQueue = 4
	// overdueFactor is how many times the mean service time a request may run before
	// its slot is reclaimed. Heavy-tailed service times exceed five times the mean at
	// most 1 time in 100.
	overdueFactor = 5
	// minOverdue is the minimum run time before a slot is reclaimed.
	minOverdue = 50 * time.Millisecond
)

// Verdict is the outcome of Offer.
type Verdict int

// The outcomes of Offer.
const (
	// Started means that the request runs now.
	Started Verdict = iota
	// Queued means that the request waits in the queue until Next starts it or removes
	// it as expired, Offer evicts it for another request, or Cancel removes it.
	Queued
	// Refused means that the request can't finish before its deadline or the queue is full.
	Refused
)

// Ticket is a request offered to a target.
type Ticket struct {
	// Priority orders the queue: the highest starts first.
	Priority int
	// Nested marks a call made by a request that is already admitted. Nested calls
	// start before all others, whatever their priority.
	Nested bool
	// Exclusive means that no other request may run on the target at the same time.
	Exclusive bool
	// Deadline is when the request must have finished. It is refused if it is not
	// expected to finish by then, and removed from the queue once the time has passed.
	Deadline timer.Instant
	// Due is the time at which the response is due. Between two requests that have
	// one, the earlier starts first; Nested and then Priority decide otherwise.
	Due       timer.Instant
	queuedAt  timer.Instant
	startedAt timer.Instant
	// reclaimed is set once the request has lost its slot to Reclaim.
	reclaimed bool
	sequence  uint64
}

// before reports whether t starts before o.
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

// Limiter limits the requests that run at once on one target and queues others. It
// is not safe for concurrent use.
type Limiter struct {
	slots   int
	limit   float64
	running int
	// holders are the running requests that hold a slot, in order of their start.
	holders []*Ticket
	// reclaimed is the number of running requests that have lost their slot to Reclaim.
	reclaimed   int
	exclusive   bool
	queue       []*Ticket
	sequence    uint64
	serviceTime time.Duration
	decreasedAt timer.Instant
	// rate limits the rate at which requests start; nil for no limit.
	rate       *rate.Limiter
	fixed      bool
	unlimited  bool
	waitSum    time.Duration
	startCount int
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithFixed keeps the limit equal to the announced slots, as a baseline for comparison.
func WithFixed() Option {
	return func(l *Limiter) {
		l.fixed = true
	}
}

// WithUnlimited starts every request without a limit, as a baseline for comparison.
func WithUnlimited() Option {
	return func(l *Limiter) {
		l.unlimited = true
	}
}

// New returns the limiter of a target with that many slots after a cold start.
func New(slots int, options ...Option) *Limiter {
	l := &Limiter{}
	for _, o := range options {
		o(l)
	}
	l.Restart(slots)
	return l
}

// Restart resets the limit to its initial value after a cold start of the target.
func (l *Limiter) Restart(slots int) {
	l.slots = max(slots, 1)
	l.limit = max(1, initialLimitFraction*float64(l.slots))
	if l.fixed {
		l.limit = float64(l.slots)
	}
}

// Warm raises the limit to all slots, for a target that is past its cold start.
func (l *Limiter) Warm(slots int) {
	l.slots = max(slots, 1)
	l.limit = float64(l.slots)
}

// Resize sets a new number of slots for a target that has not restarted.
func (l *Limiter) Resize(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, float64(l.slots))
	if l.fixed {
		l.limit = float64(l.slots)
	}
}

// Limit returns the current concurrency limit, in requests.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// ServiceTime returns the mean service time, 0 before the first sample.
func (l *Limiter) ServiceTime() time.Duration {
	return l.serviceTime
}

// Running returns the number of requests that hold a slot.
func (l *Limiter) Running() int {
	return l.running
}

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int {
	return len(l.queue)
}

// Offer starts, queues or refuses a request. If queueing it exceeds the maximum queue
// length, the last request of the queue is removed and returned as evicted.
func (l *Limiter) Offer(now timer.Instant, t *Ticket) (v Verdict, evicted *Ticket) {
	l.sequence++
	t.sequence = l.sequence
	t.queuedAt = now
	if l.canStart(now, t) && len(l.queue) == 0 {
		l.start(now, t)
		return Started, nil
	}
	if now.Add(l.estimate(now, l.ahead(t))) > t.Deadline {
		return Refused, nil
	}
	l.insert(t)
	if len(l.queue) <= l.maxQueueLength() {
		return Queued, nil
	}
	last := l.queue[len(l.queue)-1]
	l.queue = l.queue[:len(l.queue)-1]
	if last == t {
		return Refused, nil
	}
	return Queued, last
}

// ahead returns the number of queued requests that start before t.
func (l *Limiter) ahead(t *Ticket) int {
	n := 0
	for _, q := range l.queue {
		if q.before(t) {
			n++
		}
	}
	return n
}

// Wait estimates how long a request would wait in the queue.
func (l *Limiter) Wait(now timer.Instant, t *Ticket) time.Duration {
	if l.canStart(now, t) && len(l.queue) == 0 {
		return 0
	}
	rank := l.ahead(t) + 1
	return max(time.Duration(float64(rank)/l.limit*float64(l.serviceTime)), l.rateWait(now, rank))
}

// maxQueueLength returns the maximum queue length at the current limits.
func (l *Limiter) maxQueueLength() int {
	if l.rate != nil {
		return l.maxRateQueue()
	}
	return max(minQueue, int(l.limit)*queueFactor)
}

// estimate returns the expected time until a request finishes that has the given
// number of queued requests ahead of it.
func (l *Limiter) estimate(now timer.Instant, ahead int) time.Duration {
	rounds := float64(ahead+1)/l.limit + 1
	return max(time.Duration(rounds*float64(l.serviceTime)), l.rateWait(now, ahead+1)+l.serviceTime)
}

// canStart reports whether t may run now together with the running requests.
func (l *Limiter) canStart(now timer.Instant, t *Ticket) bool {
	switch {
	case l.unlimited:
		return true
	case l.rateWait(now, 1) > 0:
		return false
	case l.exclusive:
		return false
	case t.Exclusive:
		return l.running+l.reclaimed == 0
	}
	return l.running < int(l.limit)
}

func (l *Limiter) start(now timer.Instant, t *Ticket) {
	l.running++
	l.holders = append(l.holders, t)
	t.startedAt = now
	if l.rate != nil {
		l.rate.AllowN(wall(now), 1)
	}
	l.exclusive = t.Exclusive
	l.waitSum += now.Sub(t.queuedAt)
	l.startCount++
}

// insert puts t into the queue, which is sorted by Ticket.before.
func (l *Limiter) insert(t *Ticket) {
	i := len(l.queue)
	for i > 0 && t.before(l.queue[i-1]) {
		i--
	}
	l.queue = append(l.queue, nil)
	copy(l.queue[i+1:], l.queue[i:])
	l.queue[i] = t
}

// Cancel removes a request from the queue and reports whether it was queued.
func (l *Limiter) Cancel(t *Ticket) bool {
	for i, q := range l.queue {
		if q == t {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Result classifies a finished run by what it says about the load of the target.
type Result int

// The results passed to Finish.
const (
	// Clean means that the target responded normally; the limit increases.
	Clean Result = iota
	// Shed means that the target refused the request because of overload or did not
	// respond in time; the limit decreases.
	Shed
	// Neutral means that the run says nothing about the load; the limit stays.
	Neutral
)

// Finish frees the slot of a run and adapts the limit. took is the service time,
// which enters the mean if the result is Clean.
func (l *Limiter) Finish(now timer.Instant, t *Ticket, took time.Duration, r Result) {
	l.release(t)
	if t.Exclusive {
		l.exclusive = false
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
	case r == Shed && now.Sub(l.decreasedAt) >= minDecreaseInterval:
		l.limit = max(1, l.limit*decreaseFactor)
		l.decreasedAt = now
	}
}

// release removes a finished request from the slot holders, or from the requests
// running without a slot.
func (l *Limiter) release(t *Ticket) {
	if t.reclaimed {
		l.reclaimed--
		return
	}
	l.running--
	if i := slices.Index(l.holders, t); i >= 0 {
		l.holders = slices.Delete(l.holders, i, i+1)
	}
}

// Reclaim frees the slots of requests that run overdueFactor times longer than the
// mean, and reports whether it freed any. Their responses are probably lost and the
// target no longer works on them. The number of requests that run without a slot is
// bounded by the limit, so that the target's own queue can hold them if the target is
// only slow.
func (l *Limiter) Reclaim(now timer.Instant) bool {
	if l.serviceTime == 0 || l.fixed {
		return false
	}
	bound := max(minOverdue, overdueFactor*l.serviceTime)
	before := l.reclaimed
	for len(l.holders) > 0 && l.reclaimed < int(l.limit) {
		t := l.holders[0]
		if t.Exclusive || now.Sub(t.startedAt) < bound {
			break
		}
		t.reclaimed = true
		l.reclaimed++
		l.running--
		l.holders = l.holders[1:]
	}
	return l.reclaimed > before
}

// observe adds a sample to the mean service time.
func (l *Limiter) observe(took time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = took
		return
	}
	l.serviceTime += time.Duration(serviceTimeWeight * float64(took-l.serviceTime))
}

// Next removes the requests at the head of the queue whose deadline has passed and
// starts the next one if the limit permits. started is nil if no request was started.
func (l *Limiter) Next(now timer.Instant) (started *Ticket, expired []*Ticket) {
	for len(l.queue) > 0 {
		t := l.queue[0]
		if now >= t.Deadline {
			l.queue = l.queue[1:]
			expired = append(expired, t)
			continue
		}
		if !l.canStart(now, t) {
			return nil, expired
		}
		l.queue = l.queue[1:]
		l.start(now, t)
		return t, expired
	}
	return nil, expired
}

// TakeMeanWait returns the mean queueing time of the requests started since the last
// call, or the time that the head of the queue has waited if that is longer, and
// resets the mean.
func (l *Limiter) TakeMeanWait(now timer.Instant) time.Duration {
	wait := time.Duration(0)
	if l.startCount > 0 {
		wait = l.waitSum / time.Duration(l.startCount)
	}
	l.waitSum, l.startCount = 0, 0
	if len(l.queue) > 0 {
		wait = max(wait, now.Sub(l.queue[0].queuedAt))
	}
	return wait
}

// RetryAfter estimates the time until all queued requests have finished, after which
// a refused request is worth a retry.
func (l *Limiter) RetryAfter(now timer.Instant) time.Duration {
	return l.estimate(now, len(l.queue))
}
