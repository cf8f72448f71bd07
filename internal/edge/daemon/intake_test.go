package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/edge/wire"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 10 * time.Second

// startIntake serves requests within a budget of so many bytes; the response is the body.
func startIntake(t *testing.T, bytes int64) (d *Daemon, connect func() (net.Conn, *bufio.Reader)) {
	t.Helper()
	d = &Daemon{
		memory: budget.New(bytes, budget.WithReserve(bytes/8, smallRequest)),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{
		Handler:            d.withinBudget(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }),
		MaxRequestBodySize: maxRequestBody,
		StreamRequestBody:  true,
		ReadTimeout:        readTimeout,
		Logger:             discardLogger{},
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return d, func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(waitTimeout))
		return c, bufio.NewReader(c)
	}
}

func readResponse(r *bufio.Reader) (*http.Response, []byte) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return &http.Response{}, nil
	}
	data, _ := io.ReadAll(resp.Body)
	return resp, data
}

// TestIntake guards against bodies that are changed as they are read within the budget, and against one request
// that ends the next one on its connection.
func TestIntake(t *testing.T) {
	Convey("Bodies reach the handler whole, with a length and in chunks, one after the other on a connection", t, func() {
		d, connect := startIntake(t, 32<<20)
		c, r := connect()
		for _, n := range []int{0, 1, 8 << 10, 100_000, maxRequestBody} {
			data := bytes.Repeat([]byte("b"), n)
			_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, data)
			resp, got := readResponse(r)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(bytes.Equal(got, data), ShouldBeTrue)
			if n > 0 {
				_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, data)
				resp, got = readResponse(r)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
				So(bytes.Equal(got, data), ShouldBeTrue)
			}
		}
		_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := readResponse(r)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		_ = c.Close()
		So(d.memory.Used(budget.Callers), ShouldEqual, 0)
	})
	Convey("A body over the limit is too large, by its length and in chunks", t, func() {
		_, connect := startIntake(t, 32<<20)
		c, r := connect()
		_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", maxRequestBody+1)
		go func() { _, _ = c.Write(make([]byte, maxRequestBody+1)) }()
		resp, _ := readResponse(r)
		So(resp.StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
		c, r = connect()
		_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", 2*maxRequestBody)
		go func() { _, _ = c.Write(make([]byte, 2*maxRequestBody-1)) }()
		resp, _ = readResponse(r)
		So(resp.StatusCode, ShouldEqual, http.StatusRequestEntityTooLarge)
	})
}

// TestUnfinishedBodiesGiveWay guards against bodies that never end and hold more memory than the node has.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	Convey("Bodies that never end give way to whole ones, refused as not run", t, func() {
		d, connect := startIntake(t, 4<<20)
		responses := make(chan *http.Response, 8)
		for range cap(responses) {
			c, r := connect()
			_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", maxRequestBody)
			go func() { _, _ = c.Write(make([]byte, maxRequestBody-1)) }()
			go func() {
				if resp, err := http.ReadResponse(r, nil); err == nil {
					responses <- resp
				}
			}()
		}
		served := false
		for end := time.Now().Add(waitTimeout); !served && time.Now().Before(end); {
			c, r := connect()
			_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 500_000, make([]byte, 500_000))
			resp, got := readResponse(r)
			served = resp.StatusCode == http.StatusOK && len(got) == 500_000
			_ = c.Close()
		}
		So(served, ShouldBeTrue)
		So(d.memory.Used(budget.Callers), ShouldBeLessThanOrEqualTo, 4<<20)
		resp := <-responses
		So(resp.Header.Get(wire.HeaderOutcome), ShouldEqual, string(wire.NotRun))
		So(resp.Header.Get(wire.HeaderRetryAfter), ShouldNotBeEmpty)
		So(resp.Close, ShouldBeTrue)
	})
}
