package test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/lab/crowd"
	"fuchsiapier/lab/plan"
)

// nodeMemory is the memory that a node may use, in bytes.
const nodeMemory = 256 << 20

// TestCrowdAtOwnInterface is like TestCrowdLargeBodies, at the project's own interface.
func TestCrowdAtOwnInterface(t *testing.T) {
	f := newFleet(t, plan.Litoral(), withDomains(2))
	Convey("Bodies of the largest size that never end", t, func() {
		clients, stop := crowd.Start(crowd.Settings{
			Address:   f.entry(0),
			Clients:   400,
			Requests:  1,
			Method:    http.MethodPost,
			Path:      "/landings/record",
			Host:      "any",
			Announced: megabyte,
			Sent:      megabyte - 1,
		})
		defer stop()
		clients.WaitSent()
		time.Sleep(crowdHold)
		So(f.post("picker-one", "/landings/record", 0, f.newID(0)).Status, ShouldEqual, http.StatusOK)
		used := statusBytes(f.procs[f.nodeName(0)].cmd.Process.Pid, "VmHWM:")
		t.Logf("%d MB", used>>20)
		So(used, ShouldBeLessThanOrEqualTo, nodeMemory)
	})
}
