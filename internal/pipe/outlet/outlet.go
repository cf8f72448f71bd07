// Package outlet sends requests to one address over kept connections, one
// request at a time on each, and checks that the answer is whole and belongs to
// its request. Its errors say what is known of the request's fate.
package outlet

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"fuchsiapier/internal/pipe/msg"
)

const (
	// maxAnswer bounds an answer's body, in bytes.
	maxAnswer = 64 << 20
	// defaultIdle is how long a connection is kept where the peer names no time;
	// below the idle limits seen at targets and at nodes.
	defaultIdle = 8 * time.Second
	// idleMargin is taken off the time that the peer names, since its clock for
	// the connection started earlier.
	idleMargin = 1 * time.Second
	// maxStray bounds the answers of earlier requests that are skipped.
	maxStray = 2
	readSize = 4 << 10
)

// Errors of Do, by what they say of the request.
var (
	// ErrNotSent means that no byte of the request was handed over.
	ErrNotSent = errors.New("not sent")
	// ErrRefused means that nobody listens at the address; nothing was sent.
	ErrRefused = errors.New("connection refused")
	// ErrLost means that the connection ended, or sent what is no answer, after
	// the request was handed over.
	ErrLost = errors.New("no whole answer")
	// ErrStopped means that the context ended after the request was handed over.
	ErrStopped = errors.New("stopped waiting")
)

// Conn is a kept connection. It carries one exchange at a time.
type Conn struct {
	net.Conn
	// Reader holds what was received and not read yet.
	Reader *bufio.Reader
	// State is what the protocol spoken on the connection remembers between exchanges.
	State any
	// FreshUntil ends the time in which the peer keeps the idle connection.
	FreshUntil time.Time
}

// Outlet is safe for concurrent use.
type Outlet struct {
	address     string
	dialTimeout time.Duration
	// unacknowledged is how long sent bytes may stay without an acknowledgement.
	unacknowledged time.Duration
	attempt        string
	filter         msg.Filter
	mu             sync.Mutex
	idle           []*Conn
	closed         bool
	dials          int
}

// Option configures an Outlet.
type Option func(*Outlet)

// WithDialTimeout bounds how long a connection may take to open.
func WithDialTimeout(d time.Duration) Option {
	return func(o *Outlet) {
		o.dialTimeout = d
	}
}

// WithUnacknowledged bounds how long sent bytes may stay unacknowledged before
// the connection counts as broken.
func WithUnacknowledged(d time.Duration) Option {
	return func(o *Outlet) {
		o.unacknowledged = d
	}
}

// WithAttemptHeader names the header in which peers echo the request's ID.
func WithAttemptHeader(name string) Option {
	return func(o *Outlet) {
		o.attempt = name
	}
}

// WithFilter sets which fields of an answer are not forwarded.
func WithFilter(f msg.Filter) Option {
	return func(o *Outlet) {
		o.filter = f
	}
}

// New returns an outlet to an address and its clean-up.
func New(address string, options ...Option) (*Outlet, func()) {
	o := &Outlet{
		address:        address,
		dialTimeout:    500 * time.Millisecond,
		unacknowledged: 3 * time.Second,
	}
	for _, opt := range options {
		opt(o)
	}
	return o, o.Close
}

// Address returns the address that requests go to.
func (o *Outlet) Address() string {
	return o.address
}

// Dials returns how many connections were opened.
func (o *Outlet) Dials() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dials
}

// Answer is a peer's answer with its parsed header.
type Answer struct {
	msg.Response
	Header *fasthttp.ResponseHeader
}

// Do sends an encoded request and reads its whole answer. The method decides
// whether the answer has a body; attempt, where not empty, must be echoed.
func (o *Outlet) Do(ctx context.Context, encoded []byte, method, attempt string) (*Answer, error) {
	var answer *Answer
	err := o.Exchange(ctx, func(c *Conn) (keep bool, err error) {
		answer, keep, err = o.exchange(c, encoded, method, attempt)
		return keep, err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// Exchange runs f on a connection, which is kept afterwards where f says so. The
// end of the context breaks the exchange off. Errors of f are handed on; those
// that come before f say that nothing was sent.
func (o *Outlet) Exchange(ctx context.Context, f func(c *Conn) (keep bool, err error)) error {
	c, err := o.get(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close()
	})
	keep, err := f(c)
	if !stop() {
		_ = c.Close()
		if err == nil {
			return nil
		}
		return errors.Join(ErrStopped, ctx.Err())
	}
	if err != nil || !keep {
		_ = c.Close()
		return err
	}
	o.put(c)
	return nil
}

func (o *Outlet) exchange(c *Conn, encoded []byte, method, attempt string) (answer *Answer, keep bool, err error) {
	if _, err := c.Write(encoded); err != nil {
		return nil, false, errors.Join(ErrLost, err)
	}
	for range maxStray + 1 {
		answer, keep, err = o.readAnswer(c, method)
		if err != nil {
			return nil, false, errors.Join(ErrLost, err)
		}
		echoed := string(answer.Header.Peek(o.attempt))
		if attempt == "" || echoed == attempt {
			return answer, keep && c.Reader.Buffered() == 0, nil
		}
	}
	return nil, false, errors.Join(ErrLost, errors.New("answers belong to other requests"))
}

func (o *Outlet) readAnswer(c *Conn, method string) (*Answer, bool, error) {
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	for {
		if err := h.Read(c.Reader); err != nil {
			return nil, false, err
		}
		if h.StatusCode() >= 200 {
			break
		}
	}
	a := &Answer{
		Header: h,
		Response: msg.Response{
			Status: h.StatusCode(),
		},
	}
	keep := !h.ConnectionClose()
	status := h.StatusCode()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		a.Bodyless = true
	} else {
		var err error
		if a.Body, err = readBody(c.Reader, h); err != nil {
			return nil, false, err
		}
		keep = keep && h.ContentLength() != untilClose
	}
	a.Fields = o.filter.ResponseFields(h)
	c.FreshUntil = time.Now().Add(keptFor(h))
	return a, keep, nil
}

// Lengths by which fasthttp marks an answer without one.
const (
	chunked    = -1
	untilClose = -2
)

// readBody reads a body to its end. One that ends with its connection is whole
// only if the connection was closed in order.
func readBody(r *bufio.Reader, h *fasthttp.ResponseHeader) ([]byte, error) {
	switch n := h.ContentLength(); {
	case n > maxAnswer:
		return nil, fasthttp.ErrBodyTooLarge
	case n >= 0:
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	case n == untilClose:
		body, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
		if err == nil && len(body) > maxAnswer {
			err = fasthttp.ErrBodyTooLarge
		}
		return body, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.Header.SetContentLength(chunked)
	if err := resp.ReadBody(r, maxAnswer); err != nil {
		return nil, err
	}
	if err := resp.Header.ReadTrailer(r); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return bytes.Clone(resp.Body()), nil
}

// keptFor reads how long the peer keeps the connection.
func keptFor(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

func (o *Outlet) get(ctx context.Context) (*Conn, error) {
	for {
		c := o.pop()
		if c == nil {
			return o.dial(ctx)
		}
		if time.Now().Before(c.FreshUntil) && Alive(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (o *Outlet) pop() *Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.idle) == 0 {
		return nil
	}
	c := o.idle[len(o.idle)-1]
	o.idle = o.idle[:len(o.idle)-1]
	return c
}

func (o *Outlet) dial(ctx context.Context) (*Conn, error) {
	d := net.Dialer{
		Timeout: o.dialTimeout,
		Control: o.boundUnacknowledged,
	}
	c, err := d.DialContext(ctx, "tcp", o.address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Join(ErrRefused, err)
	case err != nil:
		return nil, errors.Join(ErrNotSent, err)
	}
	o.mu.Lock()
	o.dials++
	o.mu.Unlock()
	return &Conn{
		Conn:   c,
		Reader: bufio.NewReaderSize(c, readSize),
	}, nil
}

func (o *Outlet) boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var err error
	cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.unacknowledged.Milliseconds()))
	})
	return errors.Join(cerr, err)
}

func (o *Outlet) put(c *Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		_ = c.Close()
		return
	}
	o.idle = append(o.idle, c)
}

// Trim closes connections that have been idle for too long.
func (o *Outlet) Trim(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.idle[:0]
	for _, c := range o.idle {
		if now.Before(c.FreshUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	o.idle = kept
}

// Close ends the idle connections; those in use end after their answers.
func (o *Outlet) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, c := range o.idle {
		_ = c.Close()
	}
	o.idle = nil
}

// Alive reports whether an idle connection has neither ended nor received bytes
// that nobody asked for.
func Alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
