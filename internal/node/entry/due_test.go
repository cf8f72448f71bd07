package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/pipe/httpd"
)

// requestWith returns a request that arrives at now with the given time to its
// deadline.
func requestWith(now time.Time, objective, left time.Duration, nested bool) *request {
	q := &request{
		in: &httpd.Inbound{
			Arrived: now,
		},
		route: &rules.Route{
			Objective: objective,
		},
		callerDeadline: now.Add(left),
	}
	if !nested {
		q.workspace = &rules.Workspace{}
	}
	return q
}

// TestDueTimeOrder guards against a queue order that starves requests with short
// objectives, or that starts new requests while nearly finished ones run out of time.
func TestDueTimeOrder(t *testing.T) {
	now := time.Now()
	const objective = 300 * time.Millisecond
	Convey("The last nested call of a request is due before the first one of a request that has just begun", t, func() {
		last := requestWith(now.Add(50*time.Millisecond), objective, 250*time.Millisecond, true)
		first := requestWith(now, objective, 700*time.Millisecond, true)
		So(last.due(0), ShouldHappenBefore, first.due(0))
		So(first.due(0), ShouldEqual, now.Add(objective))
	})
	Convey("A caller's request with a short objective is due before nested calls with time left", t, func() {
		verify := requestWith(now, 250*time.Millisecond, time.Second, false)
		call := requestWith(now.Add(60*time.Millisecond), objective, 700*time.Millisecond, true)
		So(verify.due(1), ShouldHappenBefore, call.due(0))
	})
	Convey("Requests with the same objective are due in the order of their priorities", t, func() {
		So(requestWith(now, objective, time.Second, false).due(0), ShouldHappenBefore, requestWith(now, objective, time.Second, false).due(1))
	})
}
