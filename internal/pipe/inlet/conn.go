package inlet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/pipe/msg"
)

// conn is one connection: a goroutine that reads requests and one a request.
type conn struct {
	net.Conn
	server *Server
	r      *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	mu     sync.Mutex
	// pending counts requests read whose answers have not been written.
	pending int
	// reading says that a request has begun to arrive.
	reading bool
	// last is closed when the answer of the newest request has been written.
	last chan struct{}
	// ended says that an answer has closed the connection: nothing read after it
	// is handled.
	ended bool
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan struct{})
	close(first)
	return &conn{
		Conn:   c,
		server: s,
		r:      bufio.NewReaderSize(c, readBuffer),
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, maxPipelined),
		last:   first,
	}
}

// readBuffer is how much of a header is read at first, in bytes; a longer one
// gets a buffer of the configured limit.
const readBuffer = 4 << 10

// noLength is fasthttp's mark of a request that says nothing of a body.
const noLength = -2

var errHeaderTooLarge = errors.New("header exceeds the limit")

// read serves the connection until it ends; then it cancels what is pending.
func (c *conn) read() {
	defer c.cancel()
	for {
		c.awaitRequest()
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		c.setReading(true)
		if c.isEnded() {
			c.discard()
			return
		}
		req, failure := c.readRequest()
		if failure != nil {
			c.refuse(failure)
			return
		}
		if req == nil {
			return
		}
		c.slots <- struct{}{}
		if !c.begin(req) {
			<-c.slots
			fasthttp.ReleaseRequest(req)
			c.discard()
			return
		}
	}
}

// awaitRequest bounds the wait for a request's first byte while none is pending.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdleDeadline()
}

// setIdleDeadline must be called with c.mu held.
func (c *conn) setIdleDeadline() {
	switch {
	case c.ended:
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	case c.reading:
	case c.pending == 0 && c.server.isQuiet():
		_ = c.SetReadDeadline(time.Now())
	case c.pending == 0:
		_ = c.SetReadDeadline(time.Now().Add(c.server.currentLimits().IdleTimeout))
	default:
		_ = c.SetReadDeadline(time.Time{})
	}
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// discard reads what arrives after the last answer until the caller closes.
func (c *conn) discard() {
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.r)
}

// readRequest reads a whole request. Both results are nil where the caller hung
// up or sent too slowly to deserve an answer; failure is the answer to a request
// that can't be taken.
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
	if err := req.ContinueReadBody(c.r, limits.BodyBytes, false); err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, bodyFailure(err)
	}
	return req, nil
}

func (c *conn) readHeader(req *fasthttp.Request, limit int) error {
	err := req.Header.Read(c.r)
	var small *fasthttp.ErrSmallBuffer
	if !errors.As(err, &small) {
		return err
	}
	if c.r.Size() >= limit {
		return errHeaderTooLarge
	}
	c.r = bufio.NewReaderSize(c.r, limit)
	err = req.Header.Read(c.r)
	if errors.As(err, &small) {
		return errHeaderTooLarge
	}
	return err
}

func headerFailure(err error) *msg.Response {
	var ne net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return msg.Plain(fasthttp.StatusRequestHeaderFieldsTooLarge, "header too large; send fewer or shorter fields")
	case errors.As(err, &ne) && ne.Timeout():
		return msg.Plain(fasthttp.StatusRequestTimeout, "header took too long; send it at once")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isReset(err):
		return nil
	}
	return msg.Plain(fasthttp.StatusBadRequest, "malformed request: "+err.Error())
}

func bodyFailure(err error) *msg.Response {
	var ne net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return msg.Plain(fasthttp.StatusRequestEntityTooLarge, "body too large")
	case errors.As(err, &ne) && ne.Timeout():
		return msg.Plain(fasthttp.StatusRequestTimeout, "body took too long")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return nil
	}
	return msg.Plain(fasthttp.StatusBadRequest, "malformed body: "+err.Error())
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// begin starts handling a request and reports false where an answer before it
// has closed the connection.
func (c *conn) begin(req *fasthttp.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.pending++
	c.reading = false
	c.server.count(1)
	before := c.last
	done := make(chan struct{})
	c.last = done
	_ = c.SetReadDeadline(time.Time{})
	go c.handle(req, before, done)
	return true
}

func (c *conn) handle(req *fasthttp.Request, before, done chan struct{}) {
	defer func() { <-c.slots }()
	defer close(done)
	defer fasthttp.ReleaseRequest(req)
	defer c.server.count(-1)
	in := &Inbound{
		Request: msg.Request{
			Method:  string(req.Header.Method()),
			URI:     string(req.Header.RequestURI()),
			Host:    string(req.Header.Host()),
			Body:    bytes.Clone(req.Body()),
			HasBody: req.Header.ContentLength() != noLength,
		},
		Header:  &req.Header,
		Arrived: time.Now(),
	}
	resp := c.guarded(in)
	<-before
	c.answer(resp, in.Method, req.Header.ConnectionClose())
}

// guarded keeps a request that makes the handler panic from ending the node.
func (c *conn) guarded(in *Inbound) (resp *msg.Response) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("request handler panicked")
			resp = msg.Plain(fasthttp.StatusBadGateway, "internal error")
		}
	}()
	return c.server.handler(c.ctx, in)
}

// answer writes an answer in its turn; nil ends the connection without one.
func (c *conn) answer(resp *msg.Response, method string, callerCloses bool) {
	defer c.written()
	c.mu.Lock()
	over := c.ended
	closes := resp == nil || callerCloses || (c.server.isDraining() && c.pending == 1)
	if closes {
		c.ended = true
	}
	c.mu.Unlock()
	if over {
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
		c.shutWrite()
	}
}

// written notes that a request has had its answer: only then may the reader give
// the connection up.
func (c *conn) written() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 {
		c.setIdleDeadline()
	}
}

func (c *conn) shutWrite() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
		return
	}
	_ = c.Close()
}

// refuse answers a request that can't be read, after those before it.
func (c *conn) refuse(failure *msg.Response) {
	c.mu.Lock()
	before := c.last
	c.mu.Unlock()
	<-before
	if c.isEnded() {
		return
	}
	c.mu.Lock()
	c.pending++
	c.ended = false
	c.mu.Unlock()
	c.answer(failure, "", true)
	c.discard()
}
