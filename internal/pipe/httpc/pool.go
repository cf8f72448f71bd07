// Package httpc sends requests to one address over persistent connections, one
// request at a time on each, and checks that each response is complete and belongs
// to its request. Its errors say whether the request can have reached the peer.
package httpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/head"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept where the peer sends
	// no Keep-Alive timeout. It is below the idle timeouts seen at targets and nodes.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the peer's Keep-Alive timeout, since the peer
	// counts from when it sent the response, before it arrives here.
	idleMargin = 1 * time.Second
	// maxInterim bounds how many interim responses (1xx) come before a response.
	maxInterim = 8
	// maxStale bounds how many responses to earlier requests one exchange skips.
	maxStale = 2
	// probeIdleTimeout is how long a connection that was opened to find out whether the peer is up
	// is kept: the peer may close a connection without requests sooner than others.
	probeIdleTimeout = 1 * time.Second
	// readBufferSize is a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// Errors of Do and Exchange, by what they say of the request.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrNoConnection means that the client may not open another connection; nothing was sent. It comes with
	// ErrNotSent.
	ErrNoConnection = errors.New("no connection left to open")
	// ErrRefused means that nothing listens at the address; nothing was sent.
	ErrRefused = errors.New("connection refused")
	// ErrResponseLost means that, after sending started, the connection ended or the
	// peer sent no complete response to the request, or one with too large a body. The
	// request may have run.
	ErrResponseLost = errors.New("no complete response")
	// ErrContextDone means that the context ended after the exchange started. The
	// request may have run.
	ErrContextDone = errors.New("context ended before the response")
)

// Conn is a persistent connection. It carries one exchange at a time.
type Conn struct {
	net.Conn
	// share is the descriptor of the connection.
	share *budget.Share
	// Reader buffers what was received and not read yet; reads must go through it.
	Reader *bufio.Reader
	// State holds what the protocol on the connection keeps between exchanges; nil at
	// first.
	State any
	// provenAt is when the peer last answered on the connection, or when it was opened.
	provenAt time.Time
	// FreshUntil is when the idle connection expires, shortly before the peer closes
	// it. Each exchange sets it.
	FreshUntil time.Time
	// release gives the descriptor back.
	release func()
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

// Pool is a client of one address with a pool of idle connections. It is safe for
// concurrent use.
type Pool struct {
	address     string
	dialTimeout time.Duration
	// userTimeout is the TCP user timeout (RFC 5482): how long sent bytes may stay
	// unacknowledged.
	userTimeout time.Duration
	// silenceCheck is how long after a request was sent its bytes are expected to be acknowledged.
	silenceCheck time.Duration
	onSilence    func(since time.Time)
	// attempt names the header field in which peers echo a request's attempt ID.
	attempt string
	filter  msg.Filter
	bodies  *Bodies
	// connections bounds the connections of this and other clients.
	connections *budget.Budget
	mu          sync.Mutex
	idle        []*Conn
	closed      bool
	// dials counts the connections opened.
	dials int
}

// Option configures a Pool.
type Option func(*Pool)

// WithDialTimeout bounds how long a connection may take to open. The default is
// 500 ms.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) {
		p.dialTimeout = d
	}
}

// WithTCPUserTimeout sets the TCP user timeout: how long sent bytes may stay
// unacknowledged before the connection is considered broken. The default is 3 s.
func WithTCPUserTimeout(d time.Duration) Option {
	return func(p *Pool) {
		p.userTimeout = d
	}
}

// WithSilenceCheck sets after which time a request whose bytes are not acknowledged shows that its
// connection is silent, and casts doubt on the others to the peer. The default is 250 ms, more than
// kernels delay acknowledgements.
func WithSilenceCheck(d time.Duration) Option {
	return func(p *Pool) {
		p.silenceCheck = d
	}
}

// WithOnSilence sets a function that is called when a connection turns out to be silent, with the time
// since when it is: connections to other peers may have gone silent with it.
func WithOnSilence(f func(since time.Time)) Option {
	return func(p *Pool) {
		p.onSilence = f
	}
}

// WithAttemptHeader sets the header field in which peers echo the attempt ID of a
// request.
func WithAttemptHeader(name string) Option {
	return func(p *Pool) {
		p.attempt = name
	}
}

// WithFilter sets which fields of a response are not forwarded.
func WithFilter(f msg.Filter) Option {
	return func(p *Pool) {
		p.filter = f
	}
}

// WithBodies sets the bound on the memory of bodies that are read, which several clients
// may share. Without it, or if it is nil, the client has a bound of its own.
func WithBodies(b *Bodies) Option {
	return func(p *Pool) {
		if b != nil {
			p.bodies = b
		}
	}
}

// WithConnections sets the bound on open connections, which several clients may share. Where it is reached,
// idle ones are closed for new ones. Without it they are unlimited.
func WithConnections(b *budget.Budget) Option {
	return func(p *Pool) {
		if b != nil {
			p.connections = b
		}
	}
}

// New returns a client of an address (ip:port) and its Close method.
func New(address string, options ...Option) (*Pool, func()) {
	p := &Pool{
		address:     address,
		dialTimeout: 500 * time.Millisecond,
		userTimeout: 3 * time.Second,

		silenceCheck: minSilenceCheck,
		onSilence:    func(time.Time) {},
		bodies:       NewBodies(defaultBodies, defaultBodies),
		connections:  budget.Unlimited(),
	}
	for _, opt := range options {
		opt(p)
	}
	return p, p.Close
}

// Address returns the address that requests go to.
func (p *Pool) Address() string {
	return p.address
}

// Dials returns how many connections were opened so far.
func (p *Pool) Dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Answer is a peer's response with its parsed header.
type Answer struct {
	msg.Response
	// Header holds all fields, the ones that are not forwarded too.
	Header *fasthttp.ResponseHeader
}

// Do sends an encoded request and reads its complete response. method says
// whether the response has a body. Where attempt is not empty, the response must
// echo it; responses to earlier requests are skipped. Each error matches one of
// ErrNotSent, ErrRefused, ErrResponseLost and ErrContextDone.
func (p *Pool) Do(ctx context.Context, encoded []byte, method, attempt string) (*Answer, error) {
	return p.DoWithBody(ctx, encoded, body.Body{}, method, attempt)
}

// DoWithBody is like Do, with a request whose body follows its encoded head.
func (p *Pool) DoWithBody(ctx context.Context, encoded []byte, content body.Body, method, attempt string) (*Answer, error) {
	var resp *Answer
	err := p.Exchange(ctx, func(c *Conn) (keep bool, err error) {
		resp, keep, err = p.exchange(c, encoded, content, method, attempt)
		return keep, err
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// Probe finds out whether the peer accepts connections: it opens one, and keeps it for the next
// request. Its errors match ErrNotSent or ErrRefused.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	c.FreshUntil = time.Now().Add(probeIdleTimeout)
	p.put(c)
	return nil
}

// Exchange calls f with an idle or new connection, which is reused afterwards if f
// returns keep. Errors before f match ErrNotSent or ErrRefused; errors of f are
// returned as they are. The end of the context closes the connection: an error of
// f is then replaced by one that matches ErrContextDone; a success stays a success.
func (p *Pool) Exchange(ctx context.Context, f func(c *Conn) (keep bool, err error)) error {
	c, err := p.get(ctx)
	if err != nil {
		return err
	}
	return p.exchangeOn(ctx, c, f)
}

// ExchangeOnNewConn is like Exchange, but always opens a connection: an idle one may be dead
// without a sign.
func (p *Pool) ExchangeOnNewConn(ctx context.Context, f func(c *Conn) (keep bool, err error)) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	return p.exchangeOn(ctx, c, f)
}

// exchangeOn calls f with a connection.
func (p *Pool) exchangeOn(ctx context.Context, c *Conn, f func(c *Conn) (keep bool, err error)) error {
	stop := context.AfterFunc(ctx, func() {
		_ = c.Close()
	})
	check := p.checkSilence(c)
	keep, err := f(c)
	check.Stop()
	if !stop() {
		_ = c.Close()
		if err == nil {
			return nil
		}
		return errors.Join(ErrContextDone, ctx.Err())
	}
	if err != nil || !keep {
		_ = c.Close()
		return err
	}
	c.provenAt = time.Now()
	p.put(c)
	return nil
}

// exchange sends a request and reads responses until one echoes attempt.
func (p *Pool) exchange(c *Conn, encoded []byte, content body.Body, method, attempt string) (resp *Answer, keep bool, err error) {
	if err := content.WriteTo(c.Conn, encoded); err != nil {
		return nil, false, errors.Join(ErrResponseLost, err)
	}
	for range maxStale + 1 {
		resp, keep, err = p.readResponse(c, method)
		if err != nil {
			return nil, false, errors.Join(ErrResponseLost, err)
		}
		echoed := string(resp.Header.Peek(p.attempt))
		if attempt == "" || echoed == attempt {
			return resp, keep && c.Reader.Buffered() == 0, nil
		}
		resp.Body.Release()
	}
	return nil, false, errors.Join(ErrResponseLost, errors.New("responses belong to other requests"))
}

// readResponse reads the next final response (interim ones, 1xx, are skipped) and
// reports whether the connection can be reused.
func (p *Pool) readResponse(c *Conn, method string) (*Answer, bool, error) {
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	for interim := 0; ; interim++ {
		if err := ReadHead(c.Reader, h); err != nil {
			return nil, false, err
		}
		if h.StatusCode() >= 200 {
			break
		}
		if interim >= maxInterim {
			return nil, false, errInterim
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
		if a.Body, err = p.readBody(c.Reader, h); err != nil {
			return nil, false, err
		}
		keep = keep && h.ContentLength() != UntilClose
	}
	a.Fields = p.filter.ResponseFields(h)
	c.FreshUntil = time.Now().Add(idleTimeout(h))
	return a, keep, nil
}

// errInterim is returned for a peer that sends only interim responses.
var errInterim = errors.New("too many interim responses")

// ReadHead reads the head of a response, which must be valid: its errors match *head.Error if it is not.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := head.PeekResponse(r); err != nil {
		return err
	}
	return h.Read(r)
}

// readBody reads a complete body. A body that ends with the connection is complete
// if the peer closed the connection in order (FIN), not if it reset it.
func (p *Pool) readBody(r *bufio.Reader, h *fasthttp.ResponseHeader) (body.Body, error) {
	return p.bodies.ReadBody(r, h.ContentLength())
}

// idleTimeout returns how long the connection may be reused after a response: the
// timeout of its Keep-Alive field less a margin, else a default.
func idleTimeout(h *fasthttp.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// get returns an idle connection that is still usable, else a new one.
func (p *Pool) get(ctx context.Context) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if c.share.ForbidEviction() && time.Now().Before(c.FreshUntil) && Alive(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// pop removes and returns the idle connection that was used last, nil if there is
// none.
func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	share := p.connections.Open(budget.Answers)
	if err := share.TryGrow(1); err != nil {
		share.Release()
		return nil, errors.Join(ErrNotSent, ErrNoConnection, err)
	}
	d := net.Dialer{
		Timeout: p.dialTimeout,
		Control: p.setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		share.Release()
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Join(ErrRefused, err)
	case err != nil:
		return nil, errors.Join(ErrNotSent, err)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return &Conn{
		Conn:     c,
		share:    share,
		release:  sync.OnceFunc(share.Release),
		provenAt: time.Now(),
		Reader:   bufio.NewReaderSize(c, readBufferSize),
	}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.userTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}

// put keeps a connection for reuse.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	c.share.AllowEviction(func() { _ = c.Close() })
}

// Trim closes the idle connections that have expired by now.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.FreshUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = kept
}

// Close closes the idle connections; those in use are closed after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// Alive reports whether an idle connection is usable: the peer has neither closed it
// nor sent unsolicited bytes. It peeks at the socket without blocking; connections
// that are no sockets count as alive.
func Alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
