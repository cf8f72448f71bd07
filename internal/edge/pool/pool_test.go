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
// selects the response; that to /slow is sent once release is closed.
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

// serve responds to the requests of one connection one after the other.
func serve(c net.Conn, release chan struct{}) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	// late is a second copy of the previous response, sent when the next one is due.
	late := ""
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
		id := ""
		if path != "/no-echo" {
			id = echoHeader + ": " + string(req.Header.Peek(echoHeader)) + "\r\n"
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(path), path)
		_, _ = fmt.Fprint(c, late+response)
		late = ""
		if path == "/twice" {
			late = response
		}
	}
}

// echoHeader is the field in which the target of the tests echoes the ID of a request.
const echoHeader = "X-Id"

// get sends a GET request through the pool and returns the body of the response.
func get(ctx context.Context, p *Pool, path string) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + p.Address() + path)
	req.Header.Set(echoHeader, "id-of-"+path)
	err := p.Do(ctx, &req, &resp)
	return string(resp.Body()), err
}

// TestSecondCopyOfResponse guards against a target that sends a second copy of a response
// late, on a connection that is in use again: the next caller must get its own response.
func TestSecondCopyOfResponse(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	Convey("A late copy of an earlier response is skipped", t, func() {
		p, stop := New(startTarget(t, nil), 1, echoHeader)
		defer stop()
		first, err := get(ctx, p, "/twice")
		So(err, ShouldBeNil)
		So(first, ShouldEqual, "/twice")
		second, err := get(ctx, p, "/next")
		So(err, ShouldBeNil)
		So(second, ShouldEqual, "/next")
	})
	Convey("A connection whose responses can't be told apart is not used again", t, func() {
		p, stop := New(startTarget(t, nil), 1, echoHeader)
		defer stop()
		_, err := get(ctx, p, "/no-echo")
		So(err, ShouldBeNil)
		So(len(p.idle), ShouldEqual, 0)
		_, err = get(ctx, p, "/next")
		So(err, ShouldBeNil)
		So(len(p.idle), ShouldEqual, 1)
	})
}

// TestPool guards against a response that reaches the wrong request, which happens
// when a connection is reused while the response to a cancelled request is still to
// come, and against errors that misstate whether a request may have run.
func TestPool(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	release := make(chan struct{})
	p, stop := New(startTarget(t, release), 4, echoHeader)
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
			unreachable, stop := New("127.0.0.1:1", 1, echoHeader)
			defer stop()
			_, err := get(ctx, unreachable, "/x")
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})
	})
}

// TestMalformedResponses guards against bytes of a target in trouble that are no answer in the protocol and
// are taken for one.
func TestMalformedResponses(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX Spoiled: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nX-Id: %s\r\n\r\n",
	} {
		Convey("No answer: "+answer, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				var req fasthttp.Request
				if req.Read(bufio.NewReader(c)) == nil {
					_, _ = fmt.Fprintf(c, answer, req.Header.Peek(echoHeader))
				}
			}()
			p, stop := New(l.Addr().String(), 1, echoHeader)
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err = get(ctx, p, "/x")
			So(errors.Is(err, ErrIncomplete), ShouldBeTrue)
			So(len(p.idle), ShouldEqual, 0)
		})
	}
}
