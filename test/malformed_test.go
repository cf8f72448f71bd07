package test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestServeMalformedAnswers guards against bytes of a server in trouble that are no answer and reach the
// caller as one, and against a request that may run once only and is sent again after them.
func TestServeMalformedAnswers(t *testing.T) {
	Convey("A malformed answer is none: the caller gets 502, and only an idempotent request is sent again", t, func() {
		c := newCluster(t)
		c.waitForFleet()
		v, other := c.vms[0], c.vms[2]
		runs := func() int { return len(v.server.Runs()) + len(other.server.Runs()) }
		v.server.SpoilHeads(1)
		other.server.SpoilHeads(1)
		before := runs()
		for range 15 {
			So(v.requestStatus(http.MethodPost, "/once/", "key-1"), ShouldEqual, http.StatusBadGateway)
		}
		So(runs(), ShouldEqual, before+15)
		for range 5 {
			So(v.requestStatus(http.MethodGet, "/safe/", "key-1"), ShouldEqual, http.StatusBadGateway)
		}
		So(runs(), ShouldBeGreaterThan, before+20)
		So(v.metrics(), ShouldContainSubstring, `fuchsiapier_gate_malformed_responses_total{reason="status-line"}`)
		v.server.SpoilHeads(0)
		other.server.SpoilHeads(0)
		c.waitFor("requests are served again", func() bool { return v.requestStatus(http.MethodPost, "/once/", "key-1") == http.StatusOK })
	})
}

// metrics returns the metrics of the VM's node.
func (v *vm) metrics() string {
	resp, err := http.Get("http://" + v.address(portMetrics) + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	_, _ = io.Copy(&text, resp.Body)
	return text.String()
}
