// Package pool holds the connections from a node to the target on its VM. A
// connection carries one request at a time and goes back to the pool only after
// a whole answer; a timeout, cancellation or cut closes it.
package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/pipe/outlet"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxBody bounds an answer's body, in bytes.
	maxBody = 4 << 20
	// contentLengthUntilClose is fasthttp's mark of an answer that ends with its
	// connection, whose wholeness can't be seen.
	contentLengthUntilClose = -2
	// contentLengthChunked is its mark of a chunked answer.
	contentLengthChunked = -1
)

var errNoLength = errors.New("answer without a length; send Content-Length or chunks")

// Errors of Do, by what they say of the request.
var (
	// ErrNotSent means that no byte of the request was handed to the target.
	ErrNotSent = errors.New("target not reached")
	// ErrCut means that the target's answer was not whole or never came.
	ErrCut = errors.New("answer cut")
	// ErrGone means that the target closed the connection while it ran the request.
	ErrGone = errors.New("target gone")
	// ErrStopped means that the context ended first.
	ErrStopped = errors.New("stopped waiting for the target")
)

type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
}

// Pool is safe for concurrent use.
type Pool struct {
	address string
	max     int
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// New returns a pool of at most size idle connections to an address, and its clean-up.
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

// Do sends a request and reads its whole answer.
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
		return errors.Join(ErrStopped, ctx.Err())
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

func exchange(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := req.Write(c.w); err != nil {
		return errors.Join(ErrGone, err)
	}
	if err := c.w.Flush(); err != nil {
		return errors.Join(ErrGone, err)
	}
	if _, err := c.r.Peek(1); err != nil {
		return errors.Join(ErrGone, err)
	}
	if err := readWhole(c.r, resp); err != nil {
		return errors.Join(ErrCut, err)
	}
	return nil
}

// readWhole reads an answer whose end can be told from a cut. The header is
// judged before the body is read, since fasthttp then sets the length it got.
func readWhole(r *bufio.Reader, resp *fasthttp.Response) error {
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
	if err := resp.ReadBody(r, maxBody); err != nil {
		return err
	}
	if length == contentLengthChunked {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if outlet.Alive(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

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
		Conn: c,
		r:    bufio.NewReader(c),
		w:    bufio.NewWriter(c),
	}, nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.max || c.r.Buffered() > 0 {
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
