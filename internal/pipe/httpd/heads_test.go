package httpd

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/msg"
)

// TestMalformedRequestHeads guards against a request that a target reads as another one, or as two: its head
// has more than one reading, or holds bytes that may not be passed on.
func TestMalformedRequestHeads(t *testing.T) {
	for _, request := range []string{
		"GET /1 HTTP/1.1\r\nHost: h\r\nX Id: a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nX-Id : a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nX-\x01Id: a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nX-Id: a\x00b\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nX-Id: a\rX-B: c\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n b\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nX-Id: a\nX-B: c\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\n: a\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"GET /1 HTTP/1.1\r\nX-No: host\r\n\r\n",
		"GET  /1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /1 2 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /1\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
		"G\x01T /1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /1 HTTP/2.0\r\nHost: h\r\n\r\n",
		"GET /1\r\nHost: h\r\n\r\n",
		" GET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab",
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nab",
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"POST /1 HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	} {
		Convey("Refused: "+strconv.Quote(request), t, func() {
			var handled atomic.Int32
			_, c, r := start(t, func(ctx context.Context, in *Inbound) *msg.Response {
				handled.Add(1)
				return echo(ctx, in)
			})
			_, _ = io.WriteString(c, request)
			status, _, closes := read(r)
			So(status, ShouldEqual, http.StatusBadRequest)
			So(closes, ShouldBeTrue)
			So(handled.Load(), ShouldEqual, 0)
		})
	}
	Convey("What is unusual and valid is handled", t, func() {
		for _, request := range []string{
			"\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n",
			"GET /1?a=%20&b=c;d HTTP/1.1\r\nhost:h\r\nX-Wide: \t a b \t\r\nX-Empty:\r\nX-Bytes: \xfc\r\n!#$%&'*+-.^_`|~9: x\r\n\r\n",
			"POST /1 HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n",
			"GET /1 HTTP/1.0\r\nConnection: keep-alive\r\nHost: h\r\n\r\n",
		} {
			_, c, r := start(t, echo)
			_, _ = io.WriteString(c, request)
			status, _, _ := read(r)
			So(status, ShouldEqual, http.StatusOK)
		}
	})
}
