package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/graph"
	"fuchsiapier/internal/mesh/peers"
)

// crowd adds a deep service, called four times by each request, with the given wait.
func (w *world) crowd(waitMillis uint16) {
	w.mu.Lock()
	defer w.mu.Unlock()
	deep := node("deep", "d1", "r1")
	deep.Service = "inspect"
	deep.WaitMillis = waitMillis
	front := node("home", "d1", "r1")
	front.Calls = []graph.Edge{{Service: "inspect", PerCent: 400, TurnedPerMille: 60}}
	w.view = peers.NewView(front, []peers.Node{deep})
}

func TestOverloadIsRefusedAtTheEntry(t *testing.T) {
	Convey("Power back: a path that is too crowded refuses at once, before any target works, with when to come back", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(200)
		w.crowd(150)
		resp := w.ask("/safe/1", "secret")
		So(resp.Status, ShouldEqual, 503)
		So(retryAfter(resp), ShouldBeBetween, 0.6, 1)
		So(w.targets(), ShouldBeEmpty)
		So(w.returned, ShouldEqual, 1)
	})
	Convey("Calls of requests that run already enter", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(200)
		w.crowd(150)
		So(w.ask("/public/1", "").Status, ShouldEqual, 200)
		So(w.returned, ShouldEqual, 0)
	})
	Convey("Short waits refuse nobody", t, func() {
		w := newWorld()
		w.scripts["home"] = answers(200)
		w.crowd(10)
		for range 50 {
			So(w.ask("/safe/1", "secret").Status, ShouldEqual, 200)
		}
	})
}
