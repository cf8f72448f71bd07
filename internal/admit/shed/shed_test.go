package shed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// twoHops returns a path over two services that calls the second four times. wait and
// rejected apply to the second service.
func twoHops(wait time.Duration, rejected float64) Path {
	return Path{
		Hops: []Hop{
			{
				Calls: 1,
				Wait:  5 * time.Millisecond,
			},
			{
				Calls:    4,
				Wait:     wait,
				Rejected: rejected,
			},
		},
	}
}

// TestRefusalProbability guards against two faults at the entry: accepting requests that
// fail halfway while a service deep in the call chain is cold or overloaded, and refusing
// requests that would succeed because a service is merely busy or fails for other causes.
func TestRefusalProbability(t *testing.T) {
	const remaining = 800 * time.Millisecond
	Convey("While the deepest service is cold, the least urgent requests are refused and the most urgent accepted", t, func() {
		path := twoHops(100*time.Millisecond, 0.06)
		So(path.Wait(), ShouldEqual, 405*time.Millisecond)
		So(path.RefusalProbability(remaining, 0), ShouldEqual, 1)
		So(path.RefusalProbability(remaining, 1), ShouldBeBetween, 0.2, 0.5)
		So(path.RefusalProbability(remaining, 2), ShouldBeLessThan, 0.1)
	})
	Convey("Short waits refuse no request", t, func() {
		So(twoHops(15*time.Millisecond, 0.06).RefusalProbability(remaining, 0), ShouldEqual, 0)
	})
	Convey("Requests that make no calls are accepted, although calls of other requests of the same service wait", t, func() {
		path := twoHops(100*time.Millisecond, 0.06)
		path.Run = 42 * time.Millisecond
		So(path.RefusalProbability(remaining, 0), ShouldEqual, 0)
	})
	Convey("A small deep service that is always busy: waits without rejected calls refuse no request", t, func() {
		So(twoHops(90*time.Millisecond, 0).RefusalProbability(remaining, 0), ShouldEqual, 0)
		So(twoHops(90*time.Millisecond, 0.002).RefusalProbability(remaining, 0), ShouldBeLessThan, 0.1)
	})
	Convey("Lasting overload: rejected calls refuse the least urgent requests although the queues are short", t, func() {
		path := twoHops(10*time.Millisecond, 0.15)
		path.Failed = 0.4
		So(path.RefusalProbability(remaining, 0), ShouldBeGreaterThan, 0.6)
		So(path.RefusalProbability(remaining, 2), ShouldBeLessThan, 0.2)
	})
	Convey("Failures without rejected calls, and rejected calls without failures, refuse no request", t, func() {
		path := twoHops(10*time.Millisecond, 0)
		path.Failed = 0.4
		So(path.RefusalProbability(remaining, 0), ShouldEqual, 0)
		path = twoHops(10*time.Millisecond, 0.15)
		path.Failed = 0.01
		So(path.RefusalProbability(remaining, 0), ShouldEqual, 0)
	})
	Convey("The probability grows with the wait, so that entries with the same information do not refuse all requests", t, func() {
		previous := 0.0
		for ms := 35; ms <= 85; ms += 5 {
			probability := twoHops(time.Duration(ms)*time.Millisecond, 0.06).RefusalProbability(remaining, 0)
			So(probability, ShouldBeGreaterThan, previous)
			previous = probability
		}
	})
	Convey("A higher refusal probability gives a longer retry delay", t, func() {
		So(RetryAfter(0.1), ShouldBeLessThan, RetryAfter(0.9))
		So(RetryAfter(1), ShouldEqual, maxRetry)
	})
}
