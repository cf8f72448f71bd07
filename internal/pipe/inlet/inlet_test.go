package inlet

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

// patience bounds waits on conditions that hold at once on a healthy machine.
const patience = 10 * time.Second

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
	_ = c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

func echo(_ context.Context, in *Inbound) *msg.Response {
	return msg.Plain(http.StatusOK, in.Method+" "+in.URI+" "+string(in.Body))
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

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	Convey("A slow first request of a pipeline is answered before the quick second one", t, func() {
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
		_, first, _ := read(r)
		_, then, _ := read(r)
		So(first, ShouldEqual, "GET /1")
		So(then, ShouldEqual, "GET /2")
	})
}

func TestBodies(t *testing.T) {
	Convey("Bodies arrive whole, with a length or in chunks, whatever the method", t, func() {
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
	Convey("Two lengths that differ are refused, not guessed", t, func() {
		_, c, r := start(t, echo)
		_, _ = io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\nx")
		status, _, closes := read(r)
		So(status, ShouldEqual, http.StatusBadRequest)
		So(closes, ShouldBeTrue)
	})
}

func TestHangUpIsSeenAtOnce(t *testing.T) {
	Convey("A caller that leaves ends the context of its request", t, func() {
		begun, ended := make(chan struct{}), make(chan struct{})
		_, c, _ := start(t, func(ctx context.Context, _ *Inbound) *msg.Response {
			close(begun)
			<-ctx.Done()
			close(ended)
			return nil
		})
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		<-begun
		_ = c.Close()
		So(arrives(ended), ShouldBeTrue)
	})
}

func arrives(c chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(patience):
		return false
	}
}

func TestDrainLosesNothing(t *testing.T) {
	Convey("A draining server answers what it has read and closes with that answer", t, func() {
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
	Convey("An idle kept connection is served once more", t, func() {
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
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func TestLimits(t *testing.T) {
	limits := func() rules.Limits {
		return rules.Limits{
			HeaderBytes:   6000,
			BodyBytes:     10,
			HeaderTimeout: 50 * time.Millisecond,
			IdleTimeout:   patience,
		}
	}
	Convey("Headers within the limit pass, larger ones do not", t, func() {
		_, c, r := start(t, echo, WithLimits(limits))
		_, _ = fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", strings.Repeat("a", 5000))
		status, _, _ := read(r)
		So(status, ShouldEqual, http.StatusOK)
		_, _ = fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", strings.Repeat("a", 7000))
		status, _, _ = read(r)
		So(status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
	})
	Convey("Bodies over the limit and slow headers are refused", t, func() {
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
	Convey("An idle connection is closed without an answer", t, func() {
		_, _, r := start(t, echo, WithLimits(func() rules.Limits {
			return rules.Limits{
				IdleTimeout: 20 * time.Millisecond,
			}
		}))
		_, err := r.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
}

func TestPanicKeepsTheServer(t *testing.T) {
	Convey("A handler that panics costs one request", t, func() {
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

func TestQuiesceAnswersWhatWasRead(t *testing.T) {
	Convey("Restarts under load: every request that was read gets its answer", t, func() {
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
		So(eventually(func() bool { return s.Open() == 0 }), ShouldBeTrue)
		So(answered.Load(), ShouldEqual, handled.Load())
	})
}
