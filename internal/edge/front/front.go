// Package front handles the requests of callers: it authenticates them, charges
// them to the rate limit of their workspace and passes them to the sender.
package front

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/claim"
	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/level"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/preset"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/edge/runner"
	"fuchsiapier/internal/edge/wire"
)

const (
	// configRetryAfter is the Retry-After of a node that has no configuration, has
	// been without the platform's log for too long, or is shutting down.
	configRetryAfter = 1 * time.Second
	// maxTokenAge bounds the time from requesting a token to sending the request that
	// it is for. An older token means that the process was paused meanwhile;
	// takeToken then takes another.
	maxTokenAge = 500 * time.Millisecond
	// bearerPrefix precedes the key in the Authorization header.
	bearerPrefix = "Bearer "
)

// Config provides the configuration in force and whether it may still be used.
type Config interface {
	// State returns the latest configuration.
	State() state.State
	// Offline reports whether the node has been out of contact with the platform's
	// log for longer than the preset allows.
	Offline(p preset.Preset) bool
}

// Budgets limits the rates of workspaces.
type Budgets interface {
	// Take takes n tokens of a budget and reports whether it got them; if not, it
	// returns the time after which to retry.
	Take(ctx context.Context, budget string, n float64) (bool, time.Duration)
	// Refund returns n tokens of requests that did not run.
	Refund(budget string, n float64)
	// Demand returns the recent demand of this failure domain, in tokens a second.
	Demand(budget string) float64
}

// Sender sends calls to targets.
type Sender interface {
	// CallWithAdmission sends a request if admit returns no refusal. For a duplicate
	// that joins a running or answered request, admit is not called.
	CallWithAdmission(ctx context.Context, c wire.Call, admit func(ctx context.Context) wire.Reply) wire.Reply
}

// Observer records the replies to callers in metrics.
type Observer interface {
	// CountAnswer records a reply and the time that the request took.
	CountAnswer(route, workspace string, r wire.Reply, took time.Duration)
}

// Front handles the requests of callers. It is safe for concurrent use.
type Front struct {
	domain   string
	config   Config
	budgets  Budgets
	sender   Sender
	observer Observer
	noRates  bool
	stopping atomic.Bool
	active   atomic.Int64
}

// Option configures a Front.
type Option func(*Front)

// WithoutRateLimits disables the rate limits of workspaces, as a baseline for
// comparisons.
func WithoutRateLimits() Option {
	return func(f *Front) {
		f.noRates = true
	}
}

// New returns the front of a node in the named failure domain.
func New(domain string, config Config, budgets Budgets, sender Sender, observer Observer, options ...Option) *Front {
	f := &Front{
		domain:   domain,
		config:   config,
		budgets:  budgets,
		sender:   sender,
		observer: observer,
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// BudgetName returns the name of a workspace's budget.
func BudgetName(workspace string) string {
	return "workspace:" + workspace
}

// Handle serves one request of a caller.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	f.active.Add(1)
	defer f.active.Add(-1)
	ctx.Response.Header.Set(wire.HeaderDomain, f.domain)
	c, reply := f.serve(ctx)
	if c.Request != "" {
		ctx.Response.Header.Set(wire.HeaderRequestID, c.Request)
	}
	f.observer.CountAnswer(c.Route, c.Workspace, reply, time.Since(start))
	runner.WriteReply(ctx, reply)
	if f.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// Drain makes the front refuse new requests and returns how many are still running.
// It may be called repeatedly.
func (f *Front) Drain() int64 {
	f.stopping.Store(true)
	return f.active.Load()
}

// serve returns the reply to a request, and the call with the fields that were set
// before the reply was determined.
func (f *Front) serve(ctx *fasthttp.RequestCtx) (wire.Call, wire.Reply) {
	if f.stopping.Load() {
		return wire.Call{}, wire.Refuse(wire.ReasonStopping, configRetryAfter)
	}
	s := f.config.State()
	p, ok := s.Active()
	if !ok {
		return wire.Call{}, wire.Refuse(wire.ReasonNoConfig, configRetryAfter)
	}
	route, ok := p.Route(string(ctx.Path()))
	if !ok {
		return wire.Call{}, wire.Refuse(wire.ReasonNoRoute, 0)
	}
	c := wire.Call{
		Route:      route.Name,
		Service:    route.Service,
		Retries:    route.Retries,
		Idempotent: route.Idempotent,
	}
	if !route.Open {
		key, refusal := f.authenticate(ctx, s, p)
		if refusal.Outcome != "" {
			return c, refusal
		}
		c.Workspace = key.Workspace
		c.KeyID = key.ID
		c.Version = s.Version
	}
	c, refusal := f.readRequest(ctx, c, route)
	if refusal.Outcome != "" {
		return c, refusal
	}
	return c, f.send(c, p, route)
}

// authenticate returns the record of the key that a request presents, or a refusal.
// Only the ID and the workspace of the key are used after that, never the key
// itself.
func (f *Front) authenticate(ctx *fasthttp.RequestCtx, s state.State, p preset.Preset) (state.Key, wire.Reply) {
	text, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(wire.HeaderKey)), bearerPrefix)
	if !ok {
		return state.Key{}, wire.Refuse(wire.ReasonNoKey, 0)
	}
	if f.config.Offline(p) {
		return state.Key{}, wire.Refuse(wire.ReasonOffline, configRetryAfter)
	}
	key, ok := s.Authenticate(text)
	if !ok {
		return state.Key{}, wire.Refuse(wire.ReasonBadKey, 0)
	}
	return key, wire.Reply{}
}

// readRequest returns the call with the ID, the deadline and the content of a request,
// or a refusal.
func (f *Front) readRequest(ctx *fasthttp.RequestCtx, c wire.Call, route preset.Route) (wire.Call, wire.Reply) {
	id, generated, err := f.requestID(ctx)
	if err != nil {
		return c, wire.Refuse(wire.ReasonBadRequest, 0)
	}
	left, err := timeLeft(ctx, route)
	if err != nil {
		return c, wire.Refuse(wire.ReasonBadRequest, 0)
	}
	if left <= 0 {
		return c, wire.Refuse(wire.ReasonDeadline, 0)
	}
	c.Request = id.Text
	c.ID = id.Text
	c.Home = id.Home
	c.Created = id.Created
	c.GeneratedID = generated
	c.Method = string(ctx.Method())
	c.Path = string(ctx.RequestURI())
	c.ContentType = string(ctx.Request.Header.ContentType())
	c.Headers = wire.RequestHeaders(&ctx.Request.Header)
	c.Body = append([]byte(nil), ctx.PostBody()...)
	c.Fingerprint = uint64(crash.FingerprintOf(c.Workspace, c.Method, c.Path, c.Body))
	return c.WithLeft(left), wire.Reply{}
}

// requestID returns the request's ID; generated tells that the caller sent none.
func (f *Front) requestID(ctx *fasthttp.RequestCtx) (id claim.ID, generated bool, err error) {
	text := string(ctx.Request.Header.Peek(wire.HeaderRequestID))
	if text == "" {
		id, err = claim.NewID(f.domain)
		return id, true, err
	}
	id, err = claim.ParseID(text)
	return id, false, err
}

// timeLeft returns the time until the caller's deadline, or until the route's if that
// is earlier or the caller sent none.
func timeLeft(ctx *fasthttp.RequestCtx, route preset.Route) (time.Duration, error) {
	text := string(ctx.Request.Header.Peek(wire.HeaderDeadline))
	if text == "" {
		return route.Deadline.D(), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("header %s must be a number of milliseconds", wire.HeaderDeadline)
	}
	return min(time.Duration(millis)*time.Millisecond, route.Deadline.D()), nil
}

// send passes a request to the sender. It takes a token of the workspace's budget
// just before the request is sent to a target and refunds it if the request did not
// run.
func (f *Front) send(c wire.Call, p preset.Preset, route preset.Route) wire.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), c.Left())
	defer cancel()
	budget := BudgetName(c.Workspace)
	counted := !route.Open && !f.noRates
	demand := 1.0
	if counted {
		demand = f.demand(p, c.Workspace, budget)
	}
	c.Priority = level.Priority(preset.ClassRank(route.Class), c.Request, demand)
	taken := false
	reply := f.sender.CallWithAdmission(ctx, c, func(ctx context.Context) wire.Reply {
		if !counted {
			return wire.Reply{}
		}
		refusal := f.takeToken(ctx, budget)
		taken = refusal.Outcome == ""
		return refusal
	})
	if taken && reply.Outcome == wire.NotRun {
		f.budgets.Refund(budget, 1)
	}
	return reply
}

// takeToken takes a token of a budget, and another one if the process was paused
// while it took the first. It returns the refusal if there is none.
func (f *Front) takeToken(ctx context.Context, budget string) wire.Reply {
	for {
		before := timer.Now()
		ok, retry := f.budgets.Take(ctx, budget, 1)
		if !ok {
			return wire.Refuse(wire.ReasonRate, retry)
		}
		if timer.Now().Sub(before) < maxTokenAge {
			return wire.Reply{}
		}
	}
}

// demand returns the workspace's demand in this failure domain, divided by the part
// of its rate that it is entitled to there; 1 if it is entitled to none.
func (f *Front) demand(p preset.Preset, workspace, budget string) float64 {
	entitled := p.Workspaces[workspace].Rate * p.Domains[f.domain].Share
	if entitled <= 0 {
		return 1
	}
	return f.budgets.Demand(budget) / entitled
}
