package gate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/pipe/msg"
)

const testTimeout = 10 * time.Second

var names = msg.Names{
	Attempt:      "X-Id",
	Deadline:     "X-Deadline",
	ExpectTarget: "X-Expect",
	NotRun:       "X-Not-Run",
	Signature:    "X-Signature",
	RateLimit:    "X-Rate-Limit",
	Leaving:      "X-Leaving",
}

// server is a target that holds its responses until release is closed. It counts
// the requests that run, their peak, and the clients that disconnect.
type server struct {
	mu           sync.Mutex
	running      int
	peak         int
	requests     []http.Header
	disconnected int
	release      chan struct{}
	response     string
	address      string
}

func newServer(t *testing.T, response string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{
		release:  make(chan struct{}),
		response: response,
		address:  l.Addr().String(),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.begin(req.Header)
		next := make(chan error, 1)
		go func() {
			_, err := r.Peek(1)
			next <- err
		}()
		select {
		case <-s.release:
		case <-next:
			s.end(true)
			return
		}
		s.end(false)
		response := strings.ReplaceAll(s.response, "ID", req.Header.Get("X-Id"))
		if _, err := c.Write([]byte(response)); err != nil || strings.Contains(response, "Connection: close") || <-next != nil {
			return
		}
	}
}

func (s *server) begin(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.peak = max(s.peak, s.running)
	s.requests = append(s.requests, h)
}

func (s *server) end(disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if disconnected {
		s.disconnected++
	}
}

// read returns f's value, computed with s.mu held.
func (s *server) read(f func() int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

// okResponse is a response in which the server replaces ID by the request's ID.
const okResponse = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

func newGate(s *server, slots int, options ...Option) *Gate {
	g, _ := New(names, options...)
	g.Announce(Target{
		ID:        "t1",
		Service:   "quota",
		Address:   s.address,
		Slots:     slots,
		Ready:     true,
		StartedAt: 100,
		Seq:       1,
	})
	return g
}

func newCall(id string) *call.Call {
	return &call.Call{
		Attempt: id,
		Service: "quota",
		Request: &msg.Request{
			Method: "GET",
			URI:    "/",
			Host:   "h",
			Fields: []byte("X-Id: " + id + "\r\n"),
		},
		Deadline:   time.Now().Add(testTimeout),
		MaxWait:    testTimeout,
		Idempotent: true,
	}
}

// eventually polls f until it returns true, for testTimeout at most.
func eventually(f func() bool) bool {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// serveAll starts calls and returns a channel that receives each result as its
// call ends.
func serveAll(ctx context.Context, g *Gate, calls ...*call.Call) chan call.Result {
	out := make(chan call.Result, len(calls))
	for _, c := range calls {
		go func() { out <- g.Serve(ctx, c) }()
	}
	return out
}

// A target that gets more requests than it has slots may hang. A surge beyond the
// slots must wait in the queue of the gate.
func TestConcurrencyLimit(t *testing.T) {
	Convey("Requests beyond the slots of the target wait at the gate", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 3)
		var calls []*call.Call
		for i := range 8 {
			calls = append(calls, newCall(strconv.Itoa(i)))
		}
		results := serveAll(context.Background(), g, calls...)
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 3 && g.State().Waiting == 5 }), ShouldBeTrue)
		close(s.release)
		for range calls {
			So((<-results).Outcome, ShouldEqual, call.Answered)
		}
		So(s.peak, ShouldEqual, 3)
	})
}

// Under overload, nested calls must start before new requests, since they belong to
// requests that run already. Other calls must start by priority.
func TestQueueOrder(t *testing.T) {
	Convey("Nested calls start first, then calls of higher priority", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		first := serveAll(context.Background(), g, newCall("first"))
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		low, high, nested := newCall("low"), newCall("high"), newCall("nested")
		low.Priority, high.Priority, nested.Priority, nested.Nested = 2, 0, 2, true
		var queued chan call.Result
		for i, c := range []*call.Call{low, high, nested} {
			queued = serveAll(context.Background(), g, c)
			So(eventually(func() bool { return g.State().Waiting == i+1 }), ShouldBeTrue)
		}
		close(s.release)
		<-first
		<-queued
		So(eventually(func() bool { return s.read(func() int { return len(s.requests) }) == 4 }), ShouldBeTrue)
		order := []string{}
		for _, h := range s.requests {
			order = append(order, h.Get("X-Id"))
		}
		So(order, ShouldResemble, []string{"first", "nested", "high", "low"})
	})
}

// Routes with different latency objectives share one target. Under overload, the
// call that is due first must start first, whether or not it is nested.
func TestQueueOrderByDueTime(t *testing.T) {
	Convey("Calls with a due time start in order of that time", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		first := serveAll(context.Background(), g, newCall("first"))
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		now := time.Now()
		var queued chan call.Result
		for i, c := range []*call.Call{newCall("lookup"), newCall("billing"), newCall("view")} {
			c.Nested = c.Attempt == "lookup"
			c.Due = now.Add([]time.Duration{550 * time.Millisecond, 500 * time.Millisecond, 450 * time.Millisecond}[i])
			queued = serveAll(context.Background(), g, c)
			So(eventually(func() bool { return g.State().Waiting == i+1 }), ShouldBeTrue)
		}
		close(s.release)
		<-first
		<-queued
		So(eventually(func() bool { return s.read(func() int { return len(s.requests) }) == 4 }), ShouldBeTrue)
		order := []string{}
		for _, h := range s.requests {
			order = append(order, h.Get("X-Id"))
		}
		So(order, ShouldResemble, []string{"first", "view", "billing", "lookup"})
	})
}

// A call whose expected queueing time exceeds its max wait must be refused at once,
// without reaching the target, rather than time out in the queue.
func TestRefusalOfTooLongWait(t *testing.T) {
	Convey("A call whose expected queueing time exceeds its max wait is refused", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		close(s.release)
		So(g.Serve(context.Background(), newCall("measure")).Outcome, ShouldEqual, call.Answered)
		s.release = make(chan struct{})
		running := serveAll(context.Background(), g, newCall("a"))
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		c := newCall("b")
		c.MaxWait = 0
		r := g.Serve(context.Background(), c)
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.Busy)
		So(r.Reached, ShouldBeFalse)
		close(s.release)
		<-running
	})
}

// When a caller disconnects, an idempotent call in flight must be aborted, so that
// the target does not work for a response that nobody receives. A call that is not
// idempotent must run to its end.
func TestCallerDisconnect(t *testing.T) {
	Convey("An idempotent call is aborted when its caller disconnects", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		ctx, cancel := context.WithCancel(context.Background())
		results := serveAll(ctx, g, newCall("a"))
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		cancel()
		So((<-results).Outcome, ShouldEqual, call.Gone)
		So(eventually(func() bool { return s.read(func() int { return s.disconnected }) == 1 }), ShouldBeTrue)
	})
	Convey("A running call that is not idempotent continues; a queued one is removed from the queue", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		ctx, cancel := context.WithCancel(context.Background())
		inFlight, queued := newCall("a"), newCall("b")
		inFlight.Idempotent, queued.Idempotent = false, false
		first := serveAll(ctx, g, inFlight)
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		second := serveAll(ctx, g, queued)
		So(eventually(func() bool { return g.State().Waiting == 1 }), ShouldBeTrue)
		cancel()
		So((<-second).Outcome, ShouldEqual, call.Gone)
		close(s.release)
		So((<-first).Outcome, ShouldEqual, call.Answered)
		So(len(s.requests), ShouldEqual, 1)
	})
}

// A request that is wrongly reported as not run is repeated although it may have
// run. After it was sent, only the target itself can report that it did not run.
func TestExchangeWithTarget(t *testing.T) {
	classify := func(response string) call.Result {
		s := newServer(t, response)
		close(s.release)
		return newGate(s, 1).Serve(context.Background(), newCall("a"))
	}
	Convey("A request counts as not run only where the target says so", t, func() {
		So(classify(okResponse).Outcome, ShouldEqual, call.Answered)
		So(classify("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").Outcome, ShouldEqual, call.NotRun)
		So(classify("HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n").Reason, ShouldEqual, call.TargetMoved)
		So(classify("HTTP/1.1 503 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n").Outcome, ShouldEqual, call.Answered)
		So(classify("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok").Outcome, ShouldEqual, call.Unknown)
	})
	Convey("The target gets the time left to the deadline and its own ID", t, func() {
		s := newServer(t, okResponse)
		close(s.release)
		newGate(s, 1).Serve(context.Background(), newCall("a"))
		left, err := strconv.Atoi(s.requests[0].Get("X-Deadline"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetween, 1, int(testTimeout.Milliseconds()))
		So(s.requests[0].Get("X-Expect"), ShouldEqual, "t1")
	})
}

// Announcements can arrive late or out of order. An old one must neither replace a
// newer one nor bring back a target that has left.
func TestAnnouncements(t *testing.T) {
	Convey("Late announcements of the same start and of earlier starts are ignored", t, func() {
		g, _ := New(names)
		So(g.Announce(announcement("a", 100, 5, true)), ShouldBeTrue)
		So(g.Announce(announcement("a", 100, 4, false)), ShouldBeFalse)
		So(g.Announce(announcement("b", 200, 1, true)), ShouldBeTrue)
		So(g.Announce(announcement("a", 100, 6, true)), ShouldBeFalse)
		So(g.State().ID, ShouldEqual, "b")
	})
	Convey("Sequence numbers of an ID start again after a restart", t, func() {
		g, _ := New(names)
		g.Announce(announcement("a", 100, 500, true))
		So(g.Announce(announcement("a", 200, 1, true)), ShouldBeTrue)
	})
	Convey("A target that drains or is withdrawn gets no new requests, whatever arrives late", t, func() {
		g, _ := New(names)
		g.Announce(announcement("a", 100, 5, true))
		So(g.State().Open, ShouldBeTrue)
		g.Announce(announcement("a", 100, 6, false))
		So(g.State().Open, ShouldBeFalse)
		g.Withdraw("a")
		So(g.Announce(announcement("a", 100, 7, true)), ShouldBeFalse)
		So(g.Serve(context.Background(), newCall("x")).Reason, ShouldEqual, call.NoTarget)
		So(g.Announce(announcement("a", 300, 1, true)), ShouldBeTrue)
	})
}

// announcement returns the announcement of a target.
func announcement(id string, startedAt, seq int64, ready bool) Target {
	return Target{
		ID:        id,
		Service:   "quota",
		Address:   "127.0.0.1:1",
		Slots:     1,
		Ready:     ready,
		StartedAt: startedAt,
		Seq:       seq,
	}
}

// TestLeftTargetAfterRestart guards against a target that has left and is used again after
// a restart of its node, because an announcement that it sent before arrives late.
func TestLeftTargetAfterRestart(t *testing.T) {
	now := time.Now().UnixMilli()
	Convey("A restarted node ignores late announcements of a target withdrawn before, and takes its next start", t, func() {
		var stored []starts.Departure
		before, _ := New(names, WithOnDeparture(func(d []starts.Departure) { stored = d }))
		before.Announce(announcement("a", now-5000, 5, true))
		before.Withdraw("a")
		after, _ := New(names)
		after.RestoreDepartures(stored)
		So(after.Announce(announcement("a", now-5000, 4, true)), ShouldBeFalse)
		So(after.State().Open, ShouldBeFalse)
		So(after.Announce(announcement("a", now-1000, 1, true)), ShouldBeTrue)
	})
	Convey("An announcement that came before the stored withdrawals is undone by them", t, func() {
		var stored []starts.Departure
		before, _ := New(names, WithOnDeparture(func(d []starts.Departure) { stored = d }))
		before.Announce(announcement("a", now-5000, 5, true))
		before.Withdraw("a")
		after, _ := New(names)
		after.Announce(announcement("a", now-5000, 4, true))
		after.RestoreDepartures(stored)
		So(after.State().Open, ShouldBeFalse)
	})
	Convey("A gate that is blocked until the departures are known takes no calls", t, func() {
		var states []State
		g, _ := New(names, WithBlocked(), WithOnChange(func(s State) { states = append(states, s) }))
		g.Announce(announcement("a", now-5000, 9, true))
		So(g.State().Open, ShouldBeFalse)
		So(g.Serve(context.Background(), newCall("x")).Reason, ShouldEqual, call.NoTarget)
		g.Unblock(true)
		So(g.State().Open, ShouldBeTrue)
		So(states[len(states)-1].Open, ShouldBeTrue)
	})
	Convey("Where departures may be unknown, it opens with the second report of the same start", t, func() {
		g, _ := New(names, WithBlocked())
		g.Announce(announcement("a", now-5000, 9, true))
		g.Unblock(false)
		So(g.State().Open, ShouldBeFalse)
		g.Announce(announcement("b", now-1000, 1, true))
		So(g.State().Open, ShouldBeFalse)
		g.Announce(announcement("b", now-1000, 2, true))
		So(g.State().Open, ShouldBeTrue)
	})
	Convey("A target that is withdrawn before this process has heard of it stays out as well", t, func() {
		g, _ := New(names)
		g.Withdraw("a")
		So(g.Announce(announcement("a", now-5000, 9, true)), ShouldBeFalse)
		So(g.Announce(announcement("a", now+5000, 1, true)), ShouldBeTrue)
	})
}

// fakeCrashes is a CrashTracker that gives all requests the same standing and records
// the calls of its methods.
type fakeCrashes struct {
	mu       sync.Mutex
	standing crash.Standing
	crashed  []crash.Fingerprint
	ids      map[crash.ID]bool
	cleared  int
}

func (f *fakeCrashes) Lookup(crash.Fingerprint) (crash.Standing, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.standing, time.Minute
}

func (f *fakeCrashes) RecordCrash(id crash.ID, running []crash.Fingerprint) crash.Crash {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = append(f.crashed, running...)
	if f.ids == nil {
		f.ids = map[crash.ID]bool{}
	}
	f.ids[id] = true
	return crash.Crash{
		ID:      id,
		Ran:     len(running),
		Running: running,
	}
}

func (f *fakeCrashes) Learn(string, []crash.Crash) []crash.Crash { return nil }

func (f *fakeCrashes) Evidence(crash.Fingerprint) []crash.Crash { return nil }

func (f *fakeCrashes) RecordSuccess(crash.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cleared++
}

// A request that crashes the target that runs it crashes one target after another
// when it is retried. It must be reported after the crash and refused once it is
// quarantined.
func TestRequestsThatCrashTargets(t *testing.T) {
	Convey("Requests whose responses were lost are reported once the target has restarted", t, func() {
		s := newServer(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\nConnection: close\r\n\r\ncut")
		crashes := &fakeCrashes{standing: crash.Clear}
		g := newGate(s, 4)
		WithCrashTracker(crashes)(g)
		close(s.release)
		c := newCall("bad")
		So(g.Serve(context.Background(), c).Reason, ShouldEqual, call.AnswerLost)
		So(crashes.crashed, ShouldBeEmpty)
		restarted := g.State().Target
		restarted.StartedAt, restarted.Seq = 200, 1
		g.Announce(restarted)
		So(eventually(func() bool {
			crashes.mu.Lock()
			defer crashes.mu.Unlock()
			return len(crashes.crashed) == 1 && crashes.crashed[0] == c.Fingerprint()
		}), ShouldBeTrue)
	})
	Convey("A quarantined request is refused without a send; a suspected one runs alone and is cleared", t, func() {
		s := newServer(t, okResponse)
		crashes := &fakeCrashes{standing: crash.Quarantined}
		g := newGate(s, 4)
		WithCrashTracker(crashes)(g)
		r := g.Serve(context.Background(), newCall("bad"))
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.CrashesTargets)
		So(s.requests, ShouldBeEmpty)
		crashes.standing = crash.Suspected
		results := serveAll(context.Background(), g, newCall("a"), newCall("b"))
		So(eventually(func() bool { return g.State().Waiting == 1 && s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		close(s.release)
		<-results
		<-results
		So(s.peak, ShouldEqual, 1)
		So(crashes.cleared, ShouldEqual, 2)
	})
}
