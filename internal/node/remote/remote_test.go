package remote

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/frame"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// slowGate answers a call once it is released, and counts the calls.
type slowGate struct {
	release chan struct{}
	calls   chan struct{}
}

func (g *slowGate) Serve(context.Context, *call.Call) call.Result {
	g.calls <- struct{}{}
	<-g.release
	return call.Result{
		Outcome: call.Answered,
		Answer:  msg.Plain(200, "done"),
		Reached: true,
	}
}

var names = msg.Names{
	Attempt: "X-Id",
	Leaving: "X-Leaving",
}

// connect starts a node with a gate and returns the links of another node, which the test
// closes, and the function that sends a call over them.
func connect(t *testing.T, gate Gate) (links *Links, send func() call.Result) {
	t.Helper()
	bodies := httpc.NewBodies(1<<20, 1<<20)
	receiver := NewReceiver(gate, names, func() []byte { return nil })
	links, to := serve(t, receiver, bodies)
	return links, func() call.Result {
		return links.Send(context.Background(), to, &call.Call{
			Attempt:  "a1",
			Service:  "quota",
			Deadline: time.Now().Add(10 * time.Second),
			Due:      time.Now().Add(time.Second),
			Request: &msg.Request{
				Method: "POST",
				URI:    "/x",
				Host:   "h",
			},
		})
	}
}

// serve starts a node with a receiver, and returns the links of another node and the record under
// which it knows the first.
func serve(t *testing.T, receiver *Receiver, bodies *httpc.Bodies) (*Links, peers.Node) {
	t.Helper()
	server, stop, err := frame.Serve("127.0.0.1:0", receiver.Handle, accept.Unlimited(), zerolog.Nop(), names.Attempt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	_, port, _ := net.SplitHostPort(server.Address())
	gatePort, _ := strconv.ParseUint(port, 10, 16)
	links, closeLinks := New(peers.Node{Name: "here"}, names, bodies)
	t.Cleanup(closeLinks)
	return links, peers.Node{
		Name:     "there",
		IP:       "127.0.0.1",
		GatePort: uint16(gatePort),
	}
}

// TestConfigurationOverSilentConnections guards against a configuration that is not fetched in time
// since all open connections to a node are dead without a sign.
func TestConfigurationOverSilentConnections(t *testing.T) {
	Convey("Each fetch opens a connection", t, func() {
		bodies := httpc.NewBodies(1<<20, 1<<20)
		links, to := serve(t, NewReceiver(nil, names, func() []byte { return []byte("7") }), bodies)
		for fetches := 1; fetches <= 3; fetches++ {
			data, err := links.FetchRules(context.Background(), to)
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "7")
			So(links.client(&to).Dials(), ShouldEqual, fetches)
		}
	})
}

// TestSilentNodeKeepsItsCalls guards against a node that is only silent for a while, is taken
// for lost, and whose running calls are given up or sent again.
func TestSilentNodeKeepsItsCalls(t *testing.T) {
	Convey("The call of a node that is no longer counted as alive is awaited to its end", t, func() {
		gate := &slowGate{
			release: make(chan struct{}),
			calls:   make(chan struct{}, 2),
		}
		links, send := connect(t, gate)
		result := make(chan call.Result, 1)
		go func() { result <- send() }()
		select {
		case <-gate.calls:
		case r := <-result:
			t.Fatalf("not sent: %+v", r)
		}
		links.Trim(time.Now().Add(time.Hour), map[string]bool{})
		close(gate.release)
		r := <-result
		So(r.Outcome, ShouldEqual, call.Answered)
		So(r.Answer.Status, ShouldEqual, 200)
		So(len(gate.calls), ShouldEqual, 0)
	})
}

// fixedGate answers every call with the same result.
type fixedGate struct {
	result call.Result
}

func (g *fixedGate) Serve(context.Context, *call.Call) call.Result { return g.result }

// waitingGate holds calls until they are withdrawn.
type waitingGate struct {
	calls chan struct{}
}

func (g *waitingGate) Serve(ctx context.Context, c *call.Call) call.Result {
	g.calls <- struct{}{}
	select {
	case <-c.WithdrawnDone():
		return call.Result{
			Outcome: call.NotRun,
			Reason:  call.Leaving,
		}
	case <-ctx.Done():
		return call.Result{
			Outcome: call.Gone,
			Reason:  call.CallerGone,
		}
	}
}

// TestWithdrawnCallAtAnotherNode guards against a call that waits at another node and whose outcome is not
// known when the node that sent it stops.
func TestWithdrawnCallAtAnotherNode(t *testing.T) {
	Convey("The gate of another node refuses a call that is withdrawn, and the refusal arrives", t, func() {
		gate := &waitingGate{
			calls: make(chan struct{}, 1),
		}
		bodies := httpc.NewBodies(1<<20, 1<<20)
		links, to := serve(t, NewReceiver(gate, names, func() []byte { return nil }), bodies)
		withdrawn, withdraw := context.WithCancel(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		go func() {
			<-gate.calls
			withdraw()
		}()
		r := links.Send(ctx, to, &call.Call{
			Attempt:   "a1",
			Service:   "quota",
			Deadline:  time.Now().Add(10 * time.Second),
			Due:       time.Now().Add(time.Second),
			Withdrawn: withdrawn,
			Request: &msg.Request{
				Method: "POST",
				URI:    "/x",
				Host:   "h",
			},
		})
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.Leaving)
		So(r.Reached, ShouldBeFalse)
	})
}

// TestTargetsTellCallingNodes guards against what a target says of itself that does not reach the
// node that sent the call: its rate limit, and that it leaves.
func TestTargetsTellCallingNodes(t *testing.T) {
	Convey("A result tells the calling node what it told at the gate", t, func() {
		gate := &fixedGate{}
		_, send := connect(t, gate)
		gate.result = call.Result{
			Outcome:   call.Answered,
			RateLimit: 22.9,
			Answer:    msg.Plain(200, "done").With(names.Leaving, msg.LeavingValue),
		}
		r := send()
		So(r.Outcome, ShouldEqual, call.Answered)
		So(r.RateLimit, ShouldEqual, 22.9)
		So(r.TargetLeaving, ShouldBeTrue)
		So(strings.ToLower(string(r.Answer.Fields)), ShouldContainSubstring, "x-leaving: 1")
		gate.result = call.Result{
			Outcome:   call.NotRun,
			Reason:    call.Busy,
			RateLimit: 4,
		}
		r = send()
		So(r.Reason, ShouldEqual, call.Busy)
		So(r.RateLimit, ShouldEqual, 4)
		So(r.TargetLeaving, ShouldBeFalse)
		gate.result = call.Result{
			Outcome: call.Answered,
			Answer:  msg.Plain(200, "done"),
		}
		r = send()
		So(r.RateLimit, ShouldEqual, 0)
		So(r.TargetLeaving, ShouldBeFalse)
	})
}

// echoGate answers with the evidence of the call, and keeps the call.
type echoGate struct {
	last *call.Call
}

func (g *echoGate) Serve(_ context.Context, c *call.Call) call.Result {
	g.last = c
	return call.Result{
		Outcome:  call.Unknown,
		Reason:   call.AnswerLost,
		Reached:  true,
		Evidence: c.Evidence,
	}
}

// TestEvidenceTravels guards against evidence of crashes that is lost or changed between nodes, that names another
// request, or that reaches the target.
func TestEvidenceTravels(t *testing.T) {
	Convey("What the calling node knows against a request reaches the gate, and the reverse", t, func() {
		bodies := httpc.NewBodies(1<<20, 1<<20)
		gate := &echoGate{}
		links, to := serve(t, NewReceiver(gate, msg.Names{Attempt: "X-Id", Workspace: "X-Workspace"}, func() []byte { return nil }), bodies)
		c := &call.Call{
			Attempt:   "a1",
			Service:   "quota",
			Workspace: "acme",
			Extra:     []byte("X-Workspace: acme\r\n"),
			Deadline:  time.Now().Add(10 * time.Second),
			Due:       time.Now().Add(time.Second),
			Request: &msg.Request{
				Method:  "POST",
				URI:     "/x?y=1",
				Host:    "h",
				Body:    body.Of([]byte("bad")),
				HasBody: true,
			},
		}
		for id := range crash.ID(3) {
			c.Evidence = append(c.Evidence, crash.Crash{
				ID:        id + 1<<63,
				AgeMillis: 1200,
				Ran:       40,
				Running:   []crash.Fingerprint{c.Fingerprint()},
			})
		}
		r := links.Send(context.Background(), to, c)
		So(gate.last.Fingerprint(), ShouldEqual, c.Fingerprint())
		So(gate.last.Evidence, ShouldResemble, c.Evidence)
		So(strings.ToLower(string(gate.last.Request.Fields)), ShouldNotContainSubstring, "fp-crash")
		So(r.Evidence, ShouldResemble, c.Evidence)
	})
	Convey("Malformed evidence is left out", t, func() {
		for _, text := range []string{"", "1", "x:1:1", "1:0:1", "1:1:-4", "1:1:1:1", "1:1:99999999999999999999"} {
			So(call.DecodeEvidence(text, 1), ShouldBeEmpty)
		}
		So(call.DecodeEvidence("1:1:1,,x,2:1:1", 1), ShouldHaveLength, 2)
		So(len(call.DecodeEvidence(strings.Repeat("1:1:1,", 100), 1)), ShouldBeLessThan, 10)
	})
}

// TestSilenceCastsDoubtOnOtherNodes guards against requests that are lost at one node after another, since the open
// connections to all of them have gone silent at the same moment.
func TestSilenceCastsDoubtOnOtherNodes(t *testing.T) {
	Convey("As one connection turns out to be silent, those to other nodes are replaced, unless they have answered since", t, func() {
		bodies := httpc.NewBodies(1<<20, 1<<20)
		links, one := serve(t, NewReceiver(nil, names, func() []byte { return []byte("7") }), bodies)
		_, two := serve(t, NewReceiver(nil, names, func() []byte { return []byte("7") }), bodies)
		fetch := func(to peers.Node) {
			_, err := links.client(&to).Do(context.Background(), &msg.Request{
				Method: "GET",
				URI:    RulesPath,
			}, nil)
			So(err, ShouldBeNil)
		}
		fetch(one)
		since := time.Now()
		fetch(two)
		links.closeUnproven(since)
		fetch(one)
		fetch(two)
		So(links.client(&one).Dials(), ShouldEqual, 2)
		So(links.client(&two).Dials(), ShouldEqual, 1)
	})
}
