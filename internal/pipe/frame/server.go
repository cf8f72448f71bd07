package frame

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// serverIdle ends connections that stay unused; longer than keepIdle.
	serverIdle = 60 * time.Second
	// arriveTime bounds how long a request may take to arrive after its first byte.
	arriveTime = 10 * time.Second
	// writeTime bounds how long a node may take no bytes of its answer.
	writeTime = 5 * time.Second
	// bufferSize is a connection's read buffer, in bytes.
	bufferSize = 2 << 10
)

// Handler answers a request; its context ends when the asking node breaks off.
// A nil answer ends the connection.
type Handler func(ctx context.Context, r *Request) *msg.Response

// Server listens for other nodes.
type Server struct {
	handler  Handler
	single   []string
	log      zerolog.Logger
	listener net.Listener
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	quiet    bool
	pending  int
}

// Serve listens on an address (ip:port) and returns the server with its clean-up.
func Serve(address string, handler Handler, log zerolog.Logger, single ...string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for other nodes on %s: %w", address, err)
	}
	s := &Server{
		handler:  handler,
		single:   single,
		log:      log,
		listener: listener,
		conns:    map[*serverConn]struct{}{},
	}
	go accept.Loop(listener, s.log, s.serve)
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

func (s *Server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sc := &serverConn{
		Conn:   c,
		ctx:    ctx,
		cancel: cancel,
		server: s,
		reader: bufio.NewReaderSize(c, bufferSize),
		codec:  newCodec(s.single...),
	}
	s.mu.Lock()
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	sc.run()
	s.mu.Lock()
	delete(s.conns, sc)
	s.mu.Unlock()
	_ = c.Close()
}

// Pending returns how many requests are being handled.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

func (s *Server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += n
}

func (s *Server) isQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
}

// Quiesce ends the listener and tells the other nodes that no further request is
// read; those that were read are answered.
func (s *Server) Quiesce() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.quiet = true
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		if !c.busy {
			_ = c.SetReadDeadline(time.Now())
		}
		c.mu.Unlock()
	}
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// serverConn has one goroutine that reads, and so sees at once that the asking
// node has broken off, and one that handles requests.
type serverConn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	codec  *codec
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	// busy says that a request has begun to arrive or is being handled.
	busy bool
}

// run serves requests until the connection ends or the server goes quiet.
func (c *serverConn) run() {
	requests := make(chan *Request)
	go func() {
		defer close(requests)
		defer c.cancel()
		c.read(requests)
	}()
	for r := range requests {
		if !c.one(r) {
			_ = c.Close()
		}
		c.setBusy(false)
	}
}

func (c *serverConn) read(requests chan<- *Request) {
	c.setBusy(false)
	for {
		if _, err := c.reader.Peek(1); err != nil {
			if c.server.isQuiet() {
				c.goAway()
			}
			return
		}
		c.setBusy(true)
		fields, body, err := c.codec.read(c.reader)
		if err != nil {
			return
		}
		r, err := decodeRequest(fields, body)
		if err != nil {
			c.server.log.Warn().Err(err).Str("from", c.RemoteAddr().String()).Msg("request of another node can't be read")
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		requests <- r
	}
}

// setBusy also sets how long the connection may stay silent.
func (c *serverConn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	switch {
	case busy:
		_ = c.SetReadDeadline(time.Now().Add(arriveTime))
	case c.server.isQuiet():
		_ = c.SetReadDeadline(time.Now())
	default:
		_ = c.SetReadDeadline(time.Now().Add(serverIdle))
	}
}

// goAway says that nothing further is read.
func (c *serverConn) goAway() {
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, _ = c.Write(make([]byte, lengthSize))
}

// one answers a request and reports whether the connection goes on.
func (c *serverConn) one(r *Request) bool {
	c.server.count(1)
	defer c.server.count(-1)
	resp := c.guarded(c.ctx, r)
	return resp != nil && c.write(resp)
}

func (c *serverConn) guarded(ctx context.Context, r *Request) (resp *msg.Response) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("handler of another node's request panicked")
			resp = nil
		}
	}()
	return c.server.handler(ctx, r)
}

func (c *serverConn) write(resp *msg.Response) bool {
	fields := parseLines(Fields{
		{
			Name:  fieldStatus,
			Value: strconv.Itoa(resp.Status),
		},
	}, resp.Fields)
	encoded, err := c.codec.append(fields, resp.Body)
	if err != nil {
		c.server.log.Warn().Err(err).Msg("answer to another node can't be encoded")
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err = c.Write(encoded)
	return err == nil
}
