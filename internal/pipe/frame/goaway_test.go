package frame

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// stalledConn is a connection whose first write returns only once resume is closed, although the peer
// has got the bytes: as if the writing goroutine were suspended.
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

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	_ = near.SetDeadline(time.Now().Add(waitTimeout))
	return near, far
}

// TestRequestBehindLateWrite guards against a request that is called unread while it runs: the peer sends
// it as soon as it has the response before, and the server then took the connection for idle.
func TestRequestBehindLateWrite(t *testing.T) {
	Convey("A request that was read while the response before was being written is answered in a shutdown", t, func() {
		running, finish := make(chan string, 2), make(chan struct{})
		s, _ := start(t, func(ctx context.Context, r *Request) *msg.Response {
			running <- r.Header.Get("x-id")
			if r.Header.Get("x-id") == "2" {
				<-finish
			}
			return echo(ctx, r)
		})
		near, far := pair(t)
		stalled := &stalledConn{
			Conn:   far,
			resume: make(chan struct{}),
		}
		go s.serve(accept.NewConn(stalled, accept.Unlimited()))
		c := newCodec(testBodies())
		send := func(id string) {
			encoded, err := c.appendHead(requestFields(request(id), nil), 0)
			So(err, ShouldBeNil)
			_, err = near.Write(encoded)
			So(err, ShouldBeNil)
		}
		send("1")
		So(<-running, ShouldEqual, "1")
		_, _, err := c.read(near)
		So(err, ShouldBeNil)
		send("2")
		// The second request is read while the write of the first response has not returned.
		time.Sleep(50 * time.Millisecond)
		close(stalled.resume)
		So(<-running, ShouldEqual, "2")
		time.Sleep(50 * time.Millisecond)
		s.Quiesce()
		time.AfterFunc(50*time.Millisecond, func() { close(finish) })
		fields, _, err := c.read(near)
		So(err, ShouldBeNil)
		So(fields.Get("X-Proof"), ShouldEqual, "p2")
	})
}

// TestUnreadRequestsHaveNotRun guards against a request that is called unread, so that it is sent to
// another node, although it ran.
func TestUnreadRequestsHaveNotRun(t *testing.T) {
	Convey("What a server that quiesces under load calls unread has not run, and what has run is answered", t, func() {
		var ran, answered, unread sync.Map
		for round := range 30 {
			s, stop, err := Serve("127.0.0.1:0", func(ctx context.Context, r *Request) *msg.Response {
				ran.Store(r.Header.Get("x-id"), true)
				return echo(ctx, r)
			}, accept.Unlimited(), zerolog.Nop(), "X-Id")
			So(err, ShouldBeNil)
			c := NewClient(s.Address(), nil, testBodies(), "X-Id")
			var senders sync.WaitGroup
			for sender := range 16 {
				senders.Go(func() {
					for i := 0; ; i++ {
						id := strconv.Itoa(round) + "-" + strconv.Itoa(sender) + "-" + strconv.Itoa(i)
						_, err := do(c, id)
						switch {
						case err == nil:
							answered.Store(id, true)
							continue
						case errors.Is(err, httpc.ErrNotSent), errors.Is(err, httpc.ErrRefused):
							unread.Store(id, true)
						}
						return
					}
				})
			}
			So(eventually(func() bool {
				n := 0
				answered.Range(func(any, any) bool { n++; return n <= 100*round })
				return n > 100*round
			}), ShouldBeTrue)
			s.Quiesce()
			senders.Wait()
			c.Close()
			stop()
		}
		var unreadButRun, runButLost []any
		unread.Range(func(id, _ any) bool {
			if _, ok := ran.Load(id); ok {
				unreadButRun = append(unreadButRun, id)
			}
			return true
		})
		ran.Range(func(id, _ any) bool {
			if _, ok := answered.Load(id); !ok {
				runButLost = append(runButLost, id)
			}
			return true
		})
		So(unreadButRun, ShouldBeEmpty)
		So(runButLost, ShouldBeEmpty)
	})
}

// TestGoAwayNames guards against a request that is sent again because the connection ended with a go away
// frame, although the peer has read it or does not say so.
func TestGoAwayNames(t *testing.T) {
	for _, test := range []struct {
		text   string
		frame  []byte
		unread bool
	}{
		{"A request behind those that the peer has read is unread", appendGoAway(nil, 0), true},
		{"A request that the peer has read may have run", appendGoAway(nil, 1), false},
		{"A request may have run if the peer, of an earlier version, names no number", []byte{0, 0, 0, 0}, false},
		{"A request may have run if the number is cut", appendGoAway(nil, 0)[:7], false},
	} {
		Convey(test.text, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _, _ = newCodec(testBodies()).read(c)
				_, _ = c.Write(test.frame)
				_ = c.Close()
			}()
			c := NewClient(l.Addr().String(), nil, testBodies())
			defer c.Close()
			_, err = do(c, "1")
			So(err, ShouldNotBeNil)
			So(errors.Is(err, httpc.ErrNotSent), ShouldEqual, test.unread)
			So(errors.Is(err, httpc.ErrResponseLost), ShouldEqual, !test.unread)
		})
	}
}
