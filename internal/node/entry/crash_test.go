package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/call"
)

// crashTarget returns a handler of a gate whose target crashes, and that tells the evidence of it. All
// calls that it gets are added to calls.
func crashTarget(id crash.ID, calls *[]*call.Call) func(c *call.Call) call.Result {
	return func(c *call.Call) call.Result {
		*calls = append(*calls, c)
		r := loseResponse(c)
		r.Evidence = []crash.Crash{{
			ID:      id,
			Ran:     1,
			Running: []crash.Fingerprint{c.Fingerprint()},
		}}
		return r
	}
}

// TestCrashingRequestAtTheEntry guards against a request that the entry sends on although it has seen, by the results of
// its own attempts, that it crashes targets: the word from the nodes beside them may come later.
func TestCrashingRequestAtTheEntry(t *testing.T) {
	Convey("Given targets that crash under a request", t, func() {
		f := newFakeFleet()
		var calls []*call.Call
		f.handlers["home"] = crashTarget(1, &calls)
		f.handlers["other"] = crashTarget(2, &calls)
		Convey("the second attempt tells the gate of the first crash", func() {
			So(f.get("/safe/1", "secret").Status, ShouldEqual, 502)
			So(calls, ShouldHaveLength, 2)
			So(calls[0].Evidence, ShouldBeEmpty)
			So(calls[1].Evidence, ShouldHaveLength, 1)
			standing, _ := f.crashes.Lookup(calls[0].Fingerprint())
			So(standing, ShouldEqual, crash.Suspected)
		})
		Convey("after the third crash it is refused at once as not run, and its token is given back", func() {
			f.get("/safe/1", "secret")
			f.handlers["home"] = crashTarget(3, &calls)
			f.handlers["other"] = crashTarget(4, &calls)
			So(f.get("/safe/1", "secret").Status, ShouldEqual, 502)
			So(calls, ShouldHaveLength, 3)
			paid := f.paid
			resp := f.get("/safe/1", "secret")
			So(resp.Status, ShouldEqual, 503)
			So(retryAfter(resp), ShouldBeGreaterThan, 0)
			So(calls, ShouldHaveLength, 3)
			So(f.paid, ShouldEqual, paid)
		})
		Convey("another request of the same workspace is served", func() {
			f.get("/safe/1", "secret")
			f.handlers["home"] = respondWith(200)
			f.handlers["other"] = respondWith(200)
			So(f.get("/safe/2", "secret").Status, ShouldEqual, 200)
		})
	})
}

// TestSuspectedRequestsMeetAtOneTarget guards against a suspected request that comes in at several nodes at once, and
// gets an exclusive run, and perhaps a crash, at a target of each of them.
func TestSuspectedRequestsMeetAtOneTarget(t *testing.T) {
	never := func(string) bool { return false }
	Convey("All nodes send a suspected request to the same target, and the next one if that refuses it", t, func() {
		targets := []peers.Node{node("a", "d1", "r1"), node("b", "d1", "r1"), node("c", "d2", "r1"), node("e", "d3", "r2")}
		chosen, second := map[string]bool{}, map[string]bool{}
		for _, from := range targets {
			p := newPicker(from.Name, from.Domain, from.Region)
			first, ok := p.trial(time.Now(), targets, 7, never, never)
			So(ok, ShouldBeTrue)
			chosen[first.Name] = true
			next, ok := p.trial(time.Now(), targets, 7, never, func(name string) bool { return name == first.Name })
			So(ok, ShouldBeTrue)
			second[next.Name] = true
		}
		So(chosen, ShouldHaveLength, 1)
		So(second, ShouldHaveLength, 1)
		spread := map[string]bool{}
		for f := range crash.Fingerprint(50) {
			first, _ := newPicker("a", "d1", "r1").trial(time.Now(), targets, f, never, never)
			spread[first.Name] = true
		}
		So(spread, ShouldHaveLength, len(targets))
	})
	Convey("The entry sends a suspected request there, also where another target is nearer", t, func() {
		f := newFakeFleet()
		var last *call.Call
		for _, name := range []string{"home", "other", "third"} {
			f.handlers[name] = func(c *call.Call) call.Result {
				last = c
				return respondWith(200)(c)
			}
		}
		f.get("/safe/1", "secret")
		suspected := last.Fingerprint()
		for id := range crash.ID(2) {
			f.crashes.Learn("third", []crash.Crash{{ID: id + 1, Ran: 4, Running: []crash.Fingerprint{suspected}}})
		}
		want, _ := f.entry.picker.trial(time.Now(), f.View().Targets("quota"), suspected, never, never)
		for range 5 {
			So(f.get("/safe/1", "secret").Status, ShouldEqual, 200)
		}
		for _, name := range f.attempts()[1:] {
			So(name, ShouldEqual, want.Name)
		}
	})
}
