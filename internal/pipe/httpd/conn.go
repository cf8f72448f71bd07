package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/msg"
)

// conn is a connection of a caller. One goroutine reads requests; each request is
// handled on a goroutine of its own. While no request is pending, the connection may be
// taken back for others; while one arrives, so may its memory.
type conn struct {
	*accept.Conn
	server *Server
	r      *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// slots limits the requests that are handled concurrently.
	slots chan struct{}
	mu    sync.Mutex
	// pending counts the requests read whose responses have not been written, undecided those of them of
	// which it is not decided yet whether the response closes the connection.
	pending   int
	undecided int
	// reading is set while a request arrives.
	reading bool
	// lastWritten is closed when the response to the newest request has been written.
	lastWritten chan struct{}
	// ended is set by a response that closes the connection; nothing read after it
	// is handled.
	ended bool
	// evicted is set when the connection, or the memory of the request that arrives, was taken back.
	evicted bool
	// rejecting is set once the last request was rejected: the connection then ends anyway.
	rejecting bool
}

func newConn(s *Server, c *accept.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	close(written)
	return &conn{
		Conn:        c,
		server:      s,
		r:           bufio.NewReaderSize(c, readBufferSize),
		ctx:         ctx,
		cancel:      cancel,
		slots:       make(chan struct{}, maxPipelined),
		lastWritten: written,
	}
}

// read reads and starts requests until the connection ends or the server reads no more; then it
// cancels the context of those pending once the caller has gone.
func (c *conn) read() {
	defer c.cancel()
	c.AllowEviction(c.evict)
	for {
		c.updateReadDeadline()
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		if !c.beginRequest() {
			c.discard()
			return
		}
		req, failure := c.readWithinBudget()
		if failure != nil {
			c.rejectRequest(failure)
			return
		}
		if req == nil {
			return
		}
		c.slots <- struct{}{}
		if !c.startRequest(req) {
			<-c.slots
			req.release()
			if c.isEvicted() {
				c.rejectRequest(noMemory())
				return
			}
			c.discard()
			return
		}
	}
}

// evict is called when the connection, or the memory of the request that arrives, is needed for others: it
// ends the read in progress.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejecting {
		return
	}
	c.evicted = true
	_ = c.SetReadDeadline(time.Now())
}

// setReadDeadline sets the deadline of the read in progress, unless it was ended by evict.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted {
		_ = c.SetReadDeadline(t)
	}
}

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// beginRequest is called when the first byte of a request has arrived, and reports whether the request
// is read. None is behind one whose response closes the connection: the caller sends it again. While the
// server drains, that is the last one that was pending, so that callers which always have several
// pending come to an end.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.undecided > 0 && c.server.isDraining() {
		return false
	}
	c.reading = true
	c.Progressed()
	return true
}

// updateReadDeadline sets the deadline for the first byte of the next request.
func (c *conn) updateReadDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateReadDeadlineLocked()
}

// updateReadDeadlineLocked sets the read deadline by the state of the connection:
// the lingering close after its last response, the idle timeout while no request is
// pending (an immediate deadline if the server quiesces), and none while requests are
// pending. While a request arrives, readRequest sets it. c.mu must be held.
func (c *conn) updateReadDeadlineLocked() {
	switch {
	case c.evicted && !c.rejecting:
	case c.ended:
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	case c.reading:
	case c.pending == 0 && c.server.isQuiescing():
		_ = c.SetReadDeadline(time.Now())
	case c.pending == 0:
		_ = c.SetReadDeadline(time.Now().Add(c.server.currentLimits().IdleTimeout))
	default:
		_ = c.SetReadDeadline(time.Time{})
	}
}

// discard reads and drops what arrives behind the last request that was read, until the caller
// closes the connection, which is noticed while requests are pending, or until the lingering close
// after the last response has timed out.
func (c *conn) discard() {
	c.updateReadDeadline()
	_, _ = io.Copy(io.Discard, c.r)
}

// startRequest starts handling a request; it returns false where an earlier response
// has closed the connection, or it was taken back.
func (c *conn) startRequest(a *arrival) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.evicted || !c.ForbidEviction() {
		c.evicted = !c.ended
		return false
	}
	c.pending++
	c.undecided++
	c.reading = false
	c.server.addPending(1)
	previous := c.lastWritten
	done := make(chan struct{})
	c.lastWritten = done
	_ = c.SetReadDeadline(time.Time{})
	go c.handle(a, previous, done)
	return true
}

// handle runs the handler for a request and writes the response once previous is
// closed, that is once the response to the request before has been written. It closes
// done afterwards.
func (c *conn) handle(a *arrival, previous, done chan struct{}) {
	defer func() { <-c.slots }()
	defer close(done)
	defer a.release()
	defer c.server.addPending(-1)
	req := a.Request
	in := &Inbound{
		Request: msg.Request{
			Method:  string(req.Header.Method()),
			URI:     string(req.Header.RequestURI()),
			Host:    string(req.Header.Host()),
			Body:    a.body,
			HasBody: hasBody(req),
		},
		Header:  &req.Header,
		Arrived: time.Now(),
	}
	resp := c.callHandler(in)
	<-previous
	c.writeResponse(resp, in.Method, req.Header.ConnectionClose())
}

// callHandler calls the handler and recovers from a panic in it, so that one request
// can't end the process; the response is then 502.
func (c *conn) callHandler(in *Inbound) (resp *msg.Response) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("request handler panicked")
			resp = msg.Plain(fasthttp.StatusBadGateway, "internal error")
		}
	}()
	return c.server.handler(c.ctx, in)
}

// writeResponse writes a response, or closes the connection without one where it is
// nil. Responses after one that closes the connection are dropped.
func (c *conn) writeResponse(resp *msg.Response, method string, callerCloses bool) {
	defer c.finishRequest()
	c.mu.Lock()
	alreadyEnded := c.ended
	closes := resp == nil || callerCloses || (c.server.isDraining() && c.undecided == 1)
	c.undecided--
	if closes {
		c.ended = true
	}
	c.mu.Unlock()
	if resp != nil {
		defer resp.Body.Release()
	}
	if alreadyEnded {
		return
	}
	if resp != nil {
		resp.Bodyless = resp.Bodyless || method == fasthttp.MethodHead
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := resp.WriteTo(c.Conn.Conn, !closes, c.closeUnread); err != nil {
			c.cancel()
			_ = c.Close()
			return
		}
	}
	if resp == nil {
		_ = c.Close()
		return
	}
	if closes {
		c.closeWrite()
	}
}

// finishRequest counts a request as no longer pending. The idle timeout of the connection
// starts only after the last pending response has been written.
func (c *conn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 {
		c.updateReadDeadlineLocked()
		c.AllowEviction(c.evict)
	}
}

// closeUnread closes a connection whose caller does not read a response, as memory is needed for others.
func (c *conn) closeUnread() {
	_ = c.Conn.Conn.Close()
}

// closeWrite closes the sending side of the connection; the caller's bytes are still
// read.
func (c *conn) closeWrite() {
	if t, ok := c.Conn.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
		return
	}
	_ = c.Close()
}

// rejectRequest writes the response to a request that can't be read, after the
// responses to those before it, and closes the connection. What arrives meanwhile is dropped, so that it
// does not wait in the socket.
func (c *conn) rejectRequest(failure *msg.Response) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		c.discard()
		return
	}
	c.rejecting = true
	c.pending++
	c.undecided++
	c.reading = false
	previous, done := c.lastWritten, make(chan struct{})
	c.lastWritten = done
	first := c.pending == 1
	c.mu.Unlock()
	c.server.addPending(1)
	write := func() {
		defer close(done)
		defer c.server.addPending(-1)
		<-previous
		c.writeResponse(failure, "", true)
	}
	if first {
		write()
		c.discard()
		return
	}
	go write()
	c.discard()
	c.cancel()
	<-done
}
