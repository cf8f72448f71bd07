package gate

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/node/starts"
)

// limitedResponse is a response that names a rate limit of 2 requests per second.
const limitedResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nX-Rate-Limit: 2.0\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

// TestTargetRateLimit guards against a target that gets far more requests per second than it
// says it accepts, because the gate bounds only how many run at once.
func TestTargetRateLimit(t *testing.T) {
	Convey("Calls beyond the rate limit that a target names are refused as not run, with a retry delay", t, func() {
		s := newServer(t, limitedResponse)
		close(s.release)
		g := newGate(s, 40)
		began := time.Now()
		So((<-serveAll(context.Background(), g, newCall("first"))).Outcome, ShouldEqual, call.Answered)
		var calls []*call.Call
		for i := range 40 {
			c := newCall(strconv.Itoa(i))
			c.MaxWait = 100 * time.Millisecond
			calls = append(calls, c)
		}
		refused := 0
		results := serveAll(context.Background(), g, calls...)
		for range calls {
			if r := <-results; r.Outcome == call.NotRun {
				refused++
				So(r.Reached, ShouldBeFalse)
				So(r.RetryAfter, ShouldBeGreaterThan, 0)
			}
		}
		got := s.read(func() int { return len(s.requests) })
		So(got+refused, ShouldEqual, 41)
		allowed := 1.5*2*max(time.Since(began).Seconds(), 4) + 5
		So(float64(got), ShouldBeLessThanOrEqualTo, allowed)
	})
}

// responding returns a response with the given header lines besides the ID.
func responding(lines string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + lines + "Content-Length: 2\r\nConnection: close\r\n\r\nok"
}

// TestTargetRateLimitChanges guards against a rate limit that stays after the target has lifted
// it, and against one that is lost because of a response that does not tell it.
func TestTargetRateLimitChanges(t *testing.T) {
	respond := func(g *Gate, s *server, response string) {
		s.mu.Lock()
		s.response = response
		s.mu.Unlock()
		// A success without a signature is no answer; what it says of the target counts all the same.
		outcome := call.Answered
		if !strings.Contains(response, "X-Signature") {
			outcome = call.Unknown
		}
		So((<-serveAll(context.Background(), g, newCall("x"))).Outcome, ShouldEqual, outcome)
	}
	Convey("The newest response that tells the limit is in force", t, func() {
		s := newServer(t, okResponse)
		close(s.release)
		g := newGate(s, 4)
		for _, step := range []struct {
			lines string
			limit float64
		}{
			{"X-Signature: s\r\n", 0},
			{"X-Signature: s\r\nX-Rate-Limit: 20.5\r\n", 20.5},
			{"", 20.5},
			{"X-Signature: s\r\nX-Rate-Limit: many\r\n", 20.5},
			{"X-Signature: s\r\nX-Rate-Limit: -3\r\n", 20.5},
			{"X-Rate-Limit: 40\r\n", 40},
			{"X-Signature: s\r\nX-Rate-Limit: 0\r\n", 0.5},
		} {
			respond(g, s, responding(step.lines))
			So(g.State().RateLimit, ShouldEqual, step.limit)
		}
		respond(g, s, responding("X-Signature: s\r\n"))
		So(g.State().RateLimit, ShouldEqual, 0)
	})
	Convey("A target that has restarted has no limit", t, func() {
		s := newServer(t, limitedResponse)
		close(s.release)
		g := newGate(s, 4)
		respond(g, s, limitedResponse)
		So(g.State().RateLimit, ShouldEqual, 2)
		restarted := announcement("t1", 200, 1, true)
		restarted.Address = s.address
		g.Announce(restarted)
		So(g.State().RateLimit, ShouldEqual, 0)
	})
}

// TestTargetRateLimitIsAdopted guards against a target that gets more than it accepts after a
// restart of its node, whose gate has read no response yet.
func TestTargetRateLimitIsAdopted(t *testing.T) {
	Convey("A gate takes over the limit that calls carry until the target responds", t, func() {
		s := newServer(t, responding("X-Signature: s\r\n"))
		g := newGate(s, 40)
		hinted := func(id string, limit float64) *call.Call {
			c := newCall(id)
			c.TargetRateLimit = limit
			return c
		}
		var calls []*call.Call
		for i := range 10 {
			calls = append(calls, hinted(strconv.Itoa(i), 4))
		}
		results := serveAll(context.Background(), g, calls...)
		So(eventually(func() bool { return g.State().Waiting > 0 }), ShouldBeTrue)
		So(g.State().RateLimit, ShouldEqual, 4)
		close(s.release)
		answered := 0
		for range calls {
			if r := <-results; r.Outcome == call.Answered {
				answered++
			} else {
				So(r.Reason, ShouldEqual, call.Busy)
			}
		}
		So(answered, ShouldEqual, 1)
		So(s.read(func() int { return len(s.requests) }), ShouldEqual, 1)
		So(g.State().RateLimit, ShouldEqual, 0)
		So((<-serveAll(context.Background(), g, hinted("late", 4))).RateLimit, ShouldEqual, 0)
	})
}

// TestLeavingTarget guards against calls to a target that says in its responses that it is about
// to stop, while its announcements, which may be late, still say that it is ready.
func TestLeavingTarget(t *testing.T) {
	Convey("Given a target that says in a response that it leaves", t, func() {
		s := newServer(t, responding("X-Signature: s\r\nX-Leaving: 1\r\n"))
		close(s.release)
		var stored []starts.Departure
		var states []State
		g, _ := New(names, WithOnDeparture(func(d []starts.Departure) { stored = d }), WithOnChange(func(s State) { states = append(states, s) }))
		announce := func(startedAt, seq int64) bool {
			a := announcement("t1", startedAt, seq, true)
			a.Address, a.Slots = s.address, 4
			return g.Announce(a)
		}
		now := time.Now().UnixMilli()
		So(announce(now-5000, 1), ShouldBeTrue)
		So((<-serveAll(context.Background(), g, newCall("last"))).Outcome, ShouldEqual, call.Answered)
		Convey("it gets no more calls, and other nodes are told", func() {
			r := <-serveAll(context.Background(), g, newCall("next"))
			So(r.Outcome, ShouldEqual, call.NotRun)
			So(r.Reason, ShouldEqual, call.NoTarget)
			So(s.read(func() int { return len(s.requests) }), ShouldEqual, 1)
			So(states[len(states)-1].Open, ShouldBeFalse)
		})
		Convey("later announcements of it have no effect, those of its next start have", func() {
			So(announce(now-5000, 2), ShouldBeFalse)
			So(g.State().Open, ShouldBeFalse)
			So(announce(now+1000, 1), ShouldBeTrue)
			So(g.State().Open, ShouldBeTrue)
		})
		Convey("the withdrawal is given out once, for the node's next process", func() {
			So(len(stored), ShouldEqual, 1)
			So(stored[0].ID, ShouldEqual, "t1")
			So(stored[0].StartedAt, ShouldEqual, now-5000)
		})
	})
	Convey("A target whose responses have another value of the field stays in use", t, func() {
		s := newServer(t, responding("X-Signature: s\r\nX-Leaving: 0\r\n"))
		close(s.release)
		g := newGate(s, 4)
		So((<-serveAll(context.Background(), g, newCall("a"))).Outcome, ShouldEqual, call.Answered)
		So((<-serveAll(context.Background(), g, newCall("b"))).Outcome, ShouldEqual, call.Answered)
	})
	Convey("A response that ends after the target has restarted says nothing about the new start", t, func() {
		s := newServer(t, responding("X-Signature: s\r\nX-Leaving: 1\r\n"))
		g := newGate(s, 4)
		results := serveAll(context.Background(), g, newCall("old"))
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		restarted := announcement("t1", 200, 1, true)
		restarted.Address = s.address
		So(g.Announce(restarted), ShouldBeTrue)
		close(s.release)
		So((<-results).Outcome, ShouldEqual, call.Answered)
		So(g.State().Open, ShouldBeTrue)
	})
}
