package limit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"fuchsiapier/internal/base/timer"
)

const (
	// rateWindow is the span of time in which starts are counted.
	rateWindow = 4 * time.Second
	// rateTolerance and rateSlack give the number of requests that a target bears in a
	// window: rateTolerance times what its limit allows and rateSlack.
	rateTolerance = 1.5
	rateSlack     = 5
)

// mostStarts returns the largest number of starts within any window. starts are in order.
func mostStarts(starts []timer.Instant) int {
	most, first := 0, 0
	for last := range starts {
		for starts[last].Sub(starts[first]) > rateWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestRateLimitUnderAnyLoad guards against a target that gets more requests than its rate limit
// allows because of bursts, long pauses or limits that are lifted and named again.
func TestRateLimitUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 80).Draw(t, "per-second")
		l := New(1000)
		l.Warm(1000)
		now := at(0)
		l.SetRate(now, perSecond)
		var starts []timer.Instant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "renamed") == 0 {
				l.LiftRate()
				l.SetRate(now, perSecond)
			}
			for {
				started, _ := l.Next(now)
				if started == nil {
					break
				}
				starts = append(starts, now)
				l.Finish(now, started, time.Millisecond, Clean)
			}
			for range rapid.IntRange(0, 100).Draw(t, "burst") {
				tk := &Ticket{
					Deadline: now.Add(10 * time.Second),
				}
				if v, _ := l.Offer(now, tk); v == Started {
					starts = append(starts, now)
					l.Finish(now, tk, time.Millisecond, Clean)
				}
			}
		}
		allowed := rateTolerance*max(perSecond, MinRate)*rateWindow.Seconds() + rateSlack
		if got := mostStarts(starts); float64(got) > allowed {
			t.Fatalf("%d requests started in %v at %v a second, %v allowed", got, rateWindow, perSecond, allowed)
		}
	})
}

// TestSurgeAtLimitedTarget guards against a limited target that gets less than it accepts while
// requests wait for it, against waits that callers are told wrongly, and against an order
// that the limit changes.
func TestSurgeAtLimitedTarget(t *testing.T) {
	Convey("Given a target that accepts 20 requests a second and a surge of 100", t, func() {
		l := New(100)
		l.Warm(100)
		l.SetRate(at(0), 20)
		for i := range 100 {
			v, _ := l.Offer(at(0), ticket(i%2, 60000))
			So(v, ShouldEqual, Queued)
		}
		Convey("a request that comes now is told how long the queue takes", func() {
			So(l.Wait(at(0), ticket(-1, 60000)), ShouldAlmostEqual, 5050*time.Millisecond, time.Millisecond)
			So(l.Backlog(at(0)), ShouldAlmostEqual, 5050*time.Millisecond, time.Millisecond)
			So(l.RetryAfter(at(0)), ShouldBeGreaterThan, 5*time.Second)
			So(l.StartDelay(at(0)), ShouldAlmostEqual, 50*time.Millisecond, time.Millisecond)
		})
		Convey("one that can't start before its deadline is refused", func() {
			v, _ := l.Offer(at(0), ticket(0, 1000))
			So(v, ShouldEqual, Refused)
		})
		Convey("requests start at that rate, the most important ones first", func() {
			var order []int
			for ms := 0; ms <= 4000; ms += 10 {
				for {
					started, _ := l.Next(at(ms))
					if started == nil {
						break
					}
					order = append(order, started.Priority)
					l.Finish(at(ms), started, time.Millisecond, Clean)
				}
			}
			So(len(order), ShouldBeBetweenOrEqual, 78, 80)
			for i, priority := range order {
				So(priority, ShouldEqual, map[bool]int{true: 1, false: 0}[i < 50])
			}
		})
		Convey("requests that are already late are dropped, not started", func() {
			for range 100 {
				started, expired := l.Next(at(60001))
				So(started, ShouldBeNil)
				if len(expired) == 0 {
					break
				}
			}
			So(l.Waiting(), ShouldEqual, 0)
		})
		Convey("all start when the target lifts its limit", func() {
			l.LiftRate()
			So(l.StartDelay(at(0)), ShouldEqual, 0)
			for range 100 {
				started, _ := l.Next(at(0))
				So(started, ShouldNotBeNil)
			}
		})
	})
	Convey("A target that accepts nothing still gets a request now and then, so that it can lift its limit", t, func() {
		l := New(10)
		l.SetRate(at(0), 0)
		v, _ := l.Offer(at(0), ticket(0, 60000))
		So(v, ShouldEqual, Queued)
		So(l.StartDelay(at(0)), ShouldAlmostEqual, 2*time.Second, time.Millisecond)
	})
}
