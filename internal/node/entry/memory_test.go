package entry

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/httpd"
	"fuchsiapier/internal/pipe/msg"
)

// TestBodyIsHeldWhileItIsSent guards against memory that counts as free while an attempt still sends the
// body from it, as after a caller that has gone.
func TestBodyIsHeldWhileItIsSent(t *testing.T) {
	Convey("The memory of a body counts until each attempt has ended", t, func() {
		f, h := newFakeFleet(), newHeldCalls()
		f.handlers["home"] = h.run
		memory := budget.New(1 << 20)
		share := memory.Open(budget.Callers)
		content, err := body.Read(bytes.NewReader(make([]byte, 1000)), 1000, 1000, share)
		So(err, ShouldBeNil)
		header := &fasthttp.RequestHeader{}
		header.SetMethod("POST")
		header.Set("X-Attempt", "a1")
		header.Set("X-Deadline", "2000")
		header.Set("Authorization", "Token secret")
		ctx, hangUp := context.WithCancel(context.Background())
		handled := make(chan *msg.Response, 1)
		go func() {
			handled <- f.entry.Handle(ctx, &httpd.Inbound{
				Request: msg.Request{
					Method:  "POST",
					URI:     "/once/1",
					Host:    "h.example",
					Body:    content.WithShare(share),
					HasBody: true,
				},
				Header:  header,
				Arrived: time.Now(),
			})
		}()
		<-h.arrived
		hangUp()
		So(<-handled, ShouldBeNil)
		share.Release()
		So(memory.Used(budget.Callers), ShouldEqual, 1000)
		close(h.release)
		for end := time.Now().Add(10 * time.Second); memory.Used(budget.Callers) > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(memory.Used(budget.Callers), ShouldEqual, 0)
	})
}

// TestNodeWithoutMemory guards against a request that fails, or counts as possibly run, since one node has no
// memory for it or no connection left.
func TestNodeWithoutMemory(t *testing.T) {
	for _, reason := range []call.Reason{call.NoMemory, call.NoConnection} {
		for _, path := range []string{"/safe/1", "/once/1"} {
			Convey("Another node is asked, and the request is refused with a retry delay if none has room: "+string(reason)+" "+path, t, func() {
				f := newFakeFleet()
				f.handlers["home"], f.handlers["n1"] = rejectWith(reason), respondWith(http.StatusOK)
				So(f.get(path, "secret").Status, ShouldEqual, http.StatusOK)
				f = newFakeFleet()
				for _, name := range []string{"home", "n1", "n2", "n3"} {
					f.handlers[name] = rejectWith(reason)
				}
				r := f.get(path, "secret")
				So(r.Status, ShouldEqual, http.StatusServiceUnavailable)
				So(retryAfter(r), ShouldBeGreaterThan, 0)
				So(f.paid, ShouldEqual, 0)
			})
		}
	}
}
