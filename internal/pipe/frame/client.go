package frame

import (
	"context"
	"errors"
	"time"

	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// clientIdleTimeout is how long a client reuses an idle connection. It is shorter
// than serverIdleTimeout, so that no request is sent on a connection that the server
// is closing.
const clientIdleTimeout = 20 * time.Second

// Client sends requests to one node. It is safe for concurrent use.
type Client struct {
	*httpc.Pool
	bodies *httpc.Bodies
	// neverIndexed names fields whose values never repeat.
	neverIndexed []string
}

// NewClient returns a client for the node at an address (ip:port), whose connections have the given
// options. bodies bounds the memory of frames. neverIndexed names fields whose values never
// repeat; they stay out of the dynamic tables.
func NewClient(address string, options []httpc.Option, bodies *httpc.Bodies, neverIndexed ...string) *Client {
	pool, _ := httpc.New(address, options...)
	return &Client{
		Pool:         pool,
		bodies:       bodies,
		neverIndexed: neverIndexed,
	}
}

// Do sends a request with extra header lines and reads its complete response.
// Its errors match those of package httpc. ErrNotSent also covers a node that
// says by a go away frame that it has not read the request.
func (c *Client) Do(ctx context.Context, r *msg.Request, extra []byte) (*Answer, error) {
	return c.do(ctx, c.Exchange, r, extra, nil)
}

// DoWithdrawable is like Do. When withdrawn ends before the response, the node is told to refuse the
// request unless it has passed it on; its response is awaited all the same.
func (c *Client) DoWithdrawable(ctx, withdrawn context.Context, r *msg.Request, extra []byte) (*Answer, error) {
	return c.do(ctx, c.Exchange, r, extra, withdrawn)
}

// DoOnNewConn is like Do, but opens a new connection.
func (c *Client) DoOnNewConn(ctx context.Context, r *msg.Request, extra []byte) (*Answer, error) {
	return c.do(ctx, c.ExchangeOnNewConn, r, extra, nil)
}

// exchanger calls a function with a connection, as Pool.Exchange does.
type exchanger func(ctx context.Context, f func(c *httpc.Conn) (keep bool, err error)) error

func (c *Client) do(ctx context.Context, exchange exchanger, r *msg.Request, extra []byte, withdrawn context.Context) (*Answer, error) {
	fields := requestFields(r, extra)
	var resp *Answer
	err := exchange(ctx, func(conn *httpc.Conn) (keep bool, err error) {
		resp, keep, err = c.exchange(conn, fields, r.Body, withdrawn)
		return keep, err
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// clientConn is what a client keeps of a connection.
type clientConn struct {
	*codec
	// sent counts the requests that were sent on it.
	sent uint64
}

// exchange sends a request on a connection and reads the response to it. keep says that the
// connection may be used again; after a withdrawal it may not, since that could arrive behind the
// response.
func (c *Client) exchange(conn *httpc.Conn, fields Fields, content body.Body, withdrawn context.Context) (resp *Answer, keep bool, err error) {
	cc, ok := conn.State.(*clientConn)
	if !ok {
		cc = &clientConn{
			codec: newCodec(c.bodies, c.neverIndexed...),
		}
		conn.State = cc
	}
	encoded, err := cc.appendHead(fields, content.Len())
	if err != nil {
		return nil, false, errors.Join(httpc.ErrNotSent, err)
	}
	cc.sent++
	// A node that reads no further requests may have closed the connection: what it sent before says
	// how many it has read.
	writeErr := content.WriteTo(conn.Conn, encoded)
	keep = true
	if withdrawn != nil {
		stop := context.AfterFunc(withdrawn, func() { _, _ = conn.Write(withdrawal) })
		defer func() { keep = stop() && keep }()
	}
	header, answer, err := cc.read(conn.Reader)
	var away goAwayError
	if errors.As(err, &away) && away.read < cc.sent {
		return nil, false, errors.Join(httpc.ErrNotSent, err)
	}
	if err := errors.Join(writeErr, err); err != nil {
		return nil, false, errors.Join(httpc.ErrResponseLost, err)
	}
	conn.FreshUntil = time.Now().Add(clientIdleTimeout)
	resp, err = decodeResponse(header, answer)
	if err != nil {
		return nil, false, errors.Join(httpc.ErrResponseLost, err)
	}
	return resp, keep, nil
}
