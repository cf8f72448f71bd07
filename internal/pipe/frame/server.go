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

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/body"
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
	// maxRefusals bounds the connections that are refused with a go away frame at a time.
	maxRefusals = 64
	// readBufferSize is a connection's read buffer, in bytes.
	readBufferSize = 2 << 10
	// requestBytes is the memory of a request without its head and body: the stacks of its goroutines and the
	// connection to its target, in bytes.
	requestBytes = 16 << 10
	// headCopies is how often the head of a request is held: as fields, as header lines and encoded.
	headCopies = 3
)

// Handler returns the response to a request. Its context ends when the requesting
// node closes the connection. A nil response closes the connection without one.
type Handler func(ctx context.Context, r *Request) *msg.Response

// Server serves the requests of other nodes. It is safe for concurrent use.
type Server struct {
	handler Handler
	budgets accept.Budgets
	// refusals holds an entry for each connection that is being refused.
	refusals     chan struct{}
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
// that closes its listener and connections. budgets bound the connections and the memory of other nodes,
// which includes their requests. neverIndexed names response fields whose values never repeat.
func Serve(address string, handler Handler, budgets accept.Budgets, log zerolog.Logger, neverIndexed ...string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for other nodes on %s: %w", address, err)
	}
	s := &Server{
		handler:      handler,
		budgets:      budgets,
		refusals:     make(chan struct{}, maxRefusals),
		neverIndexed: neverIndexed,
		log:          log,
		listener:     listener,
		conns:        map[*serverConn]struct{}{},
	}
	s.budgets.Refuse = s.refuse
	go accept.Loop(listener, s.log, s.budgets, s.serve)
	return s, s.close, nil
}

// refuse closes a connection for which there is no room. A go away frame says that nothing was read on it, so
// that its peer can send the request elsewhere.
func (s *Server) refuse(c net.Conn) {
	defer func() { _ = c.Close() }()
	select {
	case s.refusals <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.refusals }()
	goAway(c, 0)
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// serve serves a connection until it ends.
func (s *Server) serve(c *accept.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sc := &serverConn{
		Conn:   c,
		ctx:    ctx,
		cancel: cancel,
		server: s,
		reader: bufio.NewReaderSize(c, readBufferSize),
		codec:  newCodec(nil, s.neverIndexed...),
	}
	s.mu.Lock()
	s.conns[sc] = struct{}{}
	s.mu.Unlock()
	sc.mu.Lock()
	sc.updateReadDeadline()
	sc.mu.Unlock()
	c.AllowEviction(sc.evict)
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
// being handled. Whether the connection is idle follows from the two counts alone. While no request is
// pending, the connection may be taken back for others; a go away frame ends it then.
type serverConn struct {
	*accept.Conn
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
	// evicted is set when the connection, or the memory of the request that arrives, was taken back.
	evicted bool
	// stopped is set once no further request is read since the server quiesces or the connection was
	// taken back.
	stopped bool
}

// evict is called when the connection, or the memory of the request that arrives, is needed for others: it
// ends the read in progress.
func (c *serverConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.SetReadDeadline(time.Now())
}

// stopIfEvicted reports whether the connection was taken back; no further request is read then.
func (c *serverConn) stopIfEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = c.stopped || c.evicted
	return c.evicted
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
			_ = c.Conn.Conn.Close()
		}
		r.Body.Release()
		c.countAnswered()
	}
	c.mu.Lock()
	stopped, read := c.stopped, c.read
	c.mu.Unlock()
	if stopped {
		goAway(c.Conn.Conn, read)
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
		r, err := c.readWithinBudget()
		switch {
		case errors.Is(err, errWithdrawal):
			c.withdrawLast()
		case c.stopIfEvicted():
			return
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
	case c.server.isQuiescing() || c.evicted:
		c.stopped = true
		return false
	case err != nil:
		c.cancel()
		return false
	}
	c.arriving = true
	c.Progressed()
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	return true
}

// readWithinBudget reads a request within the budget of memory. The body of one for which there is no memory is
// dropped.
func (c *serverConn) readWithinBudget() (*Request, error) {
	share := c.server.budgets.Memory.Open(budget.Nodes)
	share.AllowEviction(c.evict)
	r, rest, err := c.readRequest(share)
	if !share.ForbidEviction() || err == nil && !c.ForbidEviction() {
		c.evict()
	}
	if err == nil && !r.NoMemory && !c.isEvicted() {
		r.Body = r.Body.WithShare(share)
		return r, nil
	}
	share.Release()
	if err == nil {
		_, err = io.Copy(io.Discard, rest)
	}
	return r, err
}

func (c *serverConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// readRequest reads a request whose first byte has arrived, and whose memory is added to a share. rest is what
// is left of the body where there is no memory for it.
func (c *serverConn) readRequest(share *budget.Share) (r *Request, rest io.Reader, err error) {
	fields, length, err := c.codec.readHead(c.reader)
	if err != nil {
		return nil, nil, err
	}
	rest = io.LimitReader(c.reader, int64(length))
	content, err := readBody(rest, length, fields.size(), share)
	noMemory := errors.Is(err, body.ErrNoMemory) && !errors.Is(err, budget.ErrEvicted)
	if err != nil && !noMemory {
		return nil, nil, err
	}
	r, err = decodeRequest(fields, content)
	if err != nil {
		c.server.log.Warn().Err(err).Str("from", c.RemoteAddr().String()).Msg("malformed request from node")
		return nil, nil, err
	}
	r.NoMemory = noMemory
	return r, rest, nil
}

// readBody reads the body of a request with a head of the given size. The memory of both is added to a share.
func readBody(r io.Reader, length, headSize int, share *budget.Share) (body.Body, error) {
	if err := share.Grow(int64(requestBytes + headCopies*headSize)); err != nil {
		return body.Body{}, errors.Join(body.ErrNoMemory, err)
	}
	return body.Read(r, length, maxFrame, share)
}

// countRead counts a request that has arrived.
func (c *serverConn) countRead(r *Request) {
	c.server.addPending(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Withdrawn, c.withdraw = context.WithCancel(context.Background())
	c.arriving = false
	c.read++
	c.ForbidEviction()
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
	if c.read == c.answered {
		c.AllowEviction(c.evict)
	}
	c.updateReadDeadline()
}

// updateReadDeadline sets the deadline for the first byte of the next request: none while one is
// pending, since the end of the connection is then awaited. c.mu must be held.
func (c *serverConn) updateReadDeadline() {
	switch {
	case c.arriving, c.evicted:
	case c.read > c.answered:
		_ = c.SetReadDeadline(time.Time{})
	case c.server.isQuiescing():
		_ = c.SetReadDeadline(time.Now())
	default:
		_ = c.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	}
}

// goAway says that nothing further is read on a connection, and how many requests were, and waits until the peer
// closes the connection.
func goAway(c net.Conn, read uint64) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(appendGoAway(nil, read)); err != nil {
		return
	}
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c)
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
	defer resp.Body.Release()
	fields := parseLines(Fields{
		{
			Name:  fieldStatus,
			Value: strconv.Itoa(resp.Status),
		},
	}, resp.Fields)
	encoded, err := c.codec.appendHead(fields, resp.Body.Len())
	if err != nil {
		c.server.log.Warn().Err(err).Msg("response encoding failed")
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return resp.Body.WriteTo(c.Conn.Conn, encoded) == nil
}
