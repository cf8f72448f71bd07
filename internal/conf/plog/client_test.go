package plog

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMalformedAnswersOfTheLog guards against bytes that are no answer of the log and count as one, so that
// a change that may not have been appended is reported as accepted.
func TestMalformedAnswersOfTheLog(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":7}",
		"HTTP/1.1 200 OK\r\nX Spoiled: a\r\nContent-Length: 12\r\n\r\n{\"offset\":7}",
	} {
		Convey("The outcome is unknown: "+answer[:20], t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, answer)
					}
					_ = c.Close()
				}
			}()
			client := New(l.Addr().String(), nil)
			_, err = client.Append("s", []byte("{}"))
			So(errors.Is(err, ErrOutcomeUnknown), ShouldBeTrue)
			_, err = client.Read("s", 0, time.Millisecond)
			So(err, ShouldNotBeNil)
		})
	}
}
