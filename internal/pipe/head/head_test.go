package head

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

// heads are heads of responses with the reason why they are not valid, "" for valid ones.
var heads = []struct {
	text   string
	reason Reason
}{
	{"HTTP/1.1 200 OK\r\n\r\n", ""},
	{"HTTP/1.0 503 \r\nA: b\r\n\r\n", ""},
	{"HTTP/1.1 204 No Content\r\nX-Empty:\r\nX-Wide:   a b\t \r\nX-Bytes: \xfc\r\n\r\n", ""},
	{"HTTP/1.1 100 Continue\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\ncontent-length: 0012\r\n!#$%&'*+-.^_`|~9aZ: x\r\n\r\n", ""},

	{"HTTP/1.1 000 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 099 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 600 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 999 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 20 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 2000 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 +20 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 -20 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 2 0 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1  200 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 200\r\n\r\n", BadStatus},
	{"HTTP/1.1\t200 OK\r\n\r\n", BadStatus},
	{"HTTP/1.x 200 OK\r\n\r\n", BadStatus},
	{"HTTP/2.0 200 OK\r\n\r\n", BadStatus},
	{"http/1.1 200 OK\r\n\r\n", BadStatus},
	{" HTTP/1.1 200 OK\r\n\r\n", BadStatus},
	{"\r\nHTTP/1.1 200 OK\r\n\r\n", BadStatus},
	{"HTTP/1.1 200 O\x00K\r\n\r\n", BadStatus},
	{"HTTP/1.1 200 O\rK\r\n\r\n", BadStatus},
	{"garbage\r\n\r\n", BadStatus},

	{"HTTP/1.1 200 OK\r\nX Id: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX-Id : a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX-Id\t: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX-\x01Id: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX-Id\x00: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX-Id\x7f: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX-Id\r: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nX\xfc: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\n: a\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", BadName},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding\x0b: chunked\r\n\r\n", BadName},

	{"HTTP/1.1 200 OK\r\nX-Id: a\x00b\r\n\r\n", BadValue},
	{"HTTP/1.1 200 OK\r\nX-Id: a\rb\r\n\r\n", BadValue},
	{"HTTP/1.1 200 OK\r\nX-Id: a\r\n b\r\n\r\n", BadValue},
	{"HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\n\tX-Id: a\r\n\r\n", BadValue},
	{"HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\n", BadValue},

	{"HTTP/1.1 200 OK\nX-Id: a\r\n\r\n", BadStatus},
	{"HTTP/1.1 200 OK\r\nX-Id: a\nX-B: c\r\n\r\n", BadLineEnd},

	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2 2\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", BadLength},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", BadCoding},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n", BadCoding},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", BadCoding},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", BadCoding},
	{"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", BadUpgrade},
	{"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 5000) + "\r\n\r\n", TooLong},
}

// reasonOf returns the reason of an error, "" for none.
func reasonOf(err error) Reason {
	var e *Error
	switch {
	case err == nil:
		return ""
	case errors.As(err, &e):
		return e.Reason
	}
	return Reason(err.Error())
}

// TestResponseHeads guards against bytes of a target in trouble that are no answer and are taken for one,
// such as a status of 000 or a field name with a blank.
func TestResponseHeads(t *testing.T) {
	for _, test := range heads {
		Convey("The head "+strings.ToValidUTF8(test.text[:min(len(test.text), 60)], "?")+" is judged, arriving at once or byte by byte", t, func() {
			r := bufio.NewReaderSize(strings.NewReader(test.text+"body"), 4096)
			So(reasonOf(PeekResponse(r)), ShouldEqual, test.reason)
			slow := bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(test.text+"body")), 4096)
			err := PeekResponse(slow)
			So(err == nil, ShouldEqual, test.reason == "")
			if test.reason == "" {
				rest, err := io.ReadAll(r)
				So(err, ShouldBeNil)
				So(string(rest), ShouldEqual, test.text+"body")
			}
		})
	}
	Convey("A head that is cut is an error of the connection", t, func() {
		err := PeekResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: a\r\n")))
		So(errors.Is(err, io.EOF), ShouldBeTrue)
	})
	Convey("The end of a head whose lines end with a line feed alone is not awaited", t, func() {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() { _, _ = io.WriteString(far, "HTTP/1.1 200 OK\nX-Id: a\n\n") }()
		So(reasonOf(PeekResponse(bufio.NewReader(near))), ShouldEqual, BadLineEnd)
	})
}

// TestTrailers guards against fields behind a body that are taken for fields of the head, and against a
// body that looks complete although its end is missing.
func TestTrailers(t *testing.T) {
	for text, reason := range map[string]Reason{
		"\r\n":                     "",
		"X-Sum: 1\r\nY: 2\r\n\r\n": "",
		"X Sum: 1\r\n\r\n":         BadTrailer,
		"X-Sum: 1\n\r\n":           BadLineEnd,
		"\n":                       BadLineEnd,
		"":                         Reason(io.EOF.Error()),
		"X-Sum: 1\r\n":             Reason(io.EOF.Error()),
		strings.Repeat("X: 1\r\n", 2000) + "\r\n": TooLong,
	} {
		Convey("The trailer "+text[:min(len(text), 30)]+" is judged", t, func() {
			So(reasonOf(ReadTrailer(bufio.NewReaderSize(strings.NewReader(text), 4096))), ShouldEqual, reason)
		})
	}
}

// TestConn guards against an answer of the store that is no answer and is taken for one.
func TestConn(t *testing.T) {
	answer := func(text string) (string, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 10))
			_, _ = io.WriteString(far, text)
			_ = far.Close()
		}()
		c := NewConn(near, 4096)
		_, _ = c.Write([]byte("request"))
		data, err := io.ReadAll(c)
		return string(data), err
	}
	Convey("A valid response passes unchanged", t, func() {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
		got, err := answer(text)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
	})
	Convey("Nothing of an invalid one is read", t, func() {
		for _, text := range []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nStore Era: 9\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
			got, err := answer(text)
			So(reasonOf(err), ShouldBeIn, BadStatus, BadName)
			So(got, ShouldBeEmpty)
		}
	})
}
