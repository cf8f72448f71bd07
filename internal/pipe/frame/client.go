package frame

import (
	"context"
	"errors"
	"time"

	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

// clientIdleTimeout is how long a client reuses an idle connection. It is shorter
// than serverIdleTimeout, so that no request is sent on a connection that the server
// is closing.
const clientIdleTimeout = 20 * time.Second

// Client sends requests to one node. It is safe for concurrent use.
type Client struct {
	*outlet.Outlet
	// neverIndexed names fields whose values never repeat.
	neverIndexed []string
}

// NewClient returns a client for the node at an address (ip:port). userTimeout is
// the TCP user timeout: how long sent bytes may stay unacknowledged before the
// connection is considered broken. neverIndexed names fields whose values never
// repeat; they stay out of the dynamic tables.
func NewClient(address string, dialTimeout, userTimeout time.Duration, neverIndexed ...string) *Client {
	o, _ := outlet.New(address, outlet.WithDialTimeout(dialTimeout), outlet.WithUnacknowledged(userTimeout))
	return &Client{
		Outlet:       o,
		neverIndexed: neverIndexed,
	}
}

// Do sends a request with extra header lines and reads its complete response.
// Its errors say what is known of the request, as those of Exchange do. One that
// matches ErrNotSent also stands for a node that reads no further requests, and thus
// has not read this one.
func (c *Client) Do(ctx context.Context, r *msg.Request, extra []byte) (*Answer, error) {
	fields := requestFields(r, extra)
	var resp *Answer
	err := c.Exchange(ctx, func(conn *outlet.Conn) (bool, error) {
		var err error
		resp, err = c.exchange(conn, fields, r.Body)
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// exchange sends a request on a connection and reads the response to it.
func (c *Client) exchange(conn *outlet.Conn, fields Fields, body []byte) (*Answer, error) {
	codec, ok := conn.State.(*codec)
	if !ok {
		codec = newCodec(c.neverIndexed...)
		conn.State = codec
	}
	encoded, err := codec.append(fields, body)
	if err != nil {
		return nil, errors.Join(outlet.ErrNotSent, err)
	}
	if _, err := conn.Write(encoded); err != nil {
		return nil, errors.Join(outlet.ErrLost, err)
	}
	header, body, err := codec.read(conn.Reader)
	if errors.Is(err, ErrGoAway) {
		return nil, errors.Join(outlet.ErrNotSent, err)
	}
	if err != nil {
		return nil, errors.Join(outlet.ErrLost, err)
	}
	conn.FreshUntil = time.Now().Add(clientIdleTimeout)
	resp, err := decodeResponse(header, body)
	if err != nil {
		return nil, errors.Join(outlet.ErrLost, err)
	}
	return resp, nil
}
