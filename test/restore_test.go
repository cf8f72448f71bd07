package test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestServeNewNodeAfterRestore guards against a new node that finds no other: the store was restored
// from a copy without the records of the nodes, and these have written theirs only once.
func TestServeNewNodeAfterRestore(t *testing.T) {
	Convey("A node that starts after a restore of the store finds the others, and they find it", t, func() {
		c := newCluster(t)
		c.waitForFleet()
		c.store.Restore(c.initial)
		v := c.addVM()
		for _, o := range c.vms {
			c.waitFor("all nodes are shown", func() bool { return o.showsFleet(len(c.vms), 1) })
		}
		c.waitFor("the whole path works", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
	})
}

// TestServeLeftServerAfterRestore guards against a server that has left and gets requests again
// after a restart of its node: the store was restored from a copy without the withdrawal.
func TestServeLeftServerAfterRestore(t *testing.T) {
	Convey("A withdrawal that a restore of the store has lost is stored again, also if an earlier process of the node has stored it", t, func() {
		c := newCluster(t)
		v := c.vms[0]
		v.withdrawServer()
		c.store.Restore(c.initial)
		v.waitForStoredWithdrawal()
		So(v.staysOutAfterRestart(), ShouldBeTrue)
		c.store.Restore(c.initial)
		v.waitForStoredWithdrawal()
		So(v.staysOutAfterRestart(), ShouldBeTrue)
	})
}

// TestServeStartAfterRestore guards against a node that serves with an older configuration than the
// others have: it starts while the store, restored from a copy, holds that one only, in which a
// withdrawn key is still valid.
func TestServeStartAfterRestore(t *testing.T) {
	Convey("A node that starts while the store holds an older configuration serves with that of its peers from the first request on", t, func() {
		c := newCluster(t)
		c.waitForFleet()
		c.configure(2, "key-2")
		for _, v := range c.vms {
			c.waitFor("key is withdrawn", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusUnauthorized })
		}
		c.store.Restore(c.initial)
		v := c.vms[0]
		v.kill()
		v.startNode()
		accepted := 0
		c.waitFor("the node has the configuration of its peers", func() bool {
			status := v.requestStatus(http.MethodGet, "/safe/", "key-1")
			if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusUnauthorized {
				accepted++
			}
			return status == http.StatusUnauthorized
		})
		So(accepted, ShouldEqual, 0)
		c.waitFor("node serves", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-2") == http.StatusOK })
	})
}
