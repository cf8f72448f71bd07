package httpc

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"fuchsiapier/internal/base/budget"
	"fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/head"
)

// defaultBodies bounds the bodies of a client that shares no Bodies with others, in bytes.
const defaultBodies = 64 << 20

// Errors of Bodies.
var (
	// ErrBodyTooLarge means that a body is longer than a single one may be.
	ErrBodyTooLarge = errors.New("body exceeds the limit")
	// ErrBodiesFull means that other bodies use all memory.
	ErrBodiesFull = errors.New("bodies exceed their memory limit")
)

// Bodies bounds the memory of the message bodies that are read, so that peers that send
// without end can't exhaust it. It is safe for concurrent use.
type Bodies struct {
	// each is the longest body, 0 for one that follows from the budget.
	each   int
	memory *budget.Budget
}

// NewBodies returns a bound of total bytes for all bodies at a time, of which
// a single one may have up to each.
func NewBodies(total, each int) *Bodies {
	return &Bodies{
		each:   each,
		memory: budget.New(int64(total)),
	}
}

// NewBodiesWithin returns a bound by a budget of memory that others use as well; a single body may have up
// to half of what one of them may.
func NewBodiesWithin(memory *budget.Budget) *Bodies {
	return &Bodies{
		memory: memory,
	}
}

// limit returns the longest body, in bytes.
func (b *Bodies) limit() int {
	if b.each > 0 {
		return b.each
	}
	return int(b.memory.Largest() / 2)
}

// Values of fasthttp's content length for a response without Content-Length: a chunked
// body, and a body that ends with the connection.
const (
	Chunked    = -1
	UntilClose = -2
)

// ReadBody reads the body of a response with a content length as fasthttp tells it, with the trailer
// of a chunked one, which is dropped.
func (b *Bodies) ReadBody(r *bufio.Reader, length int) (body.Body, error) {
	if length != Chunked {
		return b.Read(r, length)
	}
	content, err := b.Read(httputil.NewChunkedReader(r), length)
	if err != nil {
		return body.Body{}, err
	}
	return content, head.ReadTrailer(r)
}

// Read reads exactly n bytes or, if n is negative, up to the end of r. The body uses memory until it is
// released.
func (b *Bodies) Read(r io.Reader, n int) (body.Body, error) {
	if n == 0 {
		return body.Body{}, nil
	}
	share := b.memory.Open(budget.Answers)
	content, err := body.Read(r, max(n, body.ToEnd), b.limit(), share)
	switch {
	case err == nil:
		return content.WithShare(share), nil
	case errors.Is(err, body.ErrTooLarge):
		err = ErrBodyTooLarge
	case errors.Is(err, body.ErrNoMemory):
		err = errors.Join(ErrBodiesFull, err)
	}
	share.Release()
	return body.Body{}, err
}
