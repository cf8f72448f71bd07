// Package link carries calls between nodes: JSON-RPC 2.0 messages in
// length-prefixed frames on TCP connections that gnet event loops serve.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

// Handler serves the requests of one method. Its result is sent as JSON, its error
// as a JSON-RPC error. It is called concurrently.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// ErrNotSent means that no byte of a request was sent to the peer.
var ErrNotSent = errors.New("peer not reached")

// ErrLost means that a call failed after its request may have been sent, as a rule
// because the connection was closed before the response arrived.
var ErrLost = errors.New("connection lost before the response")

const (
	// minBackoff is the pause after the first failed dial of a peer. It doubles
	// with each further failure, up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// dialTimeout bounds, each separately, a TCP dial, the handshake after it and the
	// wait of Notify for a connection.
	dialTimeout = 1 * time.Second
	// engineTimeout bounds the start and the stop of the listening event loops.
	engineTimeout = 5 * time.Second
)

// Links holds a node's connections to its peers, at most one dialled connection to
// each address. It is safe for concurrent use.
type Links struct {
	gnet.BuiltinEventEngine
	handlers map[string]Handler
	// localAddr is the node's own IP address, from which it dials.
	localAddr net.Addr
	region    string
	regionOf  func(address string) string
	onSend    func(region string, bytes int)
	server    *engine
	client    *gnet.Client
	// mu guards peers and closed; peers is keyed by address.
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// Option configures Links.
type Option func(*Links)

// WithHandler registers the handler of a method.
func WithHandler(method string, h Handler) Option {
	return func(l *Links) {
		l.handlers[method] = h
	}
}

// WithMeter registers onSend, which is called with the peer's region and the size
// in bytes of each frame before it is sent. The region of a dialled peer comes from
// regionOf, which returns "" for an unknown address. The region of a peer that
// dialled this node comes from its handshake and is "" before; region is the one
// that this node sends in its own handshakes.
func WithMeter(region string, regionOf func(address string) string, onSend func(region string, bytes int)) Option {
	return func(l *Links) {
		l.region = region
		l.regionOf = regionOf
		l.onSend = onSend
	}
}

// methodHello is the method of the handshake and of liveness checks. The handshake
// tells the accepting node the region of the dialling node.
const methodHello = "hello"

// hello holds the parameters of methodHello.
type hello struct {
	Region string `json:"region"`
}

// engine handles gnet's events, one instance for accepted connections and one for
// dialled ones.
type engine struct {
	gnet.BuiltinEventEngine
	links *Links
	// boot passes the running gnet.Engine from OnBoot to New; it is nil for dialled
	// connections.
	boot chan gnet.Engine
}

// New listens on an address (ip:port). It returns the Links and a function that
// closes all connections and stops listening.
func New(address string, options ...Option) (*Links, func(), error) {
	l := &Links{
		handlers: map[string]Handler{},
		regionOf: func(string) string { return "" },
		onSend:   func(string, int) {},
		peers:    map[string]*peer{},
	}
	for _, o := range options {
		o(l)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, fmt.Errorf("parse peer listener address: %w", err)
	}
	l.localAddr = &net.TCPAddr{
		IP: net.ParseIP(host),
	}
	noLog := gnet.WithLogger(logging.Logger(zap.NewNop().Sugar()))
	l.server = &engine{
		links: l,
		boot:  make(chan gnet.Engine, 1),
	}
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(l.server, "tcp://"+address, gnet.WithNumEventLoop(2), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), noLog)
	}()
	var running gnet.Engine
	select {
	case running = <-l.server.boot:
	case err := <-failed:
		return nil, nil, fmt.Errorf("listen for peers on %s: %w", address, err)
	case <-time.After(engineTimeout):
		return nil, nil, fmt.Errorf("listen for peers on %s: event loops did not start in time", address)
	}
	client, err := gnet.NewClient(&engine{links: l}, gnet.WithNumEventLoop(2), gnet.WithTCPNoDelay(gnet.TCPNoDelay), noLog)
	if err != nil {
		return nil, nil, err
	}
	if err := client.Start(); err != nil {
		return nil, nil, err
	}
	l.client = client
	return l, func() { l.close(running) }, nil
}

// OnBoot implements gnet.EventHandler; it passes the running engine to New.
func (e *engine) OnBoot(eng gnet.Engine) gnet.Action {
	if e.boot != nil {
		e.boot <- eng
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler; it starts JSON-RPC on an accepted
// connection. On a dialled one Links.open does so.
func (e *engine) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if e.boot != nil {
		if _, err := e.links.serve(c, ""); err != nil {
			return nil, gnet.Close
		}
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler; it closes the connection's stream, which
// ends its JSON-RPC connection.
func (e *engine) OnClose(c gnet.Conn, _ error) gnet.Action {
	if s, ok := c.Context().(*stream); ok {
		s.release()
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler; it queues the frames that have arrived
// in full. It closes the connection on a frame that is too large or that exceeds
// the queue.
func (e *engine) OnTraffic(c gnet.Conn) gnet.Action {
	s, ok := c.Context().(*stream)
	if !ok {
		return gnet.Close
	}
	for {
		body, err := nextFrame(c)
		if err != nil {
			return gnet.Close
		}
		if body == nil {
			// Lets the woken reader run on this thread, which saves waking another thread.
			runtime.Gosched()
			return gnet.None
		}
		if !s.push(body) {
			return gnet.Close
		}
	}
}

// serve starts JSON-RPC on a connection; its requests are handled concurrently.
// address is the dialled address, or "" for an accepted connection.
func (l *Links) serve(c gnet.Conn, address string) (*jsonrpc2.Conn, error) {
	var peerRegion atomic.Value
	region := func() string {
		if address != "" {
			return l.regionOf(address)
		}
		r, _ := peerRegion.Load().(string)
		return r
	}
	s, err := newStream(c, func(n int) { l.onSend(region(), n) })
	if err != nil {
		return nil, err
	}
	c.SetContext(s)
	handle := func(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Method == methodHello && r.Params != nil {
			var h hello
			err := json.Unmarshal(*r.Params, &h)
			peerRegion.Store(h.Region)
			return nil, err
		}
		return l.handle(ctx, conn, r)
	}
	return jsonrpc2.NewConn(context.Background(), s, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle)), jsonrpc2.SetLogger(log.New(io.Discard, "", 0))), nil
}

// handle calls the handler of a request's method. A panic of the handler becomes a
// JSON-RPC internal error.
func (l *Links) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = &jsonrpc2.Error{
				Code:    jsonrpc2.CodeInternalError,
				Message: fmt.Sprint(p),
			}
		}
	}()
	h, ok := l.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "unknown method " + r.Method,
		}
	}
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return h(ctx, params)
}

// Call sends a request to the peer at an address, dialling the peer if there is no
// connection, and decodes the response into result. A *jsonrpc2.Error is the error
// that the peer returned. After ErrNotSent, the peer can't have received the request.
// After any other error (that of ctx if it is done, otherwise ErrLost), the peer may
// or may not have received it.
func (l *Links) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil, errors.As(err, &rpcErr):
		return err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrLost, err)
}

// Notify sends a JSON-RPC notification, a request without a response, to the peer
// at an address, dialling the peer if there is no connection.
func (l *Links) Notify(address, method string, params any) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Notify(ctx, method, params)
}

func (l *Links) close(running gnet.Engine) {
	l.mu.Lock()
	l.closed = true
	peers := l.peers
	l.peers = map[string]*peer{}
	l.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.conn != nil {
			_ = p.conn.Close()
		}
		p.mu.Unlock()
	}
	_ = l.client.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), engineTimeout)
	defer cancel()
	_ = running.Stop(ctx)
}
