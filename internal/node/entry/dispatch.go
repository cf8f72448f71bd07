package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// maxWaitFraction is the fraction of a route's objective for which a request may wait
	// for a slot before another node is tried.
	maxWaitFraction = 0.4
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = 500 * time.Millisecond
	// maxRefusals bounds how many gates may refuse a request before it goes to the last
	// round or fails.
	maxRefusals = 5
	// hedgeFactor is how many times its mean service time a node may take before an
	// idempotent request is hedged.
	hedgeFactor = 3
	// firstAttemptDivisor gives an attempt at least 1/3 of the route's objective before
	// the request is hedged.
	firstAttemptDivisor = 3
	// minHedgeDelay is the least time before a hedged request.
	minHedgeDelay = 150 * time.Millisecond
	// resultGrace is how long after the deadline the results of gates are awaited, so
	// that a request that has not run can be reported as such.
	resultGrace = 100 * time.Millisecond
	// maxRetryFailureRate is the failure rate of a target up to which its server errors
	// are retried elsewhere.
	maxRetryFailureRate = 0.25
	// minTimeLeft is the least time to the deadline with which another node is tried.
	minTimeLeft = 20 * time.Millisecond
)

// attempt is one send of a request to one node.
type attempt struct {
	node   peers.Node
	result call.Result
}

// dispatch sends a request to one node after another until a target responds or the
// request fails. A refusal by a gate costs no retry, since nothing reached a target.
// Sends that reached a target are bounded by the route's attempts and the service's
// retry budget.
func (e *Entry) dispatch(ctx context.Context, q *request) (*msg.Response, call.Reason) {
	d := &dispatcher{
		entry:     e,
		request:   q,
		attempted: map[string]bool{},
		results:   make(chan attempt, maxRefusals+q.route.Attempts+2),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return d.run(ctx)
}

// dispatcher holds the state of the attempts of one request.
type dispatcher struct {
	entry   *Entry
	request *request
	// attempted holds the nodes that were sent the request; only the last round may
	// send to them again.
	attempted map[string]bool
	refusals  int
	// lastRound says that the request may now queue until its deadline, since too many
	// gates, or all, have refused it.
	lastRound bool
	inFlight  int
	// refund gives back the retry that was taken for the next attempt; nil if none was.
	refund func()
	// reached counts the sends that may have reached a target.
	reached int
	// results is buffered for every attempt, so that none blocks after run has returned.
	results chan attempt
	// retryAfter is the least retry delay that a gate gave, 0 where none did.
	retryAfter time.Duration
	// lastReason is the reason of the last attempt whose outcome was not Answered.
	lastReason call.Reason
	// final says that every other node would refuse the request as well.
	final bool
	// serverError is a target's response with a status of 500 or above, passed on where
	// no other attempt succeeds.
	serverError *msg.Response
}

// run makes attempts until one has a final response, no other may be made, the
// deadline passes, the caller disconnects or the node stops.
func (d *dispatcher) run(ctx context.Context) (*msg.Response, call.Reason) {
	q := d.request
	if !d.launch(ctx) {
		return d.giveUp()
	}
	deadline := time.NewTimer(time.Until(q.call.Deadline) + resultGrace)
	defer deadline.Stop()
	hedge := d.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case a := <-d.results:
			d.inFlight--
			resp, done := d.handleResult(a)
			if done {
				return resp, ""
			}
			if d.inFlight > 0 {
				continue
			}
			if d.final || !d.mayRetry() || !d.launchOrRefund(ctx) {
				return d.giveUp()
			}
			hedge.Reset(d.hedgeAfter())
		case <-hedge.C:
			if d.inFlight == 1 && d.mayHedge() && d.takeRetry() {
				d.launchOrRefund(ctx)
			}
		case <-deadline.C:
			d.lastReason = call.Timeout
			return d.giveUp()
		case <-d.entry.closing.Done():
			d.lastReason = call.Leaving
			return d.giveUp()
		case <-ctx.Done():
			return nil, call.CallerGone
		}
	}
}

func (d *dispatcher) hedgeTimer() *time.Timer {
	return time.NewTimer(d.hedgeAfter())
}

// hedgeAfter returns how long the last attempt may take before the request is hedged.
// A request that is not idempotent gets an hour, which is longer than usual deadlines,
// so that it is not hedged.
func (d *dispatcher) hedgeAfter() time.Duration {
	q := d.request
	if !q.route.Idempotent || len(q.tried) == 0 {
		return time.Hour
	}
	least := max(minHedgeDelay, q.route.Objective/firstAttemptDivisor)
	if n, ok := d.lastTried(); ok {
		return max(least, hedgeFactor*d.entry.picker.mean(&n))
	}
	return least
}

// lastTried returns the node of the last attempt, if it still accepts calls.
func (d *dispatcher) lastTried() (peers.Node, bool) {
	q := d.request
	name := q.tried[len(q.tried)-1]
	for _, n := range d.entry.fleet.View().Targets(q.service) {
		if n.Name == name {
			return n, true
		}
	}
	return peers.Node{}, false
}

// mayRetry reports whether another node may be tried after the results so far. It
// takes a retry from the budget where an attempt has reached a target.
func (d *dispatcher) mayRetry() bool {
	if time.Until(d.request.call.Deadline) < minTimeLeft {
		return false
	}
	if d.reached == 0 {
		return true
	}
	if d.request.mayHaveRun && !d.request.route.Idempotent {
		return false
	}
	return d.takeRetry()
}

// mayHedge reports whether an attempt without a response may be hedged. Where the
// target often fails and the retry is also charged to the services that it calls, the
// budget is left to the retries of those calls. A request that ran during crashes is not
// sent to two targets at once.
func (d *dispatcher) mayHedge() bool {
	if standing, _ := d.standing(); standing != crash.Clear {
		return false
	}
	if !d.entry.retryBudget.ChargesCallees(d.request.service) {
		return true
	}
	n, ok := d.lastTried()
	return !ok || d.entry.picker.failureRateOf(time.Now(), &n) <= maxRetryFailureRate
}

// takeRetry takes a retry from the budget of the service and reports whether the
// route, the deadline and the budget allow it.
func (d *dispatcher) takeRetry() bool {
	q := d.request
	if d.reached+d.inFlight >= q.route.Attempts || time.Until(q.call.Deadline) < minTimeLeft {
		return false
	}
	refund, allowed := d.entry.retryBudget.Spend(q.service)
	d.refund = refund
	q.retryDenied = q.retryDenied || !allowed
	return allowed
}

// launchOrRefund starts an attempt, and gives the retry that was taken for it back to the
// budget where no node is left.
func (d *dispatcher) launchOrRefund(ctx context.Context) bool {
	refund := d.refund
	d.refund = nil
	if d.launch(ctx) {
		return true
	}
	if refund != nil {
		refund()
	}
	return false
}

// launch starts an attempt at the best node that was not tried yet. A request that too
// many nodes, or all, have refused goes once more to the best node that was only busy
// and queues there. launch reports false where no node is left.
func (d *dispatcher) launch(ctx context.Context) bool {
	e, q := d.entry, d.request
	if e.refusing.Err() != nil {
		d.final, d.lastReason = true, call.Leaving
		return false
	}
	standing, left := d.standing()
	if standing == crash.Quarantined {
		d.final, d.lastReason, d.retryAfter = true, call.CrashesTargets, left
		return false
	}
	view := e.fleet.View()
	nodes := view.Targets(q.service)
	skip := func(name string) bool { return d.attempted[name] }
	node, ok := d.pick(nodes, view, standing, skip)
	if !ok || d.refusals >= maxRefusals {
		if d.lastRound || d.refusals == 0 || d.reached > 0 {
			return false
		}
		d.lastRound = true
		node, ok = e.picker.best(time.Now(), nodes, d.profile(), view.Suspect, d.isExcluded)
		if !ok {
			return false
		}
	}
	d.attempted[node.Name] = true
	d.inFlight++
	q.tried = append(q.tried, node.Name)
	c := *q.call
	c.MaxWait = d.maxWait()
	c.TargetRateLimit = e.picker.rateLimit(&node)
	c.Withdrawn = e.refusing
	if standing != crash.Clear {
		c.Evidence = e.crashes.Evidence(d.request.fingerprint)
	}
	e.picker.begin(&node)
	began := time.Now()
	c.Request.Body.Retain()
	go func() {
		defer c.Request.Body.Release()
		result := e.send(ctx, node, &c)
		e.picker.end(time.Now(), &node, classify(result), time.Since(began), result)
		d.results <- attempt{
			node:   node,
			result: result,
		}
	}()
	return true
}

// pick returns the node for the next attempt, and false where there is none.
func (d *dispatcher) pick(nodes []peers.Node, view *peers.View, standing crash.Standing, skip func(name string) bool) (peers.Node, bool) {
	picker := d.entry.picker
	if standing == crash.Suspected {
		if n, ok := picker.trial(time.Now(), nodes, d.request.fingerprint, view.Suspect, skip); ok {
			return n, true
		}
	}
	return picker.best(time.Now(), nodes, d.profile(), view.Suspect, skip)
}

// standing returns the standing of the request in the evidence of crashes, and how long it lasts.
func (d *dispatcher) standing() (crash.Standing, time.Duration) {
	e := d.entry
	if e.crashes.Empty() {
		return crash.Clear, 0
	}
	if d.request.fingerprint == 0 {
		d.request.fingerprint = d.request.call.Fingerprint()
	}
	return e.crashes.Lookup(d.request.fingerprint)
}

// isExcluded reports whether a node is left out of the last round. Busy nodes are not.
func (d *dispatcher) isExcluded(name string) bool {
	return d.request.excluded[name]
}

// maxWait returns how long an attempt may queue at a gate.
func (d *dispatcher) maxWait() time.Duration {
	if d.lastRound {
		return time.Until(d.request.call.Deadline)
	}
	return time.Duration(maxWaitFraction * float64(objective(d.request.route)))
}

// profile returns what the picker needs to know about the request.
func (d *dispatcher) profile() profile {
	return profile{
		objective: objective(d.request.route),
		bytes:     d.entry.meanSize(d.request.route.Name),
	}
}

// objective returns the latency objective of a route.
func objective(r *rules.Route) time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return defaultObjective
}

// send passes a call to the gate of a node, which may be this node.
func (e *Entry) send(ctx context.Context, node peers.Node, c *call.Call) call.Result {
	if node.Name == e.picker.self {
		return e.gate.Serve(ctx, c)
	}
	return e.remote.Send(ctx, node, c)
}

// classify returns what a result says about the node that it came from.
func classify(r call.Result) nodeOutcome {
	switch {
	case r.Outcome == call.Answered && r.Answer.Status < fasthttp.StatusInternalServerError:
		return answered
	case r.Outcome == call.Answered, r.Outcome == call.Unknown:
		return failed
	case r.Reason == call.Unreachable:
		return unreachable
	}
	return neutral
}

// handleResult records the result of an attempt. It returns the response to the caller
// and true where no other attempt is needed.
func (d *dispatcher) handleResult(a attempt) (resp *msg.Response, done bool) {
	q := d.request
	r := a.result
	if len(r.Evidence) > 0 {
		d.entry.crashes.Learn(a.node.Name, r.Evidence)
	}
	if r.Reached {
		d.reached++
		q.sends++
	}
	switch r.Outcome {
	case call.Answered:
		return d.handleResponse(a)
	case call.NotRun:
		d.refusals++
		d.lastReason = r.Reason
		d.final = d.final || r.Reason == call.CrashesTargets
		if r.Reason != call.Busy {
			q.exclude(a.node.Name)
		}
		if r.RetryAfter > 0 && (d.retryAfter == 0 || r.RetryAfter < d.retryAfter) {
			d.retryAfter = r.RetryAfter
		}
	case call.Unknown:
		d.lastReason = r.Reason
		q.mayHaveRun = true
		q.exclude(a.node.Name)
	case call.Gone:
		d.lastReason = r.Reason
		q.mayHaveRun = q.mayHaveRun || r.Reached
	}
	return nil, false
}

// handleResponse passes a target's response on. A server error of an idempotent request
// is held back while another target is tried, unless the target often fails: the cause
// then lies in the services that it calls, and each failed call is retried there.
func (d *dispatcher) handleResponse(a attempt) (*msg.Response, bool) {
	q := d.request
	resp := a.result.Answer
	q.mayHaveRun = true
	d.entry.recordSize(q, resp)
	failed := resp.Status >= fasthttp.StatusInternalServerError
	if !failed || !q.route.Idempotent || d.entry.picker.failureRateOf(time.Now(), &a.node) > maxRetryFailureRate {
		return resp, true
	}
	d.serverError = resp
	return nil, false
}

// giveUp returns the response to a request that no target served successfully. It
// says that the request has not run only where that is certain, and the workspace then
// gets its token back.
func (d *dispatcher) giveUp() (*msg.Response, call.Reason) {
	q := d.request
	switch {
	case d.serverError != nil:
		return d.serverError, ""
	case q.mayHaveRun || d.outcomePending():
		if d.lastReason == call.Timeout {
			return msg.Plain(fasthttp.StatusGatewayTimeout, "no answer in time"), d.lastReason
		}
		return msg.Plain(fasthttp.StatusBadGateway, "no answer from the target"), d.lastReason
	}
	if d.lastReason == "" {
		d.lastReason = call.NoTarget
	}
	if q.workspace != nil {
		d.entry.tokens.Return(q.workspace.Name)
	}
	return d.entry.refusal(fasthttp.StatusServiceUnavailable, q, d.retryAfter, "not run: "+string(d.lastReason)), d.lastReason
}

// outcomePending reports whether an attempt has no result yet and may still run.
func (d *dispatcher) outcomePending() bool {
	return d.inFlight > 0
}
