// Package pool is the HTTP/1.1 client with a connection pool through which a node
// calls the target on its VM. A connection carries one request at a time and
// returns to the pool only after a complete response. A timeout, a cancellation or
// an incomplete response closes it, so that a late response never reaches another
// request.
package pool

import (
	"bufio"
	"bytes"
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
	// maxBodyBytes bounds the body of a response, maxBodiesBytes all that are read at once.
	maxBodyBytes   = 4 << 20
	maxBodiesBytes = 64 << 20
	// maxStale bounds how many responses to earlier requests one exchange skips.
	maxStale = 2
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
	// echo names the header field that holds the ID of a request, and of its response.
	echo   string
	bodies *httpc.Bodies
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// New returns a pool that keeps at most size idle connections to an address, at
// least one, and a function that closes the pool. echo names the header field in which the
// target echoes the ID of a request; the connection of a response without it is closed.
func New(address string, size int, echo string) (*Pool, func()) {
	p := &Pool{
		address: address,
		echo:    echo,
		bodies:  httpc.NewBodies(maxBodiesBytes, maxBodyBytes),
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
	keep, err := p.exchange(c, req, resp)
	if !stop() {
		return errors.Join(ErrContextDone, ctx.Err())
	}
	if err != nil {
		_ = c.Close()
		return err
	}
	if !keep || resp.ConnectionClose() {
		_ = c.Close()
		return nil
	}
	p.put(c)
	return nil
}

// exchange writes a request and reads responses until one is to it, which is that which
// echoes its ID, or the first one without an echo. keep says that the connection may be used
// again. An error before the first byte of the response is ErrConnectionClosed, a later one
// ErrIncomplete.
func (p *Pool) exchange(c *conn, req *fasthttp.Request, resp *fasthttp.Response) (keep bool, err error) {
	if err := req.Write(c.writer); err != nil {
		return false, errors.Join(ErrConnectionClosed, err)
	}
	if err := c.writer.Flush(); err != nil {
		return false, errors.Join(ErrConnectionClosed, err)
	}
	for range maxStale + 1 {
		if _, err := c.reader.Peek(1); err != nil {
			return false, errors.Join(ErrConnectionClosed, err)
		}
		if err := p.readResponse(c.reader, resp); err != nil {
			return false, errors.Join(ErrIncomplete, err)
		}
		echoed := resp.Header.Peek(p.echo)
		if len(echoed) == 0 {
			return false, nil
		}
		if bytes.Equal(echoed, req.Header.Peek(p.echo)) {
			return true, nil
		}
	}
	return false, errors.Join(ErrIncomplete, errForeign)
}

// errInterim is returned for an interim response, which no request asks for.
var errInterim = errors.New("interim response")

// errForeign is returned where all responses belong to other requests.
var errForeign = errors.New("responses belong to other requests")

// readResponse reads a response that is delimited by a length or by chunked encoding; any
// other can't be distinguished from a truncated one.
func (p *Pool) readResponse(r *bufio.Reader, resp *fasthttp.Response) error {
	resp.Reset()
	if err := httpc.ReadHead(r, &resp.Header); err != nil {
		return err
	}
	switch resp.StatusCode() {
	case fasthttp.StatusContinue, fasthttp.StatusProcessing, fasthttp.StatusEarlyHints:
		return errInterim
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified:
		return nil
	}
	length := resp.Header.ContentLength()
	if length == httpc.UntilClose {
		return errNoLength
	}
	content, err := p.bodies.ReadBody(r, length)
	if err != nil {
		return err
	}
	resp.SetBodyRaw(content.Bytes())
	content.Release()
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
