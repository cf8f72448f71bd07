package entry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

var testProfile = profile{
	objective: 300 * time.Millisecond,
	bytes:     6000,
}

func noNode(string) bool { return false }

// nodeWithLoad returns the record of a node that gossips the given load: service and
// wait are in milliseconds.
func nodeWithLoad(name, domain, region string, service, wait uint16, failPercent uint8) peers.Node {
	n := node(name, domain, region)
	n.ServiceMillis = service
	n.WaitMillis = wait
	n.FailPercent = failPercent
	return n
}

func bestOf(p *picker, nodes ...peers.Node) string {
	n, _ := p.best(time.Now(), nodes, testProfile, noNode, noNode)
	return n.Name
}

// TestOverloadedDomainSpillsOver guards against requests that are late in a domain with
// too few or slow targets while other domains have free capacity, and against traffic
// between domains that gains nothing.
func TestOverloadedDomainSpillsOver(t *testing.T) {
	Convey("The local domain is preferred while it responds in time, then the same region, then any", t, func() {
		p := newPicker("self", "d1", "r1")
		near := nodeWithLoad("near", "d2", "r1", 20, 0, 0)
		far := nodeWithLoad("far", "d3", "r2", 20, 0, 0)
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 40, 60, 0), near, far), ShouldEqual, "home")
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 40, 200, 0), near, far), ShouldEqual, "near")
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 40, 400, 0), nodeWithLoad("near", "d2", "r1", 40, 400, 0), far), ShouldEqual, "far")
	})
	Convey("Where all domains are overloaded alike, requests stay in the local domain", t, func() {
		p := newPicker("self", "d1", "r1")
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 90, 400, 0), nodeWithLoad("near", "d2", "r1", 90, 350, 0)), ShouldEqual, "home")
	})
}

// TestSmallResponsesCrossDomainsSooner guards against a cost of traffic between domains
// that does not depend on the bytes, which are what is billed.
func TestSmallResponsesCrossDomainsSooner(t *testing.T) {
	Convey("A small request leaves an overloaded domain for a smaller gain than a large one", t, func() {
		p := newPicker("self", "d1", "r1")
		nodes := []peers.Node{nodeWithLoad("home", "d1", "r1", 40, 135, 0), nodeWithLoad("near", "d2", "r1", 40, 0, 0)}
		So(bestOf(p, nodes...), ShouldEqual, "home")
		small := profile{
			objective: 300 * time.Millisecond,
			bytes:     600,
		}
		n, _ := p.best(time.Now(), nodes, small, noNode, noNode)
		So(n.Name, ShouldEqual, "near")
	})
}

// TestSlowTargetIsAvoided guards against requests that keep going to a target that
// fails, times out or cannot be reached, and against avoiding targets for failures of
// the services that they call.
func TestSlowTargetIsAvoided(t *testing.T) {
	Convey("A target of the local domain that times out is avoided in favour of one in another region", t, func() {
		p := newPicker("self", "d1", "r1")
		home := nodeWithLoad("home", "d1", "r1", 80, 0, 0)
		far := nodeWithLoad("far", "d3", "r2", 20, 0, 0)
		So(bestOf(p, home, far), ShouldEqual, "home")
		timedOut := call.Result{
			Outcome: call.Answered,
			Answer:  msg.Plain(fasthttp.StatusGatewayTimeout, ""),
		}
		for range 5 {
			p.begin(&home)
			p.end(time.Now(), &home, classify(timedOut), 300*time.Millisecond, timedOut)
		}
		So(bestOf(p, home, far), ShouldEqual, "far")
	})
	Convey("A target is avoided for the failure rate that its node gossips, before any attempt", t, func() {
		p := newPicker("self", "d1", "r1")
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 80, 0, 60), nodeWithLoad("near", "d2", "r1", 20, 0, 0)), ShouldEqual, "near")
	})
	Convey("Where all targets fail alike, requests stay in the local domain", t, func() {
		p := newPicker("self", "d1", "r1")
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 80, 0, 45), nodeWithLoad("near", "d2", "r1", 80, 0, 30), nodeWithLoad("far", "d3", "r2", 80, 0, 40)), ShouldEqual, "home")
		So(bestOf(p, nodeWithLoad("home", "d1", "r1", 80, 0, 45), nodeWithLoad("near", "d2", "r1", 80, 0, 3), nodeWithLoad("far", "d3", "r2", 80, 0, 2)), ShouldEqual, "near")
	})
	Convey("An unreachable node is used only where no other is left", t, func() {
		p := newPicker("self", "d1", "r1")
		home := nodeWithLoad("home", "d1", "r1", 20, 0, 0)
		refused := call.Result{
			Outcome: call.NotRun,
			Reason:  call.Unreachable,
		}
		p.begin(&home)
		p.end(time.Now(), &home, classify(refused), 0, refused)
		So(bestOf(p, home, nodeWithLoad("far", "d3", "r2", 20, 300, 0)), ShouldEqual, "far")
		So(bestOf(p, home), ShouldEqual, "home")
	})
}

// TestSuspectNodeIsLastResort guards against requests that go to a partitioned or frozen
// node before it is declared dead, and against a service that has no node left to try.
func TestSuspectNodeIsLastResort(t *testing.T) {
	Convey("A node whose heartbeats are overdue is used only where no other is left", t, func() {
		p := newPicker("self", "d1", "r1")
		home, far := nodeWithLoad("home", "d1", "r1", 20, 0, 0), nodeWithLoad("far", "d3", "r2", 20, 300, 0)
		suspect := func(name string) bool { return name == "home" }
		n, _ := p.best(time.Now(), []peers.Node{home, far}, testProfile, suspect, noNode)
		So(n.Name, ShouldEqual, "far")
		n, _ = p.best(time.Now(), []peers.Node{home}, testProfile, suspect, noNode)
		So(n.Name, ShouldEqual, "home")
	})
}

// TestQueueingTimeIsNotCountedTwice guards against a burst that makes a target look slow
// after its queue is empty, since the cost adds the queueing time to the service time.
func TestQueueingTimeIsNotCountedTwice(t *testing.T) {
	Convey("The queueing time at the gate is not part of the mean service time", t, func() {
		p := newPicker("self", "d1", "r1")
		home := nodeWithLoad("home", "d1", "r1", 0, 0, 0)
		answer := call.Result{
			Outcome: call.Answered,
			Answer:  msg.Plain(fasthttp.StatusOK, ""),
			Queued:  200 * time.Millisecond,
		}
		p.begin(&home)
		p.end(time.Now(), &home, classify(answer), 230*time.Millisecond, answer)
		So(p.mean(&home), ShouldEqual, 30*time.Millisecond)
	})
}

// TestCancelledCallSaysNothingOfLoad guards against a node that looks idle because a call to
// it was cancelled, or its response lost, so that no load came back.
func TestCancelledCallSaysNothingOfLoad(t *testing.T) {
	Convey("The last reported queueing time stays after a result without one", t, func() {
		p := newPicker("self", "d1", "r1")
		busy := nodeWithLoad("busy", "d1", "r1", 40, 0, 0)
		idle := nodeWithLoad("idle", "d1", "r1", 40, 20, 0)
		p.begin(&busy)
		p.end(time.Now(), &busy, neutral, 0, call.Result{
			Outcome:   call.NotRun,
			Reason:    call.Busy,
			Wait:      300 * time.Millisecond,
			LoadKnown: true,
		})
		So(bestOf(p, busy, idle), ShouldEqual, "idle")
		p.begin(&busy)
		p.end(time.Now(), &busy, neutral, 0, call.Result{
			Outcome: call.Gone,
			Reason:  call.CallerGone,
			Reached: true,
		})
		So(bestOf(p, busy, idle), ShouldEqual, "idle")
	})
}

// TestManyTargetsOnRecord guards against measurements of the target in use that are dropped
// because too many others are on record.
func TestManyTargetsOnRecord(t *testing.T) {
	Convey("Beyond the bound the records of other targets are dropped, not that of the new one", t, func() {
		p := newPicker("self", "d1", "r1")
		for i := range maxTargets {
			n := nodeWithLoad(fmt.Sprintf("n%d", i), "d1", "r1", 0, 0, 0)
			p.mu.Lock()
			p.targetStats(&n)
			p.mu.Unlock()
		}
		last := nodeWithLoad("last", "d1", "r1", 0, 0, 0)
		p.begin(&last)
		So(len(p.targets), ShouldBeLessThan, maxTargets)
		key := targetKey{
			node: "last",
		}
		So(p.targets[key], ShouldNotBeNil)
		So(p.targets[key].inFlight, ShouldEqual, 1)
	})
}

// TestLeavingTargetIsNotPicked guards against calls to a target that has said that it leaves,
// where the node beside it has forgotten that in a restart and reports the target as open.
func TestLeavingTargetIsNotPicked(t *testing.T) {
	Convey("Given a node whose target has said in a response that it leaves", t, func() {
		p := newPicker("self", "d1", "r1")
		leaving := nodeWithLoad("a", "d1", "r1", 20, 0, 0)
		leaving.TargetID, leaving.TargetStartedAt = "t1", 100
		far := nodeWithLoad("far", "d3", "r2", 400, 400, 50)
		So(bestOf(p, leaving, far), ShouldEqual, "a")
		p.begin(&leaving)
		p.end(time.Now(), &leaving, answered, time.Millisecond, call.Result{TargetLeaving: true})
		Convey("it is not picked, also after other responses, a restart of its node and with many targets on record", func() {
			p.begin(&leaving)
			p.end(time.Now(), &leaving, answered, time.Millisecond, call.Result{})
			restarted := leaving
			restarted.Incarnation++
			for i := range maxTargets {
				n := nodeWithLoad(fmt.Sprintf("n%d", i), "d1", "r1", 0, 0, 0)
				p.begin(&n)
				p.end(time.Now(), &n, neutral, 0, call.Result{})
			}
			So(bestOf(p, restarted, far), ShouldEqual, "far")
			So(bestOf(p, restarted), ShouldBeEmpty)
		})
		Convey("its next start is picked", func() {
			next := leaving
			next.TargetStartedAt = 200
			So(bestOf(p, next, far), ShouldEqual, "a")
		})
	})
}
