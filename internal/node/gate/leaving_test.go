package gate

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/node/call"
)

// TestWithdrawnCall guards against a request that is dropped without an answer when the node that took it
// stops: it waits at a gate until then, which does not refuse it.
func TestWithdrawnCall(t *testing.T) {
	Convey("A call that waits is refused when it is withdrawn, one that runs is answered", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		withdrawn, withdraw := context.WithCancel(context.Background())
		running, waiting, late := newCall("running"), newCall("waiting"), newCall("late")
		running.Withdrawn, waiting.Withdrawn, late.Withdrawn = withdrawn, withdrawn, withdrawn
		first := serveAll(context.Background(), g, running)
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		second := serveAll(context.Background(), g, waiting)
		So(eventually(func() bool { return g.State().Waiting == 1 }), ShouldBeTrue)
		withdraw()
		r := <-second
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.Leaving)
		So(r.Reached, ShouldBeFalse)
		r = g.Serve(context.Background(), late)
		So(r.Outcome, ShouldEqual, call.NotRun)
		So(r.Reason, ShouldEqual, call.Leaving)
		close(s.release)
		So((<-first).Outcome, ShouldEqual, call.Answered)
		So(s.read(func() int { return len(s.requests) }), ShouldEqual, 1)
		So(g.State().Waiting+g.State().Running, ShouldEqual, 0)
	})
}

// TestLeavingGateRefusesAtOnce guards against requests that wait at the gate of a node that stops, until it
// is too late for their callers to ask another node.
func TestLeavingGateRefusesAtOnce(t *testing.T) {
	Convey("The calls that wait are refused when the gate leaves, the one that runs is answered", t, func() {
		s := newServer(t, okResponse)
		g := newGate(s, 1)
		first := serveAll(context.Background(), g, newCall("running"))
		So(eventually(func() bool { return s.read(func() int { return s.running }) == 1 }), ShouldBeTrue)
		waiting := serveAll(context.Background(), g, newCall("a"), newCall("b"), newCall("c"))
		So(eventually(func() bool { return g.State().Waiting == 3 }), ShouldBeTrue)
		g.Leave()
		for range 3 {
			r := <-waiting
			So(r.Outcome, ShouldEqual, call.NotRun)
			So(r.Reason, ShouldEqual, call.Leaving)
		}
		close(s.release)
		So((<-first).Outcome, ShouldEqual, call.Answered)
		So(s.read(func() int { return len(s.requests) }), ShouldEqual, 1)
	})
}
