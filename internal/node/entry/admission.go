package entry

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/admit/shed"
	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

// enter refuses a caller's request whose path is too crowded for its rank, and gives
// its token back. Calls of a request that runs already always enter: turning one
// away wastes what was done for the request.
func (e *Entry) enter(r *rules.Rules, q *request) (*msg.Response, call.Reason) {
	if q.call.Nested {
		return nil, ""
	}
	odds := e.odds(r, q)
	if odds == 0 || rand.Float64() >= odds {
		return nil, ""
	}
	if q.workspace != nil {
		e.tokens.Return(q.workspace.Name)
	}
	return e.refusal(fasthttp.StatusServiceUnavailable, q, shed.RetryAfter(odds), "not run: overloaded"), call.Overloaded
}

// odds notes the wait on the path of a request and returns its chance to be refused.
func (e *Entry) odds(r *rules.Rules, q *request) float64 {
	path := e.fleet.View().Path(q.service)
	q.pathWait = path.Wait()
	if q.pathWait == 0 {
		return 0
	}
	q.pathLoss = path.Loss()
	return path.Odds(time.Until(q.call.Deadline), r.Lowest()-q.call.Priority)
}
