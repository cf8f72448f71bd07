package httpc

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
)

// BenchmarkDo measures one request to a target and its response, with both ends in
// one process.
func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := c.Write([]byte(okResponse)); err != nil {
				return
			}
		}
	}()
	p := newPool(l.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Do(context.Background(), []byte(request), "GET", "a"); err != nil {
			b.Fatal(err)
		}
	}
}
