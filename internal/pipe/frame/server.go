package frame

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

const (
	// serverIdleTimeout is how long an idle connection stays open; it must be longer
	// than clientIdleTimeout.
	serverIdleTimeout = 60 * time.Second
	// readTimeout bounds how long a request may take to arrive after its first byte.
	readTimeout = 10 * time.Second
	// writeTimeout bounds how long writing a response may take.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a connection is read after a go away frame, unless the peer closes it:
	// closing it with unread bytes would reset it before the peer has the frame.
	lingerTimeout = 500 * time.Millisecond
	// readBufferSize is a connection's read buffer, in bytes.
	readBufferSize = 2 << 10
)

// Handler returns the response to a request. Its context ends when the requesting
// node closes the connection. A nil response closes the connection without one.
type Handler func(ctx context.Context, r *Request) *msg.Response

// Server serves the requests of other nodes. It is safe for concurrent use.
type Server struct {
	handler      Handler
	bodies       *httpc.Bodies
	neverIndexed []string
	log          zerolog.Logger
	listener     net.Listener
	mu           sync.Mutex
	conns        map[*serverConn]struct{}
	// quiescing is set by Quiesce: no further request is read.
	quiescing bool
	// pending counts the requests that were read and not answered yet.
	pending int
}

// Serve listens on an address (ip:port) and returns the server, and the function
// that closes its listener and connections. bodies bounds the memory of frames that are
// read. neverIndexed names response fields whose values never repeat.
func Serve(address string, handler Handler, bodies *httpc.Bodies, log zerolog.Logger, neverIndexed ...string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for other nodes on %s: %w", address, err)
	}
	s := &Server{
		handler:      handler,
		bodies:       bodies,
		neverIndexed: neverIndexed,
		log:          log,
		listener:     listener,
		conns:        map[*serverConn]struct{}{},
	}
	go accept.Loop(listener, s.log, s.serve)
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// serve serves a connection until it ends.
func (s *Server) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sc := &serverConn{
		Conn:   c,
		ctx:    ctx,
		cancel: cancel,
		server: s,
		reader: bufio.NewReaderSize(c, readBufferSize),
		codec:  newCodec(s.bodies, s.neverIndexed...),
	}
	s.mu.Lock()
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	sc.mu.Lock()
	sc.updateReadDeadline()
	sc.mu.Unlock()
	sc.run()
	s.mu.Lock()
	delete(s.conns, sc)
	s.mu.Unlock()
	_ = c.Close()
}

// Pending returns how many requests were read and not answered yet.
func (s *Server) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

func (s *Server) addPending(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += n
}

func (s *Server) isQuiescing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiescing
}

// Quiesce closes the listener and tells connected nodes that no further request is
// read. Requests that were read before still get a response.
func (s *Server) Quiesce() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.quiescing = true
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.updateReadDeadline()
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

// serverConn is a connection from another node. One goroutine reads and another
// handles requests, so that the end of the connection is noticed while a request is
// being handled. Whether the connection is idle follows from the two counts alone.
type serverConn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	codec  *codec
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	// arriving is set while a request arrives. read counts the requests that have arrived,
	// answered those whose responses were written.
	arriving bool
	read     uint64
	answered uint64
	// withdraw withdraws the request that has arrived last; nil before the first.
	withdraw context.CancelFunc
	// stopped is set once no further request is read since the server quiesces.
	stopped bool
}

// run serves requests until the connection ends or the server quiesces. A go away frame follows
// the last response then.
func (c *serverConn) run() {
	requests := make(chan *Request)
	go func() {
		defer close(requests)
		c.readRequests(requests)
	}()
	for r := range requests {
		resp := c.callHandler(c.ctx, r)
		if resp == nil || !c.write(resp) {
			_ = c.Close()
		}
		c.countAnswered()
	}
	c.mu.Lock()
	stopped, read := c.stopped, c.read
	c.mu.Unlock()
	if stopped {
		c.goAway(read)
	}
}

// readRequests reads requests and passes them to run. It cancels those pending if the connection
// ends, and leaves them alone if the server quiesces.
func (c *serverConn) readRequests(requests chan<- *Request) {
	for {
		_, err := c.reader.Peek(1)
		if !c.beginRequest(err) {
			return
		}
		r, err := c.readRequest()
		switch {
		case errors.Is(err, errWithdrawal):
			c.withdrawLast()
		case err != nil:
			c.cancel()
			return
		default:
			c.countRead(r)
			requests <- r
		}
	}
}

// beginRequest is called when the first byte of a request has arrived, or with the error instead of
// it, and reports whether the request is read.
func (c *serverConn) beginRequest(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ne net.Error
	interrupted := errors.As(err, &ne) && ne.Timeout()
	switch {
	case err != nil && !interrupted:
		c.cancel()
		return false
	case c.server.isQuiescing():
		c.stopped = true
		return false
	case err != nil:
		c.cancel()
		return false
	}
	c.arriving = true
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	return true
}

// readRequest reads a request whose first byte has arrived.
func (c *serverConn) readRequest() (*Request, error) {
	fields, body, err := c.codec.read(c.reader)
	if err != nil {
		return nil, err
	}
	r, err := decodeRequest(fields, body)
	if err != nil {
		c.server.log.Warn().Err(err).Str("from", c.RemoteAddr().String()).Msg("malformed request from node")
	}
	return r, err
}

// countRead counts a request that has arrived.
func (c *serverConn) countRead(r *Request) {
	c.server.addPending(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Withdrawn, c.withdraw = context.WithCancel(context.Background())
	c.arriving = false
	c.read++
	c.updateReadDeadline()
}

// withdrawLast withdraws the request that has arrived last.
func (c *serverConn) withdrawLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdraw != nil {
		c.withdraw()
	}
	c.arriving = false
	c.updateReadDeadline()
}

// countAnswered counts a request whose response was written, or dropped.
func (c *serverConn) countAnswered() {
	c.server.addPending(-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.updateReadDeadline()
}

// updateReadDeadline sets the deadline for the first byte of the next request: none while one is
// pending, since the end of the connection is then awaited. c.mu must be held.
func (c *serverConn) updateReadDeadline() {
	switch {
	case c.arriving:
	case c.read > c.answered:
		_ = c.SetReadDeadline(time.Time{})
	case c.server.isQuiescing():
		_ = c.SetReadDeadline(time.Now())
	default:
		_ = c.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	}
}

// goAway says that nothing further is read, and how many requests were, and waits until the peer
// closes the connection.
func (c *serverConn) goAway(read uint64) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(appendGoAway(nil, read)); err != nil {
		return
	}
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// callHandler calls the handler and recovers from a panic in it; the response is
// nil then.
func (c *serverConn) callHandler(ctx context.Context, r *Request) (resp *msg.Response) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("node request handler panicked")
			resp = nil
		}
	}()
	return c.server.handler(ctx, r)
}

// write sends a response and reports whether that succeeded.
func (c *serverConn) write(resp *msg.Response) bool {
	fields := parseLines(Fields{
		{
			Name:  fieldStatus,
			Value: strconv.Itoa(resp.Status),
		},
	}, resp.Fields)
	encoded, err := c.codec.append(fields, resp.Body)
	if err != nil {
		c.server.log.Warn().Err(err).Msg("response encoding failed")
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = c.Write(encoded)
	return err == nil
}
