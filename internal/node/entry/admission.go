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

// admit sheds a caller's request, with a probability that grows with the overload of
// its path and is greater for lower priorities. It takes place before the workspace pays
// a token for the request. Nested calls are always admitted: refusing one wastes the work already done for
// the request that makes it. The response is nil where the request is admitted.
func (e *Entry) admit(r *rules.Rules, q *request) (*msg.Response, call.Reason) {
	if q.call.Nested {
		return nil, ""
	}
	refusalProbability := e.refusalProbability(r, q)
	if refusalProbability == 0 || rand.Float64() >= refusalProbability {
		return nil, ""
	}
	return e.refusal(fasthttp.StatusServiceUnavailable, q, shed.RetryAfter(refusalProbability), "not run: overloaded"), call.Overloaded
}

// refusalProbability records the expected queueing time and the probability of a loss on
// the path of a request, and returns the probability with which it is refused.
func (e *Entry) refusalProbability(r *rules.Rules, q *request) float64 {
	path := e.fleet.View().Path(q.service)
	q.pathWait = path.Wait()
	if q.pathWait == 0 {
		return 0
	}
	q.pathLoss = path.Loss()
	return path.RefusalProbability(time.Until(q.call.Deadline), r.LowestPriority()-q.call.Priority)
}
