package httpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/pipe/head"
)

// answering returns a client of a server that answers each request of a connection with the same bytes.
func answering(t *testing.T, answer string) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	p, stop := New(l.Addr().String(), WithAttemptHeader("X-Id"))
	t.Cleanup(stop)
	return p
}

// TestMalformedResponses guards against bytes of a target in trouble that are no answer in the protocol and
// reach the caller as one, with a spoiled line passed on or with a body that is not the target's.
func TestMalformedResponses(t *testing.T) {
	for answer, reason := range map[string]head.Reason{
		"HTTP/1.1 000 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok":                                                 head.BadStatus,
		"HTTP/1.1 999 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok":                                                 head.BadStatus,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX Proof: p\r\nContent-Length: 2\r\n\r\nok":                                   head.BadName,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Proof\x01: p\r\nContent-Length: 2\r\n\r\nok":                               head.BadName,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nContent Length: 1\r\n\r\nok":                            head.BadName,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length :2\r\nConnection: close\r\n\r\nok":                            head.BadName,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length:\r\n 2\r\n\r\nok":                                             head.BadLength,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": head.BadLength,
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n":          head.BadTrailer,
		"HTTP/1.1 100 Continue\r\nX Id: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok":         head.BadName,
		"HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n":                     head.BadUpgrade,
	} {
		Convey("No answer: "+strings.ToValidUTF8(answer, "?"), t, func() {
			p := answering(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 2 {
				a, err := p.Do(ctx, []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n"), "GET", "1")
				So(a, ShouldBeNil)
				So(errors.Is(err, ErrResponseLost), ShouldBeTrue)
				var malformed *head.Error
				So(errors.As(err, &malformed), ShouldBeTrue)
				So(malformed.Reason, ShouldEqual, reason)
			}
			So(p.Dials(), ShouldEqual, 2)
		})
	}
	Convey("A chunked body whose end is cut behind the last chunk is not complete", t, func() {
		p, _ := New("")
		c := &Conn{
			Reader: bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n")),
		}
		_, _, err := p.readResponse(c, "GET")
		So(err, ShouldNotBeNil)
	})
	Convey("Fields behind a chunked body are not passed on", t, func() {
		p, _ := New("")
		c := &Conn{
			Reader: bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n")),
		}
		a, keep, err := p.readResponse(c, "GET")
		So(err, ShouldBeNil)
		So(keep, ShouldBeTrue)
		So(string(a.Body.Bytes()), ShouldEqual, "ok")
		So(string(a.Fields), ShouldNotContainSubstring, "Sum")
	})
}

// FuzzReadResponse guards against bytes that are taken for a response and that another program, to which
// they are passed on, reads as a different one or not at all.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 503 \r\nConnection: close\r\n\r\nuntil the end",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n a\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nConnection: X-Id\r\nX-Id: 1\r\nContent-Type: \r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nSet-Cookie: a=b; Path=/\r\nDate: x\r\nServer: y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	p, _ := New("")
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &Conn{
			Reader: bufio.NewReaderSize(bytes.NewReader(data), readBufferSize),
		}
		a, _, err := p.readResponse(c, http.MethodGet)
		if err != nil {
			return
		}
		read, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(a.Body.AppendTo(a.AppendHead(nil, true)))), &http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatalf("passed on, not readable: %v", err)
		}
		body, err := io.ReadAll(read.Body)
		if err != nil || read.StatusCode != a.Status || !bytes.Equal(body, a.Body.Bytes()) {
			t.Fatalf("passed on as %d %q, %v, not as %d %q", read.StatusCode, body, err, a.Status, a.Body.Bytes())
		}
		if a.Status < 200 || a.Status > 599 {
			t.Fatalf("status %d", a.Status)
		}
		fields := 0
		for line := range strings.SplitSeq(strings.TrimSuffix(string(a.Fields), "\r\n"), "\r\n") {
			name, value, ok := strings.Cut(line, ": ")
			if !ok {
				continue
			}
			fields++
			if !containsValue(read.Header[http.CanonicalHeaderKey(name)], value) {
				t.Fatalf("field %q is read as %q", line, read.Header[http.CanonicalHeaderKey(name)])
			}
		}
		for name, values := range read.Header {
			if name != "Content-Length" {
				fields -= len(values)
			}
		}
		if fields != 0 {
			t.Fatalf("%d fields passed on are not read, or the reverse: %q, %q", fields, a.Fields, read.Header)
		}
	})
}

// containsValue reports whether one of the values of a field is a given one, but for blanks around it.
func containsValue(values []string, value string) bool {
	for _, v := range values {
		if v == strings.Trim(value, " \t") {
			return true
		}
	}
	return false
}
