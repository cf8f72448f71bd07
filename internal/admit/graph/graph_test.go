package graph

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

func TestCostsOfARepeat(t *testing.T) {
	Convey("A repeat is charged where it arrives and where its calls arrive", t, func() {
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

func TestReach(t *testing.T) {
	edges := map[string][]Edge{
		"quota":    {{Service: "permits", PerCent: 100}},
		"permits":  {{Service: "landings", PerCent: 50}, {Service: "stray", PerCent: 1}},
		"landings": {{Service: "inspect", PerCent: 400, TurnedPerMille: 60}},
		"loop":     {{Service: "loop", PerCent: 50}},
	}
	Convey("Calls are followed over all hops, with their numbers and what becomes of them", t, func() {
		So(Reach("quota", edges), ShouldResemble, map[string]Reached{
			"quota":    {Calls: 1},
			"permits":  {Calls: 1},
			"landings": {Calls: 0.5},
			"inspect":  {Calls: 2, Turned: 0.06},
		})
		So(Reach("inspect", edges), ShouldResemble, map[string]Reached{"inspect": {Calls: 1}})
	})
	Convey("A service that calls itself ends", t, func() {
		So(Reach("loop", edges)["loop"].Calls, ShouldAlmostEqual, 2, 0.1)
	})
}

func TestCallsTurnedAway(t *testing.T) {
	Convey("The share of calls that found no room is told with the edge", t, func() {
		c := NewCounter()
		now := timer.Instant(time.Hour)
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			c.Ran(now)
			c.Called(now, "inspect")
			c.Ended(time.Now(), "inspect", i%4 == 0)
		}
		So(c.Edges(now)[0].TurnedPerMille, ShouldBeBetween, 150, 350)
	})
}

func TestCounter(t *testing.T) {
	Convey("Edges are calls for each run, told once enough runs were seen", t, func() {
		c := NewCounter()
		now := timer.Instant(time.Hour)
		for i := range 100 {
			if i == 4 {
				So(c.Edges(now), ShouldBeNil)
			}
			now = now.Add(10 * time.Millisecond)
			c.Ran(now)
			for range 4 {
				c.Called(now, "inspect")
			}
		}
		So(c.Edges(now), ShouldResemble, []Edge{{Service: "inspect", PerCent: 400}})
		c.Reset()
		So(c.Edges(now), ShouldBeNil)
	})
}
