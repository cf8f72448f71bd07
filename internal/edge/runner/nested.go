package runner

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/level"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/edge/wire"
)

const (
	// announcePath is where the target posts its announcements.
	announcePath = "/fuchsiapier/announce"
	// maxDepth bounds the length of a chain of nested calls.
	maxDepth = 32
	// maxAnnouncedSlots bounds the slots that a target may announce.
	maxAnnouncedSlots = 100_000
	// maxGivenID bounds the ID that a target gives to a nested call, in bytes.
	maxGivenID = 64
)

// Router returns the route of a path in the preset in force, and false if there
// is none.
type Router func(path string) (preset.Route, bool)

// Handle serves the listener for the target on this VM: its announcements and the
// nested calls that it makes.
func (r *Runner) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == announcePath {
		r.handleAnnounce(ctx)
		return
	}
	reply := r.nested(ctx)
	WriteReply(ctx, reply)
}

// nested performs a call that the target makes while it runs the request that the
// handle identifies.
func (r *Runner) nested(ctx *fasthttp.RequestCtx) wire.Reply {
	parent, ok := r.handles.get(string(ctx.Request.Header.Peek(wire.HeaderHandle)))
	if !ok {
		return wire.Refuse(wire.ReasonBadHandle, 0)
	}
	path := string(ctx.RequestURI())
	route, ok := r.route(string(ctx.Path()))
	if !ok {
		return wire.Refuse(wire.ReasonNoRoute, 0)
	}
	givenID := string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	if parent.call.Depth+1 > maxDepth || len(givenID) > maxGivenID {
		return wire.Refuse(wire.ReasonBadRequest, 0)
	}
	deadline, _ := parent.ctx.Deadline()
	left := min(time.Until(deadline), route.Deadline.D())
	if left <= 0 {
		return wire.Refuse(wire.ReasonDeadline, 0)
	}
	body := append([]byte(nil), ctx.PostBody()...)
	method := string(ctx.Method())
	retryShare := parent.allowance.Split()
	c := parent.call
	c.ID = parent.childID(givenID, method, path, body)
	c.Service = route.Service
	c.Route = route.Name
	c.Depth++
	c.Retries = retryShare
	c.Idempotent = route.Idempotent
	c.KeyID = ""
	c.GeneratedID = false
	c.Fingerprint = uint64(crash.FingerprintOf(c.Workspace, method, path, body))
	c.Method = method
	c.Path = path
	c.ContentType = string(ctx.Request.Header.ContentType())
	c.Headers = wire.RequestHeaders(&ctx.Request.Header)
	c.Body = body
	return r.callDownstream(parent, c.WithLeft(left), retryShare)
}

// callDownstream sends a nested call. It returns the unused part of retryShare to
// the parent's allowance and records the admission levels of the called services.
func (r *Runner) callDownstream(parent *activeCall, c wire.Call, retryShare int) wire.Reply {
	ctx, cancel := nestedContext(parent, c)
	defer cancel()
	reply := r.sender.Call(ctx, c)
	parent.allowance.Return(retryShare, reply.RetriesLeft)
	callee := level.Levels{
		c.Service: r.sender.ServiceLevel(c.Service),
	}
	parent.mergeLevels(callee.Merge(reply.Levels))
	return reply
}

// WriteReply writes a reply as an HTTP response: the response of the target if the
// outcome is done, or else the outcome and the reason as headers and text.
func WriteReply(ctx *fasthttp.RequestCtx, r wire.Reply) {
	ctx.SetStatusCode(r.HTTPStatus())
	ctx.Response.Header.Set(wire.HeaderOutcome, string(r.Outcome))
	if r.Reason != "" {
		ctx.Response.Header.Set(wire.HeaderReason, string(r.Reason))
	}
	if r.Outcome != wire.Done && r.RetryMillis > 0 {
		seconds := (r.RetryMillis + 999) / 1000
		ctx.Response.Header.Set(wire.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
		ctx.Response.Header.Set(wire.HeaderRetryAfterMillis, strconv.FormatInt(r.RetryMillis, 10))
	}
	if r.Outcome == wire.Done {
		for _, h := range r.Headers {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
		ctx.SetContentType(r.ContentType)
		ctx.SetBody(r.Body)
		return
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(string(r.Outcome) + ": " + string(r.Reason) + "\n")
}
