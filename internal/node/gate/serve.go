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

// Serve runs a call on the target. Its context ends when the caller hangs up:
// a call that waits is then withdrawn, one that may be repeated is broken off.
func (g *Gate) Serve(ctx context.Context, c *call.Call) call.Result {
	fingerprint := c.Fingerprint()
	standing, left := g.docket.Judge(fingerprint)
	if standing == crash.Quarantined {
		refused := notRun(call.Suspect, left)
		g.report(c, refused)
		return refused
	}
	ticket := &limit.Ticket{
		Priority: -c.Priority,
		Nested:   c.Nested,
		Alone:    standing == crash.Suspected,
		Deadline: instant(c.Deadline),
	}
	if !c.Due.IsZero() {
		ticket.Due = instant(c.Due)
	}
	offered := time.Now()
	result, admitted := g.admit(ctx, c, ticket)
	queued := time.Since(offered)
	if admitted {
		result = g.run(ctx, c, ticket, fingerprint)
	}
	if standing != crash.Clear && result.Outcome == call.Answered {
		g.docket.Cleared(fingerprint)
	}
	result.Queued = queued
	g.mu.Lock()
	result.Wait = g.limiter.Wait(&limit.Ticket{})
	g.mu.Unlock()
	g.report(c, result)
	return result
}

// report logs a call that was not answered well, with what decided it.
func (g *Gate) report(c *call.Call, r call.Result) {
	status := 0
	if r.Outcome == call.Answered {
		status = r.Answer.Status
		if status < fasthttp.StatusInternalServerError {
			return
		}
	}
	s := g.State()
	g.log.Warn().Str("request", c.Attempt).Str("service", c.Service).Str("outcome", r.Outcome.String()).
		Str("reason", string(r.Reason)).Int("status", status).Str("target", s.ID).Int64("seq", s.Seq).
		Int("running", s.Running).Int("waiting", s.Waiting).Int("limit", s.Limit).
		Int64("queued-ms", r.Queued.Milliseconds()).Int64("wait-ms", r.Wait.Milliseconds()).
		Int64("patience-ms", c.Patience.Milliseconds()).Int64("left-ms", time.Until(c.Deadline).Milliseconds()).
		Bool("nested", c.Nested).Msg("call refused or failed at the gate")
}

// instant converts a wall-clock deadline to the clock of the limiter.
func instant(t time.Time) timer.Instant {
	return timer.Now().Add(time.Until(t))
}

// closedReason must be called with g.mu held; it is empty where the gate is open
// for the service.
func (g *Gate) closedReason(service string) call.Reason {
	switch {
	case !g.known || g.target.Service != service || !g.target.Ready:
		return call.NoTarget
	case g.leaving:
		return call.Leaving
	case time.Now().Before(g.downUntil):
		return call.TargetDown
	}
	return ""
}

func (g *Gate) admit(ctx context.Context, c *call.Call, t *limit.Ticket) (refusal call.Result, admitted bool) {
	g.mu.Lock()
	if reason := g.closedReason(c.Service); reason != "" {
		g.mu.Unlock()
		return notRun(reason, downTime), false
	}
	if g.limiter.Reclaim(timer.Now()) {
		wake(g.next())
	}
	wait := g.limiter.Wait(t)
	if wait > c.Patience {
		g.mu.Unlock()
		return notRun(call.Busy, wait), false
	}
	verdict, evicted := g.limiter.Offer(timer.Now(), t)
	var ready chan bool
	if verdict == limit.Queued {
		ready = make(chan bool, 1)
		g.waiting[t] = ready
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

// evict must be called with g.mu held.
func (g *Gate) evict(t *limit.Ticket) {
	if t == nil {
		return
	}
	if ready, ok := g.waiting[t]; ok {
		delete(g.waiting, t)
		ready <- false
	}
}

func (g *Gate) await(ctx context.Context, c *call.Call, t *limit.Ticket, ready chan bool) (call.Result, bool) {
	timeout := time.NewTimer(min(time.Until(c.Deadline)-minLeft, 2*c.Patience+queueSlack))
	defer timeout.Stop()
	var reason call.Reason
	select {
	case started := <-ready:
		if started {
			return call.Result{}, true
		}
		return notRun(call.Busy, g.backlog()), false
	case <-ctx.Done():
		reason = call.Stopped
	case <-timeout.C:
		reason = call.Expired
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter.Cancel(t) {
		delete(g.waiting, t)
		return withdrawn(reason, g.limiter.RetryAfter()), false
	}
	if started := <-ready; !started {
		return withdrawn(reason, g.limiter.RetryAfter()), false
	}
	if reason == call.Expired {
		return call.Result{}, true
	}
	g.limiter.Finish(timer.Now(), t, 0, limit.Neutral)
	woken := g.next()
	go wake(woken)
	return withdrawn(reason, 0), false
}

// queueSlack is added to the wait that a caller accepts before a queued request
// is given up; the estimate that let it in may be off.
const queueSlack = 50 * time.Millisecond

func (g *Gate) backlog() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.RetryAfter()
}

func notRun(reason call.Reason, retryAfter time.Duration) call.Result {
	return call.Result{
		Outcome:    call.NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

func withdrawn(reason call.Reason, retryAfter time.Duration) call.Result {
	r := notRun(reason, retryAfter)
	if reason == call.Stopped {
		r.Outcome = call.Gone
	}
	return r
}

// next starts what fits; it must be called with g.mu held.
func (g *Gate) next() (woken []chan bool) {
	for {
		started, expired := g.limiter.Next(timer.Now())
		for _, t := range expired {
			g.evict(t)
		}
		if started == nil {
			return woken
		}
		if ready, ok := g.waiting[started]; ok {
			delete(g.waiting, started)
			woken = append(woken, ready)
		}
	}
}

func wake(channels []chan bool) {
	for _, c := range channels {
		c <- true
	}
}
