// Package gate is the only way to the target on the node's VM. It knows what
// runs there and what waits, decides order and refusals on that, and sends each
// request at most once.
package gate

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

const (
	// dialTimeout bounds opening a connection to the target, which is on the same VM.
	dialTimeout = 400 * time.Millisecond
	// downTime is how long a target that refuses connections is left alone.
	downTime = 200 * time.Millisecond
	// minLeft is the least time that is worth handing to a target.
	minLeft = 5 * time.Millisecond
	// sendMargin is taken off the deadline that a target gets, so that its own
	// answer at the deadline is back in time.
	sendMargin = 10 * time.Millisecond
	// answerGrace is how long after the deadline a target's answer is awaited.
	answerGrace = 150 * time.Millisecond
	// unknownSlots is assumed of a target that has not announced itself yet.
	unknownSlots = 8
	// headRoom is what the header of most requests needs, in bytes.
	headRoom = 768
	// tombstones bounds the remembered IDs of targets that have left.
	tombstones = 64
)

// Target is what a target announces of itself.
type Target struct {
	ID      string
	Service string
	Address string
	Slots   int
	// Ready is false for a target that is leaving.
	Ready bool
	// ColdLeft is how much longer the target is slow after its start.
	ColdLeft time.Duration
	// Born is when the target started, in Unix milliseconds, 0 where it didn't say.
	Born int64
	// Seq grows with each announcement of one start.
	Seq int64
}

// State is what the gate tells others of its target.
type State struct {
	Target
	// Open says that the gate takes requests for the target.
	Open bool
	Wait time.Duration
	// Running and Waiting count requests.
	Running int
	Waiting int
	Limit   int
	// ServiceTime is the mean time that the target takes for a request.
	ServiceTime time.Duration
	// FailShare is the recent part of requests that the target failed.
	FailShare float64
}

// Gate is safe for concurrent use.
type Gate struct {
	names   msg.Names
	filter  msg.Filter
	changed func(State)
	ran     func()
	docket  Docket
	log     zerolog.Logger

	mu        sync.Mutex
	target    Target
	known     bool
	leaving   bool
	downUntil time.Time
	pool      *outlet.Outlet
	limiter   *limit.Limiter
	waiting   map[*limit.Ticket]chan bool
	left      map[string]int64
	leftOrder []string
	failures  failures
	mean      mean
	deaths    deaths
}

// Option configures a Gate.
type Option func(*Gate)

// WithChanged registers a function that is told when the target's state changes.
func WithChanged(f func(State)) Option {
	return func(g *Gate) {
		g.changed = f
	}
}

// WithDocket sets where requests that crash targets are kept.
func WithDocket(d Docket) Option {
	return func(g *Gate) {
		g.docket = d
	}
}

// clear is a docket that knows no request.
type clear struct{}

func (clear) Judge(crash.Fingerprint) (crash.Standing, time.Duration) { return crash.Clear, 0 }
func (clear) Died([]crash.Fingerprint)                                {}
func (clear) Cleared(crash.Fingerprint)                               {}

// WithLog sets where calls that were refused or failed are logged.
func WithLog(log zerolog.Logger) Option {
	return func(g *Gate) {
		g.log = log
	}
}

// WithRan registers a function that is told of each run at the target.
func WithRan(f func()) Option {
	return func(g *Gate) {
		g.ran = f
	}
}

// New returns a gate without a target and its clean-up.
func New(names msg.Names, options ...Option) (*Gate, func()) {
	g := &Gate{
		names:   names,
		filter:  msg.NewFilter(call.FieldCall, call.FieldLoad, call.FieldRefused),
		changed: func(State) {},
		ran:     func() {},
		docket:  clear{},
		log:     zerolog.Nop(),
		deaths:  newDeaths(),
		limiter: limit.New(unknownSlots),
		waiting: map[*limit.Ticket]chan bool{},
		left:    map[string]int64{},
	}
	for _, o := range options {
		o(g)
	}
	return g, g.close
}

func (g *Gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pool != nil {
		g.pool.Close()
	}
}

// Expect sets the target that the settings name, until it announces itself.
func (g *Gate) Expect(service, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known {
		return
	}
	g.setTarget(Target{
		Service: service,
		Address: address,
		Slots:   unknownSlots,
		Ready:   true,
	})
}

// Announce takes a target's announcement and reports whether it is news: late
// ones of the same start and those of earlier starts are not.
func (g *Gate) Announce(t Target) bool {
	g.mu.Lock()
	if !g.newer(t) {
		g.mu.Unlock()
		return false
	}
	before := g.stateLocked()
	if g.known && g.target.Born > 0 && t.Born > g.target.Born {
		g.tellDeath()
	}
	g.setTarget(t)
	after := g.stateLocked()
	woken := g.next()
	g.mu.Unlock()
	wake(woken)
	if before.Target.ID != after.Target.ID || before.Open != after.Open || before.Service != after.Service {
		g.changed(after)
	}
	return true
}

// newer must be called with g.mu held.
func (g *Gate) newer(t Target) bool {
	if born, gone := g.left[t.ID]; gone && t.Born <= born {
		return false
	}
	if !g.known || g.target.ID == "" {
		return true
	}
	if t.ID == g.target.ID && t.Born == g.target.Born {
		return t.Seq > g.target.Seq
	}
	return t.Born > g.target.Born
}

// setTarget must be called with g.mu held.
func (g *Gate) setTarget(t Target) {
	restarted := t.ID != g.target.ID || t.Born != g.target.Born
	if g.pool == nil || g.pool.Address() != t.Address {
		if g.pool != nil {
			g.pool.Close()
		}
		g.pool, _ = outlet.New(t.Address,
			outlet.WithDialTimeout(dialTimeout),
			outlet.WithAttemptHeader(g.names.Attempt),
			outlet.WithFilter(g.filter),
		)
	}
	switch {
	case restarted && g.known && t.ColdLeft > 0:
		g.limiter.Restart(t.Slots)
	case restarted:
		g.limiter.Warm(t.Slots)
	default:
		g.limiter.Resize(t.Slots)
	}
	if restarted {
		g.mean = mean{}
		g.failures = failures{}
	}
	g.target = t
	g.known = true
	g.downUntil = time.Time{}
}

// Withdraw notes that a target has left; what it runs is let finish.
func (g *Gate) Withdraw(id string) {
	g.mu.Lock()
	born := int64(0)
	if id == g.target.ID {
		born = g.target.Born
		g.target.Ready = false
	}
	if _, known := g.left[id]; !known {
		g.leftOrder = append(g.leftOrder, id)
	}
	g.left[id] = max(born, g.left[id])
	if len(g.leftOrder) > tombstones {
		delete(g.left, g.leftOrder[0])
		g.leftOrder = g.leftOrder[1:]
	}
	state := g.stateLocked()
	g.mu.Unlock()
	g.changed(state)
}

// Leave refuses further requests from other nodes: this node is about to stop.
func (g *Gate) Leave() {
	g.mu.Lock()
	g.leaving = true
	state := g.stateLocked()
	g.mu.Unlock()
	g.changed(state)
}

// State returns the gate's state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateLocked()
}

func (g *Gate) stateLocked() State {
	return State{
		Target:  g.target,
		Open:    g.known && g.target.Ready && !g.leaving && time.Now().After(g.downUntil),
		Wait:    g.limiter.Wait(&limit.Ticket{}),
		Running: g.limiter.Running(),
		Waiting: g.limiter.Waiting(),
		Limit:   g.limiter.Limit(),

		ServiceTime: g.mean.value(time.Now()),
		FailShare:   g.failures.share(time.Now()),
	}
}

// Trim closes connections to the target that were idle for too long.
func (g *Gate) Trim(now time.Time) {
	g.mu.Lock()
	pool := g.pool
	g.mu.Unlock()
	if pool != nil {
		pool.Trim(now)
	}
}

// Serve runs a call on the target. Its context ends when the caller hangs up:
// a call that waits is then withdrawn, one that may be repeated is broken off.
func (g *Gate) Serve(ctx context.Context, c *call.Call) call.Result {
	print := c.Fingerprint()
	standing, left := g.docket.Judge(print)
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
		result = g.run(ctx, c, ticket, print)
	}
	if standing != crash.Clear && result.Outcome == call.Answered {
		g.docket.Cleared(print)
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

// run sends an admitted call and frees its slot afterwards.
func (g *Gate) run(ctx context.Context, c *call.Call, t *limit.Ticket, print crash.Fingerprint) call.Result {
	began := timer.Now()
	g.mu.Lock()
	g.deaths.begin(t, print)
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
	}
	g.deaths.end(time.Now(), t, result.Reason == call.Lost)
	failed, counts := failing(result)
	g.failures.add(time.Now(), failed, counts)
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
