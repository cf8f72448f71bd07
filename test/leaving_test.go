package test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/lab/backend"
	"fuchsiapier/lab/store"
)

const (
	// drainTime is the time after a server's first response that says that it leaves, from
	// which on it must get no requests.
	drainTime = 2500 * time.Millisecond
	// quietTime is how long no request may reach the server after that.
	quietTime = 2 * time.Second
)

// arrivalsAfter counts the requests that reached a server after the given time.
func arrivalsAfter(runs []backend.Run, from time.Time) int {
	n := 0
	for _, r := range runs {
		if r.At.After(from) {
			n++
		}
	}
	return n
}

// TestServeLeavingTarget guards against new requests to a server that says in its responses that
// it is about to stop, while its reports still say that it is ready, as they do where they
// are late.
func TestServeLeavingTarget(t *testing.T) {
	Convey("A server that leaves by its responses gets no new requests, whatever its reports say", t, func() {
		c := newCluster(t)
		c.waitForFleet()
		stop := loadThrough(c.vms, 2)
		v := c.vms[1]
		v.server.NameLeaving()
		from := time.Now().Add(drainTime)
		time.Sleep(drainTime + quietTime)
		stop()
		So(arrivalsAfter(v.server.Runs(), from), ShouldEqual, 0)
		So(arrivalsAfter(c.vms[3].server.Runs(), from), ShouldBeGreaterThan, 0)
	})
}

// TestServeLeavingTargetAfterRestart guards against requests of other nodes to a server that is
// leaving after a restart of the node beside it, which can't learn of it from the
// platform's store.
func TestServeLeavingTargetAfterRestart(t *testing.T) {
	Convey("Nodes that know that a server leaves send it nothing after a restart of its node", t, func() {
		c := newCluster(t)
		c.waitForFleet()
		v := c.vms[1]
		stop := loadThrough(c.vms, 2)
		v.server.NameLeaving()
		time.Sleep(drainTime)
		stop()
		c.store.SetFault(store.Unavailable)
		v.kill()
		v.startNode()
		c.waitFor("the node is back", v.ready)
		from := time.Now()
		stop = loadThrough([]*vm{c.vms[0], c.vms[2], c.vms[3]}, 2)
		time.Sleep(quietTime)
		stop()
		So(arrivalsAfter(v.server.Runs(), from), ShouldEqual, 0)
		So(arrivalsAfter(c.vms[3].server.Runs(), from), ShouldBeGreaterThan, 0)
	})
}
