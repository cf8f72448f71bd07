package shed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// deep is a chain whose deepest service is called four times.
func deep(wait time.Duration, turned float64) Path {
	return Path{
		Stops: []Stop{
			{
				Calls: 1,
				Wait:  5 * time.Millisecond,
			},
			{
				Calls:  4,
				Wait:   wait,
				Turned: turned,
			},
		},
	}
}

func TestDeepServiceCold(t *testing.T) {
	const left = 800 * time.Millisecond
	Convey("Power back: while the deepest service is cold, the least urgent requests stay out and the others enter", t, func() {
		path := deep(100*time.Millisecond, 0.06)
		So(path.Wait(), ShouldEqual, 405*time.Millisecond)
		So(path.Odds(left, 0), ShouldEqual, 1)
		So(path.Odds(left, 1), ShouldBeBetween, 0.2, 0.5)
		So(path.Odds(left, 2), ShouldBeLessThan, 0.1)
	})
	Convey("A usual day: short waits refuse nobody", t, func() {
		So(deep(15*time.Millisecond, 0.06).Odds(left, 0), ShouldEqual, 0)
	})
	Convey("Requests that make no calls enter, though others at their service wait for theirs", t, func() {
		path := deep(100*time.Millisecond, 0.06)
		path.Run = 42 * time.Millisecond
		So(path.Odds(left, 0), ShouldEqual, 0)
	})
	Convey("A small deep service, always busy: waits that nobody is turned away for refuse nobody", t, func() {
		So(deep(90*time.Millisecond, 0).Odds(left, 0), ShouldEqual, 0)
		So(deep(90*time.Millisecond, 0.002).Odds(left, 0), ShouldBeLessThan, 0.1)
	})
	Convey("Overload that lasts: short queues, and calls that are turned away, refuse the least urgent", t, func() {
		path := deep(10*time.Millisecond, 0.15)
		path.Failed = 0.4
		So(path.Odds(left, 0), ShouldBeGreaterThan, 0.6)
		So(path.Odds(left, 2), ShouldBeLessThan, 0.2)
	})
	Convey("Failures of another cause, and calls that such requests do not make, refuse nobody", t, func() {
		path := deep(10*time.Millisecond, 0)
		path.Failed = 0.4
		So(path.Odds(left, 0), ShouldEqual, 0)
		path = deep(10*time.Millisecond, 0.15)
		path.Failed = 0.01
		So(path.Odds(left, 0), ShouldEqual, 0)
	})
	Convey("The chance grows with the wait, so that entries with the same news do not all refuse", t, func() {
		last := 0.0
		for ms := 35; ms <= 85; ms += 5 {
			odds := deep(time.Duration(ms)*time.Millisecond, 0.06).Odds(left, 0)
			So(odds, ShouldBeGreaterThan, last)
			last = odds
		}
	})
	Convey("The longer the wait, the later callers are told to come back", t, func() {
		So(RetryAfter(0.1), ShouldBeLessThan, RetryAfter(0.9))
		So(RetryAfter(1), ShouldEqual, maxRetry)
	})
}
