// Package httpd implements the HTTP/1.1 server for callers. It reads ahead while
// requests are being handled, so that it notices at once when a caller disconnects,
// and so that pipelined requests are handled concurrently; their responses are sent
// in order. Requests and responses are not streamed: complete messages are held in
// memory.
package httpd

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/conf/rules"
	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// maxPipelined bounds the requests of one connection that are handled
	// concurrently.
	maxPipelined = 16
	// bodyTimeout bounds how long a body may take to arrive.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds how long writing a response may take.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the lingering close: after the last response the
	// connection is read until the caller closes it, since closing it with unread
	// bytes would reset it before the caller has the response.
	lingerTimeout = 500 * time.Millisecond
	// stoppingRetryAfter is the retry delay in the responses to requests that arrive as the server stops
	// reading: another node is to be asked.
	stoppingRetryAfter = 50 * time.Millisecond
	// noMemoryRetryAfter is the retry delay in the responses to requests for which there is no memory.
	noMemoryRetryAfter = 500 * time.Millisecond
	// requestBytes is the memory of a request without its body: its header, the stacks of its goroutines and
	// the connection to its target, in bytes.
	requestBytes = 16 << 10
	// smallHeader is the size of a header that requestBytes covers, headerCopies how often a larger one is
	// held: as received, parsed, filtered and encoded.
	smallHeader  = 2 << 10
	headerCopies = 4
	// receiveBuffer is the size of the receive buffer of a connection, in bytes; the kernel doubles it for its
	// own records. What callers send while their connections aren't read waits there.
	receiveBuffer = 32 << 10
	// TCP keep-alive detects callers whose VM is gone.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
)

// Inbound is a request that has been read completely. The server leaves the Fields
// of its msg.Request empty; the handler may derive them from Header.
type Inbound struct {
	msg.Request
	// Header is valid until the handler returns.
	Header *fasthttp.RequestHeader
	// Arrived is when the request had been read.
	Arrived time.Time
}

// Handler returns the response to a request. Its context ends when the caller hangs
// up. A nil response closes the connection without one.
type Handler func(ctx context.Context, in *Inbound) *msg.Response

// Server is a listener with its connections. It is safe for concurrent use.
type Server struct {
	handler Handler
	limits  func() rules.Limits
	budgets accept.Budgets
	// refusalLog is for lines about single requests.
	refusalLog zerolog.Logger
	log        zerolog.Logger
	listener   net.Listener
	mu         sync.Mutex
	conns      map[*conn]struct{}
	// draining is set by Drain and Quiesce: responses close their connection.
	draining bool
	// quiescing is set by Quiesce: idle connections are closed.
	quiescing bool
	// pending counts the requests being handled.
	pending int
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets a function that returns the limits in force, which is called for
// each request. A limit of 0 or less selects that of DefaultLimits.
func WithLimits(limits func() rules.Limits) Option {
	return func(s *Server) {
		s.limits = limits
	}
}

// WithLog sets the logger for panics of handlers and failures to accept
// connections. By default nothing is logged.
func WithLog(log zerolog.Logger) Option {
	return func(s *Server) {
		s.log = log
	}
}

// WithRefusalLog sets the logger for requests that are refused for want of memory or connections. By default
// nothing is logged.
func WithRefusalLog(log zerolog.Logger) Option {
	return func(s *Server) {
		s.refusalLog = log
	}
}

// WithBudgets bounds the connections and the memory of callers, which includes their requests. By default they
// are unlimited.
func WithBudgets(b accept.Budgets) Option {
	return func(s *Server) {
		s.budgets = b
	}
}

// DefaultLimits are the limits where no configuration is in force.
var DefaultLimits = rules.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// New listens on an address (ip:port) and returns the server, and the function that
// closes its listener and connections.
func New(address string, handler Handler, options ...Option) (*Server, func(), error) {
	config := net.ListenConfig{
		Control: accept.ReceiveBuffer(receiveBuffer),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		handler: handler,
		limits:  func() rules.Limits { return DefaultLimits },
		budgets: accept.Unlimited(),

		refusalLog: zerolog.Nop(),
		log:        zerolog.Nop(),
		listener:   listener,
		conns:      map[*conn]struct{}{},
	}
	for _, o := range options {
		o(s)
	}
	go accept.Loop(listener, s.log, s.budgets, s.serve)
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// serve serves a connection until it ends.
func (s *Server) serve(c *accept.Conn) {
	cn := newConn(s, c)
	s.mu.Lock()
	s.conns[cn] = struct{}{}
	s.mu.Unlock()
	cn.read()
	s.mu.Lock()
	delete(s.conns, cn)
	s.mu.Unlock()
	_ = c.Close()
}

// Drain makes each connection close with its next response, or with the last one
// where several requests are pending; requests behind these are not read. Idle connections stay
// open until then, since closing one could lose a request that is on its way.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Quiesce closes the listener and every connection on which no request is arriving
// or pending. Bytes that arrive from now on are left unread, so that callers may send
// the request elsewhere. Requests that were read before still get a response; those that
// are arriving are refused.
func (s *Server) Quiesce() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.draining = true
	s.quiescing = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.updateReadDeadline()
	}
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) isQuiescing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiescing
}

// Pending returns how many requests are being handled.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) addPending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += n
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// currentLimits returns the limits in force, with defaults for those that the
// configuration doesn't set.
func (s *Server) currentLimits() rules.Limits {
	l := s.limits()
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultLimits.BodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}
