package httpd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/pipe/head"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// conn is a connection of a caller. One goroutine reads requests; each request is
// handled on a goroutine of its own.
type conn struct {
	net.Conn
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
}

func newConn(s *Server, c net.Conn) *conn {
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

// readBufferSize is the read buffer of a new connection, in bytes. A header that
// doesn't fit into it gets a buffer of the configured limit.
const readBufferSize = 4 << 10

// lengthUnset is fasthttp's content length of a request with neither Content-Length
// nor Transfer-Encoding.
const lengthUnset = -2

var errHeaderTooLarge = errors.New("request header exceeds the configured limit")

// read reads and starts requests until the connection ends or the server reads no more; then it
// cancels the context of those pending once the caller has gone.
func (c *conn) read() {
	defer c.cancel()
	for {
		c.updateReadDeadline()
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		if !c.beginRequest() {
			c.discard()
			return
		}
		req, failure := c.readRequest()
		if failure == nil && req != nil && c.server.isQuiescing() {
			fasthttp.ReleaseRequest(req)
			failure = msg.Plain(fasthttp.StatusServiceUnavailable, "not run: the node is stopping").WithRetryAfter(stoppingRetryAfter)
		}
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
			fasthttp.ReleaseRequest(req)
			c.discard()
			return
		}
	}
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

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// discard reads and drops what arrives behind the last request that was read, until the caller
// closes the connection, which is noticed while requests are pending, or until the lingering close
// after the last response has timed out.
func (c *conn) discard() {
	c.updateReadDeadline()
	_, _ = io.Copy(io.Discard, c.r)
}

// readRequest reads a complete request. failure is the response to a request that
// can't be read, such as one that is malformed, too large or too slow. Both results
// are nil where the caller disconnected.
func (c *conn) readRequest() (req *fasthttp.Request, failure *msg.Response) {
	limits := c.server.currentLimits()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req = fasthttp.AcquireRequest()
	req.Header.SetNoDefaultContentType(true)
	if err := c.readHeader(req, limits.HeaderBytes); err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, headerFailure(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	if req.MayContinue() {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			fasthttp.ReleaseRequest(req)
			return nil, nil
		}
	}
	if err := c.readBody(req, limits.BodyBytes); err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, bodyFailure(err)
	}
	return req, nil
}

// readHeader reads a valid header of at most limit bytes, or of the read buffer's size if
// that is larger.
func (c *conn) readHeader(req *fasthttp.Request, limit int) error {
	err := head.PeekRequest(c.r)
	if isTooLong(err) && c.r.Size() < limit {
		c.r = bufio.NewReaderSize(c.r, limit)
		err = head.PeekRequest(c.r)
	}
	switch {
	case isTooLong(err):
		return errHeaderTooLarge
	case err != nil:
		return err
	}
	return req.Header.Read(c.r)
}

// isTooLong reports whether an error says that a header doesn't fit into the read buffer.
func isTooLong(err error) bool {
	var malformed *head.Error
	return errors.As(err, &malformed) && malformed.Reason == head.TooLong
}

// readBody reads the body of a request. Fields behind a chunked body are checked and dropped.
func (c *conn) readBody(req *fasthttp.Request, limit int) error {
	if req.Header.ContentLength() != httpc.Chunked {
		return req.ContinueReadBody(c.r, limit, false)
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.r), int64(limit)+1))
	switch {
	case err != nil:
		return err
	case len(body) > limit:
		return fasthttp.ErrBodyTooLarge
	}
	req.SetBodyRaw(body)
	return head.ReadTrailer(c.r)
}

// headerFailure returns the response to a header that can't be read, nil where the
// caller disconnected.
func headerFailure(err error) *msg.Response {
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return msg.Plain(fasthttp.StatusRequestHeaderFieldsTooLarge, "header too large; send fewer or shorter fields")
	case errors.As(err, &ne) && ne.Timeout():
		return msg.Plain(fasthttp.StatusRequestTimeout, "header took too long; send it at once")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isConnError(err):
		return nil
	}
	return msg.Plain(fasthttp.StatusBadRequest, "malformed request: "+err.Error())
}

// bodyFailure returns the response to a body that can't be read, nil where the caller
// disconnected.
func bodyFailure(err error) *msg.Response {
	var ne net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return msg.Plain(fasthttp.StatusRequestEntityTooLarge, "body too large")
	case errors.As(err, &ne) && ne.Timeout():
		return msg.Plain(fasthttp.StatusRequestTimeout, "body took too long")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		return nil
	}
	return msg.Plain(fasthttp.StatusBadRequest, "malformed body: "+err.Error())
}

// isConnError reports whether an error comes from the connection itself, as when the
// caller resets it.
func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// startRequest starts handling a request; it returns false where an earlier response
// has closed the connection.
func (c *conn) startRequest(req *fasthttp.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
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
	go c.handle(req, previous, done)
	return true
}

// handle runs the handler for a request and writes the response once previous is
// closed, that is once the response to the request before has been written. It closes
// done afterwards.
func (c *conn) handle(req *fasthttp.Request, previous, done chan struct{}) {
	defer func() { <-c.slots }()
	defer close(done)
	defer fasthttp.ReleaseRequest(req)
	defer c.server.addPending(-1)
	in := &Inbound{
		Request: msg.Request{
			Method:  string(req.Header.Method()),
			URI:     string(req.Header.RequestURI()),
			Host:    string(req.Header.Host()),
			Body:    bytes.Clone(req.Body()),
			HasBody: req.Header.ContentLength() != lengthUnset,
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
	if alreadyEnded {
		return
	}
	if resp != nil {
		resp.Bodyless = resp.Bodyless || method == fasthttp.MethodHead
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.Write(resp.Append(nil, !closes)); err != nil {
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
	}
}

// closeWrite closes the sending side of the connection; the caller's bytes are still
// read.
func (c *conn) closeWrite() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
		return
	}
	_ = c.Close()
}

// rejectRequest writes the response to a request that can't be read, after the
// responses to those before it, and closes the connection.
func (c *conn) rejectRequest(failure *msg.Response) {
	c.mu.Lock()
	previous := c.lastWritten
	c.mu.Unlock()
	<-previous
	if c.isEnded() {
		return
	}
	c.mu.Lock()
	c.pending++
	c.undecided++
	c.reading = false
	c.mu.Unlock()
	c.server.addPending(1)
	c.writeResponse(failure, "", true)
	c.server.addPending(-1)
	c.discard()
}
