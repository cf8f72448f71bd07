package httpc

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// silentPeer is a server whose open connections can be made silent: it reads nothing more from them and
// answers nothing, while it serves new ones.
type silentPeer struct {
	address string
	// silenced is the number of the first connections that are silent.
	silenced atomic.Int64
	opened   atomic.Int64
	// delay is how long requests take. None is answered before as many connections are open as awaited
	// says.
	delay   atomic.Int64
	awaited atomic.Int64
}

func newSilentPeer(t *testing.T) *silentPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &silentPeer{
		address: l.Addr().String(),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go p.serve(c, p.opened.Add(1))
		}
	}()
	return p
}

func (p *silentPeer) serve(c net.Conn, number int64) {
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil || number <= p.silenced.Load() {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		time.Sleep(time.Duration(p.delay.Load()))
		for p.opened.Load() < p.awaited.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, err := c.Write([]byte(okResponse)); err != nil {
			return
		}
	}
}

// TestSilentConnections guards against requests that are lost one after another over open connections to a peer that have
// all gone silent: only new ones work.
func TestSilentConnections(t *testing.T) {
	Convey("Given open connections of which one turns out to be silent", t, func() {
		peer := newSilentPeer(t)
		peer.awaited.Store(3)
		p, stop := New(peer.address, WithAttemptHeader("X-Id"), WithSilenceCheck(50*time.Millisecond))
		defer stop()
		results := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := do(p, "a")
				results <- err
			}()
		}
		for range 3 {
			So(<-results, ShouldBeNil)
		}
		So(p.Dials(), ShouldEqual, 3)
		peer.silenced.Store(3)
		// What the peer doesn't acknowledge is more than the buffers of the kernel hold.
		ctx, cancel := context.WithCancel(context.Background())
		lost := make(chan error, 1)
		go func() {
			_, err := p.Do(ctx, append([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...), "POST", "a")
			lost <- err
		}()
		defer func() {
			cancel()
			<-lost
		}()
		for p.idleCount() > 0 {
			time.Sleep(time.Millisecond)
		}
		Convey("the next request goes over a new one", func() {
			_, err := do(p, "a")
			So(err, ShouldBeNil)
			So(p.Dials(), ShouldEqual, 4)
			Convey("which is used again, since it has answered", func() {
				_, err := do(p, "a")
				So(err, ShouldBeNil)
				So(p.Dials(), ShouldEqual, 4)
			})
		})
	})
	Convey("A request that only takes long casts no doubt on the other connections", t, func() {
		peer := newSilentPeer(t)
		p, stop := New(peer.address, WithAttemptHeader("X-Id"), WithSilenceCheck(minSilenceCheck))
		peer.delay.Store(int64(2 * minSilenceCheck))
		peer.awaited.Store(2)
		defer stop()
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := do(p, "a")
				results <- err
			}()
		}
		So(<-results, ShouldBeNil)
		So(<-results, ShouldBeNil)
		_, err := do(p, "a")
		So(err, ShouldBeNil)
		So(p.idleCount(), ShouldEqual, 2)
	})
}

// idleCount returns the number of idle connections.
func (p *Pool) idleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
