// Package entry is the ingress for requests of the callers and of the target on the
// node's VM. It matches the route, authorizes the workspace and takes one of its
// tokens, sheds load, balances requests over the nodes beside targets, retries or
// hedges what may safely be sent again, and responds at once when it gives up.
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

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/node/watch"
	"fuchsiapier/internal/pipe/httpd"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 10 * time.Second
	// priorityStep is added to a request's due time for each rank below the highest.
	// A request of lower rank waits longer, but one with a short objective still goes
	// before calls that have more time left.
	priorityStep = 100 * time.Millisecond
	// noConfigRetryAfter is the retry delay in the responses of a node without a
	// configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal. The upper bound
	// and the caller's deadline take precedence over the lower one.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterDivisor limits the retry delay in a refusal to 1/3 of the time left to the
	// caller's deadline.
	retryAfterDivisor = 3
)

// Gate runs calls on the target beside the node, within its concurrency limit.
type Gate interface {
	Serve(ctx context.Context, c *call.Call) call.Result
}

// Remote sends calls to the gates of other nodes.
type Remote interface {
	Send(ctx context.Context, to peers.Node, c *call.Call) call.Result
}

// Tokens limits the request rate of each workspace with a token bucket.
type Tokens interface {
	// Take takes a token of a workspace; where there is none, retryAfter is the delay
	// after which to try again.
	Take(ctx context.Context, workspace string) (ok bool, retryAfter time.Duration)
	// Return gives back the token of a request that was not run.
	Return(workspace string)
	// Owner names the node that holds the tokens of a workspace, for the log.
	Owner(workspace string) string
}

// RetryBudget is the retry budget of each service.
type RetryBudget interface {
	// RecordRequest counts a caller's request to a service.
	RecordRequest(service string)
	// Spend takes one retry or hedged request from the budget of a service and reports
	// whether the budget allows it. refund gives it back if it was not sent.
	Spend(service string) (refund func(), ok bool)
	// ChargesCallees reports whether a retry is also charged to services that the
	// service calls.
	ChargesCallees(service string) bool
}

// Graph counts the calls of the target beside the node, for the service call graph.
type Graph interface {
	// CountCall counts a call to a service.
	CountCall(now timer.Instant, service string)
	// RecordOutcome counts the end of a call; rejected says that it was refused or
	// timed out.
	RecordOutcome(now time.Time, service string, rejected bool)
}

// Meter records the responses to callers as metrics.
type Meter interface {
	// RecordResponse counts a response; status is 0 where the caller disconnected
	// before it.
	RecordResponse(route string, status int, reason string, took time.Duration)
}

// Crashes holds the evidence of requests that crash targets.
type Crashes interface {
	// Empty reports whether there is none, so that every request is clear.
	Empty() bool
	// Lookup returns the standing of a request and how long it lasts.
	Lookup(f crash.Fingerprint) (crash.Standing, time.Duration)
	// Evidence returns what is known against a request.
	Evidence(f crash.Fingerprint) []crash.Crash
	// Learn merges evidence that came with a result and returns what of it was new.
	Learn(from string, crashes []crash.Crash) (news []crash.Crash)
}

// Fleet provides the node's view of the live nodes.
type Fleet interface {
	View() *peers.View
}

// Entry handles the requests of the callers and of the target on its VM. It is safe
// for concurrent use.
type Entry struct {
	names       msg.Names
	filter      msg.Filter
	service     func() string
	rules       func() *rules.Rules
	freshness   func() watch.Freshness
	fleet       Fleet
	gate        Gate
	remote      Remote
	tokens      Tokens
	retryBudget RetryBudget
	crashes     Crashes
	graph       Graph
	meter       Meter
	log         zerolog.Logger
	picker      *picker
	mu          sync.Mutex
	// splitCredits holds the round robin credits of split routes, by route and service.
	splitCredits map[string]map[string]float64
	// meanSizes holds the exponentially weighted moving average of the bytes of a
	// request and its response, by route.
	meanSizes map[string]float64
	// refusing ends, by refuse, when requests that no target was offered are refused, and closing, by
	// closeAll, when all requests get their final answer.
	refusing context.Context
	refuse   context.CancelFunc
	closing  context.Context
	closeAll context.CancelFunc
}

// Config holds the dependencies of an Entry.
type Config struct {
	// Names are the header fields of the deployment.
	Names msg.Names
	// Self is the record of this node.
	Self peers.Node
	// Service returns the name of the service on the node's VM.
	Service func() string
	// Rules returns the configuration in force, nil before the first, and Freshness how
	// current it is.
	Rules       func() *rules.Rules
	Freshness   func() watch.Freshness
	Fleet       Fleet
	Gate        Gate
	Remote      Remote
	Tokens      Tokens
	RetryBudget RetryBudget
	Crashes     Crashes
	Graph       Graph
	Meter       Meter
	Log         zerolog.Logger
}

// New returns an Entry that uses the given dependencies, which must all be set.
func New(c Config) *Entry {
	refusing, refuse := context.WithCancel(context.Background())
	closing, closeAll := context.WithCancel(context.Background())
	return &Entry{
		names: c.Names,
		filter: msg.NewFilter(c.Names.Deadline, c.Names.Caller, c.Names.Workspace, c.Names.ExpectTarget,
			fasthttp.HeaderAuthorization, call.FieldCall, call.FieldLoad, call.FieldRefused, call.FieldCrash),
		service:      c.Service,
		rules:        c.Rules,
		freshness:    c.Freshness,
		fleet:        c.Fleet,
		gate:         c.Gate,
		remote:       c.Remote,
		tokens:       c.Tokens,
		retryBudget:  c.RetryBudget,
		crashes:      c.Crashes,
		graph:        c.Graph,
		meter:        c.Meter,
		log:          c.Log,
		picker:       newPicker(c.Self.Name, c.Self.Domain, c.Self.Region),
		splitCredits: map[string]map[string]float64{},
		meanSizes:    map[string]float64{},
		refusing:     refusing,
		refuse:       refuse,
		closing:      closing,
		closeAll:     closeAll,
	}
}

// RefuseUnsent makes the entry refuse the requests that no target was offered, wherever they wait, and
// all that come from now on, since the node is about to stop. What runs continues.
func (e *Entry) RefuseUnsent() {
	e.refuse()
}

// Close makes the entry give all requests their final answer.
func (e *Entry) Close() {
	e.refuse()
	e.closeAll()
}

// request is the state of one request while it is handled.
type request struct {
	in *httpd.Inbound
	// attemptID is the caller's ID of this attempt.
	attemptID string
	// version is that of the configuration by which the request is handled.
	version   int64
	route     *rules.Route
	workspace *rules.Workspace
	service   string
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Time
	call           *call.Call
	// sends counts the sends that may have reached a target.
	sends int
	// tried names the nodes that the request was sent to, in order.
	tried []string
	// excluded holds the nodes that are not tried even in the last round.
	excluded map[string]bool
	// retryDenied says that the retry budget allowed no further send.
	retryDenied bool
	// mayHaveRun says that a target may have run the request.
	mayHaveRun bool
	// tokenOwner names the node that holds the tokens of the workspace, and tokenWait is the
	// time until one is expected; both are set where there was none.
	tokenOwner string
	tokenWait  time.Duration
	// fingerprint identifies the request in evidence of crashes, 0 where there was none.
	fingerprint crash.Fingerprint
	// pathWait is the expected queueing time of the request over all hops.
	pathWait time.Duration
	// pathLoss is the probability that at least one of the calls that the request causes
	// is refused or times out.
	pathLoss float64
}

// exclude keeps the request from being sent to a node again.
func (q *request) exclude(node string) {
	if q.excluded == nil {
		q.excluded = map[string]bool{}
	}
	q.excluded[node] = true
}

// Handle handles a request of a caller or of the target on the VM. It returns nil
// where ctx ended because the caller disconnected.
func (e *Entry) Handle(ctx context.Context, in *httpd.Inbound) *msg.Response {
	q := &request{
		in:        in,
		attemptID: string(in.Header.Peek(e.names.Attempt)),
	}
	resp, reason := e.handle(ctx, q)
	e.finish(q, resp, reason)
	return resp
}

// handle returns the response, nil where the caller disconnected, and the reason where
// no target responded.
func (e *Entry) handle(ctx context.Context, q *request) (resp *msg.Response, reason call.Reason) {
	r := e.rules()
	if r == nil {
		return msg.Plain(fasthttp.StatusServiceUnavailable, "no configuration yet").WithRetryAfter(noConfigRetryAfter), "no-configuration"
	}
	q.version = r.Version()
	if q.attemptID == "" {
		return msg.Plain(fasthttp.StatusBadRequest, "request has no id; send "+e.names.Attempt), "no-id"
	}
	route, ok := r.Match(q.in.Host, q.in.URI)
	if !ok {
		return msg.Plain(fasthttp.StatusNotFound, "no route"), "no-route"
	}
	q.route = route
	e.setCallerDeadline(q)
	if refusal, reason := e.authenticate(r, q); refusal != nil {
		return refusal, reason
	}
	q.service = e.pickService(route)
	q.call = e.newCall(q)
	if q.call.Nested {
		e.graph.CountCall(timer.Now(), q.service)
	} else {
		e.retryBudget.RecordRequest(q.service)
	}
	if refusal, reason := e.admit(r, q); refusal != nil {
		return refusal, reason
	}
	if refusal, reason := e.takeToken(ctx, q); refusal != nil {
		return refusal, reason
	}
	return e.dispatch(ctx, q)
}

// setCallerDeadline reads the deadline header, in milliseconds from arrival.
func (e *Entry) setCallerDeadline(q *request) {
	wait := defaultDeadline
	if ms, err := strconv.ParseInt(string(q.in.Header.Peek(e.names.Deadline)), 10, 32); err == nil && ms > 0 {
		wait = time.Duration(ms) * time.Millisecond
	}
	q.callerDeadline = q.in.Arrived.Add(wait)
}

// deadline returns the deadline of the request: the caller's deadline or the end of
// the route's timeout, whichever is first.
func (q *request) deadline() time.Time {
	if q.route.Timeout <= 0 {
		return q.callerDeadline
	}
	limit := q.in.Arrived.Add(q.route.Timeout)
	if limit.Before(q.callerDeadline) {
		return limit
	}
	return q.callerDeadline
}

// authenticate finds the workspace that holds the request's key. A request without a
// valid key is accepted on a public route, or where no workspace is configured. The
// response is nil where the request is accepted.
func (e *Entry) authenticate(r *rules.Rules, q *request) (*msg.Response, call.Reason) {
	key, ok := strings.CutPrefix(string(q.in.Header.Peek(fasthttp.HeaderAuthorization)), e.names.Scheme+" ")
	if ok {
		q.workspace, ok = r.ByKey(strings.TrimSpace(key))
	}
	if !ok && !q.route.Public && r.HasWorkspaces() {
		return msg.Plain(fasthttp.StatusUnauthorized, "unknown key"), "unknown-key"
	}
	return nil, ""
}

// takeToken takes one of the tokens of the request's workspace, if it has one. The
// response is nil where there was one.
func (e *Entry) takeToken(ctx context.Context, q *request) (*msg.Response, call.Reason) {
	if q.workspace == nil {
		return nil, ""
	}
	taken, retryAfter := e.tokens.Take(ctx, q.workspace.Name)
	if !taken {
		q.tokenOwner, q.tokenWait = e.tokens.Owner(q.workspace.Name), retryAfter
		return e.refusal(fasthttp.StatusTooManyRequests, q, retryAfter, "workspace is over its rate"), "over-rate"
	}
	return nil, ""
}

// newCall builds the call for the gate, without the workspace's key. A request
// without a workspace counts as a nested call.
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
		Attempt:    q.attemptID,
		Service:    q.service,
		Request:    &in.Request,
		Extra:      extra,
		Workspace:  workspace,
		Deadline:   q.deadline(),
		Due:        q.due(priority),
		Priority:   priority,
		Nested:     q.workspace == nil,
		Idempotent: q.route.Idempotent,
	}
}

// due returns when the response should be back; gates start the queued call with
// the earliest due time first. A nested call is due one objective before its deadline
// at the latest, so that the calls of requests that are nearly done start before the
// calls of requests that have just begun.
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

// pickService returns the service that a request of a route goes to. The services of
// a split route take turns by smooth weighted round robin, which keeps each node
// exactly to the weights. The credits start at random values, so that the nodes do
// not all pick the same service at the same time.
func (e *Entry) pickService(route *rules.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	total := 0.0
	for _, d := range route.Destinations {
		total += d.Weight
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	credits, ok := e.splitCredits[route.Name]
	if !ok {
		credits = map[string]float64{}
		for _, d := range route.Destinations {
			credits[d.Service] = rand.Float64()
		}
		e.splitCredits[route.Name] = credits
	}
	best := ""
	for _, d := range route.Destinations {
		credits[d.Service] += d.Weight / total
		if best == "" || credits[d.Service] > credits[best] {
			best = d.Service
		}
	}
	credits[best]--
	return best
}

const (
	// headerOverhead is the assumed size of the headers of a request and its response,
	// in bytes.
	headerOverhead = 500
	// sizeWeight is the weight of a new sample in a route's mean size.
	sizeWeight = 0.05
)

// recordSize adds a request and its response to the mean size of the route.
func (e *Entry) recordSize(q *request, resp *msg.Response) {
	bytes := float64(headerOverhead + q.in.Body.Len() + resp.Body.Len())
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.meanSizes[q.route.Name]
	if !ok {
		mean = bytes
	}
	e.meanSizes[q.route.Name] = mean + sizeWeight*(bytes-mean)
}

// meanSize returns the mean bytes of a request and its response on a route.
func (e *Entry) meanSize(route string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mean, ok := e.meanSizes[route]; ok {
		return mean
	}
	return headerOverhead
}

// refusal returns a response that says that the request has not run, with a retry
// delay. Jitter of up to half the delay keeps refused callers from retrying at the
// same time.
func (e *Entry) refusal(status int, q *request, after time.Duration, text string) *msg.Response {
	after = max(after, minRetryAfter)
	after += time.Duration(rand.Int64N(int64(after)/2 + 1))
	limit := min(time.Until(q.callerDeadline)/retryAfterDivisor, maxRetryAfter)
	after = max(min(after, limit), 0)
	return msg.Plain(status, text).WithRetryAfter(after)
}

// finish records the metrics and the log line of a request.
func (e *Entry) finish(q *request, resp *msg.Response, reason call.Reason) {
	took := time.Since(q.in.Arrived)
	status := 0
	if resp != nil {
		status = resp.Status
	}
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	e.meter.RecordResponse(name, status, string(reason), took)
	if q.call != nil && q.call.Nested && status != 0 {
		rejected := status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusGatewayTimeout
		e.graph.RecordOutcome(time.Now(), q.service, rejected)
	}
	level := zerolog.InfoLevel
	if status >= fasthttp.StatusBadRequest || resp == nil {
		level = zerolog.WarnLevel
	}
	line := e.log.WithLevel(level).Str("request", q.attemptID).Str("route", name).Int64("rules", q.version).
		Str("service", q.service).Int("status", status).Str("reason", string(reason)).Int("sends", q.sends).
		Strs("tried", q.tried).Bool("repeat-denied", q.retryDenied).Int64("took-ms", took.Milliseconds())
	if q.workspace != nil {
		line = line.Str("workspace", q.workspace.Name)
	}
	if q.call != nil {
		line = line.Int64("left-ms", time.Until(q.call.Deadline).Milliseconds()).
			Int64("path-wait-ms", q.pathWait.Milliseconds()).Int("path-loss-percent", int(100*q.pathLoss))
	}
	if f := e.freshness(); f.Newest > q.version || isConfigured(status) {
		line = line.Int64("rules-newest", f.Newest).Int64("rules-behind-ms", f.Behind.Milliseconds()).Int64("store-age-ms", f.StoreAge.Milliseconds())
	}
	if q.tokenOwner != "" {
		line = line.Str("token-owner", q.tokenOwner).Int64("token-wait-ms", q.tokenWait.Milliseconds()).Float64("rate", q.workspace.Rate)
	}
	if q.fingerprint != 0 {
		standing, left := e.crashes.Lookup(q.fingerprint)
		line = line.Str("fingerprint", q.fingerprint.String()).Str("standing", string(standing)).Int64("standing-left-ms", left.Milliseconds())
	}
	line.Msg("request answered")
}

// isConfigured reports whether a status follows from the configuration in force alone.
func isConfigured(status int) bool {
	return status == fasthttp.StatusUnauthorized || status == fasthttp.StatusForbidden || status == fasthttp.StatusNotFound
}
