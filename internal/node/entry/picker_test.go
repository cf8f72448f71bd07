package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

var wantOfTests = want{
	objective: 300 * time.Millisecond,
	bytes:     6000,
}

func nobody(string) bool { return false }

// told is a node whose gate tells the given load.
func told(name, domain, region string, service, wait uint16, failPercent uint8) peers.Node {
	n := node(name, domain, region)
	n.ServiceMillis = service
	n.WaitMillis = wait
	n.FailPercent = failPercent
	return n
}

func pick(p *picker, nodes ...peers.Node) string {
	n, _ := p.best(time.Now(), nodes, wantOfTests, nobody, nobody)
	return n.Name
}

func TestOverloadedDomainSpills(t *testing.T) {
	Convey("Uneven servers: the own domain serves while it is in time, and spills when it is not", t, func() {
		p := newPicker("self", "d1", "r1")
		near := told("near", "d2", "r1", 20, 0, 0)
		far := told("far", "d3", "r2", 20, 0, 0)
		So(pick(p, told("home", "d1", "r1", 40, 60, 0), near, far), ShouldEqual, "home")
		So(pick(p, told("home", "d1", "r1", 40, 200, 0), near, far), ShouldEqual, "near")
		So(pick(p, told("home", "d1", "r1", 40, 400, 0), told("near", "d2", "r1", 40, 400, 0), far), ShouldEqual, "far")
	})
	Convey("All domains overloaded alike: nothing crosses", t, func() {
		p := newPicker("self", "d1", "r1")
		So(pick(p, told("home", "d1", "r1", 90, 400, 0), told("near", "d2", "r1", 90, 350, 0)), ShouldEqual, "home")
	})
}

func TestSmallAnswersCrossSooner(t *testing.T) {
	Convey("A short call leaves an overloaded domain for a smaller gain than a large answer", t, func() {
		p := newPicker("self", "d1", "r1")
		nodes := []peers.Node{told("home", "d1", "r1", 40, 135, 0), told("near", "d2", "r1", 40, 0, 0)}
		So(pick(p, nodes...), ShouldEqual, "home")
		small := want{
			objective: 300 * time.Millisecond,
			bytes:     600,
		}
		n, _ := p.best(time.Now(), nodes, small, nobody, nobody)
		So(n.Name, ShouldEqual, "near")
	})
}

func TestSlowServerIsAvoided(t *testing.T) {
	Convey("Servers turn slow: a home target that misses its deadlines is left before a faster one far away", t, func() {
		p := newPicker("self", "d1", "r1")
		home := told("home", "d1", "r1", 80, 0, 0)
		far := told("far", "d3", "r2", 20, 0, 0)
		So(pick(p, home, far), ShouldEqual, "home")
		timedOut := call.Result{
			Outcome: call.Answered,
			Answer:  msg.Plain(fasthttp.StatusGatewayTimeout, ""),
		}
		for range 5 {
			p.begin(&home)
			p.end(time.Now(), &home, judgeNode(timedOut), 300*time.Millisecond, timedOut)
		}
		So(pick(p, home, far), ShouldEqual, "far")
	})
	Convey("What the target's own gate tells of its failures counts without trying", t, func() {
		p := newPicker("self", "d1", "r1")
		So(pick(p, told("home", "d1", "r1", 80, 0, 60), told("near", "d2", "r1", 20, 0, 0)), ShouldEqual, "near")
	})
	Convey("Deep failures: targets that all fail alike keep their own domain's requests", t, func() {
		p := newPicker("self", "d1", "r1")
		So(pick(p, told("home", "d1", "r1", 80, 0, 45), told("near", "d2", "r1", 80, 0, 30), told("far", "d3", "r2", 80, 0, 40)), ShouldEqual, "home")
		So(pick(p, told("home", "d1", "r1", 80, 0, 45), told("near", "d2", "r1", 80, 0, 3), told("far", "d3", "r2", 80, 0, 2)), ShouldEqual, "near")
	})
	Convey("An unreachable node is the last choice, and no more than that", t, func() {
		p := newPicker("self", "d1", "r1")
		home := told("home", "d1", "r1", 20, 0, 0)
		gone := call.Result{
			Outcome: call.NotRun,
			Reason:  call.Unreachable,
		}
		p.begin(&home)
		p.end(time.Now(), &home, judgeNode(gone), 0, gone)
		So(pick(p, home, told("far", "d3", "r2", 20, 300, 0)), ShouldEqual, "far")
		So(pick(p, home), ShouldEqual, "home")
	})
}

func TestSilentNodeIsTheLastChoice(t *testing.T) {
	Convey("Nodes cut off or frozen: one whose beats are overdue is asked only if no other can serve", t, func() {
		p := newPicker("self", "d1", "r1")
		home, far := told("home", "d1", "r1", 20, 0, 0), told("far", "d3", "r2", 20, 300, 0)
		silent := func(name string) bool { return name == "home" }
		n, _ := p.best(time.Now(), []peers.Node{home, far}, wantOfTests, silent, nobody)
		So(n.Name, ShouldEqual, "far")
		n, _ = p.best(time.Now(), []peers.Node{home}, wantOfTests, silent, nobody)
		So(n.Name, ShouldEqual, "home")
	})
}

func TestWaitIsNotCountedTwice(t *testing.T) {
	Convey("Bursts: the time a request waited at a gate is not part of the target's mean", t, func() {
		p := newPicker("self", "d1", "r1")
		home := told("home", "d1", "r1", 0, 0, 0)
		answer := call.Result{
			Outcome: call.Answered,
			Answer:  msg.Plain(fasthttp.StatusOK, ""),
			Queued:  200 * time.Millisecond,
		}
		p.begin(&home)
		p.end(time.Now(), &home, judgeNode(answer), 230*time.Millisecond, answer)
		So(p.mean(&home), ShouldEqual, 30*time.Millisecond)
	})
}
