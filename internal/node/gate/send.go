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
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// run sends an admitted call to the target, records the result and releases the
// slot.
func (g *Gate) run(ctx context.Context, c *call.Call, t *limit.Ticket, fingerprint crash.Fingerprint) call.Result {
	began := timer.Now()
	g.mu.Lock()
	g.runs.begin(t, run{
		attempt:     c.Attempt,
		fingerprint: fingerprint,
	})
	target, pool := g.target, g.pool
	g.mu.Unlock()
	result := g.send(ctx, c)
	if result.Reached {
		g.onRun()
	}
	g.mu.Lock()
	took := timer.Now().Sub(began)
	g.limiter.Finish(timer.Now(), t, took, loadSignal(result))
	if result.Outcome == call.Answered {
		g.serviceTime.add(time.Now(), took)
		if !c.Nested {
			g.callersTime.add(time.Now(), took)
		}
	}
	g.runs.end(time.Now(), t, result.Reason == call.AnswerLost)
	if failed, counts := targetFailed(result); counts {
		g.failed.Add(time.Now(), failed)
		if !c.Nested {
			g.callersFailed.Add(time.Now(), failed)
		}
	}
	woken := g.startQueued()
	g.mu.Unlock()
	wake(woken)
	if result.Reason == call.AnswerLost {
		g.checkCrash(target, pool)
		result.Evidence = g.crashes.Evidence(fingerprint)
	}
	return result
}

// targetFailed reports whether a result is a failure of the target, and whether it
// counts towards the failure rate at all: a request that was not run, or whose
// caller disconnected, does not.
func targetFailed(r call.Result) (failed, counts bool) {
	switch r.Outcome {
	case call.Answered:
		return r.Answer.Status >= fasthttp.StatusInternalServerError, true
	case call.Unknown:
		return true, true
	}
	return false, false
}

// loadSignal returns what a result tells the concurrency limiter about the load of
// the target.
func loadSignal(r call.Result) limit.Result {
	switch {
	case r.Outcome == call.Answered:
		return limit.Clean
	case r.Reason == call.Shed:
		return limit.Shed
	}
	return limit.Neutral
}

// send sends a call to the target, if the gate is still open and enough time is
// left. A call that is not idempotent is not aborted when its caller disconnects.
func (g *Gate) send(ctx context.Context, c *call.Call) call.Result {
	g.mu.Lock()
	reason := g.closedReason(c.Service)
	pool, target := g.pool, g.target
	left := time.Until(c.Deadline)
	if reason == "" && left >= minTimeLeft {
		g.sent++
	}
	g.mu.Unlock()
	if reason != "" {
		return notRun(reason, downBackoff)
	}
	if left < minTimeLeft {
		return notRun(call.Expired, 0)
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left+responseGrace)
	defer cancel()
	answer, err := pool.DoWithBody(ctx, g.encodeHead(c, target, left), c.Request.Body, c.Request.Method, c.Attempt)
	if err == nil && answer.Status != fasthttp.StatusMisdirectedRequest {
		g.observe(c, target, answer)
	}
	if reason := g.malformation(c, answer, err); reason != "" {
		g.reportMalformed(c, target, reason, answer, err)
		return unknownOutcome(call.Malformed)
	}
	return g.classify(ctx, target, answer, err)
}

// encodeHead returns the head of the request as sent to the target, with the time left to the
// deadline and the ID of the target that it is meant for. It has room for a small body behind it.
func (g *Gate) encodeHead(c *call.Call, target Target, left time.Duration) []byte {
	millis := max((left - deadlineMargin).Milliseconds(), 1)
	out := make([]byte, 0, headerCapacity+c.Request.Body.RoomBehindHead())
	out = c.Request.AppendHead(out)
	out = append(out, c.Extra...)
	out = msg.AppendField(out, g.names.Deadline, strconv.FormatInt(millis, 10))
	if target.ID != "" {
		out = msg.AppendField(out, g.names.ExpectTarget, target.ID)
	}
	return c.Request.AppendLength(out)
}

// classify derives the result of a call from an exchange with the target. NotRun
// is returned only where nothing was sent or the target reported that it did not run
// the request.
func (g *Gate) classify(ctx context.Context, target Target, answer *httpc.Answer, err error) call.Result {
	switch {
	case err == nil:
		return g.classifyAnswer(target, answer)
	case errors.Is(err, httpc.ErrRefused):
		g.markDown(target)
		return notRun(call.TargetDown, downBackoff)
	case errors.Is(err, httpc.ErrNoConnection):
		return notRun(call.NoConnection, downBackoff)
	case errors.Is(err, httpc.ErrNotSent):
		return notRun(call.TargetDown, downBackoff)
	case errors.Is(err, httpc.ErrContextDone) && errors.Is(ctx.Err(), context.Canceled):
		return call.Result{
			Outcome: call.Gone,
			Reason:  call.CallerGone,
			Reached: true,
		}
	case errors.Is(err, httpc.ErrContextDone):
		return unknownOutcome(call.Timeout)
	}
	return unknownOutcome(call.AnswerLost)
}

func unknownOutcome(reason call.Reason) call.Result {
	return call.Result{
		Outcome: call.Unknown,
		Reason:  reason,
		Reached: true,
	}
}

func (g *Gate) classifyAnswer(target Target, answer *httpc.Answer) call.Result {
	if answer.Status == fasthttp.StatusMisdirectedRequest {
		g.markMoved(target)
		r := notRun(call.TargetMoved, downBackoff)
		r.Reached = true
		return r
	}
	if len(answer.Header.Peek(g.names.NotRun)) > 0 && answer.Status >= fasthttp.StatusBadRequest {
		r := notRun(call.Shed, g.retryAfter())
		r.Reached = true
		return r
	}
	return call.Result{
		Outcome: call.Answered,
		Answer:  &answer.Response,
		Reached: true,

		TargetLeaving: g.parseNotice(answer).leaving,
	}
}

// markDown pauses requests to a target that refused a connection, and reports its
// crash.
func (g *Gate) markDown(target Target) {
	g.mu.Lock()
	if g.target.ID == target.ID {
		g.downUntil = time.Now().Add(downBackoff)
	}
	crashed := g.takeCrash(refusedConnection)
	g.mu.Unlock()
	g.report(crashed)
}

// markMoved closes the gate until the next announcement, after a process other
// than the expected target responded at its address.
func (g *Gate) markMoved(target Target) {
	g.mu.Lock()
	if g.target.ID != target.ID {
		g.mu.Unlock()
		return
	}
	g.target.Ready = false
	state := g.stateLocked()
	g.mu.Unlock()
	g.onChange(state)
}
