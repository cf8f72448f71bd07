package gate

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/node/call"
)

// Serve runs a call on the target, or refuses it, and returns the result. The
// context ends when the caller disconnects: a queued call is then removed from the
// queue, and an idempotent call in flight is aborted. A call in flight that is not
// idempotent continues to its end.
func (g *Gate) Serve(ctx context.Context, c *call.Call) call.Result {
	g.adoptRateLimit(c)
	offered := time.Now()
	result := g.serve(ctx, c, offered)
	g.mu.Lock()
	result.Wait = g.wait()
	result.RateLimit = g.rateLimit
	result.LoadKnown = true
	g.mu.Unlock()
	g.logFailure(c, result)
	return result
}

// serve queues a call that arrived at offered and runs it. Where other nodes report meanwhile that
// it crashes targets, it is queued again to run alone, or refused.
func (g *Gate) serve(ctx context.Context, c *call.Call, offered time.Time) call.Result {
	fingerprint := c.Fingerprint()
	if len(c.Evidence) > 0 {
		g.crashes.Learn("calling node", c.Evidence)
	}
	for {
		standing, left := g.crashes.Lookup(fingerprint)
		if standing == crash.Quarantined {
			g.crashCounts.refused.Add(1)
			refused := notRun(call.CrashesTargets, left)
			refused.Queued = time.Since(offered)
			refused.Evidence = g.crashes.Evidence(fingerprint)
			return refused
		}
		ticket := newTicket(c, standing)
		result, admitted := g.admit(ctx, c, ticket)
		result.Queued = time.Since(offered)
		if !admitted {
			return result
		}
		if now, _ := g.crashes.Lookup(fingerprint); now == crash.Quarantined || now == crash.Suspected && !ticket.Exclusive {
			g.release(ticket)
			continue
		}
		if standing != crash.Clear {
			g.logSuspect(c.Attempt, fingerprint, standing, left, ticket.Exclusive)
		}
		if ticket.Exclusive {
			g.crashCounts.exclusive.Add(1)
		}
		queued := result.Queued
		result = g.run(ctx, c, ticket, fingerprint)
		result.Queued = queued
		if standing != crash.Clear && result.Outcome == call.Answered {
			g.crashes.RecordSuccess(fingerprint)
		}
		return result
	}
}

// newTicket returns the ticket of a call with the given standing.
func newTicket(c *call.Call, standing crash.Standing) *limit.Ticket {
	t := &limit.Ticket{
		Priority:  -c.Priority,
		Nested:    c.Nested,
		Exclusive: standing == crash.Suspected,
		Deadline:  toInstant(c.Deadline),
	}
	if !c.Due.IsZero() {
		t.Due = toInstant(c.Due)
	}
	return t
}

// release gives back the slot of a call that was not sent.
func (g *Gate) release(t *limit.Ticket) {
	g.mu.Lock()
	g.limiter.Finish(timer.Now(), t, 0, limit.Neutral)
	woken := g.startQueued()
	g.mu.Unlock()
	wake(woken)
}

// logFailure logs a call whose outcome is not Answered or whose response has a 5xx
// status, with the state that the decision depends on.
func (g *Gate) logFailure(c *call.Call, r call.Result) {
	status := 0
	if r.Outcome == call.Answered {
		status = r.Answer.Status
		if status < fasthttp.StatusInternalServerError {
			return
		}
	}
	s := g.State()
	line := g.log.Warn()
	if r.Reason == call.CrashesTargets {
		line = line.Str("fingerprint", c.Fingerprint().String())
	}
	line.Str("request", c.Attempt).Str("service", c.Service).Str("outcome", r.Outcome.String()).
		Str("reason", string(r.Reason)).Int("status", status).Str("target", s.ID).Int64("seq", s.Seq).
		Int("running", s.Running).Int("waiting", s.Waiting).Int("limit", s.Limit).Float64("rate-limit", s.RateLimit).
		Int64("queued-ms", r.Queued.Milliseconds()).Int64("wait-ms", r.Wait.Milliseconds()).
		Int64("patience-ms", c.MaxWait.Milliseconds()).Int64("left-ms", time.Until(c.Deadline).Milliseconds()).
		Bool("nested", c.Nested).Msg("call refused or failed at the gate")
}

// toInstant converts a wall-clock time to the clock of the limiter.
func toInstant(t time.Time) timer.Instant {
	return timer.Now().Add(time.Until(t))
}

// closedReason returns why the gate takes no requests for a service, or "" where
// it takes them; g.mu must be held.
func (g *Gate) closedReason(service string) call.Reason {
	switch {
	case g.blocked || !g.announced || g.target.Service != service || !g.target.Ready:
		return call.NoTarget
	case g.leaving:
		return call.Leaving
	case time.Now().Before(g.downUntil):
		return call.TargetDown
	}
	return ""
}

// admit waits until the call may start and returns true, or returns the refusal
// and false.
func (g *Gate) admit(ctx context.Context, c *call.Call, t *limit.Ticket) (refusal call.Result, admitted bool) {
	if c.Withdrawn != nil && c.Withdrawn.Err() != nil {
		return notRun(call.Leaving, downBackoff), false
	}
	g.mu.Lock()
	if reason := g.closedReason(c.Service); reason != "" {
		g.mu.Unlock()
		return notRun(reason, downBackoff), false
	}
	if g.limiter.Reclaim(timer.Now()) {
		wake(g.startQueued())
	}
	wait := g.limiter.Wait(timer.Now(), t)
	if wait > c.MaxWait {
		g.mu.Unlock()
		return notRun(call.Busy, wait), false
	}
	verdict, evicted := g.limiter.Offer(timer.Now(), t)
	var ready chan bool
	if verdict == limit.Queued {
		ready = make(chan bool, 1)
		g.waiting[t] = ready
		g.scheduleStart()
	}
	g.evict(evicted)
	g.mu.Unlock()
	switch verdict {
	case limit.Started:
		return call.Result{}, true
	case limit.Refused:
		return notRun(call.Busy, wait), false
	}
	return g.await(ctx, c, t, ready)
}

// evict notifies the request t, if not nil, that it was dropped from the queue;
// g.mu must be held.
func (g *Gate) evict(t *limit.Ticket) {
	if t == nil {
		return
	}
	if ready, ok := g.waiting[t]; ok {
		delete(g.waiting, t)
		ready <- false
	}
}

// dropped returns the refusal of a call that was dropped from the queue.
func (g *Gate) dropped() call.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return notRun(call.Leaving, downBackoff)
	}
	return notRun(call.Busy, g.limiter.RetryAfter(timer.Now()))
}

// await waits for a queued call to start. It returns false where the call was
// evicted from the queue, was canceled by its caller, was withdrawn or waited for too long.
func (g *Gate) await(ctx context.Context, c *call.Call, t *limit.Ticket, ready chan bool) (call.Result, bool) {
	timeout := time.NewTimer(min(time.Until(c.Deadline)-minTimeLeft, 2*c.MaxWait+queueSlack))
	defer timeout.Stop()
	var reason call.Reason
	select {
	case started := <-ready:
		if started {
			return call.Result{}, true
		}
		return g.dropped(), false
	case <-ctx.Done():
		reason = call.CallerGone
	case <-c.WithdrawnDone():
		reason = call.Leaving
	case <-timeout.C:
		reason = call.Expired
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter.Cancel(t) {
		delete(g.waiting, t)
		return canceled(reason, g.limiter.RetryAfter(timer.Now())), false
	}
	if started := <-ready; !started {
		return canceled(reason, g.limiter.RetryAfter(timer.Now())), false
	}
	if reason == call.Expired {
		return call.Result{}, true
	}
	g.limiter.Finish(timer.Now(), t, 0, limit.Neutral)
	woken := g.startQueued()
	go wake(woken)
	return canceled(reason, 0), false
}

// queueSlack is added to twice the max wait of a queued call to get the time after
// which the call is dropped from the queue. The call may wait for longer than its max
// wait, since the queueing time expected at its admission may have been too short.
const queueSlack = 50 * time.Millisecond

// retryAfter estimates the time until the queue has drained.
func (g *Gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.RetryAfter(timer.Now())
}

func notRun(reason call.Reason, retryAfter time.Duration) call.Result {
	return call.Result{
		Outcome:    call.NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// canceled returns the result of a call that was removed from the queue because
// its caller disconnected, it was withdrawn or it waited for too long.
func canceled(reason call.Reason, retryAfter time.Duration) call.Result {
	r := notRun(reason, retryAfter)
	if reason == call.CallerGone {
		r.Outcome = call.Gone
	}
	return r
}

// startQueued starts as many queued requests as the concurrency limit allows and
// returns their channels, on which wake must be called; g.mu must be held.
func (g *Gate) startQueued() (woken []chan bool) {
	for {
		started, expired := g.limiter.Next(timer.Now())
		for _, t := range expired {
			g.evict(t)
		}
		if started == nil {
			g.scheduleStart()
			return woken
		}
		if ready, ok := g.waiting[started]; ok {
			delete(g.waiting, started)
			woken = append(woken, ready)
		}
	}
}

// wake notifies queued requests that they have started.
func wake(channels []chan bool) {
	for _, c := range channels {
		c <- true
	}
}
