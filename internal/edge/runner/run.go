package runner

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/edge/pool"
	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/internal/mesh/roster"
)

// Run performs a call on the target of this VM. The reply carries the target's
// load and admission level.
func (r *Runner) Run(ctx context.Context, c wire.Call) wire.Reply {
	t, refused := r.begin()
	if refused.Outcome != "" {
		return refused.WithRetriesLeft(c.Retries)
	}
	defer r.end()
	ctx, cancel := context.WithTimeout(ctx, c.Left())
	defer cancel()
	if !r.track(c.Serial, cancel) {
		return wire.Refuse(wire.ReasonCancelled, 0).AsFinal()
	}
	defer r.untrack(c.Serial)
	reply := r.admit(ctx, t, c)
	s := t.gate.state()
	reply.Load = s.load()
	reply.Level = s.Level
	return reply
}

// begin counts a call as in flight and returns its target. It refuses the call if
// the node is draining or has no target that is ready.
func (r *Runner) begin() (*target, wire.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return nil, wire.Refuse(wire.ReasonStopping, unavailableRetryAfter)
	}
	t := r.target
	if t == nil || t.down || t.announced.State != string(roster.Ready) {
		return nil, wire.Refuse(wire.ReasonNoTarget, unavailableRetryAfter)
	}
	r.inFlight++
	return t, wire.Reply{}
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.draining && r.inFlight == 0 {
		close(r.drained)
	}
}

// admit waits for a slot of the target and runs the call. A quarantined request is
// refused; a suspected one runs exclusively.
func (r *Runner) admit(ctx context.Context, t *target, c wire.Call) wire.Reply {
	r.poison.Learn("caller", c.Evidence)
	standing, left := r.poison.Lookup(crash.Fingerprint(c.Fingerprint))
	if standing == crash.Quarantined {
		return wire.Refuse(wire.ReasonQuarantine, left).AsFinal()
	}
	ticket := &limit.Ticket{
		Priority:  c.Priority,
		Nested:    c.Depth > 0,
		Exclusive: standing == crash.Suspected,
		Deadline:  timer.Now().Add(c.Left()),
	}
	switch t.gate.acquire(ctx, ticket) {
	case belowLevel, overloaded:
		return wire.Refuse(wire.ReasonOverload, t.gate.state().Retry).WithRetriesLeft(c.Retries)
	case contextDone:
		return wire.Refuse(wire.ReasonDeadline, t.gate.state().Retry).AsFinal()
	case admitted:
	}
	start := time.Now()
	reply, result := r.execute(ctx, t, c)
	t.gate.release(ticket, time.Since(start), result)
	return reply
}

// execute sends the request to the target and reads the response. It first checks
// the deadline and the key again, since the call may have been queued.
func (r *Runner) execute(ctx context.Context, t *target, c wire.Call) (wire.Reply, limit.Result) {
	if ctx.Err() != nil {
		return wire.Refuse(wire.ReasonDeadline, 0).AsFinal(), limit.Neutral
	}
	if c.KeyID != "" && !r.keys.KeyValid(c.KeyID, c.Version) {
		return wire.Refuse(wire.ReasonBadKey, 0).AsFinal(), limit.Neutral
	}
	handle, active := r.handles.open(ctx, c)
	defer r.handles.close(handle)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	buildRequest(ctx, req, t, c, handle)
	err := t.pool.Do(ctx, req, resp)
	if err != nil {
		return r.failureReply(t, c, err)
	}
	reply, result := toReply(resp)
	if reply.Outcome == wire.NotRun {
		return reply.WithRetriesLeft(active.allowance.Left()), result
	}
	r.poison.RecordSuccess(crash.Fingerprint(c.Fingerprint))
	reply.Levels = active.downstreamLevels()
	return reply.WithRetriesLeft(active.allowance.Left()), result
}

// buildRequest fills in the request to the target. The target receives a handle in
// place of the caller's key.
func buildRequest(ctx context.Context, req *fasthttp.Request, t *target, c wire.Call, handle string) {
	req.Header.SetMethod(c.Method)
	req.SetRequestURI("http://" + t.pool.Address() + c.Path)
	if c.ContentType != "" {
		req.Header.SetContentType(c.ContentType)
	}
	for _, h := range c.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	deadline, _ := ctx.Deadline()
	req.Header.Set(wire.HeaderHandle, handle)
	req.Header.Set(wire.HeaderRequestID, c.ID)
	req.Header.Set(wire.HeaderWorkspace, c.Workspace)
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	req.SetBody(c.Body)
}

// toReply converts a complete response of the target. A target that sheds the
// request responds with status 503 and the outcome not-run; any other response
// means that it ran the request.
func toReply(resp *fasthttp.Response) (wire.Reply, limit.Result) {
	shed := string(resp.Header.Peek(wire.HeaderOutcome)) == string(wire.NotRun)
	if shed && resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		after, _ := strconv.Atoi(string(resp.Header.Peek(wire.HeaderRetryAfter)))
		return wire.Refuse(wire.ReasonShed, time.Duration(after)*time.Second), limit.Shed
	}
	return wire.Reply{
		Outcome:     wire.Done,
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Headers:     wire.ResponseHeaders(&resp.Header),
		Body:        append([]byte(nil), resp.Body()...),
	}, limit.Clean
}

// failureReply returns the reply for a request without a complete response, and
// what the failure means for the concurrency limit.
func (r *Runner) failureReply(t *target, c wire.Call, err error) (wire.Reply, limit.Result) {
	switch {
	case errors.Is(err, pool.ErrNotSent):
		r.detectCrash(t, nil)
		return wire.Refuse(wire.ReasonNoTarget, unavailableRetryAfter).WithRetriesLeft(c.Retries), limit.Neutral
	case errors.Is(err, pool.ErrContextDone):
		return wire.UnknownOutcome(wire.ReasonDeadline), limit.Shed
	case errors.Is(err, pool.ErrIncomplete):
		return wire.UnknownOutcome(wire.ReasonAnswerCut), limit.Neutral
	}
	reply := wire.UnknownOutcome(wire.ReasonTargetDied)
	reply.Crash = r.detectCrash(t, r.handles.fingerprints())
	return reply, limit.Neutral
}

// detectCrash checks whether the target still accepts connections. If not, the first
// call to detect this marks the target down, records the given running requests with
// the crash tracker and returns the evidence.
func (r *Runner) detectCrash(t *target, running []crash.Fingerprint) []crash.Crash {
	c, err := net.DialTimeout("tcp", t.pool.Address(), crashDialTimeout)
	if err == nil {
		_ = c.Close()
		return nil
	}
	r.mu.Lock()
	first := !t.down
	t.down = true
	r.mu.Unlock()
	if !first {
		return nil
	}
	r.announce(roster.Target{})
	r.events.Add(event.Event{
		Kind:   "target-died",
		Detail: t.service,
	})
	if len(running) == 0 {
		return nil
	}
	return []crash.Crash{r.poison.RecordCrash(crash.NewID(), running)}
}
