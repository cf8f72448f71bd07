package gate

import (
	"context"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/msg"
)

// TestMalformedAnswers guards against what a target in trouble sends and what is no answer of it reaching
// the caller as one: a malformed head, a success without the target's signature, or an encoded body.
func TestMalformedAnswers(t *testing.T) {
	const body = "Content-Length: 2\r\nConnection: close\r\n\r\nok"
	for _, test := range []struct {
		response string
		reason   string
	}{
		{"HTTP/1.1 000 OK\r\nX-Id: ID\r\nX-Signature: s\r\n" + body, "status-line"},
		{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nX Spoiled: a\r\n" + body, "field-name"},
		{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nX-\x01Spoiled: a\r\n" + body, "field-name"},
		{"HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + body, unsigned},
		{"HTTP/1.1 201 Created\r\nX-Id: ID\r\nX-Signature:\r\n" + body, unsigned},
		{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: gzip\r\n" + body, encoded},
		{"HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: identity\r\n" + body, ""},
		{"HTTP/1.1 500 Failed\r\nX-Id: ID\r\n" + body, ""},
		{"HTTP/1.1 404 Not Found\r\nX-Id: ID\r\n" + body, ""},
	} {
		Convey("Response: "+strings.ToValidUTF8(test.response, "?"), t, func() {
			s := newServer(t, test.response)
			close(s.release)
			var counted []string
			g := newGate(s, 3, WithOnMalformed(func(reason string) { counted = append(counted, reason) }))
			r := g.Serve(context.Background(), newCall("1"))
			if test.reason == "" {
				So(r.Outcome, ShouldEqual, call.Answered)
				So(counted, ShouldBeEmpty)
				return
			}
			So(r.Outcome, ShouldEqual, call.Unknown)
			So(r.Reason, ShouldEqual, call.Malformed)
			So(r.Reached, ShouldBeTrue)
			So(counted, ShouldResemble, []string{test.reason})
		})
	}
	Convey("An encoded body is the target's if the request accepts the coding", t, func() {
		s := newServer(t, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Encoding: gzip\r\n"+body)
		close(s.release)
		c := newCall("1")
		c.Request.Fields = msg.AppendField(c.Request.Fields, "Accept-Encoding", "br, GZIP;q=0.5")
		So(newGate(s, 3).Serve(context.Background(), c).Outcome, ShouldEqual, call.Answered)
	})
}
