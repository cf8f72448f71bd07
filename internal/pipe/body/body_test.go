package body

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/budget"
)

// open returns a share of a budget that is never used up.
func open() *budget.Share {
	return budget.Unlimited().Open(budget.Callers)
}

// text returns n different bytes.
func text(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + i%23)
	}
	return out
}

// TestRead guards against bodies that are changed or cut on their way through pieces.
func TestRead(t *testing.T) {
	Convey("A body is what was read, with a length and without, however it arrives", t, func() {
		for _, n := range []int{0, 1, firstPiece - 1, firstPiece, firstPiece + 1, pieceSize, pieceSize + 1, 5*pieceSize + 7} {
			for _, reader := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader} {
				for _, length := range []int{n, ToEnd} {
					b, err := Read(reader(bytes.NewReader(text(n))), length, n, open())
					So(err, ShouldBeNil)
					So(b.Len(), ShouldEqual, n)
					So(bytes.Equal(b.Bytes(), text(n)), ShouldBeTrue)
				}
			}
		}
	})
	Convey("A body that ends too soon or is too long is an error", t, func() {
		_, err := Read(strings.NewReader("short"), 6, 10, open())
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		_, err = Read(strings.NewReader("too long"), ToEnd, 7, open())
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
		_, err = Read(strings.NewReader("too long"), 8, 7, open())
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
	})
}

// TestReadHoldsWhatArrived guards against memory that is reserved for a length that is only announced.
func TestReadHoldsWhatArrived(t *testing.T) {
	Convey("Memory follows the bytes that arrive, not the length", t, func() {
		for _, length := range []int{60 << 20, ToEnd} {
			b := budget.New(64 << 20)
			share := b.Open(budget.Callers)
			r, w := io.Pipe()
			done := make(chan error, 1)
			go func() {
				_, err := Read(r, length, 60<<20, share)
				done <- err
			}()
			for sent := 0; sent < 5*pieceSize; sent += pieceSize {
				So(share.Held(), ShouldBeLessThanOrEqualTo, sent+2*pieceSize)
				_, _ = w.Write(text(pieceSize))
			}
			_ = w.CloseWithError(io.ErrClosedPipe)
			So(<-done, ShouldEqual, io.ErrClosedPipe)
		}
	})
	Convey("A body for which there is no memory is an error that says so", t, func() {
		b := budget.New(pieceSize)
		_, err := Read(bytes.NewReader(text(2*pieceSize)), 2*pieceSize, 2*pieceSize, b.Open(budget.Callers))
		So(errors.Is(err, ErrNoMemory), ShouldBeTrue)
		So(errors.Is(err, budget.ErrTooLarge), ShouldBeTrue)
	})
}

// TestWriteTo guards against bodies that are changed as they are written behind a head.
func TestWriteTo(t *testing.T) {
	Convey("A peer gets the head and the body", t, func() {
		for _, n := range []int{0, 1, joinedSize, joinedSize + 1, 40 * pieceSize} {
			b, err := Read(bytes.NewReader(text(n)), n, n, open())
			So(err, ShouldBeNil)
			near, far := net.Pipe()
			got := make(chan []byte, 1)
			go func() {
				data, _ := io.ReadAll(far)
				got <- data
			}()
			So(b.WriteTo(near, append(make([]byte, 0, 4+b.RoomBehindHead()), "head"...)), ShouldBeNil)
			_ = near.Close()
			So(bytes.Equal(<-got, append([]byte("head"), text(n)...)), ShouldBeTrue)
			So(bytes.Equal(b.Bytes(), text(n)), ShouldBeTrue)
		}
	})
}

// TestRelease guards against memory that is given back while a holder still uses it, or never.
func TestRelease(t *testing.T) {
	Convey("The memory of a body is given back once each holder has released it", t, func() {
		b := budget.New(1 << 20)
		share := b.Open(budget.Answers)
		content, err := Read(bytes.NewReader(text(1000)), 1000, 1000, share)
		So(err, ShouldBeNil)
		content = content.WithShare(share)
		content.Retain()
		content.Release()
		So(b.Used(budget.Answers), ShouldEqual, 1000)
		content.Release()
		So(b.Used(budget.Answers), ShouldEqual, 0)
		Of([]byte("own")).Release()
	})
}

// FuzzRead guards against bodies that depend on how their bytes arrive.
func FuzzRead(f *testing.F) {
	f.Add([]byte("body"), 3, true)
	f.Add(text(3*pieceSize), 1000, false)
	f.Fuzz(func(t *testing.T, data []byte, step int, whole bool) {
		length := ToEnd
		if whole {
			length = len(data)
		}
		step = max(step%pieceSize, 1)
		b, err := Read(&stepReader{data: data, step: step}, length, len(data), open())
		if err != nil || !bytes.Equal(b.AppendTo(nil), data) || b.Len() != len(data) {
			t.Fatalf("%d bytes read as %d, %v", len(data), b.Len(), err)
		}
	})
}

// stepReader returns at most step bytes at a time.
type stepReader struct {
	data []byte
	step int
}

func (r *stepReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data[:min(r.step, len(r.data))])
	r.data = r.data[n:]
	return n, nil
}
