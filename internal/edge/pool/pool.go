// Package pool is the HTTP/1.1 client with a connection pool through which a node
// calls the target on its VM. A connection carries one request at a time and
// returns to the pool only after a complete response. A timeout, a cancellation or
// an incomplete response closes it, so that a late response never reaches another
// request.
package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/pipe/httpc"
)

const (
	// dialTimeout bounds connecting to the target.
	dialTimeout = 500 * time.Millisecond
	// maxBodyBytes bounds the body of a response.
	maxBodyBytes = 4 << 20
	// contentLengthUntilClose is what fasthttp returns as the content length of a
	// response that is delimited by the close of its connection. Such a response
	// can't be told from a truncated one.
	contentLengthUntilClose = -2
	// contentLengthChunked is what fasthttp returns as the content length of a
	// response in chunked transfer encoding.
	contentLengthChunked = -1
)

// errNoLength rejects a response that is delimited by the close of its connection.
var errNoLength = errors.New("response has no length; make the target send Content-Length or chunked encoding")

// Errors of Do. Only ErrNotSent rules out that the target ran the request.
var (
	// ErrNotSent means that no byte of the request was sent to the target.
	ErrNotSent = errors.New("request not sent: no connection to the target")
	// ErrIncomplete means that the response began but is incomplete, malformed, too
	// large or without a length.
	ErrIncomplete = errors.New("response of the target incomplete")
	// ErrConnectionClosed means that the connection failed before the first byte of
	// the response. The target may have received the request.
	ErrConnectionClosed = errors.New("connection to the target closed before its response")
	// ErrContextDone means that the context ended before the response was complete.
	ErrContextDone = errors.New("context ended before the response of the target")
)

// conn is a connection with its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	max     int
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// New returns a pool that keeps at most size idle connections to an address, at
// least one, and a function that closes the pool.
func New(address string, size int) (*Pool, func()) {
	p := &Pool{
		address: address,
		max:     max(size, 1),
	}
	return p, p.close
}

// Address returns the target's address.
func (p *Pool) Address() string {
	return p.address
}

// Do sends a request and reads the complete response into resp. It does not retry.
// If ctx ends first, Do closes the connection and returns ErrContextDone.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	c, err := p.get(ctx)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close()
	})
	err = exchange(c, req, resp)
	if !stop() {
		return errors.Join(ErrContextDone, ctx.Err())
	}
	if err != nil {
		_ = c.Close()
		return err
	}
	if resp.ConnectionClose() {
		return c.Close()
	}
	p.put(c)
	return nil
}

// exchange writes a request and reads its response. An error before the first byte
// of the response is ErrConnectionClosed, a later one ErrIncomplete.
func exchange(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := req.Write(c.writer); err != nil {
		return errors.Join(ErrConnectionClosed, err)
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Join(ErrConnectionClosed, err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Join(ErrConnectionClosed, err)
	}
	if err := readResponse(c.reader, resp); err != nil {
		return errors.Join(ErrIncomplete, err)
	}
	return nil
}

// readResponse reads a response that is delimited by a length or by chunked
// encoding; any other can't be told from a truncated one. It checks the length
// before it reads the body, since fasthttp then overwrites the length in the
// header with that of the body.
func readResponse(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := resp.Header.Read(r); err != nil {
		return err
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return nil
	}
	length := resp.Header.ContentLength()
	if length == contentLengthUntilClose {
		return errNoLength
	}
	if err := resp.ReadBody(r, maxBodyBytes); err != nil {
		return err
	}
	if length == contentLengthChunked {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

// get returns an idle connection that is still open, else a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if httpc.Alive(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// pop removes and returns the idle connection that was put last, nil if none is idle.
func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:   c,
		reader: bufio.NewReader(c),
		writer: bufio.NewWriter(c),
	}, nil
}

// put returns a connection to the pool, or closes it if the pool is full or closed
// or if the target sent bytes after the response.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.max || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
