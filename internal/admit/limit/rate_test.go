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
// allows because of bursts, long pauses, limits that are lifted and named again, or starts at the
// very moment at which the limit permits the next one.
func TestRateLimitUnderAnyLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 80).Draw(t, "per-second")
		l := New(1000)
		l.Warm(1000)
		now := at(0)
		l.SetRate(now, perSecond)
		var starts []timer.Instant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if delay := l.StartDelay(now); delay > 0 && rapid.Bool().Draw(t, "on-time") {
				now = now.Add(delay)
			} else {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			}
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
// requests wait for it, against requests that wait long where others would start them at once,
// against waits that callers are told wrongly, and against an order that the limit changes.
func TestSurgeAtLimitedTarget(t *testing.T) {
	Convey("Given a target that accepts 20 requests a second and a surge of 100", t, func() {
		l := New(100)
		l.Warm(100)
		l.SetRate(at(0), 20)
		queued, evicted := map[*Ticket]bool{}, 0
		for i := range 100 {
			tk := ticket(i%2, 60000)
			v, out := l.Offer(at(0), tk)
			So(v, ShouldNotEqual, Started)
			if v == Queued {
				queued[tk] = true
			}
			if out != nil {
				evicted++
				So(queued[out], ShouldBeTrue)
				delete(queued, out)
			}
		}
		Convey("the most important ones wait, as many as start in 250 ms", func() {
			So(len(queued), ShouldEqual, 5)
			So(l.Waiting(), ShouldEqual, 5)
			So(evicted, ShouldBeGreaterThan, 0)
			for tk := range queued {
				So(tk.Priority, ShouldEqual, 1)
			}
		})
		Convey("one that comes now is told how long that takes", func() {
			So(l.Wait(at(0), ticket(0, 60000)), ShouldAlmostEqual, 300*time.Millisecond, time.Millisecond)
			So(l.Backlog(at(0)), ShouldAlmostEqual, 300*time.Millisecond, time.Millisecond)
			So(l.RetryAfter(at(0)), ShouldBeGreaterThanOrEqualTo, 300*time.Millisecond)
			So(l.StartDelay(at(0)), ShouldAlmostEqual, 50*time.Millisecond, time.Millisecond)
		})
		Convey("one that can't start before its deadline is refused", func() {
			v, out := l.Offer(at(0), ticket(1, 200))
			So(v, ShouldEqual, Refused)
			So(out, ShouldBeNil)
		})
		Convey("all that wait start when the target lifts its limit", func() {
			l.LiftRate()
			So(l.StartDelay(at(0)), ShouldEqual, 0)
			for range 5 {
				started, _ := l.Next(at(0))
				So(started, ShouldNotBeNil)
			}
		})
	})
	// overload offers 100 requests a second for 4 s to a target that accepts 20, of which the
	// share 1/every is important, and returns the requests that started.
	overload := func(every int) (started []*Ticket) {
		l := New(100)
		l.Warm(100)
		l.SetRate(at(0), 20)
		for ms := 0; ms < 4000; ms += 10 {
			for {
				tk, _ := l.Next(at(ms))
				if tk == nil {
					break
				}
				started = append(started, tk)
				l.Finish(at(ms), tk, time.Millisecond, Clean)
			}
			tk := ticket(0, ms+5000)
			if ms/10%every == 0 {
				tk.Priority = 1
			}
			if v, _ := l.Offer(at(ms), tk); v == Started {
				started = append(started, tk)
				l.Finish(at(ms), tk, time.Millisecond, Clean)
			}
		}
		return started
	}
	Convey("Under lasting overload a limited target gets what it accepts, after a short wait", t, func() {
		started := overload(1)
		So(len(started), ShouldBeBetweenOrEqual, 78, 80)
		for _, tk := range started {
			So(tk.startedAt.Sub(tk.queuedAt), ShouldBeLessThanOrEqualTo, 310*time.Millisecond)
		}
	})
	Convey("Under lasting overload the important requests start first", t, func() {
		important := 0
		started := overload(10)
		for _, tk := range started {
			important += tk.Priority
		}
		So(len(started), ShouldBeBetweenOrEqual, 78, 80)
		So(important, ShouldBeBetweenOrEqual, 38, 40)
	})
	Convey("A target that accepts nothing still gets a request now and then, so that it can lift its limit", t, func() {
		l := New(10)
		l.SetRate(at(0), 0)
		v, _ := l.Offer(at(0), ticket(0, 60000))
		So(v, ShouldEqual, Queued)
		So(l.StartDelay(at(0)), ShouldAlmostEqual, 2*time.Second, time.Millisecond)
	})
}
