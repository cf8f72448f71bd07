package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/ops/admin"
)

// TestFleet guards against a snapshot that is printed unsorted or hides members whose
// heartbeats are overdue, and against an unclear failure without --node.
func TestFleet(t *testing.T) {
	snapshot := admin.Fleet{
		Node: "b-1",
		Members: []admin.Member{
			{Name: "b-1", Domain: "b", Service: "quota", Target: "t1", Open: true, Slots: 9, Version: 7, Store: true, Keeper: "b-1"},
			{Name: "a-1", Domain: "a", Service: "quota", Target: "t2", Open: true, Suspect: true, WaitMillis: 40},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != admin.PathFleet {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(snapshot)
	}))
	defer server.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := newRoot()
		root.SetOut(&out)
		root.SetArgs(append([]string{"fleet"}, args...))
		err := root.Execute()
		return out.String(), err
	}
	Convey("A snapshot is printed by failure domain and marks members with overdue heartbeats", t, func() {
		out, err := run("--node", strings.TrimPrefix(server.URL, "http://"))
		So(err, ShouldBeNil)
		So(out, ShouldContainSubstring, "as b-1 sees it")
		So(strings.Index(out, "a-1"), ShouldBeLessThan, strings.LastIndex(out, "b-1  "))
		So(out, ShouldContainSubstring, "silent")
		So(out, ShouldContainSubstring, "40 ms")
	})
	Convey("Without --node the error names the flag", t, func() {
		_, err := run()
		So(err, ShouldEqual, errNoMetricsAddress)
	})
}
