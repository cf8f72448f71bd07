package shed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// path is a chain whose deepest service is called four times.
func path(deepWait time.Duration) []Stop {
	return []Stop{
		{
			Calls: 1,
			Wait:  5 * time.Millisecond,
		},
		{
			Calls: 4,
			Wait:  deepWait,
		},
	}
}

func TestDeepServiceCold(t *testing.T) {
	const left = 800 * time.Millisecond
	Convey("Power back: while the deepest service is cold, the least urgent requests stay out and the others enter", t, func() {
		wait := Expected(path(60 * time.Millisecond))
		So(wait, ShouldEqual, 245*time.Millisecond)
		So(Odds(wait, left, 0), ShouldEqual, 1)
		So(Odds(wait, left, 1), ShouldBeBetween, 0.2, 0.4)
		So(Odds(wait, left, 2), ShouldBeLessThan, 0.05)
	})
	Convey("A usual day: short waits refuse nobody", t, func() {
		So(Odds(Expected(path(15*time.Millisecond)), left, 0), ShouldEqual, 0)
	})
	Convey("The chance grows with the wait, so that entries with the same news do not all refuse", t, func() {
		last := 0.0
		for ms := 20; ms <= 60; ms += 5 {
			odds := Odds(Expected(path(time.Duration(ms)*time.Millisecond)), left, 0)
			So(odds, ShouldBeGreaterThan, last)
			last = odds
		}
	})
	Convey("The longer the wait, the later callers are told to come back", t, func() {
		So(RetryAfter(0.1), ShouldBeLessThan, RetryAfter(0.9))
		So(RetryAfter(1), ShouldEqual, maxRetry)
	})
}
