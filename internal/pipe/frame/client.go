package frame

import (
	"context"
	"errors"
	"time"

	"fuchsiapier/internal/pipe/msg"
	"fuchsiapier/internal/pipe/outlet"
)

// keepIdle is how long an idle connection is kept; servers keep it longer.
const keepIdle = 20 * time.Second

// Client sends requests to one node; it is safe for concurrent use.
type Client struct {
	*outlet.Outlet
	single []string
}

// NewClient returns a client for an address. single names fields whose values
// never come again, which stay out of the header tables.
//
// unacknowledged is how long a node may stay silent to sent bytes.
func NewClient(address string, dialTimeout, unacknowledged time.Duration, single ...string) *Client {
	o, _ := outlet.New(address, outlet.WithDialTimeout(dialTimeout), outlet.WithUnacknowledged(unacknowledged))
	return &Client{
		Outlet: o,
		single: single,
	}
}

// Do sends a request with extra header lines and reads its whole answer. The
// errors are those of package outlet: ErrNotSent also where the node said that
// it reads no further requests.
func (c *Client) Do(ctx context.Context, r *msg.Request, extra []byte) (*Answer, error) {
	fields := requestFields(r, extra)
	var answer *Answer
	err := c.Exchange(ctx, func(conn *outlet.Conn) (bool, error) {
		var err error
		answer, err = c.exchange(conn, fields, r.Body)
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (c *Client) exchange(conn *outlet.Conn, fields Fields, body []byte) (*Answer, error) {
	codec, ok := conn.State.(*codec)
	if !ok {
		codec = newCodec(c.single...)
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
	conn.FreshUntil = time.Now().Add(keepIdle)
	answer, err := decodeAnswer(header, body)
	if err != nil {
		return nil, errors.Join(outlet.ErrLost, err)
	}
	return answer, nil
}
