package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/pipe/msg"
)

// waitTimeout bounds waits for conditions that should hold almost at once.
const waitTimeout = 10 * time.Second

func start(t *testing.T, h Handler, options ...Option) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	s, stop, err := New("127.0.0.1:0", h, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	c, r := connect(t, s)
	return s, c, r
}

func connect(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c, bufio.NewReader(c)
}

func echo(_ context.Context, in *Inbound) *msg.Response {
	return msg.Plain(http.StatusOK, in.Method+" "+in.URI+" "+string(in.Body.Bytes()))
}

func read(r *bufio.Reader) (status int, body string, closes bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), true
	}
	return resp.StatusCode, strings.TrimSpace(string(data)), resp.Close
}

// TestPipelinedRequestsAreAnsweredInOrder guards against responses that overtake each
// other on a connection: the caller would match each response to the wrong request.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	Convey("The response to a slow first request precedes that to a fast second one", t, func() {
		second := make(chan struct{})
		_, c, r := start(t, func(ctx context.Context, in *Inbound) *msg.Response {
			if in.URI == "/1" {
				<-second
			} else {
				close(second)
			}
			return echo(ctx, in)
		})
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		_, firstBody, _ := read(r)
		_, secondBody, _ := read(r)
		So(firstBody, ShouldEqual, "GET /1")
		So(secondBody, ShouldEqual, "GET /2")
	})
}

// TestBodies guards against bodies that are truncated, or dropped by the method or
// the content type, and against request smuggling by ambiguous lengths.
func TestBodies(t *testing.T) {
	Convey("Bodies are read completely, with a length or in chunks, whatever the method", t, func() {
		_, c, r := start(t, echo)
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz")
		_, body, _ := read(r)
		So(body, ShouldEqual, "GET /a xyz")
		_, _ = io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
		_, body, _ = read(r)
		So(body, ShouldEqual, "POST /b abcde")
		_, _ = io.WriteString(c, "POST /c HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=q\r\nContent-Length: 4\r\n\r\n--q-")
		_, body, _ = read(r)
		So(body, ShouldEqual, "POST /c --q-")
	})
	Convey("A request with two different lengths is rejected", t, func() {
		_, c, r := start(t, echo)
		_, _ = io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\nx")
		status, _, closes := read(r)
		So(status, ShouldEqual, http.StatusBadRequest)
		So(closes, ShouldBeTrue)
	})
}

// TestHangUpCancelsRequest guards against work for callers that are gone: a caller
// that closes its connection while the handler runs must end the handler's context.
func TestHangUpCancelsRequest(t *testing.T) {
	Convey("A caller that disconnects ends the context of its request", t, func() {
		started, ended := make(chan struct{}), make(chan struct{})
		_, c, _ := start(t, func(ctx context.Context, _ *Inbound) *msg.Response {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil
		})
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		<-started
		_ = c.Close()
		So(closedInTime(ended), ShouldBeTrue)
	})
}

// closedInTime reports whether a channel is closed within waitTimeout.
func closedInTime(c chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(waitTimeout):
		return false
	}
}

// TestDrainLosesNothing guards against requests lost while a node leaves: Drain must
// not close a connection with a pending request, nor an idle one on which the caller
// is about to send.
func TestDrainLosesNothing(t *testing.T) {
	Convey("A draining server answers a pending request and then closes the connection", t, func() {
		release := make(chan struct{})
		s, c, r := start(t, func(ctx context.Context, in *Inbound) *msg.Response {
			<-release
			return echo(ctx, in)
		})
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		So(eventually(func() bool { return s.Pending() == 1 }), ShouldBeTrue)
		s.Drain()
		close(release)
		status, _, closes := read(r)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeTrue)
		So(eventually(func() bool { return s.Pending() == 0 }), ShouldBeTrue)
	})
	Convey("An idle connection serves one more request", t, func() {
		s, c, r := start(t, echo)
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, closes := read(r)
		So(closes, ShouldBeFalse)
		s.Drain()
		_, _ = io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _, closes := read(r)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeTrue)
	})
}

func eventually(f func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// TestLimits guards against callers that exhaust a node's memory or connections with
// large, slow or missing requests.
func TestLimits(t *testing.T) {
	limits := func() rules.Limits {
		return rules.Limits{
			HeaderBytes:   6000,
			BodyBytes:     10,
			HeaderTimeout: 50 * time.Millisecond,
			IdleTimeout:   waitTimeout,
		}
	}
	Convey("Headers within the limit are accepted, larger ones rejected", t, func() {
		_, c, r := start(t, echo, WithLimits(limits))
		_, _ = fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", strings.Repeat("a", 5000))
		status, _, _ := read(r)
		So(status, ShouldEqual, http.StatusOK)
		_, _ = fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", strings.Repeat("a", 7000))
		status, _, _ = read(r)
		So(status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
	Convey("Bodies over the limit and slow headers are rejected", t, func() {
		_, c, r := start(t, echo, WithLimits(limits))
		_, _ = io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
		status, _, _ := read(r)
		So(status, ShouldEqual, http.StatusRequestEntityTooLarge)
		s, _, _ := start(t, echo, WithLimits(limits))
		c, r = connect(t, s)
		_, _ = io.WriteString(c, "GET /1 HT")
		status, _, _ = read(r)
		So(status, ShouldEqual, http.StatusRequestTimeout)
	})
	Convey("An idle connection is closed without a response", t, func() {
		_, _, r := start(t, echo, WithLimits(func() rules.Limits {
			return rules.Limits{
				IdleTimeout: 20 * time.Millisecond,
			}
		}))
		_, err := r.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
}

// TestHandlerPanicFailsOneRequest guards against a request that panics the handler
// and takes the node, or the other requests of its connection, with it.
func TestHandlerPanicFailsOneRequest(t *testing.T) {
	Convey("A panic of the handler fails its request only", t, func() {
		_, c, r := start(t, func(ctx context.Context, in *Inbound) *msg.Response {
			if in.URI == "/bad" {
				panic("bad")
			}
			return echo(ctx, in)
		})
		_, _ = io.WriteString(c, "GET /bad HTTP/1.1\r\nHost: h\r\n\r\nGET /ok HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _, _ := read(r)
		So(status, ShouldEqual, http.StatusBadGateway)
		status, _, _ = read(r)
		So(status, ShouldEqual, http.StatusOK)
	})
}

// TestQuiesceAnswersWhatWasRead guards against requests lost when a node restarts
// under load: Quiesce must not close a connection whose request has been read.
func TestQuiesceAnswersWhatWasRead(t *testing.T) {
	Convey("A server that quiesces under load answers each request that it has read", t, func() {
		var handled, answered atomic.Int64
		s, _, _ := start(t, func(ctx context.Context, in *Inbound) *msg.Response {
			handled.Add(1)
			return echo(ctx, in)
		})
		var callers sync.WaitGroup
		for range 20 {
			c, r := connect(t, s)
			callers.Go(func() {
				for {
					if _, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						return
					}
					status, _, closes := read(r)
					if status == http.StatusOK {
						answered.Add(1)
					}
					if closes {
						return
					}
				}
			})
		}
		So(eventually(func() bool { return answered.Load() > 500 }), ShouldBeTrue)
		s.Quiesce()
		callers.Wait()
		So(eventually(func() bool { return s.Connections() == 0 }), ShouldBeTrue)
		So(answered.Load(), ShouldEqual, handled.Load())
	})
}
