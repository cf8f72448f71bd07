package httpd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/msg"
)

// held is a handler whose requests wait until they are released, by their path.
type held struct {
	mu      sync.Mutex
	waiting map[string]chan struct{}
}

func (h *held) handle(ctx context.Context, in *Inbound) *msg.Response {
	release := make(chan struct{})
	h.mu.Lock()
	if h.waiting == nil {
		h.waiting = map[string]chan struct{}{}
	}
	h.waiting[in.URI] = release
	h.mu.Unlock()
	select {
	case <-release:
	case <-ctx.Done():
		return nil
	}
	return echo(ctx, in)
}

// isHeld reports whether a request with a path has come.
func (h *held) isHeld(path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting[path] != nil
}

func (h *held) release(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.waiting[path])
}

// send sends a request without waiting for a response.
func send(c net.Conn, path string) {
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
}

// TestDrainWithRequestsAhead guards against a caller that always has several requests pending and whose
// connection is therefore never closed: the server ends with requests that it has read.
func TestDrainWithRequestsAhead(t *testing.T) {
	for name, begin := range map[string]func(*Server){"drains": (*Server).Drain, "quiesces": (*Server).Quiesce} {
		Convey("A server that "+name+" reads nothing behind pending requests, and closes after the last of them", t, func() {
			h := &held{}
			s, c, r := start(t, h.handle)
			send(c, "/1")
			send(c, "/2")
			So(eventually(func() bool { return h.isHeld("/1") && h.isHeld("/2") }), ShouldBeTrue)
			begin(s)
			send(c, "/3")
			time.Sleep(50 * time.Millisecond)
			h.release("/1")
			status, body, closes := read(r)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "GET /1")
			So(closes, ShouldBeFalse)
			send(c, "/4")
			time.Sleep(50 * time.Millisecond)
			h.release("/2")
			status, body, closes = read(r)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldEqual, "GET /2")
			So(closes, ShouldBeTrue)
			_, err := r.ReadByte()
			So(err, ShouldEqual, io.EOF)
			So(h.isHeld("/3") || h.isHeld("/4"), ShouldBeFalse)
			So(eventually(func() bool { return s.Pending() == 0 }), ShouldBeTrue)
		})
	}
	Convey("A caller that leaves while a draining server reads nothing more is noticed", t, func() {
		gone := make(chan struct{})
		s, c, _ := start(t, func(ctx context.Context, _ *Inbound) *msg.Response {
			<-ctx.Done()
			close(gone)
			return nil
		})
		send(c, "/1")
		So(eventually(func() bool { return s.Pending() == 1 }), ShouldBeTrue)
		s.Drain()
		send(c, "/2")
		_ = c.Close()
		So(closedInTime(gone), ShouldBeTrue)
	})
}

// TestQuiesceWhileRequestArrives guards against a request that is passed on too late in a shutdown to be
// answered, since it had begun to arrive before reading ended, and against one that is dropped without an
// answer although it was read.
func TestQuiesceWhileRequestArrives(t *testing.T) {
	Convey("A request that has begun to arrive is refused, and not handled", t, func() {
		h := &held{}
		s, c, r := start(t, h.handle)
		_, _ = io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		So(eventually(func() bool { return s.isReading() }), ShouldBeTrue)
		s.Quiesce()
		_, _ = io.WriteString(c, "cd")
		status, _, closes := read(r)
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(closes, ShouldBeTrue)
		So(h.isHeld("/1"), ShouldBeFalse)
	})
}

// isReading reports whether a request arrives on a connection.
func (s *Server) isReading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		reading := c.reading
		c.mu.Unlock()
		if reading {
			return true
		}
	}
	return false
}

// stalledConn is a connection whose first write returns only once resume is closed, although the caller has
// got the bytes: as if the writing goroutine were suspended.
type stalledConn struct {
	net.Conn
	first  sync.Once
	resume chan struct{}
}

func (c *stalledConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.first.Do(func() { <-c.resume })
	return n, err
}

// TestDrainBehindLateWrite guards against a request that is dropped in a shutdown and never answered: the
// caller sends it as soon as it has the response before, which keeps the connection open, and the
// server still counts that response as pending.
func TestDrainBehindLateWrite(t *testing.T) {
	Convey("A request behind a response that keeps the connection open is answered", t, func() {
		s, _, _ := start(t, echo)
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		_ = near.SetDeadline(time.Now().Add(waitTimeout))
		stalled := &stalledConn{
			Conn:   far,
			resume: make(chan struct{}),
		}
		go s.serve(accept.NewConn(stalled, accept.Unlimited()))
		r := bufio.NewReader(near)
		send(near, "/1")
		status, _, closes := read(r)
		So(status, ShouldEqual, http.StatusOK)
		So(closes, ShouldBeFalse)
		s.Drain()
		send(near, "/2")
		time.Sleep(50 * time.Millisecond)
		close(stalled.resume)
		status, body, closes := read(r)
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, "GET /2")
		So(closes, ShouldBeTrue)
	})
}
