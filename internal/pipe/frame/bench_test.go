package frame

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fuchsiapier/internal/pipe/accept"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// BenchmarkCall measures one request to another node and its response, with both
// ends in one process.
func BenchmarkCall(b *testing.B) {
	s, stop, err := Serve("127.0.0.1:0", func(context.Context, *Request) *msg.Response {
		return msg.Plain(200, "ok")
	}, accept.Unlimited(), zerolog.Nop(), "X-Id")
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	c := NewClient(s.Address(), []httpc.Option{httpc.WithDialTimeout(time.Second), httpc.WithTCPUserTimeout(time.Second)}, testBodies(), "X-Id")
	defer c.Close()
	r := request("6366cff5387c3798")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Do(context.Background(), r, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncode measures the encoding of a short request whose repeated fields are
// in the dynamic table.
func BenchmarkEncode(b *testing.B) {
	c := newCodec(testBodies(), "X-Id")
	r := request("6366cff5387c3798")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.appendHead(requestFields(r, nil), r.Body.Len()); err != nil {
			b.Fatal(err)
		}
	}
}
