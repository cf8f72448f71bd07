package entry

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

// heldCalls are calls that wait at a gate, or run, until they are released.
type heldCalls struct {
	arrived chan struct{}
	release chan struct{}
}

func newHeldCalls() heldCalls {
	return heldCalls{
		arrived: make(chan struct{}, 10),
		release: make(chan struct{}),
	}
}

// wait holds a call as a gate does that has not sent it: until it is withdrawn.
func (h heldCalls) wait(c *call.Call) call.Result {
	h.arrived <- struct{}{}
	<-c.WithdrawnDone()
	return notRun(call.Leaving)
}

// run holds a call as a target does.
func (h heldCalls) run(*call.Call) call.Result {
	h.arrived <- struct{}{}
	<-h.release
	return respondWith(http.StatusOK)(nil)
}

// TestStoppingNodeRefusesWhatWaits guards against requests that no target was offered and that end without
// an answer when the node stops.
func TestStoppingNodeRefusesWhatWaits(t *testing.T) {
	responses := func(f *fakeFleet, path string, h heldCalls) chan *msg.Response {
		out := make(chan *msg.Response, 1)
		go func() { out <- f.get(path, "secret") }()
		<-h.arrived
		return out
	}
	for _, path := range []string{"/safe/1", "/once/1"} {
		Convey("A request that waits at a gate is refused as not run, and its token goes back: "+path, t, func() {
			f, h := newFakeFleet(), newHeldCalls()
			f.handlers["home"], f.handlers["n1"] = h.wait, h.wait
			out := responses(f, path, h)
			f.entry.RefuseUnsent()
			r := <-out
			So(r.Status, ShouldEqual, http.StatusServiceUnavailable)
			So(retryAfter(r), ShouldBeGreaterThan, 0)
			So(f.attempts(), ShouldHaveLength, 1)
			So(f.paid, ShouldEqual, 0)
		})
		Convey("A request that runs is answered, and a later one is refused without being sent: "+path, t, func() {
			f, h := newFakeFleet(), newHeldCalls()
			f.handlers["home"] = h.run
			out := responses(f, path, h)
			f.entry.RefuseUnsent()
			r := f.get(path, "secret")
			So(r.Status, ShouldEqual, http.StatusServiceUnavailable)
			So(f.attempts(), ShouldHaveLength, 1)
			close(h.release)
			So((<-out).Status, ShouldEqual, http.StatusOK)
		})
		Convey("A request that still runs in the end gets an answer that promises nothing: "+path, t, func() {
			f, h := newFakeFleet(), newHeldCalls()
			f.handlers["home"] = h.run
			out := responses(f, path, h)
			f.entry.Close()
			So((<-out).Status, ShouldEqual, http.StatusBadGateway)
			close(h.release)
		})
	}
	Convey("A request whose response was lost is not refused as not run", t, func() {
		f, h := newFakeFleet(), newHeldCalls()
		for _, n := range []string{"home", "n1"} {
			f.handlers[n] = func(c *call.Call) call.Result {
				if len(f.attempts()) == 1 {
					return loseResponse(c)
				}
				return h.wait(c)
			}
		}
		out := make(chan *msg.Response, 1)
		go func() { out <- f.get("/safe/1", "secret") }()
		<-h.arrived
		f.entry.RefuseUnsent()
		So((<-out).Status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("The calls of an entry are withdrawn together", t, func() {
		f := newFakeFleet()
		var withdrawn context.Context
		f.handlers["home"] = func(c *call.Call) call.Result {
			withdrawn = c.Withdrawn
			return respondWith(http.StatusOK)(c)
		}
		f.get("/safe/1", "secret")
		So(withdrawn.Err(), ShouldBeNil)
		f.entry.RefuseUnsent()
		So(withdrawn.Err(), ShouldNotBeNil)
	})
}
