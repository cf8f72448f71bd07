package graph

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

// TestCostsOfRetry guards against charging a retry for services that it does not call
// directly, or not charging it for those that it does.
func TestCostsOfRetry(t *testing.T) {
	Convey("A retry is charged at its service and at the services called directly", t, func() {
		edges := map[string][]Edge{
			"quota":    {{Service: "permits", PerCent: 100}},
			"permits":  {{Service: "landings", PerCent: 100}},
			"landings": {{Service: "inspect", PerCent: 400}},
			"loop":     {{Service: "loop", PerCent: 50}},
		}
		So(Costs("quota", edges), ShouldResemble, map[string]float64{"quota": 1, "permits": 1})
		So(Costs("landings", edges), ShouldResemble, map[string]float64{"landings": 1, "inspect": 4})
		So(Costs("inspect", edges), ShouldResemble, map[string]float64{"inspect": 1})
		So(Costs("loop", edges), ShouldResemble, map[string]float64{"loop": 1.5})
	})
}

// TestReach guards against wrong expected calls over several hops, which would refuse
// requests at the entry for services that they do not reach, and against an endless
// loop in a cyclic call graph.
func TestReach(t *testing.T) {
	edges := map[string][]Edge{
		"quota":    {{Service: "permits", PerCent: 100}},
		"permits":  {{Service: "landings", PerCent: 50}, {Service: "stray", PerCent: 1}},
		"landings": {{Service: "inspect", PerCent: 400, RejectedPerMille: 60}},
		"loop":     {{Service: "loop", PerCent: 50}},
	}
	Convey("Calls and their share of rejections are followed over all hops", t, func() {
		So(Reach("quota", edges), ShouldResemble, map[string]Visits{
			"quota":    {Calls: 1},
			"permits":  {Calls: 1},
			"landings": {Calls: 0.5},
			"inspect":  {Calls: 2, Rejected: 0.06},
		})
		So(Reach("inspect", edges), ShouldResemble, map[string]Visits{"inspect": {Calls: 1}})
	})
	Convey("Calls of a service to itself are followed a limited number of times", t, func() {
		So(Reach("loop", edges)["loop"].Calls, ShouldAlmostEqual, 2, 0.1)
	})
}

// TestRejectedCalls guards against an edge without the share of rejected calls, on which
// the refusal of requests at the entry depends.
func TestRejectedCalls(t *testing.T) {
	Convey("The share of rejected calls is reported with the edge", t, func() {
		c := NewCounter()
		now := timer.Instant(time.Hour)
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			c.CountRun(now)
			c.CountCall(now, "inspect")
			c.RecordOutcome(time.Now(), "inspect", i%4 == 0)
		}
		So(c.Edges(now)[0].RejectedPerMille, ShouldBeBetween, 150, 350)
	})
}

// TestCounterEdges guards against edges from too few runs, and against edges of the
// previous target after another has started on the VM.
func TestCounterEdges(t *testing.T) {
	Convey("Edges hold the calls per run, once enough runs are counted", t, func() {
		c := NewCounter()
		now := timer.Instant(time.Hour)
		for i := range 100 {
			if i == 4 {
				So(c.Edges(now), ShouldBeNil)
			}
			now = now.Add(10 * time.Millisecond)
			c.CountRun(now)
			for range 4 {
				c.CountCall(now, "inspect")
			}
		}
		So(c.Edges(now), ShouldResemble, []Edge{{Service: "inspect", PerCent: 400}})
		c.Reset()
		So(c.Edges(now), ShouldBeNil)
	})
}
