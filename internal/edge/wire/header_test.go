package wire

import (
	"bufio"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// TestHeaders guards against forwarding a caller's key or hop-by-hop fields, against
// fields under the nodes' own prefix that a caller or target forged, and against
// losing repeated fields.
func TestHeaders(t *testing.T) {
	Convey("A request's end-to-end fields are forwarded, repeated ones included; the key, hop-by-hop fields and fields with the nodes' prefix are not", t, func() {
		var h fasthttp.RequestHeader
		text := "GET / HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nAccept: a\r\nX-Many: 1\r\nX-Many: 2\r\n" +
			"Cookie: c=1\r\nConnection: close\r\nfuchsiapier-workspace: other\r\nFuchsiapier-Handle: stolen\r\n\r\n"
		So(h.Read(bufio.NewReader(strings.NewReader(text))), ShouldBeNil)
		got := map[string][]string{}
		for _, f := range RequestHeaders(&h) {
			got[f.Name] = append(got[f.Name], f.Value)
		}
		So(got, ShouldResemble, map[string][]string{
			"Accept": {"a"},
			"X-Many": {"1", "2"},
			"Cookie": {"c=1"},
		})
	})
	Convey("A response's end-to-end fields are forwarded, fields with the nodes' prefix are not", t, func() {
		var h fasthttp.ResponseHeader
		text := "HTTP/1.1 201 Created\r\nLocation: /p/1\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\nFuchsiapier-Outcome: not-run\r\n\r\n"
		So(h.Read(bufio.NewReader(strings.NewReader(text))), ShouldBeNil)
		names := ""
		for _, f := range ResponseHeaders(&h) {
			names += f.Name + "=" + f.Value + " "
		}
		So(names, ShouldContainSubstring, "Location=/p/1")
		So(names, ShouldContainSubstring, "Set-Cookie=a=1")
		So(names, ShouldContainSubstring, "Set-Cookie=b=2")
		So(names, ShouldNotContainSubstring, "Fuchsiapier")
	})
}
