package gate

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/node/call"
)

// limitedResponse is a response that names a rate limit of 2 requests per second.
const limitedResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nX-Rate-Limit: 2.0\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

// TestTargetRateLimit guards against a target that gets far more requests per second than it
// says it accepts, because the gate bounds only how many run at once.
func TestTargetRateLimit(t *testing.T) {
	Convey("Calls beyond the rate limit that a target names are refused as not run, with a retry delay", t, func() {
		s := newServer(t, limitedResponse)
		close(s.release)
		g := newGate(s, 40)
		began := time.Now()
		So((<-serveAll(context.Background(), g, newCall("first"))).Outcome, ShouldEqual, call.Answered)
		var calls []*call.Call
		for i := range 40 {
			c := newCall(strconv.Itoa(i))
			c.MaxWait = 100 * time.Millisecond
			calls = append(calls, c)
		}
		refused := 0
		results := serveAll(context.Background(), g, calls...)
		for range calls {
			if r := <-results; r.Outcome == call.NotRun {
				refused++
				So(r.Reached, ShouldBeFalse)
				So(r.RetryAfter, ShouldBeGreaterThan, 0)
			}
		}
		got := s.read(func() int { return len(s.requests) })
		So(got+refused, ShouldEqual, 41)
		allowed := 1.5*2*max(time.Since(began).Seconds(), 4) + 5
		So(float64(got), ShouldBeLessThanOrEqualTo, allowed)
	})
}
