package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/platform"
)

// maxCrashes is how many servers a request may crash until it is refused everywhere.
const maxCrashes = 3

// restartCrashed starts the servers again that a request has crashed, and returns how many
// these were.
func (c *cluster) restartCrashed() (crashed int) {
	for _, v := range c.vms {
		select {
		case <-v.server.Crashed():
			crashed++
			v.startServer()
		default:
		}
	}
	return crashed
}

// sendCrashing sends the request that crashes servers at a VM and returns the status and body of
// the response, and the servers that it has crashed, which run again.
func (c *cluster) sendCrashing(v *vm) (status int, body string, crashed int) {
	id := fmt.Sprintf("x%d", c.nextID.Add(1))
	status, body, _ = v.sendBody(http.MethodPost, "/once/crashing", "key-1", id, crashBody)
	// The connection to the caller may be closed before the server has recorded its crash.
	time.Sleep(20 * time.Millisecond)
	crashed = c.restartCrashed()
	for _, o := range c.vms {
		c.waitFor("server is used again", func() bool { return o.requestStatus(http.MethodPost, "/once/", "key-2") == http.StatusOK })
	}
	return status, body, crashed
}

// TestServeCrashingRequestAtAllNodes guards against a request that crashes each server which runs it, and
// that comes again beside servers of other services and in other failure domains: each of them
// would lose servers of its own before the request is refused.
func TestServeCrashingRequestAtAllNodes(t *testing.T) {
	c := newClusterOf(t, 2)
	Convey("A request that crashes its servers is refused at all nodes after a few crashes", t, func() {
		crashes, refused := 0, 0
		for i := range 3 * len(c.vms) {
			v := c.vms[(i*3+i/len(c.vms))%len(c.vms)]
			status, body, crashed := c.sendCrashing(v)
			crashes += crashed
			if status == http.StatusServiceUnavailable && strings.Contains(body, "crashes-targets") {
				refused++
			}
		}
		t.Logf("%d servers crashed, %d arrivals refused", crashes, refused)
		So(crashes, ShouldBeLessThanOrEqualTo, maxCrashes)
		So(refused, ShouldBeGreaterThanOrEqualTo, 3*len(c.vms)-maxCrashes)
	})
}

// hasStoredCrashes reports whether a node has stored what it knows of crashes.
func (c *cluster) hasStoredCrashes() bool {
	for _, v := range c.vms {
		if c.store.Newest(platform.StoreTopics.Nodes, "crashes/"+v.name) != nil {
			return true
		}
	}
	return false
}

// TestServeCrashingRequestAfterRestart guards against a request that crashes servers anew since all nodes, which
// alone knew of it, were restarted at the same time.
func TestServeCrashingRequestAfterRestart(t *testing.T) {
	c := newClusterOf(t, 2)
	Convey("A request that was refused for crashing servers is refused after all nodes were killed and started again", t, func() {
		crashes := 0
		c.waitFor("it is refused", func() bool {
			status, body, crashed := c.sendCrashing(c.vms[crashes%len(c.vms)])
			crashes += crashed
			return status == http.StatusServiceUnavailable && strings.Contains(body, "crashes-targets")
		})
		So(crashes, ShouldBeLessThanOrEqualTo, maxCrashes)
		c.waitFor("that is stored", c.hasStoredCrashes)
		for _, v := range c.vms {
			v.kill()
		}
		for _, v := range c.vms {
			v.startNode()
		}
		for _, v := range c.vms {
			c.waitFor("node is ready", v.ready)
			c.waitFor("whole path works", func() bool { return v.requestStatus(http.MethodGet, "/safe/", "key-1") == http.StatusOK })
		}
		for _, v := range c.vms {
			status, body, crashed := c.sendCrashing(v)
			So(crashed, ShouldEqual, 0)
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(body, ShouldContainSubstring, "crashes-targets")
		}
	})
}
