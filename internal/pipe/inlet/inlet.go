// Package inlet serves HTTP/1.1 connections of callers and of other nodes. It
// reads ahead while requests are being handled: so it sees at once that a caller
// has hung up, and handles pipelined requests side by side while their answers
// leave in order. Requests and answers are whole messages.
package inlet

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
	// maxPipelined bounds the requests of one connection that are handled at once.
	maxPipelined = 16
	// bodyTimeout bounds how long a body may take to arrive.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds how long a caller may take no bytes of its answer.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a closed connection is still read, so that unread
	// bytes don't reset it before the caller has its answer.
	lingerTime = 500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find callers whose VM is gone.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
)

// Inbound is a request that has arrived whole.
type Inbound struct {
	msg.Request
	// Header is valid until the handler returns.
	Header  *fasthttp.RequestHeader
	Arrived time.Time
}

// Handler answers a request; its context ends when the caller hangs up.
type Handler func(ctx context.Context, in *Inbound) *msg.Response

// Server is a listener with its connections.
type Server struct {
	handler  Handler
	limits   func() rules.Limits
	log      zerolog.Logger
	listener net.Listener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	quiet    bool
	pending  int
}

// Option configures a Server.
type Option func(*Server)

// WithLimits sets where the limits on callers are read for each request.
func WithLimits(limits func() rules.Limits) Option {
	return func(s *Server) {
		s.limits = limits
	}
}

// WithLog sets where handlers that panic are logged.
func WithLog(log zerolog.Logger) Option {
	return func(s *Server) {
		s.log = log
	}
}

// DefaultLimits hold where no configuration is in force.
var DefaultLimits = rules.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// New listens on an address (ip:port) and returns the server with its clean-up,
// which closes every connection.
func New(address string, handler Handler, options ...Option) (*Server, func(), error) {
	config := net.ListenConfig{
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
		handler:  handler,
		limits:   func() rules.Limits { return DefaultLimits },
		log:      zerolog.Nop(),
		listener: listener,
		conns:    map[*conn]struct{}{},
	}
	for _, o := range options {
		o(s)
	}
	go accept.Loop(listener, s.log, s.serve)
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

func (s *Server) serve(c net.Conn) {
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

// Drain makes every further answer close its connection. Connections stay open
// until their next answer, so that no request is lost between two decisions.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Quiesce ends the listener and every connection that is not in the middle of a
// request: bytes that arrive from now on are left unread, so that callers may
// send them elsewhere. Requests that were read are answered.
func (s *Server) Quiesce() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.draining = true
	s.quiet = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.awaitRequest()
	}
}

// Open returns how many connections are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) isQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
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

func (s *Server) count(n int) {
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

// currentLimits fills what the configuration leaves open.
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
