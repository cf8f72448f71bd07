package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
)

// startTarget starts a target and returns its address. The path of a request
// selects the response; /slow is answered once release is closed.
func startTarget(t *testing.T, release chan struct{}) string {
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
			go serve(c, release)
		}
	}()
	return l.Addr().String()
}

// serve answers the requests of one connection one after the other.
func serve(c net.Conn, release chan struct{}) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		path := string(req.URI().Path())
		switch path {
		case "/slow":
			<-release
		case "/gone":
			return
		case "/cut":
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			return
		case "/until-close":
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome")
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
	}
}

// get sends a GET request through the pool and returns the body of the response.
func get(ctx context.Context, p *Pool, path string) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + p.Address() + path)
	err := p.Do(ctx, &req, &resp)
	return string(resp.Body()), err
}

// TestPool guards against a response that reaches the wrong request, which happens
// when a connection is reused while the response to a cancelled request is still to
// come, and against errors that misstate whether a request may have run.
func TestPool(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	release := make(chan struct{})
	p, stop := New(startTarget(t, release), 4)
	defer stop()
	Convey("Given a target", t, func() {
		Convey("a response that arrives after its request was cancelled reaches no other request", func() {
			_, err := get(ctx, p, "/first")
			So(err, ShouldBeNil)
			requestCtx, cancelRequest := context.WithCancel(ctx)
			done := make(chan error)
			go func() {
				_, err := get(requestCtx, p, "/slow")
				done <- err
			}()
			time.Sleep(20 * time.Millisecond)
			cancelRequest()
			So(errors.Is(<-done, ErrContextDone), ShouldBeTrue)
			go func() {
				time.Sleep(50 * time.Millisecond)
				close(release)
			}()
			body, err := get(ctx, p, "/mine")
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "/mine")
		})
		Convey("a truncated response is an error, never a success with a short body", func() {
			_, err := get(ctx, p, "/cut")
			So(errors.Is(err, ErrIncomplete), ShouldBeTrue)
			_, err = get(ctx, p, "/until-close")
			So(errors.Is(err, ErrIncomplete), ShouldBeTrue)
		})
		Convey("a target that closes the connection without a response may have run the request", func() {
			_, err := get(ctx, p, "/gone")
			So(errors.Is(err, ErrConnectionClosed), ShouldBeTrue)
		})
		Convey("a target that can't be dialled has not received the request", func() {
			q, stop := New("127.0.0.1:1", 1)
			defer stop()
			_, err := get(ctx, q, "/x")
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
}
