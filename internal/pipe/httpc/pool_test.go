package httpc

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startScripted starts a server that responds to the requests of each connection
// with the given bytes in turn and then closes the connection. It returns its address.
func startScripted(t *testing.T, responses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(c, responses)
		}
	}()
	return l.Addr().String()
}

func serveScript(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, resp := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		if _, err := c.Write([]byte(resp)); err != nil {
			return
		}
	}
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func do(p *Pool, attempt string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return p.Do(ctx, []byte(request), "GET", attempt)
}

func newPool(address string) *Pool {
	p, _ := New(address, WithAttemptHeader("X-Id"))
	return p
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"

// TestResponses guards against taking a truncated response for a complete one, as
// when a target dies while it writes, and against rejecting a valid framing.
func TestResponses(t *testing.T) {
	Convey("Responses framed by length, chunks or the end of the connection are complete", t, func() {
		for _, resp := range []string{
			okResponse,
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nok",
			"HTTP/1.1 100 Continue\r\n\r\n" + okResponse,
		} {
			a, err := do(newPool(startScripted(t, resp)), "a")
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, 200)
			So(string(a.Body.Bytes()), ShouldEqual, "ok")
		}
	})
	Convey("Truncated and malformed responses are reported as lost", t, func() {
		for _, resp := range []string{
			"",
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nok",
			"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n",
			"no answer at all\r\n\r\n",
		} {
			_, err := do(newPool(startScripted(t, resp)), "a")
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldStartWith, ErrResponseLost.Error())
		}
	})
}

// TestStaleResponses guards against giving a caller the response to another request,
// which can arrive late on a reused connection.
func TestStaleResponses(t *testing.T) {
	Convey("A late response to an earlier request is skipped", t, func() {
		stale := "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
		p := newPool(startScripted(t, stale+okResponse))
		a, err := do(p, "a")
		So(err, ShouldBeNil)
		So(string(a.Body.Bytes()), ShouldEqual, "ok")
	})
	Convey("A connection with bytes after the response is not reused", t, func() {
		p := newPool(startScripted(t, okResponse+"extra", okResponse))
		_, err := do(p, "a")
		So(err, ShouldBeNil)
		_, err = do(p, "a")
		So(err, ShouldBeNil)
		So(p.Dials(), ShouldEqual, 2)
	})
	Convey("Where only responses to other requests arrive, the response is reported as lost", t, func() {
		p := newPool(startScripted(t, okResponse))
		_, err := do(p, "b")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, ErrResponseLost.Error())
	})
}

// TestConnections guards the reuse of connections: one that the peer is about to
// close must not be reused, since a request sent on it has an unknown outcome, and
// an error must say whether the request was sent.
func TestConnections(t *testing.T) {
	Convey("Connections are reused, unless the response or the peer closes them", t, func() {
		p := newPool(startScripted(t, okResponse, okResponse, okResponse))
		for range 3 {
			_, err := do(p, "a")
			So(err, ShouldBeNil)
		}
		So(p.Dials(), ShouldEqual, 1)
		p = newPool(startScripted(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", okResponse))
		for range 2 {
			_, err := do(p, "a")
			So(err, ShouldBeNil)
		}
		So(p.Dials(), ShouldEqual, 2)
	})
	Convey("A connection is not reused when the peer's Keep-Alive timeout is about to end", t, func() {
		p := newPool(startScripted(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", okResponse))
		for range 2 {
			_, err := do(p, "a")
			So(err, ShouldBeNil)
		}
		So(p.Dials(), ShouldEqual, 2)
	})
	Convey("A refused connection means that nothing was sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		_ = l.Close()
		_, err = do(newPool(address), "a")
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldStartWith, ErrRefused.Error())
	})
	Convey("A cancelled context ends the exchange", t, func() {
		silent := startScripted(t, "")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := newPool(silent).Do(ctx, []byte(request), "GET", "a")
		So(err, ShouldNotBeNil)
	})
}
