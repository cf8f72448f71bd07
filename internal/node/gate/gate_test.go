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
	"fuchsiapier/internal/pipe/msg"
)

const patience = 10 * time.Second

var names = msg.Names{
	Attempt:      "X-Id",
	Deadline:     "X-Deadline",
	ExpectTarget: "X-Expect",
	NotRun:       "X-Not-Run",
}

// server is a target whose answers wait until they are released.
type server struct {
	mu      sync.Mutex
	running int
	most    int
	seen    []http.Header
	gone    int
	release chan struct{}
	answer  string
	address string
}

func newServer(t *testing.T, answer string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &server{
		release: make(chan struct{}),
		answer:  answer,
		address: l.Addr().String(),
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
		answer := strings.ReplaceAll(s.answer, "ID", req.Header.Get("X-Id"))
		if _, err := c.Write([]byte(answer)); err != nil || strings.Contains(answer, "Connection: close") || <-next != nil {
			return
		}
	}
}

func (s *server) begin(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.most = max(s.most, s.running)
	s.seen = append(s.seen, h)
}

func (s *server) end(gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if gone {
		s.gone++
	}
}

func (s *server) count(f func() int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f()
}

const ok = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

func newGate(s *server, slots int) *Gate {
	g, _ := New(names)
	g.Announce(Target{
		ID:      "t1",
		Service: "quota",
		Address: s.address,
		Slots:   slots,
		Ready:   true,
		Born:    100,
		Seq:     1,
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
		Deadline:   time.Now().Add(patience),
		Patience:   patience,
		Idempotent: true,
	}
}

func eventually(f func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// serveAll starts calls and returns a channel with their results in order of their end.
func serveAll(ctx context.Context, g *Gate, calls ...*call.Call) chan call.Result {
	out := make(chan call.Result, len(calls))
	for _, c := range calls {
		go func() { out <- g.Serve(ctx, c) }()
	}
	return out
}

func TestNeverMoreThanTheSlots(t *testing.T) {
	Convey("A surge waits at the gate, never at a server that hangs when full", t, func() {
		s := newServer(t, ok)
		g := newGate(s, 3)
		var calls []*call.Call
		for i := range 8 {
			calls = append(calls, newCall(strconv.Itoa(i)))
		}
		results := serveAll(context.Background(), g, calls...)
		So(eventually(func() bool { return s.count(func() int { return s.running }) == 3 && g.State().Waiting == 5 }), ShouldBeTrue)
		close(s.release)
		for range calls {
			So((<-results).Outcome, ShouldEqual, call.Answered)
		}
		So(s.most, ShouldEqual, 3)
	})
}

func TestOrderUnderLoad(t *testing.T) {
	Convey("Calls of running requests go first, then the higher priority", t, func() {
		s := newServer(t, ok)
		g := newGate(s, 1)
		first := serveAll(context.Background(), g, newCall("first"))
		So(eventually(func() bool { return s.count(func() int { return s.running }) == 1 }), ShouldBeTrue)
		low, high, nested := newCall("low"), newCall("high"), newCall("nested")
		low.Priority, high.Priority, nested.Priority, nested.Nested = 2, 0, 2, true
		var rest chan call.Result
		for i, c := range []*call.Call{low, high, nested} {
			rest = serveAll(context.Background(), g, c)
			So(eventually(func() bool { return g.State().Waiting == i+1 }), ShouldBeTrue)
		}
		close(s.release)
		<-first
		<-rest
		So(eventually(func() bool { return s.count(func() int { return len(s.seen) }) == 4 }), ShouldBeTrue)
		order := []string{}
		for _, h := range s.seen {
			order = append(order, h.Get("X-Id"))
		}
		So(order, ShouldResemble, []string{"first", "nested", "high", "low"})
	})
}

func TestDueTimesOrderTheQueue(t *testing.T) {
	Convey("Overload of a shared service: a short objective goes before calls that have time", t, func() {
		s := newServer(t, ok)
		g := newGate(s, 1)
		first := serveAll(context.Background(), g, newCall("first"))
		So(eventually(func() bool { return s.count(func() int { return s.running }) == 1 }), ShouldBeTrue)
		now := time.Now()
		var rest chan call.Result
		for i, c := range []*call.Call{newCall("lookup"), newCall("billing"), newCall("view")} {
			c.Nested = c.Attempt == "lookup"
			c.Due = now.Add([]time.Duration{550 * time.Millisecond, 500 * time.Millisecond, 450 * time.Millisecond}[i])
			rest = serveAll(context.Background(), g, c)
			So(eventually(func() bool { return g.State().Waiting == i+1 }), ShouldBeTrue)
		}
		close(s.release)
		<-first
		<-rest
		So(eventually(func() bool { return s.count(func() int { return len(s.seen) }) == 4 }), ShouldBeTrue)
		order := []string{}
		for _, h := range s.seen {
			order = append(order, h.Get("X-Id"))
		}
		So(order, ShouldResemble, []string{"first", "view", "billing", "lookup"})
	})
}

func TestImpatientCallIsRefusedAtOnce(t *testing.T) {
	Convey("A call that would wait too long is told so, and how long", t, func() {
		s := newServer(t, ok)
		g := newGate(s, 1)
		close(s.release)
		So(g.Serve(context.Background(), newCall("measure")).Outcome, ShouldEqual, call.Answered)
		s.release = make(chan struct{})
		running := serveAll(context.Background(), g, newCall("a"))
		So(eventually(func() bool { return s.count(func() int { return s.running }) == 1 }), ShouldBeTrue)
		c := newCall("b")
		c.Patience = 0
		r := g.Serve(context.Background(), c)
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.Busy)
		So(r.Reached, ShouldBeFalse)
		close(s.release)
		<-running
	})
}

func TestHangUp(t *testing.T) {
	Convey("A caller that leaves frees the target of work that may be repeated", t, func() {
		s := newServer(t, ok)
		g := newGate(s, 1)
		ctx, cancel := context.WithCancel(context.Background())
		results := serveAll(ctx, g, newCall("a"))
		So(eventually(func() bool { return s.count(func() int { return s.running }) == 1 }), ShouldBeTrue)
		cancel()
		So((<-results).Outcome, ShouldEqual, call.Gone)
		So(eventually(func() bool { return s.count(func() int { return s.gone }) == 1 }), ShouldBeTrue)
	})
	Convey("Work that runs once only goes on to its end; what waits is withdrawn", t, func() {
		s := newServer(t, ok)
		g := newGate(s, 1)
		ctx, cancel := context.WithCancel(context.Background())
		once, waits := newCall("a"), newCall("b")
		once.Idempotent, waits.Idempotent = false, false
		first := serveAll(ctx, g, once)
		So(eventually(func() bool { return s.count(func() int { return s.running }) == 1 }), ShouldBeTrue)
		second := serveAll(ctx, g, waits)
		So(eventually(func() bool { return g.State().Waiting == 1 }), ShouldBeTrue)
		cancel()
		So((<-second).Outcome, ShouldEqual, call.Gone)
		close(s.release)
		So((<-first).Outcome, ShouldEqual, call.Answered)
		So(len(s.seen), ShouldEqual, 1)
	})
}

func TestWhatTheTargetSays(t *testing.T) {
	judge := func(answer string) call.Result {
		s := newServer(t, answer)
		close(s.release)
		return newGate(s, 1).Serve(context.Background(), newCall("a"))
	}
	Convey("Not run is said only where the target says so, or nothing was sent", t, func() {
		So(judge(ok).Outcome, ShouldEqual, call.Answered)
		So(judge("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").Outcome, ShouldEqual, call.NotRun)
		So(judge("HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n").Reason, ShouldEqual, call.Moved)
		So(judge("HTTP/1.1 503 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n").Outcome, ShouldEqual, call.Answered)
		So(judge("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok").Outcome, ShouldEqual, call.Unknown)
	})
	Convey("The target gets what is left of the deadline and its own ID", t, func() {
		s := newServer(t, ok)
		close(s.release)
		newGate(s, 1).Serve(context.Background(), newCall("a"))
		left, err := strconv.Atoi(s.seen[0].Get("X-Deadline"))
		So(err, ShouldBeNil)
		So(left, ShouldBeBetween, 1, int(patience.Milliseconds()))
		So(s.seen[0].Get("X-Expect"), ShouldEqual, "t1")
	})
}

func TestAnnouncements(t *testing.T) {
	at := func(id string, born, seq int64, ready bool) Target {
		return Target{
			ID:      id,
			Service: "quota",
			Address: "127.0.0.1:1",
			Slots:   1,
			Ready:   ready,
			Born:    born,
			Seq:     seq,
		}
	}
	Convey("Late announcements of one start and of earlier starts change nothing", t, func() {
		g, _ := New(names)
		So(g.Announce(at("a", 100, 5, true)), ShouldBeTrue)
		So(g.Announce(at("a", 100, 4, false)), ShouldBeFalse)
		So(g.Announce(at("b", 200, 1, true)), ShouldBeTrue)
		So(g.Announce(at("a", 100, 6, true)), ShouldBeFalse)
		So(g.State().ID, ShouldEqual, "b")
	})
	Convey("The same ID after a restart counts anew", t, func() {
		g, _ := New(names)
		g.Announce(at("a", 100, 500, true))
		So(g.Announce(at("a", 200, 1, true)), ShouldBeTrue)
	})
	Convey("A target that is leaving gets no new work; late news do not bring it back", t, func() {
		g, _ := New(names)
		g.Announce(at("a", 100, 5, true))
		So(g.State().Open, ShouldBeTrue)
		g.Announce(at("a", 100, 6, false))
		So(g.State().Open, ShouldBeFalse)
		g.Withdraw("a")
		So(g.Announce(at("a", 100, 7, true)), ShouldBeFalse)
		So(g.Serve(context.Background(), newCall("x")).Reason, ShouldEqual, call.NoTarget)
		So(g.Announce(at("a", 300, 1, true)), ShouldBeTrue)
	})
}

// judge is a docket in memory that knows one request.
type judge struct {
	mu       sync.Mutex
	standing crash.Standing
	died     []crash.Fingerprint
	cleared  int
}

func (j *judge) Judge(crash.Fingerprint) (crash.Standing, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.standing, time.Minute
}

func (j *judge) Died(running []crash.Fingerprint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.died = append(j.died, running...)
}

func (j *judge) Cleared(crash.Fingerprint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cleared++
}

func TestRequestThatCrashesTargets(t *testing.T) {
	Convey("What ran on a target that died is told once its death is certain", t, func() {
		s := newServer(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\nConnection: close\r\n\r\ncut")
		j := &judge{standing: crash.Clear}
		g := newGate(s, 4)
		WithDocket(j)(g)
		close(s.release)
		c := newCall("bad")
		So(g.Serve(context.Background(), c).Reason, ShouldEqual, call.Lost)
		So(j.died, ShouldBeEmpty)
		again := g.State().Target
		again.Born, again.Seq = 200, 1
		g.Announce(again)
		So(eventually(func() bool {
			j.mu.Lock()
			defer j.mu.Unlock()
			return len(j.died) == 1 && j.died[0] == c.Fingerprint()
		}), ShouldBeTrue)
	})
	Convey("A convicted request is refused without a send; a suspect runs alone and is cleared", t, func() {
		s := newServer(t, ok)
		j := &judge{standing: crash.Quarantined}
		g := newGate(s, 4)
		WithDocket(j)(g)
		r := g.Serve(context.Background(), newCall("bad"))
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.Suspect)
		So(s.seen, ShouldBeEmpty)
		j.standing = crash.Suspected
		results := serveAll(context.Background(), g, newCall("a"), newCall("b"))
		So(eventually(func() bool { return g.State().Waiting == 1 && s.count(func() int { return s.running }) == 1 }), ShouldBeTrue)
		close(s.release)
		<-results
		<-results
		So(s.most, ShouldEqual, 1)
		So(j.cleared, ShouldEqual, 2)
	})
}
