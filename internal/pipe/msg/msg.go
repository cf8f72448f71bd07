// Package msg represents HTTP/1.1 messages that a node forwards. Header fields are
// kept encoded, without the hop-by-hop fields (RFC 9110, section 7.6.1), and
// complete bodies are held in memory.
package msg

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/pipe/body"
)

// headRoom is the room for a response's status line and own fields, in bytes.
const headRoom = 128

// Names holds the names of the header fields by which callers, nodes and targets
// of a deployment describe requests and responses, and its authorization scheme.
type Names struct {
	// Attempt carries the ID of one attempt of a caller; responses echo it.
	Attempt string
	// Deadline carries the time that the sender will still wait, in milliseconds.
	Deadline string
	// Signature carries the target's signature of its response.
	Signature string
	// Workspace tells a target which workspace the request belongs to.
	Workspace string
	// ExpectTarget carries the ID of the target that the request is meant for.
	ExpectTarget string
	// NotRun marks the response of a target that did not run the request.
	NotRun string
	// Caller carries the service on whose VM the request was first sent.
	Caller string
	// TargetID carries the ID of the target that sent the response.
	TargetID string
	// RateLimit carries the requests per second, a decimal number, that the target that sent
	// the response accepts from all callers together.
	RateLimit string
	// Leaving has the value LeavingValue in the responses of a target that is about to stop.
	Leaving string
	// Scheme is the scheme of the Authorization field that carries a workspace key.
	Scheme string
}

// LeavingValue is the value of the field Names.Leaving.
const LeavingValue = "1"

// Request is a request that has been read completely.
type Request struct {
	Method string
	// URI is the path and query, as the caller sent them.
	URI  string
	Host string
	// Fields are the header lines to forward, each ended by CRLF.
	Fields []byte
	Body   body.Body
	// HasBody distinguishes an empty body from none.
	HasBody bool
}

// Response is a response that has been read completely, or one of the node itself.
type Response struct {
	Status int
	// Fields are the header lines to forward, each ended by CRLF.
	Fields []byte
	Body   body.Body
	// Bodyless marks a response that carries no body, whatever its Content-Length
	// says: one to a HEAD request, or with status 204 or 304.
	Bodyless bool
}

// hopByHopFields are the fields, in lower case, that are never forwarded: those
// that concern one connection, and those that AppendHead and AppendLength write
// anew.
var hopByHopFields = map[string]bool{
	"connection":          true,
	"content-length":      true,
	"expect":              true,
	"host":                true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
}

// Filter selects the header fields to forward. All filters drop the hop-by-hop
// fields and those that the Connection field lists; the zero value drops no others.
type Filter struct {
	drop map[string]bool
}

// NewFilter returns a filter that also drops the named fields, matched
// case-insensitively.
func NewFilter(names ...string) Filter {
	f := Filter{
		drop: map[string]bool{},
	}
	for _, n := range names {
		f.drop[strings.ToLower(n)] = true
	}
	return f
}

// keeps reports whether a field is forwarded; connection is the value of the
// message's Connection field.
func (f Filter) keeps(name []byte, connection string) bool {
	lower := string(bytes.ToLower(name))
	return !hopByHopFields[lower] && !f.drop[lower] && !(connection != "" && listsField(connection, lower))
}

// listsField reports whether the value of a Connection field lists a field name.
func listsField(connection, name string) bool {
	for part := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(part), name) {
			return true
		}
	}
	return false
}

// RequestFields returns the header lines of a request to forward.
func (f Filter) RequestFields(h *fasthttp.RequestHeader) []byte {
	connection := string(h.Peek(fasthttp.HeaderConnection))
	out := make([]byte, 0, 256)
	for k, v := range h.All() {
		if f.keeps(k, connection) {
			out = AppendField(out, k, v)
		}
	}
	return out
}

// ResponseFields returns the header lines of a response to forward.
func (f Filter) ResponseFields(h *fasthttp.ResponseHeader) []byte {
	connection := string(h.Peek(fasthttp.HeaderConnection))
	out := make([]byte, 0, 256)
	for k, v := range h.All() {
		if f.keeps(k, connection) {
			out = AppendField(out, k, v)
		}
	}
	return out
}

// AppendField appends a header line with its CRLF.
func AppendField[N, V ~string | ~[]byte](out []byte, name N, value V) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// AppendHead appends the request line, the Host field and the forwarded fields.
// More header lines may follow before AppendLength.
func (r *Request) AppendHead(out []byte) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.URI...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = AppendField(out, "Host", r.Host)
	return append(out, r.Fields...)
}

// AppendLength appends the Content-Length field and the end of the header, behind which the body follows.
func (r *Request) AppendLength(out []byte) []byte {
	if r.HasBody {
		out = AppendField(out, "Content-Length", strconv.Itoa(r.Body.Len()))
	}
	return append(out, "\r\n"...)
}

// AppendHead appends the encoded head of the response, behind which the body follows, unless it is
// bodyless; keep says whether the connection stays open after it.
func (r *Response) AppendHead(out []byte, keep bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.Status), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(r.Status)...)
	out = append(out, "\r\n"...)
	out = append(out, r.Fields...)
	if !r.Bodyless {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(r.Body.Len()), 10)
		out = append(out, "\r\n"...)
	}
	if !keep {
		out = append(out, "Connection: close\r\n"...)
	}
	return append(out, "\r\n"...)
}

// WriteTo writes the response; keep says whether the connection stays open after it. evict is called when
// the memory of a response that the peer doesn't read is needed for others.
func (r *Response) WriteTo(c net.Conn, keep bool, evict func()) error {
	out := r.AppendHead(make([]byte, 0, len(r.Fields)+headRoom+r.Body.RoomBehindHead()), keep)
	if r.Bodyless {
		_, err := c.Write(out)
		return err
	}
	return r.Body.AllowingEviction(evict).WriteTo(c, out)
}

// With returns a copy of the response with a header line added.
func (r *Response) With(name, value string) *Response {
	copied := *r
	copied.Fields = AppendField(append([]byte{}, r.Fields...), name, value)
	return &copied
}

// Without returns a copy of the response without the lines of a header field.
func (r *Response) Without(name string) *Response {
	copied := *r
	copied.Fields = make([]byte, 0, len(r.Fields))
	for line := range bytes.SplitAfterSeq(r.Fields, []byte("\r\n")) {
		field, _, _ := bytes.Cut(line, []byte(":"))
		if !strings.EqualFold(string(field), name) {
			copied.Fields = append(copied.Fields, line...)
		}
	}
	return &copied
}

// Plain returns a text/plain response of the node itself, with one line of text.
func Plain(status int, text string) *Response {
	return &Response{
		Status: status,
		Fields: []byte("Content-Type: text/plain\r\n"),
		Body:   body.Of([]byte(text + "\n")),
	}
}

// WithRetryAfter returns a copy of the response with a Retry-After field, in
// seconds with two decimals; RFC 9110 allows no decimals.
func (r *Response) WithRetryAfter(d time.Duration) *Response {
	return r.With("Retry-After", fmt.Sprintf("%.2f", d.Seconds()))
}
