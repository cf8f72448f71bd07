package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/pipe/inlet"
)

// arriving is a request with so much time left.
func arriving(now time.Time, objective, left time.Duration, nested bool) *request {
	q := &request{
		in: &inlet.Inbound{
			Arrived: now,
		},
		route: &rules.Route{
			Objective: objective,
		},
		callerUntil: now.Add(left),
	}
	if !nested {
		q.workspace = &rules.Workspace{}
	}
	return q
}

func TestOrderAtACrowdedService(t *testing.T) {
	now := time.Now()
	const objective = 300 * time.Millisecond
	Convey("Deep calls: the last call of a request goes before the first of one that has just begun", t, func() {
		last := arriving(now.Add(50*time.Millisecond), objective, 250*time.Millisecond, true)
		first := arriving(now, objective, 700*time.Millisecond, true)
		So(last.due(0), ShouldHappenBefore, first.due(0))
		So(first.due(0), ShouldEqual, now.Add(objective))
	})
	Convey("A caller's own request with a short objective is not held up by calls that have time", t, func() {
		verify := arriving(now, 250*time.Millisecond, time.Second, false)
		call := arriving(now.Add(60*time.Millisecond), objective, 700*time.Millisecond, true)
		So(verify.due(1), ShouldHappenBefore, call.due(0))
	})
	Convey("Rank orders requests with the same objective", t, func() {
		So(arriving(now, objective, time.Second, false).due(0), ShouldHappenBefore, arriving(now, objective, time.Second, false).due(1))
	})
}
