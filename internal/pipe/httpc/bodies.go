package httpc

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"fuchsiapier/internal/pipe/head"
)

const (
	// bodyStep is how many bytes are reserved for a body at first; the reservation doubles
	// as the body arrives. The length that a peer claims reserves nothing: a faulty one may
	// claim any.
	bodyStep = 32 << 10
	// defaultBodies bounds the bodies of a client that shares no Bodies with others.
	defaultBodies = 64 << 20
)

// Errors of Bodies.
var (
	// ErrBodyTooLarge means that a body is longer than a single one may be.
	ErrBodyTooLarge = errors.New("body exceeds the limit")
	// ErrBodiesFull means that the bodies that are being read use all memory reserved
	// for them.
	ErrBodiesFull = errors.New("bodies being read exceed their memory limit")
)

// Bodies bounds the memory of message bodies while they are read, so that peers that send
// without end can't exhaust it. It is safe for concurrent use.
type Bodies struct {
	each int
	left atomic.Int64
}

// NewBodies returns a bound of total bytes for all bodies that are read at a time, of which
// a single one may have up to each.
func NewBodies(total, each int) *Bodies {
	b := &Bodies{
		each: each,
	}
	b.left.Store(int64(total))
	return b
}

// Values of fasthttp's content length for a response without Content-Length: a chunked
// body, and a body that ends with the connection.
const (
	Chunked    = -1
	UntilClose = -2
)

// ReadBody reads the body of a response with a content length as fasthttp tells it, with the trailer
// of a chunked one, which is dropped.
func (b *Bodies) ReadBody(r *bufio.Reader, length int) ([]byte, error) {
	if length != Chunked {
		return b.Read(r, length)
	}
	body, err := b.Read(httputil.NewChunkedReader(r), length)
	if err != nil {
		return nil, err
	}
	return body, head.ReadTrailer(r)
}

// Read reads exactly n bytes or, if n is negative, up to the end of r.
func (b *Bodies) Read(r io.Reader, n int) ([]byte, error) {
	if n > b.each {
		return nil, ErrBodyTooLarge
	}
	reserved := 0
	defer func() { b.left.Add(int64(reserved)) }()
	var body []byte
	for n < 0 || len(body) < n {
		if len(body) >= b.each {
			return nil, ErrBodyTooLarge
		}
		if len(body) == reserved {
			step := min(max(bodyStep, reserved), b.each-reserved)
			reserved += step
			if b.left.Add(-int64(step)) < 0 {
				return nil, ErrBodiesFull
			}
			body = append(make([]byte, 0, reserved), body...)
		}
		end := reserved
		if n >= 0 {
			end = min(end, n)
		}
		got, err := r.Read(body[len(body):end])
		body = body[:len(body)+got]
		switch {
		case n >= 0 && len(body) == n:
			return body, nil
		case n < 0 && errors.Is(err, io.EOF):
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}
