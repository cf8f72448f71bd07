package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// patiencePart is the part of a route's objective that a request waits for a
	// slot before another node is tried.
	patiencePart = 0.4
	// defaultObjective holds for routes without one.
	defaultObjective = 500 * time.Millisecond
	// maxRefusals bounds how many gates may refuse a request before it is given up.
	maxRefusals = 5
	// hedgeFactor is how many times its mean a node may take before a request that
	// may be repeated goes to a second one.
	hedgeFactor = 3
	// hedgePart is the part of a route's objective that is left to the first send.
	hedgePart = 3
	// minHedge is the least time before a second send.
	minHedge = 150 * time.Millisecond
	// answerGrace is how long after the deadline a gate's last word is awaited, so
	// that a request that has not run can be said not to have.
	answerGrace = 100 * time.Millisecond
	// rareFailures is the share of failures up to which a target's own failure is
	// worth another try.
	rareFailures = 0.25
	// finalReserve is the least time left in which another node is tried.
	finalReserve = 20 * time.Millisecond
)

// attempt is one send of a request to one node.
type attempt struct {
	node   peers.Node
	result call.Result
}

// dispatch sends a request until it is answered or given up. Refusals of gates
// are free: nothing reached a target. Sends that reached one are bounded by the
// route and by the budget of the service.
func (e *Entry) dispatch(ctx context.Context, q *request) (*msg.Response, call.Reason) {
	d := &dispatcher{
		entry:   e,
		request: q,
		asked:   map[string]bool{},
		results: make(chan attempt, maxRefusals+q.route.Attempts+2),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	return d.run(ctx)
}

// dispatcher is the state of one request's sends.
type dispatcher struct {
	entry   *Entry
	request *request
	// asked has the nodes that are not asked again.
	asked    map[string]bool
	refusals int
	// patient says that the last round is on, in which the request waits as long
	// as its deadline allows.
	patient bool
	flying  int
	// reached counts sends that may have reached a target.
	reached int
	results chan attempt
	// soonest is the least time after which a gate expects room.
	soonest time.Duration
	last    call.Reason
	// final says that no other node would decide otherwise.
	final bool
	// failure is a target's own failure, handed on if nothing better comes.
	failure *msg.Response
}

func (d *dispatcher) run(ctx context.Context) (*msg.Response, call.Reason) {
	q := d.request
	if !d.launch(ctx) {
		return d.giveUp()
	}
	deadline := time.NewTimer(time.Until(q.call.Deadline) + answerGrace)
	defer deadline.Stop()
	hedge := d.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case a := <-d.results:
			d.flying--
			resp, done := d.judge(a)
			if done {
				return resp, ""
			}
			if d.flying > 0 {
				continue
			}
			if d.final || !d.mayGoOn() || !d.launch(ctx) {
				return d.giveUp()
			}
			hedge.Reset(d.hedgeAfter())
		case <-hedge.C:
			if d.flying == 1 && d.mayHedge() && d.mayRepeat() {
				d.launch(ctx)
			}
		case <-deadline.C:
			d.last = call.Timeout
			return d.giveUp()
		case <-ctx.Done():
			return nil, call.Stopped
		}
	}
}

func (d *dispatcher) hedgeTimer() *time.Timer {
	return time.NewTimer(d.hedgeAfter())
}

// hedgeAfter is how long the present send may stay without an answer.
func (d *dispatcher) hedgeAfter() time.Duration {
	q := d.request
	if !q.route.Idempotent || len(q.tried) == 0 {
		return time.Hour
	}
	least := max(minHedge, q.route.Objective/hedgePart)
	if n, ok := d.lastTried(); ok {
		return max(least, hedgeFactor*d.entry.picker.mean(&n))
	}
	return least
}

// lastTried returns the node of the last send, if it still takes calls.
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

// mayGoOn decides whether another node is asked after what came back so far.
func (d *dispatcher) mayGoOn() bool {
	if time.Until(d.request.call.Deadline) < finalReserve {
		return false
	}
	if d.reached == 0 {
		return true
	}
	if d.request.ran && !d.request.route.Idempotent {
		return false
	}
	return d.mayRepeat()
}

// mayHedge reports whether a silent send is worth a second one. Where failures
// are common and a repeat is charged further down, the budget is left to those
// calls.
func (d *dispatcher) mayHedge() bool {
	if !d.entry.repeats.Deep(d.request.service) {
		return true
	}
	n, ok := d.lastTried()
	return !ok || d.entry.picker.failing(time.Now(), &n) <= rareFailures
}

// mayRepeat takes one send beyond the first from the budget of the service.
func (d *dispatcher) mayRepeat() bool {
	q := d.request
	if d.reached+d.flying >= q.route.Attempts || time.Until(q.call.Deadline) < finalReserve {
		return false
	}
	allowed := d.entry.repeats.Spend(q.service)
	q.denied = q.denied || !allowed
	return allowed
}

// launch sends to the best node left; a request that every node found too busy
// goes once more to the best of them and waits there.
func (d *dispatcher) launch(ctx context.Context) bool {
	e, q := d.entry, d.request
	view := e.fleet.View()
	nodes := view.Targets(q.service)
	skip := func(name string) bool { return d.asked[name] }
	node, ok := e.picker.best(time.Now(), nodes, d.want(), view.Suspect, skip)
	if !ok || d.refusals >= maxRefusals {
		if d.patient || d.refusals == 0 || d.reached > 0 {
			return false
		}
		d.patient = true
		node, ok = e.picker.best(time.Now(), nodes, d.want(), view.Suspect, d.unusable)
		if !ok {
			return false
		}
	}
	d.asked[node.Name] = true
	d.flying++
	q.tried = append(q.tried, node.Name)
	c := *q.call
	c.Patience = d.patience()
	e.picker.begin(&node)
	began := time.Now()
	go func() {
		result := e.send(ctx, node, &c)
		e.picker.end(time.Now(), &node, judgeNode(result), time.Since(began), result)
		d.results <- attempt{
			node:   node,
			result: result,
		}
	}()
	return true
}

// unusable nodes are not asked even in the last round; busy ones are.
func (d *dispatcher) unusable(name string) bool {
	return d.request.gone[name]
}

func (d *dispatcher) patience() time.Duration {
	if d.patient {
		return time.Until(d.request.call.Deadline)
	}
	return time.Duration(patiencePart * float64(objective(d.request.route)))
}

// want is what the request asks of a node.
func (d *dispatcher) want() want {
	return want{
		objective: objective(d.request.route),
		bytes:     d.entry.size(d.request.route.Name),
	}
}

func objective(r *rules.Route) time.Duration {
	if r.Objective > 0 {
		return r.Objective
	}
	return defaultObjective
}

func (e *Entry) send(ctx context.Context, node peers.Node, c *call.Call) call.Result {
	if node.Name == e.picker.self {
		return e.gate.Serve(ctx, c)
	}
	return e.remote.Send(ctx, node, c)
}

// judgeNode is what a result says of the node.
func judgeNode(r call.Result) verdict {
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

// judge takes a result and returns the answer to the caller if it is final.
func (d *dispatcher) judge(a attempt) (resp *msg.Response, done bool) {
	q := d.request
	r := a.result
	if r.Reached {
		d.reached++
		q.sends++
	}
	switch r.Outcome {
	case call.Answered:
		return d.judgeAnswer(a)
	case call.NotRun:
		d.refusals++
		d.last = r.Reason
		d.final = d.final || r.Reason == call.Suspect
		if r.Reason != call.Busy {
			q.lose(a.node.Name)
		}
		if r.RetryAfter > 0 && (d.soonest == 0 || r.RetryAfter < d.soonest) {
			d.soonest = r.RetryAfter
		}
	case call.Unknown:
		d.last = r.Reason
		q.ran = true
		q.lose(a.node.Name)
	case call.Gone:
		d.last = r.Reason
		q.ran = q.ran || r.Reached
	}
	return nil, false
}

// judgeAnswer hands a target's answer on. A rare failure of a request that may
// be repeated is kept while another target is tried; where failures are common,
// their cause lies further down, where each lost call is repeated by itself.
func (d *dispatcher) judgeAnswer(a attempt) (*msg.Response, bool) {
	q := d.request
	answer := a.result.Answer
	q.ran = true
	d.entry.noteSize(q, answer)
	failed := answer.Status >= fasthttp.StatusInternalServerError
	if !failed || !q.route.Idempotent || d.entry.picker.failing(time.Now(), &a.node) > rareFailures {
		return answer, true
	}
	d.failure = answer
	return nil, false
}

// giveUp answers a request that no target answered well: at once, and truthfully
// as to whether it may have run.
func (d *dispatcher) giveUp() (*msg.Response, call.Reason) {
	q := d.request
	switch {
	case d.failure != nil:
		return d.failure, ""
	case q.ran || d.mayRunYet():
		if d.last == call.Timeout {
			return msg.Plain(fasthttp.StatusGatewayTimeout, "no answer in time"), d.last
		}
		return msg.Plain(fasthttp.StatusBadGateway, "no answer from the target"), d.last
	}
	if d.last == "" {
		d.last = call.NoTarget
	}
	return d.entry.refusal(fasthttp.StatusServiceUnavailable, q, d.soonest, "not run: "+string(d.last)), d.last
}

// mayRunYet reports whether a send is out whose outcome is not known.
func (d *dispatcher) mayRunYet() bool {
	return d.flying > 0
}
