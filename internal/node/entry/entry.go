// Package entry takes requests from the callers on its VM and from the target
// there: it finds the route, the workspace and its tokens, chooses the node
// beside a target, sends again what provably may be sent again, and answers at
// once when it gives up.
package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/inlet"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// defaultDeadline holds for requests that name none.
	defaultDeadline = 10 * time.Second
	// priorityStep is how much later a request is due for each rank below the highest:
	// a request of lower rank waits longer, but one with a short objective is not
	// held up by calls that have time.
	priorityStep = 100 * time.Millisecond
	// unreadyRetry is when to come back to a node that knows no configuration yet.
	unreadyRetry = 300 * time.Millisecond
	// minRetryAfter is the least time a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter bounds the time a refused caller is told.
	maxRetryAfter = 2 * time.Second
	// retryPart is the part of its time left that a caller waits at the most.
	retryPart = 3
)

// Gate is the target on the node's own VM.
type Gate interface {
	Serve(ctx context.Context, c *call.Call) call.Result
}

// Remote sends calls to the gates of other nodes.
type Remote interface {
	Send(ctx context.Context, to peers.Node, c *call.Call) call.Result
}

// Tokens keeps workspaces within their limits.
type Tokens interface {
	Take(ctx context.Context, workspace string) (ok bool, retryAfter time.Duration)
	// Return gives back the token of a request that was not run.
	Return(workspace string)
}

// Repeats bounds repeated sends to each service.
type Repeats interface {
	First(service string)
	Spend(service string) bool
	// Deep reports whether a repeat is charged at other services too.
	Deep(service string) bool
}

// Graph counts the calls of the target on the VM.
type Graph interface {
	Called(now timer.Instant, service string)
	// Ended tells how a call ended; turned says that it found no room or no time.
	Ended(now time.Time, service string, turned bool)
}

// Meter counts answers.
type Meter interface {
	Answered(route string, status int, reason string, took time.Duration)
}

// Fleet is the node's view of the others.
type Fleet interface {
	View() *peers.View
}

// Entry is safe for concurrent use.
type Entry struct {
	names   msg.Names
	filter  msg.Filter
	service func() string
	rules   func() *rules.Rules
	fleet   Fleet
	gate    Gate
	remote  Remote
	tokens  Tokens
	repeats Repeats
	graph   Graph
	meter   Meter
	log     zerolog.Logger
	picker  *picker
	mu      sync.Mutex
	shares  map[string]map[string]float64
	// sizes are the mean bytes of a request with its answer, by route.
	sizes map[string]float64
}

// Parts are what an entry works with.
type Parts struct {
	Names msg.Names
	// Self is the node's own record.
	Self peers.Node
	// Service names the service on the node's VM.
	Service func() string
	// Rules returns the configuration in force, nil before the first.
	Rules   func() *rules.Rules
	Fleet   Fleet
	Gate    Gate
	Remote  Remote
	Tokens  Tokens
	Repeats Repeats
	Graph   Graph
	Meter   Meter
	Log     zerolog.Logger
}

// New returns an entry.
func New(p Parts) *Entry {
	return &Entry{
		names: p.Names,
		filter: msg.NewFilter(p.Names.Deadline, p.Names.Caller, p.Names.Workspace, p.Names.ExpectTarget,
			fasthttp.HeaderAuthorization, call.FieldCall, call.FieldLoad, call.FieldRefused),
		service: p.Service,
		rules:   p.Rules,
		fleet:   p.Fleet,
		gate:    p.Gate,
		remote:  p.Remote,
		tokens:  p.Tokens,
		repeats: p.Repeats,
		graph:   p.Graph,
		meter:   p.Meter,
		log:     p.Log,
		picker:  newPicker(p.Self.Name, p.Self.Domain, p.Self.Region),
		shares:  map[string]map[string]float64{},
		sizes:   map[string]float64{},
	}
}

// request is a caller's request with what was decided about it.
type request struct {
	in        *inlet.Inbound
	attempt   string
	version   int64
	route     *rules.Route
	workspace *rules.Workspace
	service   string
	// callerUntil is when the caller stops waiting.
	callerUntil time.Time
	call        *call.Call
	// sends counts sends that reached a target.
	sends int
	tried []string
	// gone has nodes that are no use to the request.
	gone map[string]bool
	// denied says that the budget for repeats allowed no further send.
	denied bool
	// ran says that a target may have run the request.
	ran bool
	// pathWait is how long it was expected to wait for targets, over all hops.
	pathWait time.Duration
	// pathLoss is the chance that one of its calls would be turned away.
	pathLoss float64
}

func (q *request) lose(node string) {
	if q.gone == nil {
		q.gone = map[string]bool{}
	}
	q.gone[node] = true
}

// Handle answers a request.
func (e *Entry) Handle(ctx context.Context, in *inlet.Inbound) *msg.Response {
	q := &request{
		in:      in,
		attempt: string(in.Header.Peek(e.names.Attempt)),
	}
	resp, why := e.handle(ctx, q)
	e.finish(q, resp, why)
	return resp
}

func (e *Entry) handle(ctx context.Context, q *request) (resp *msg.Response, why call.Reason) {
	r := e.rules()
	if r == nil {
		return msg.Plain(fasthttp.StatusServiceUnavailable, "no configuration yet").WithRetryAfter(unreadyRetry), "no-configuration"
	}
	q.version = r.Version()
	if q.attempt == "" {
		return msg.Plain(fasthttp.StatusBadRequest, "request has no id; send "+e.names.Attempt), "no-id"
	}
	route, ok := r.Match(q.in.Host, q.in.URI)
	if !ok {
		return msg.Plain(fasthttp.StatusNotFound, "no route"), "no-route"
	}
	q.route = route
	e.setDeadlines(q)
	if refusal, why := e.authorize(ctx, r, q); refusal != nil {
		return refusal, why
	}
	q.service = e.part(route)
	q.call = e.newCall(q)
	if q.call.Nested {
		e.graph.Called(timer.Now(), q.service)
	} else {
		e.repeats.First(q.service)
	}
	if refusal, why := e.enter(r, q); refusal != nil {
		return refusal, why
	}
	return e.dispatch(ctx, q)
}

func (e *Entry) setDeadlines(q *request) {
	wait := defaultDeadline
	if ms, err := strconv.ParseInt(string(q.in.Header.Peek(e.names.Deadline)), 10, 32); err == nil && ms > 0 {
		wait = time.Duration(ms) * time.Millisecond
	}
	q.callerUntil = q.in.Arrived.Add(wait)
}

// deadline is when the request is given up: the caller's or the route's time.
func (q *request) deadline() time.Time {
	if q.route.Timeout <= 0 {
		return q.callerUntil
	}
	limit := q.in.Arrived.Add(q.route.Timeout)
	if limit.Before(q.callerUntil) {
		return limit
	}
	return q.callerUntil
}

// authorize finds the workspace of the request's key and takes one of its tokens.
func (e *Entry) authorize(ctx context.Context, r *rules.Rules, q *request) (*msg.Response, call.Reason) {
	key, ok := strings.CutPrefix(string(q.in.Header.Peek(fasthttp.HeaderAuthorization)), e.names.Scheme+" ")
	if ok {
		q.workspace, ok = r.ByKey(strings.TrimSpace(key))
	}
	if !ok {
		if q.route.Public || !r.Keyed() {
			return nil, ""
		}
		return msg.Plain(fasthttp.StatusUnauthorized, "unknown key"), "unknown-key"
	}
	taken, retryAfter := e.tokens.Take(ctx, q.workspace.Name)
	if !taken {
		return e.refusal(fasthttp.StatusTooManyRequests, q, retryAfter, "workspace is over its rate"), "over-rate"
	}
	return nil, ""
}

// newCall builds what goes to the gate; the key stays behind.
func (e *Entry) newCall(q *request) *call.Call {
	in := q.in
	in.Fields = e.filter.RequestFields(in.Header)
	extra := msg.AppendField(make([]byte, 0, 128), e.names.Caller, e.service())
	priority := q.route.Priority
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
		extra = msg.AppendField(extra, e.names.Workspace, q.workspace.Name)
		if q.workspace.HasPriority {
			priority = q.workspace.Priority
		}
	}
	return &call.Call{
		Attempt:    q.attempt,
		Service:    q.service,
		Request:    &in.Request,
		Extra:      extra,
		Origin:     e.service() + "/" + workspace,
		Deadline:   q.deadline(),
		Due:        q.due(priority),
		Priority:   priority,
		Nested:     q.workspace == nil,
		Idempotent: q.route.Idempotent,
	}
}

// due is when the request should be answered; what is due first is started first. A
// call of a request that has little time left goes ahead of the calls of those
// that have just begun, so that requests that are nearly through finish.
func (q *request) due(priority int) time.Time {
	due := q.in.Arrived.Add(objective(q.route) + time.Duration(priority)*priorityStep)
	if q.workspace != nil {
		return due
	}
	if last := q.deadline().Add(-objective(q.route)); last.Before(due) {
		return last
	}
	return due
}

// part picks the service of a split route: the one furthest behind its weight,
// so that each node keeps the shares exactly. The start differs from node to node.
func (e *Entry) part(route *rules.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	total := 0.0
	for _, p := range route.Parts {
		total += p.Weight
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	owed, ok := e.shares[route.Name]
	if !ok {
		owed = map[string]float64{}
		for _, p := range route.Parts {
			owed[p.Service] = rand.Float64()
		}
		e.shares[route.Name] = owed
	}
	best := ""
	for _, p := range route.Parts {
		owed[p.Service] += p.Weight / total
		if best == "" || owed[p.Service] > owed[best] {
			best = p.Service
		}
	}
	owed[best]--
	return best
}

const (
	// messageOverhead is the header bytes of a request with its answer.
	messageOverhead = 500
	// sizeSmoothing is the weight of a new answer in a route's mean size.
	sizeSmoothing = 0.05
)

// noteSize adds an answer to the mean size of its route.
func (e *Entry) noteSize(q *request, answer *msg.Response) {
	bytes := float64(messageOverhead + len(q.in.Body) + len(answer.Body))
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.sizes[q.route.Name]
	if !ok {
		mean = bytes
	}
	e.sizes[q.route.Name] = mean + sizeSmoothing*(bytes-mean)
}

// size returns the mean bytes of a route's request with its answer.
func (e *Entry) size(route string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.sizes[route]; ok {
		return mean
	}
	return messageOverhead
}

// refusal says that the request has not run and when to come back, spread so
// that refused callers do not return together.
func (e *Entry) refusal(status int, q *request, after time.Duration, text string) *msg.Response {
	after = max(after, minRetryAfter)
	after += time.Duration(rand.Int64N(int64(after)/2 + 1))
	limit := min(time.Until(q.callerUntil)/retryPart, maxRetryAfter)
	after = max(min(after, limit), 0)
	return msg.Plain(status, text).WithRetryAfter(after)
}

// finish counts and logs what became of a request.
func (e *Entry) finish(q *request, resp *msg.Response, why call.Reason) {
	took := time.Since(q.in.Arrived)
	status := 0
	if resp != nil {
		status = resp.Status
	}
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	e.meter.Answered(name, status, string(why), took)
	if q.call != nil && q.call.Nested && status != 0 {
		turned := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout
		e.graph.Ended(time.Now(), q.service, turned)
	}
	level := zerolog.InfoLevel
	if status >= fasthttp.StatusBadRequest || resp == nil {
		level = zerolog.WarnLevel
	}
	line := e.log.WithLevel(level).Str("request", q.attempt).Str("route", name).Int64("rules", q.version).
		Str("service", q.service).Int("status", status).Str("reason", string(why)).Int("sends", q.sends).
		Strs("tried", q.tried).Bool("repeat-denied", q.denied).Int64("took-ms", took.Milliseconds())
	if q.workspace != nil {
		line = line.Str("workspace", q.workspace.Name)
	}
	if q.call != nil {
		line = line.Int64("left-ms", time.Until(q.call.Deadline).Milliseconds()).
			Int64("path-wait-ms", q.pathWait.Milliseconds()).Int("path-loss-percent", int(100*q.pathLoss))
	}
	line.Msg("request answered")
}
