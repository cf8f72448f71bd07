package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
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
