package limit

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"fuchsiapier/internal/base/timer"
)

// init fixes the seed and the number of checks, so that every run tests the same
// cases. Flags on the command line override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

func at(ms int) timer.Instant { return timer.Instant(time.Duration(ms) * time.Millisecond) }

func ticket(priority, deadline int) *Ticket {
	return &Ticket{
		Priority: priority,
		Deadline: at(deadline),
	}
}

// TestLimiter guards against overloading a target: by too high a limit after a cold
// start or after the target sheds load, by an unbounded queue, or by work on requests
// that miss their deadline. It also checks the queue order and exclusive runs.
func TestLimiter(t *testing.T) {
	Convey("Given a target with 8 slots that has just started", t, func() {
		l := New(8)
		Convey("the limit starts low and grows with successful requests, at most to the slots", func() {
			So(l.Limit(), ShouldEqual, 2)
			for range 200 {
				k := ticket(1, 1000)
				v, _ := l.Offer(at(0), k)
				So(v, ShouldEqual, Started)
				l.Finish(at(1), k, time.Millisecond, Clean)
			}
			So(l.Limit(), ShouldEqual, 8)
			Convey("and decreases when the target sheds load, at most once per interval", func() {
				for range 5 {
					k := ticket(1, 1000)
					l.Offer(at(200), k)
					l.Finish(at(200), k, 0, Shed)
				}
				So(l.Limit(), ShouldEqual, 6)
			})
		})
		Convey("nested calls start before others, then higher priorities, then earlier arrivals", func() {
			a, b := ticket(1, 1000), ticket(1, 1000)
			l.Offer(at(0), a)
			l.Offer(at(0), b)
			low, high, nested := ticket(5, 1000), ticket(9, 1000), ticket(1, 1000)
			nested.Nested = true
			for _, k := range []*Ticket{low, high, nested} {
				v, _ := l.Offer(at(0), k)
				So(v, ShouldEqual, Queued)
			}
			for _, want := range []*Ticket{nested, high, low} {
				l.Finish(at(1), a, time.Millisecond, Neutral)
				got, _ := l.Next(at(1))
				So(got, ShouldEqual, want)
			}
		})
		Convey("a request that can't finish before its deadline is refused immediately", func() {
			k := ticket(1, 1000)
			l.Offer(at(0), k)
			l.Finish(at(100), k, 100*time.Millisecond, Clean)
			l.Offer(at(100), ticket(1, 1000))
			l.Offer(at(100), ticket(1, 1000))
			v, _ := l.Offer(at(100), ticket(1, 150))
			So(v, ShouldEqual, Refused)
		})
		Convey("a full queue evicts its last request for one with a higher priority", func() {
			l.Offer(at(0), ticket(1, 1000))
			l.Offer(at(0), ticket(1, 1000))
			for range l.maxQueueLength() {
				l.Offer(at(0), ticket(1, 1000))
			}
			v, evicted := l.Offer(at(0), ticket(2, 1000))
			So(v, ShouldEqual, Queued)
			So(evicted.Priority, ShouldEqual, 1)
			v, _ = l.Offer(at(0), ticket(0, 1000))
			So(v, ShouldEqual, Refused)
		})
		Convey("a request for an exclusive run waits until no other runs, and then blocks others", func() {
			a := ticket(1, 1000)
			l.Offer(at(0), a)
			exclusive := ticket(1, 1000)
			exclusive.Exclusive = true
			v, _ := l.Offer(at(0), exclusive)
			So(v, ShouldEqual, Queued)
			l.Finish(at(1), a, time.Millisecond, Clean)
			got, _ := l.Next(at(1))
			So(got, ShouldEqual, exclusive)
			v, _ = l.Offer(at(1), ticket(1, 1000))
			So(v, ShouldEqual, Queued)
		})
	})
}

// TestRunningCountAndExclusiveRuns guards against lost or double-counted slots, which
// would stall or overload the target, and against a request suspected of crashing
// targets running beside others. It applies random sequences of calls.
func TestRunningCountAndExclusiveRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(rapid.IntRange(1, 6).Draw(t, "slots"))
		var running []*Ticket
		now := 0
		for range 200 {
			now += rapid.IntRange(0, 50).Draw(t, "ms")
			if rapid.Bool().Draw(t, "arrives") {
				k := ticket(rapid.IntRange(0, 3).Draw(t, "priority"), now+rapid.IntRange(1, 400).Draw(t, "left"))
				k.Exclusive = rapid.IntRange(0, 9).Draw(t, "alone") == 0
				if v, _ := l.Offer(at(now), k); v == Started {
					running = append(running, k)
				}
			} else if len(running) > 0 {
				r := Result(rapid.IntRange(0, 2).Draw(t, "result"))
				l.Finish(at(now), running[0], time.Millisecond, r)
				running = running[1:]
			}
			for {
				k, _ := l.Next(at(now))
				if k == nil {
					break
				}
				running = append(running, k)
			}
			if l.Running() != len(running) || l.Running() > l.slots {
				t.Fatalf("Running() = %d, want %d (of %d slots)", l.Running(), len(running), l.slots)
			}
			for _, k := range running {
				if k.Exclusive && len(running) > 1 {
					t.Fatal("a request for an exclusive run runs beside another")
				}
			}
		}
	})
}

// TestReclaimFreesSlotsOfLostResponses guards against slots held by requests whose
// responses were lost without a connection error: callers time out much later, and
// until then the slots would be unusable.
func TestReclaimFreesSlotsOfLostResponses(t *testing.T) {
	// simulate offers a call every 3 ms to 10 slots. Runs take 10 ms; the response of
	// every tenth is lost and its caller times out after 300 ms. It returns the number
	// of calls started within a second.
	simulate := func(l *Limiter) int {
		type run struct {
			t    *Ticket
			ends int
			lost bool
		}
		var runs []run
		started := 0
		start := func(ms int, k *Ticket) {
			started++
			r := run{
				t:    k,
				ends: ms + 10,
				lost: started%10 == 0,
			}
			if r.lost {
				r.ends = ms + 300
			}
			runs = append(runs, r)
		}
		for ms := range 1000 {
			kept := runs[:0]
			for _, r := range runs {
				switch {
				case r.ends > ms:
					kept = append(kept, r)
				case r.lost:
					l.Finish(at(ms), r.t, 0, Neutral)
				default:
					l.Finish(at(ms), r.t, 10*time.Millisecond, Clean)
				}
			}
			runs = kept
			l.Reclaim(at(ms))
			if ms%3 == 0 {
				k := ticket(1, ms+200)
				if v, _ := l.Offer(at(ms), k); v == Started {
					start(ms, k)
				}
			}
			for k, _ := l.Next(at(ms)); k != nil; k, _ = l.Next(at(ms)) {
				start(ms, k)
			}
		}
		return started
	}
	Convey("Nearly all calls start, although those with lost responses would occupy all slots", t, func() {
		l := New(10)
		l.Warm(10)
		So(simulate(l), ShouldBeGreaterThan, 320)
	})
	Convey("The requests that run without a slot are bounded by the limit, and each request finishes once", t, func() {
		l := New(4)
		l.Warm(4)
		k := ticket(1, 1000)
		l.Offer(at(0), k)
		l.Finish(at(10), k, 10*time.Millisecond, Clean)
		var all []*Ticket
		for i := range 12 {
			k := ticket(1, 10_000)
			l.Offer(at(10+100*i), k)
			all = append(all, k)
			l.Reclaim(at(10 + 100*i))
			l.Next(at(10 + 100*i))
		}
		So(l.Running(), ShouldEqual, 4)
		So(l.Waiting(), ShouldEqual, 4)
		for _, k := range all {
			if !l.Cancel(k) {
				l.Finish(at(5000), k, 0, Neutral)
			}
		}
		So(l.Running(), ShouldEqual, 0)
	})
}
