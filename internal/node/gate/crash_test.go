package gate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/node/call"
)

// newCrashingServer returns the address of a server that ends as soon as n requests run.
func newCrashingServer(t *testing.T, n int) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Add(n)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				running.Done()
				running.Wait()
				_ = l.Close()
				_ = c.Close()
			}()
		}
	}()
	return &server{
		address: l.Addr().String(),
	}
}

// set changes the standing of all requests.
func (f *fakeCrashes) set(s crash.Standing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.standing = s
}

// TestCrashIsNoticedAtOnce guards against a crash that counts only when another request is refused or
// the target has started again, while the request that caused it is sent to the next target.
func TestCrashIsNoticedAtOnce(t *testing.T) {
	Convey("When the caller hears that the response was lost, the crash is recorded", t, func() {
		crashes := &fakeCrashes{standing: crash.Clear}
		g := newGate(newCrashingServer(t, 1), 4)
		WithCrashTracker(crashes)(g)
		c := newCall("bad")
		So(g.Serve(context.Background(), c).Reason, ShouldEqual, call.AnswerLost)
		crashes.mu.Lock()
		defer crashes.mu.Unlock()
		So(crashes.crashed, ShouldResemble, []crash.Fingerprint{c.Fingerprint()})
	})
	Convey("All that ran is recorded, as one crash", t, func() {
		crashes := &fakeCrashes{standing: crash.Clear}
		g := newGate(newCrashingServer(t, 3), 4)
		WithCrashTracker(crashes)(g)
		results := serveAll(context.Background(), g, newCall("a"), newCall("b"), newCall("c"))
		for range 3 {
			So((<-results).Reason, ShouldEqual, call.AnswerLost)
		}
		crashes.mu.Lock()
		defer crashes.mu.Unlock()
		So(crashes.crashed, ShouldHaveLength, 3)
		So(crashes.ids, ShouldHaveLength, 1)
	})
	Convey("A lost response of a target that still accepts connections is no crash", t, func() {
		s := newServer(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\nConnection: close\r\n\r\ncut")
		crashes := &fakeCrashes{standing: crash.Clear}
		g := newGate(s, 4)
		WithCrashTracker(crashes)(g)
		close(s.release)
		So(g.Serve(context.Background(), newCall("good")).Reason, ShouldEqual, call.AnswerLost)
		So(crashes.crashed, ShouldBeEmpty)
		So(g.State().Open, ShouldBeTrue)
	})
}

// TestStandingChangesInTheQueue guards against a request that is sent to the target although the node has heard, while
// the request was queued, that it crashes targets.
func TestStandingChangesInTheQueue(t *testing.T) {
	serveQueued := func(meanwhile crash.Standing) (s *server, crashes *fakeCrashes, results chan call.Result) {
		s = newServer(t, okResponse)
		crashes = &fakeCrashes{standing: crash.Clear}
		g := newGate(s, 2)
		WithCrashTracker(crashes)(g)
		results = serveAll(context.Background(), g, newCall("a"), newCall("b"), newCall("c"), newCall("d"))
		So(eventually(func() bool { return g.State().Waiting == 2 && s.read(func() int { return s.running }) == 2 }), ShouldBeTrue)
		crashes.set(meanwhile)
		close(s.release)
		return s, crashes, results
	}
	Convey("A queued request that is quarantined meanwhile is refused", t, func() {
		s, _, results := serveQueued(crash.Quarantined)
		refused := 0
		for range 4 {
			if r := <-results; r.Outcome == call.NotRun && r.Reason == call.CrashesTargets {
				refused++
			}
		}
		So(refused, ShouldEqual, 2)
		So(s.requests, ShouldHaveLength, 2)
	})
	Convey("A queued request that is suspected meanwhile runs alone, and is cleared", t, func() {
		_, crashes, results := serveQueued(crash.Suspected)
		for range 4 {
			So((<-results).Outcome, ShouldEqual, call.Answered)
		}
		crashes.mu.Lock()
		defer crashes.mu.Unlock()
		So(crashes.cleared, ShouldEqual, 2)
	})
}

// TestOldLostResponse guards against a request that counts as crashing since its response was lost long before the
// target was replaced as planned.
func TestOldLostResponse(t *testing.T) {
	Convey("A response that was lost long ago is no part of a crash", t, func() {
		r := newRuns()
		ticket := &limit.Ticket{}
		at := time.Now()
		r.begin(ticket, run{
			attempt:     "a",
			fingerprint: 7,
		})
		r.end(at, ticket, true)
		_, lost := r.takeLost(at.Add(lostResponseTime + time.Second))
		So(lost, ShouldBeEmpty)
	})
}

// TestCrashesInARow guards against crashes of a target that starts again at once, and that count as one.
func TestCrashesInARow(t *testing.T) {
	Convey("Responses that are lost together belong to one crash, those after a new start to another", t, func() {
		r := newRuns()
		now := time.Now()
		lose := func() crash.ID {
			ticket := &limit.Ticket{}
			r.begin(ticket, run{
				attempt:     "a",
				fingerprint: 7,
			})
			r.end(now, ticket, true)
			id, lost := r.takeLost(now)
			So(lost, ShouldHaveLength, 1)
			return id
		}
		first := lose()
		So(lose(), ShouldEqual, first)
		r.restarted()
		second := lose()
		So(second, ShouldNotEqual, first)
		now = now.Add(2 * crashWindow)
		So(lose(), ShouldNotEqual, second)
	})
}
