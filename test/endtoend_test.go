package test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/edge/wire"
	"fuchsiapier/lab/plan"
)

// TestEndToEnd guards against faults on the path of a single request: one that is lost,
// changed or run twice on its way through nested calls, a key that reaches a target, a route
// that needs a key and runs without one, and a node that does not exit on SIGTERM.
func TestEndToEnd(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2))
	Convey("Given a fleet of two failure domains", t, func() {
		Convey("a request with a key runs once, with all its nested calls, and its response is complete", func() {
			id := f.newID(0)
			resp := f.post("picker-one", "/landings/record", 0, id)
			t.Logf("%+v", resp)
			So(resp.Status, ShouldEqual, fasthttp.StatusOK)
			So(resp.Outcome, ShouldEqual, wire.Done)
			So(resp.Wrong, ShouldBeFalse)
			So(runsPerRequest(f.runs(), "/landings/record")[id], ShouldEqual, 1)
		})
		Convey("no target sees a key", func() {
			for _, r := range f.runs() {
				So(r.KeySeen, ShouldBeFalse)
			}
		})
		Convey("a request without a key runs only on an open route", func() {
			resp := f.get("", "/quota/check", 0)
			So(resp.Reason, ShouldEqual, wire.ReasonNoKey)
			So(resp.Outcome, ShouldEqual, wire.NotRun)
			So(f.get("", "/tide/windows", 0).Status, ShouldEqual, fasthttp.StatusOK)
		})
		Convey("every node exits without an error on SIGTERM", func() {
			for i := range f.plan.VMs {
				So(f.terminate(f.nodeName(i)), ShouldBeNil)
			}
		})
	})
}
