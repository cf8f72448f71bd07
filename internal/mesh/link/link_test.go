package link

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// echo is a Handler that returns its parameters.
func echo(_ context.Context, p json.RawMessage) (any, error) { return p, nil }

// panicking is a Handler that panics.
func panicking(context.Context, json.RawMessage) (any, error) { panic("handler") }

// serveHandshakeOnly responds to the handshake of each connection and to nothing
// after it.
func serveHandshakeOnly(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		header := make([]byte, headerSize)
		if _, err := io.ReadFull(c, header); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header))
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		var request struct {
			ID json.RawMessage `json:"id"`
		}
		_ = json.Unmarshal(body, &request)
		frame, _ := encodeFrame(map[string]any{"jsonrpc": "2.0", "id": request.ID, "result": nil})
		_, _ = c.Write(frame)
	}
}

// newPair returns the Links of two nodes on the loopback network.
func newPair(t *testing.T) (a, b *Links) {
	t.Helper()
	for i, l := range []**Links{&a, &b} {
		links, stop, err := New([]string{"127.0.2.1:17801", "127.0.2.2:17801"}[i], WithHandler("echo", echo), WithHandler("fail", panicking))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		*l = links
	}
	return a, b
}

// TestLinks guards against large bodies that don't arrive whole, a handler panic or
// malformed frames that crash the node, a call that hangs until its deadline on a
// peer that stopped responding, and a failed dial that is not reported as
// ErrNotSent.
func TestLinks(t *testing.T) {
	a, _ := newPair(t)
	const to = "127.0.2.2:17801"
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Convey("Given two nodes", t, func() {
		Convey("a call with a body of 1 MiB returns its result", func() {
			sent := strings.Repeat("x", 1<<20)
			var got string
			So(a.Call(ctx, to, "echo", sent, &got), ShouldBeNil)
			So(got == sent, ShouldBeTrue)
		})
		Convey("a handler panic and an unknown method fail the call and leave the node running", func() {
			So(a.Call(ctx, to, "fail", 1, nil), ShouldNotBeNil)
			So(a.Call(ctx, to, "unheard-of", 1, nil), ShouldNotBeNil)
			So(a.Call(ctx, to, "echo", 1, nil), ShouldBeNil)
		})
		Convey("a call to a peer that stopped responding ends with ErrLost before its deadline", func() {
			listener, err := net.Listen("tcp", "127.0.2.4:0")
			So(err, ShouldBeNil)
			defer func() { _ = listener.Close() }()
			go serveHandshakeOnly(listener)
			address := listener.Addr().String()
			defer a.Watch(address)()
			So(errors.Is(a.Call(ctx, address, "echo", 1, nil), ErrLost), ShouldBeTrue)
		})
		Convey("a failed dial is reported as ErrNotSent, and the peer is not reachable", func() {
			err := a.Call(ctx, "127.0.2.3:17801", "echo", 1, nil)
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
			So(a.Reachable("127.0.2.3:17801"), ShouldBeFalse)
		})
		Convey("malformed frames on one connection leave the node running", func() {
			for _, bytes := range [][]byte{
				binary.BigEndian.AppendUint32(nil, maxFrameBytes+1),
				append(binary.BigEndian.AppendUint32(nil, 3), "{x}"...),
				append(binary.BigEndian.AppendUint32(nil, 4), "null"...),
			} {
				c, err := net.Dial("tcp", to)
				So(err, ShouldBeNil)
				_, err = c.Write(bytes)
				So(err, ShouldBeNil)
				_ = c.Close()
			}
			So(a.Call(ctx, to, "echo", 1, nil), ShouldBeNil)
		})
	})
}

// FuzzFrameSize guards against a header that yields a negative size or one above
// the limit, with which nextFrame would panic or let a peer fill the memory.
func FuzzFrameSize(f *testing.F) {
	good, _ := encodeFrame(map[string]int{"a": 1})
	f.Add(good)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) < headerSize {
			return
		}
		size, err := frameSize(data)
		if err == nil && (size < 0 || size > maxFrameBytes) {
			t.Fatalf("frameSize returned %d, outside 0 to maxFrameBytes", size)
		}
	})
}
