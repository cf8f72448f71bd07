package gate

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

// run sends an admitted call and frees its slot afterwards.
func (g *Gate) run(ctx context.Context, c *call.Call, t *limit.Ticket, fingerprint crash.Fingerprint) call.Result {
	began := timer.Now()
	g.mu.Lock()
	g.deaths.begin(t, fingerprint)
	g.mu.Unlock()
	result := g.send(ctx, c)
	if result.Reached {
		g.ran()
	}
	g.mu.Lock()
	took := timer.Now().Sub(began)
	g.limiter.Finish(timer.Now(), t, took, effect(result))
	if result.Outcome == call.Answered {
		g.mean.add(time.Now(), took)
		if !c.Nested {
			g.callers.add(time.Now(), took)
		}
	}
	g.deaths.end(time.Now(), t, result.Reason == call.Lost)
	if failed, counts := failing(result); counts {
		g.failed.Add(time.Now(), failed)
		if !c.Nested {
			g.callersFailed.Add(time.Now(), failed)
		}
	}
	woken := g.next()
	g.mu.Unlock()
	wake(woken)
	return result
}

// failing reports whether a result is a failure of the target, and whether it
// says anything of it.
func failing(r call.Result) (failed, counts bool) {
	switch r.Outcome {
	case call.Answered:
		return r.Answer.Status >= fasthttp.StatusInternalServerError, true
	case call.Unknown:
		return true, true
	}
	return false, false
}

// effect is what a result says of the target's load.
func effect(r call.Result) limit.Result {
	switch {
	case r.Outcome == call.Answered:
		return limit.Clean
	case r.Reason == call.Shed:
		return limit.Shed
	}
	return limit.Neutral
}

func (g *Gate) send(ctx context.Context, c *call.Call) call.Result {
	g.mu.Lock()
	reason := g.closedReason(c.Service)
	pool, target := g.pool, g.target
	g.mu.Unlock()
	if reason != "" {
		return notRun(reason, downTime)
	}
	left := time.Until(c.Deadline)
	if left < minLeft {
		return notRun(call.Expired, 0)
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left+answerGrace)
	defer cancel()
	answer, err := pool.Do(ctx, g.encode(c, target, left), c.Request.Method, c.Attempt)
	return g.judge(ctx, target, answer, err)
}

// encode adds what only this target gets.
func (g *Gate) encode(c *call.Call, target Target, left time.Duration) []byte {
	millis := max((left - sendMargin).Milliseconds(), 1)
	out := make([]byte, 0, headRoom+len(c.Request.Body))
	out = c.Request.AppendHead(out)
	out = append(out, c.Extra...)
	out = msg.AppendField(out, g.names.Deadline, strconv.FormatInt(millis, 10))
	if target.ID != "" {
		out = msg.AppendField(out, g.names.ExpectTarget, target.ID)
	}
	return c.Request.AppendBody(out)
}

// judge decides what an exchange with the target says of the request.
func (g *Gate) judge(ctx context.Context, target Target, answer *outlet.Answer, err error) call.Result {
	switch {
	case err == nil:
		return g.judgeAnswer(target, answer)
	case errors.Is(err, outlet.ErrRefused):
		g.markDown(target)
		return notRun(call.TargetDown, downTime)
	case errors.Is(err, outlet.ErrNotSent):
		return notRun(call.TargetDown, downTime)
	case errors.Is(err, outlet.ErrStopped) && errors.Is(ctx.Err(), context.Canceled):
		return call.Result{
			Outcome: call.Gone,
			Reason:  call.Stopped,
			Reached: true,
		}
	case errors.Is(err, outlet.ErrStopped):
		return unknown(call.Timeout)
	}
	return unknown(call.Lost)
}

func unknown(reason call.Reason) call.Result {
	return call.Result{
		Outcome: call.Unknown,
		Reason:  reason,
		Reached: true,
	}
}

func (g *Gate) judgeAnswer(target Target, answer *outlet.Answer) call.Result {
	if answer.Status == fasthttp.StatusMisdirectedRequest {
		g.disown(target)
		r := notRun(call.Moved, downTime)
		r.Reached = true
		return r
	}
	if len(answer.Header.Peek(g.names.NotRun)) > 0 && answer.Status >= fasthttp.StatusBadRequest {
		r := notRun(call.Shed, g.backlog())
		r.Reached = true
		return r
	}
	return call.Result{
		Outcome: call.Answered,
		Answer:  &answer.Response,
		Reached: true,
	}
}

// markDown leaves a target alone that refuses connections.
func (g *Gate) markDown(target Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target.ID == target.ID {
		g.downUntil = time.Now().Add(downTime)
	}
	g.tellDeath()
}

// tellDeath tells the docket what ran on a target that died; g.mu must be held.
func (g *Gate) tellDeath() {
	if prints := g.deaths.died(); len(prints) > 0 {
		go g.docket.Died(prints)
	}
}

// disown closes the gate after another target answered at the address, until
// the next announcement.
func (g *Gate) disown(target Target) {
	g.mu.Lock()
	if g.target.ID != target.ID {
		g.mu.Unlock()
		return
	}
	g.target.Ready = false
	state := g.stateLocked()
	g.mu.Unlock()
	g.changed(state)
}
