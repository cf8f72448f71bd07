package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/platform"
)

// report sends a status report to a VM's node and returns the status of the response.
func (v *vm) report(id, service, address string) int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"any","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"seq":1,"born":%d}`,
		service, address, time.Now().Add(time.Minute).UnixMilli())
	return v.callControl(http.MethodPut, id, body)
}

// TestServeForeignReport guards against a status report of another writer that replaces the server of a VM: it then gets no
// work, and requests that begin there bear the name of a service that isn't theirs.
func TestServeForeignReport(t *testing.T) {
	c := newCluster(t)
	Convey("A report of an unknown service, or with the address of another server, is refused and replaces nothing", t, func() {
		v := c.vms[0]
		So(v.report("i-other", "unknown", v.address(portServer)), ShouldEqual, http.StatusBadRequest)
		So(v.report("i-other", "back", c.vms[1].address(portServer)), ShouldEqual, http.StatusBadRequest)
		for range 5 {
			id := fmt.Sprintf("f%d", c.nextID.Add(1))
			status, _, _ := v.send(http.MethodPost, "/once/"+id, "key-1", id)
			So(status, ShouldEqual, http.StatusOK)
			ran := false
			for _, o := range c.vms {
				for _, r := range o.server.Runs() {
					if r.Attempt == id {
						ran = true
						So(r.Header.Get(platform.HeaderNames.Caller), ShouldEqual, "front")
					}
				}
			}
			So(ran, ShouldBeTrue)
		}
	})
}
