package test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/lab/store"
)

// departs withdraws the VM's server, which goes on reporting that it is ready, and waits for the
// confirmation.
func (v *vm) departs() {
	v.cluster.t.Helper()
	v.cluster.waitFor("the departure is confirmed", func() bool {
		return v.callControl(http.MethodDelete, "i-"+v.name, "") == http.StatusOK
	})
}

// servedWithout reports whether requests are served at all the given VMs, none of them by the server of
// the first VM.
func (v *vm) servedWithout(others ...*vm) bool {
	v.cluster.t.Helper()
	for _, o := range append(others, v) {
		v.cluster.waitFor("the node is back", o.ready)
		v.cluster.waitFor("the whole path works", func() bool { return o.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
	}
	before := len(v.server.Runs())
	for range 30 {
		for _, o := range append(others, v) {
			if o.requestStatus(http.MethodGet, "/safe/", "key-1") != http.StatusOK {
				return false
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return len(v.server.Runs()) == before
}

// TestServeDepartureOutlivesKills guards against a server whose leaving was confirmed and that gets
// requests again, because the confirmation rested on the memory of the node, or of its failure
// domain, and the processes there were killed right after it.
func TestServeDepartureOutlivesKills(t *testing.T) {
	Convey("While the store takes nothing, the confirmation rests on nodes of the other failure domain", t, func() {
		for _, fault := range []store.Fault{store.Unavailable, store.NoResponse} {
			c := newCluster(t)
			v, neighbor := c.vms[0], c.vms[1]
			c.store.SetFault(fault)
			v.departs()
			v.kill()
			neighbor.kill()
			v.startNode()
			neighbor.startNode()
			time.Sleep(500 * time.Millisecond)
			c.store.SetFault(store.NoFault)
			So(v.servedWithout(c.vms[1:]...), ShouldBeTrue)
		}
	})
	Convey("The restarted node stores what it recalls, so that a restart of all nodes forgets nothing", t, func() {
		c := newCluster(t)
		v := c.vms[0]
		c.store.SetFault(store.Unavailable)
		v.departs()
		v.kill()
		v.startNode()
		c.store.SetFault(store.NoFault)
		v.waitForStoredWithdrawal()
		for _, o := range c.vms {
			o.kill()
		}
		for _, o := range c.vms {
			o.startNode()
		}
		So(v.servedWithout(c.vms[1:]...), ShouldBeTrue)
	})
	Convey("A node that reaches neither store nor another failure domain confirms nothing", t, func() {
		c := newCluster(t)
		v := c.vms[0]
		c.store.SetFault(store.Unavailable)
		c.vms[2].kill()
		c.vms[3].kill()
		So(v.callControl(http.MethodDelete, "i-"+v.name, ""), ShouldEqual, http.StatusServiceUnavailable)
		c.store.SetFault(store.NoFault)
		v.departs()
	})
}

// TestServeDepartureOutlivesDrill guards against a server whose leaving was confirmed and that gets
// requests again, because the store alone held it, which came back from an older copy while the node
// of the server was away.
func TestServeDepartureOutlivesDrill(t *testing.T) {
	Convey("A departure that the store has taken and lost is still known after a restart of the node", t, func() {
		c := newCluster(t)
		v := c.vms[0]
		before := c.store.Copy()
		v.departs()
		c.store.SetFault(store.Unavailable)
		v.kill()
		c.store.Restore(before)
		v.startNode()
		c.store.SetFault(store.NoFault)
		So(v.servedWithout(c.vms[1:]...), ShouldBeTrue)
	})
}

// isUsed reports whether the VM's server gets requests that other nodes send.
func (v *vm) isUsed() bool {
	v.cluster.t.Helper()
	before := len(v.server.Runs())
	for range 8 {
		for _, o := range v.cluster.vms {
			o.requestStatus(http.MethodGet, "/safe/", "key-1")
		}
	}
	return len(v.server.Runs()) > before
}

// TestServeServerAfterClockStep guards against a server that gets no requests, or goes on getting them
// after its draining was confirmed, because the time of day was set back between two of its starts.
func TestServeServerAfterClockStep(t *testing.T) {
	const ahead = 3 * time.Second
	for _, id := range []string{"i-vm-0", "i-another"} {
		Convey("The server that starts with the right time of day is used, until it drains, as "+id, t, func() {
			c := newCluster(t)
			v := c.vms[0]
			v.stopServer()
			v.startServerAs("i-vm-0", ahead)
			c.waitFor("the first start is used", v.isUsed)
			v.stopServer()
			v.startServerAs(id, 0)
			c.waitFor("the second start is used", v.isUsed)
			v.server.Drain()
			time.Sleep(500 * time.Millisecond)
			So(v.isUsed(), ShouldBeFalse)
		})
	}
}
