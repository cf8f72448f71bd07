package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/body"
)

// endlessServer answers each request with a head and then sends a text again and again
// until the connection is closed.
type endlessServer struct {
	address string
	// sent counts the bytes sent, closed the connections that the client has closed.
	sent   atomic.Int64
	closed atomic.Int64
	opened atomic.Int64
}

func startEndlessServer(head, repeated string) (*endlessServer, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &endlessServer{
		address: listener.Addr().String(),
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.serve(c, head, repeated)
		}
	}()
	return s, func() { _ = listener.Close() }
}

func (s *endlessServer) serve(c net.Conn, head, repeated string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if _, err := r.ReadString('\n'); err != nil {
		return
	}
	_, _ = c.Write([]byte(head))
	if repeated == "" {
		_, _ = io.Copy(io.Discard, r)
		s.closed.Add(1)
		return
	}
	for {
		n, err := c.Write([]byte(repeated))
		s.sent.Add(int64(n))
		if err != nil {
			s.closed.Add(1)
			return
		}
	}
}

// TestResponsesWithoutEnd guards against a target that sends bytes for as long as they are
// read, in a head or a body, or that claims a length which it never sends: the exchange must
// end, the memory stay flat and the connection not be used again.
func TestResponsesWithoutEnd(t *testing.T) {
	const each = 1 << 20
	line := strings.Repeat("a", 1000)
	for _, c := range []struct{ name, head, repeated string }{
		{name: "a header line", head: "HTTP/1.1 200 OK\r\nX-Long: ", repeated: line},
		{name: "header lines", head: "HTTP/1.1 200 OK\r\n", repeated: "X-Many: " + line + "\r\n"},
		{name: "empty lines", head: "", repeated: strings.Repeat("\r\n", 500)},
		{name: "interim responses", head: "", repeated: "HTTP/1.1 102 Processing\r\n\r\n"},
		{name: "no protocol at all", head: "", repeated: line},
		{name: "a body up to the end of the connection", head: "HTTP/1.1 200 OK\r\n\r\n", repeated: line},
		{name: "chunks", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "3e8\r\n" + line + "\r\n"},
		{name: "a trailer", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "X-Many: " + line + "\r\n"},
		{name: "a claimed length", head: "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", repeated: ""},
	} {
		Convey("A response without end is given up: "+c.name, t, func() {
			s, stop := startEndlessServer(c.head, c.repeated)
			defer stop()
			p, closePool := New(s.address, WithBodies(NewBodies(4*each, each)))
			defer closePool()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := p.Do(ctx, []byte("GET / HTTP/1.1\r\n\r\n"), "GET", "")
			runtime.ReadMemStats(&after)
			So(err, ShouldNotBeNil)
			So(errors.Is(err, ErrNotSent), ShouldBeFalse)
			So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, 8*each)
			for range 200 {
				if s.closed.Load() == 1 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			So(s.closed.Load(), ShouldEqual, 1)
			_, _ = p.Do(ctx, []byte("GET / HTTP/1.1\r\n\r\n"), "GET", "")
			So(s.opened.Load(), ShouldBeGreaterThanOrEqualTo, 1)
			So(len(p.idle), ShouldEqual, 0)
		})
	}
	Convey("Bodies share one limit from their first byte until they are released", t, func() {
		const step = 32 << 10
		b := NewBodies(2*step, 2*step)
		r, w := io.Pipe()
		done := make(chan error, 1)
		var first body.Body
		go func() {
			var err error
			first, err = b.Read(r, 2*step)
			done <- err
		}()
		_, _ = w.Write(make([]byte, step+1))
		_, err := b.Read(strings.NewReader(line), len(line))
		So(errors.Is(err, ErrBodiesFull), ShouldBeTrue)
		_, _ = w.Write(make([]byte, step-1))
		So(<-done, ShouldBeNil)
		_, err = b.Read(strings.NewReader(line), len(line))
		So(errors.Is(err, ErrBodiesFull), ShouldBeTrue)
		first.Release()
		next, err := b.Read(strings.NewReader(line), len(line))
		So(err, ShouldBeNil)
		So(string(next.Bytes()), ShouldEqual, line)
	})
}
