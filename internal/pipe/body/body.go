// Package body holds the bodies of messages in memory, each once: in pieces that are read as they arrive and
// passed on as they are, and that are drawn from the node's budget of memory.
package body

import (
	"errors"
	"io"
	"net"

	"fuchsiapier/internal/base/budget"
)

const (
	// pieceSize is the size of a piece, firstPiece that of the first one of a body of unknown length, in
	// bytes.
	pieceSize  = 32 << 10
	firstPiece = 2 << 10
	// joinedSize is the largest body, in bytes, that is copied behind its head, so that both are sent by one
	// call.
	joinedSize = 8 << 10
	// writtenAtOnce is how many pieces are written between two notes of progress.
	writtenAtOnce = 2
)

// Errors of Read.
var (
	// ErrTooLarge means that a body is longer than it may be.
	ErrTooLarge = errors.New("body exceeds the limit")
	// ErrNoMemory means that the node has no memory left for a body.
	ErrNoMemory = errors.New("no memory left for the body")
)

// ToEnd is the length of a body that ends with its reader.
const ToEnd = -1

// Body is an immutable body. The zero value is an empty one.
type Body struct {
	pieces [][]byte
	length int
	// share is what the body uses of the budget, nil for one that doesn't count.
	share *budget.Share
}

// Of returns a body with the given bytes, which must not be changed afterwards.
func Of(data []byte) Body {
	if len(data) == 0 {
		return Body{}
	}
	return Body{
		pieces: [][]byte{data},
		length: len(data),
	}
}

// Read reads a body of exactly n bytes, or, if n is ToEnd, up to the end of r. Its memory is added to a share
// piece by piece, as the bytes arrive, whatever n is; the share stays the caller's. limit bounds its length.
func Read(r io.Reader, n, limit int, share *budget.Share) (Body, error) {
	if n > limit {
		return Body{}, ErrTooLarge
	}
	var b Body
	for n < 0 || b.length < n {
		piece, err := b.extend(n, limit, share)
		if err != nil {
			return Body{}, err
		}
		got, err := readPiece(r, piece)
		b.add(piece[:got])
		switch {
		case b.length > limit:
			return Body{}, ErrTooLarge
		case n >= 0 && b.length == n:
			return b, nil
		case n < 0 && errors.Is(err, io.EOF):
			return b, nil
		case errors.Is(err, io.EOF):
			return Body{}, io.ErrUnexpectedEOF
		case err != nil:
			return Body{}, err
		}
	}
	return b, nil
}

// extend returns memory for the next bytes, which the share has grown by.
func (b *Body) extend(n, limit int, share *budget.Share) ([]byte, error) {
	size := min(pieceSize, n-b.length)
	if n < 0 {
		size = min(pieceSize, max(firstPiece, b.length), limit+1-b.length)
	}
	if err := share.Grow(int64(size)); err != nil {
		return nil, errors.Join(ErrNoMemory, err)
	}
	return make([]byte, size), nil
}

// readPiece fills a piece as far as bytes come.
func readPiece(r io.Reader, piece []byte) (got int, err error) {
	for got < len(piece) && err == nil {
		var n int
		n, err = r.Read(piece[got:])
		got += n
	}
	return got, err
}

func (b *Body) add(piece []byte) {
	if len(piece) == 0 {
		return
	}
	b.pieces = append(b.pieces, piece)
	b.length += len(piece)
}

// WithShare returns the body with the share that it uses, which is released with the body.
func (b Body) WithShare(s *budget.Share) Body {
	b.share = s
	return b
}

// AllowingEviction lets the body's memory be taken back while it makes no progress: evict is then called, and
// has to bring about that the body is released.
func (b Body) AllowingEviction(evict func()) Body {
	if b.share != nil {
		b.share.AllowEviction(evict)
	}
	return b
}

// Retain adds a holder of what the body uses: it is given back once each has released the body.
func (b Body) Retain() {
	if b.share != nil {
		b.share.Retain()
	}
}

// Release gives back what the body uses of the budget. It must be called once at most by each holder, which must
// not use the body afterwards. A body that is dropped without it is given back later.
func (b Body) Release() {
	if b.share != nil {
		b.share.Release()
	}
}

// Len returns the length in bytes.
func (b Body) Len() int {
	return b.length
}

// RoomBehindHead returns how many bytes WriteTo appends to a head.
func (b Body) RoomBehindHead() int {
	if b.length <= joinedSize {
		return b.length
	}
	return 0
}

// Pieces returns the parts of the body, in order. They must not be changed.
func (b Body) Pieces() [][]byte {
	return b.pieces
}

// Bytes returns the whole body, which must not be changed. It copies one that has several pieces.
func (b Body) Bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return b.AppendTo(nil)
}

// AppendTo appends the body to out.
func (b Body) AppendTo(out []byte) []byte {
	for _, p := range b.pieces {
		out = append(out, p...)
	}
	return out
}

// WriteTo writes a head and the body behind it. A small body is copied behind its head, which may have room
// for it. The body's share makes progress as the peer takes the bytes.
func (b Body) WriteTo(c net.Conn, head []byte) error {
	if b.RoomBehindHead() == b.length {
		_, err := c.Write(b.AppendTo(head))
		return err
	}
	pieces := append(net.Buffers{head}, b.pieces...)
	for len(pieces) > 0 {
		n := min(writtenAtOnce, len(pieces))
		next := pieces[:n:n]
		pieces = pieces[n:]
		if _, err := next.WriteTo(c); err != nil {
			return err
		}
		if b.share != nil {
			b.share.Progressed()
		}
	}
	return nil
}
