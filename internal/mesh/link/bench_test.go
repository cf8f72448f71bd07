package link

import (
	"context"
	"net"
	"testing"
)

// BenchmarkCall measures one call and its response between two Links.
func BenchmarkCall(b *testing.B) {
	var links [2]*Links
	for i, address := range []string{"127.0.2.1:17811", "127.0.2.2:17811"} {
		l, stop, err := New(address, WithHandler("echo", echo))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(stop)
		links[i] = l
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := links[0].Call(context.Background(), "127.0.2.2:17811", "echo", "x", nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRawTCP measures a 64-byte request and response on a TCP connection
// without framing and JSON-RPC, as a baseline for BenchmarkCall.
func BenchmarkRawTCP(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.2.3:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 64)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	buf := make([]byte, 64)
	for b.Loop() {
		if _, err := c.Write(buf); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
