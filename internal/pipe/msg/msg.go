// Package msg holds HTTP/1.1 messages on their way through a node: header
// fields are kept as the bytes to be forwarded, without those that concern one
// connection only, and bodies are whole.
package msg

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Names are the header names that the deployment gives to what a request or an
// answer says of itself.
type Names struct {
	// Attempt identifies one attempt of a caller.
	Attempt string
	// Deadline carries the milliseconds that the sender will still wait.
	Deadline string
	// Proof is the target's signature of its answer.
	Proof string
	// Workspace tells a target whose request it runs.
	Workspace string
	// ExpectTarget carries the ID of the target that the request is meant for.
	ExpectTarget string
	// NotRun marks an answer of a target that did not run the request.
	NotRun string
	// Caller carries the service on whose VM a request began.
	Caller string
	// TargetID carries the ID of the answering target.
	TargetID string
	// Scheme is the authorization scheme of workspace keys.
	Scheme string
}

// Request is a caller's request, read whole.
type Request struct {
	Method string
	// URI is the path with its query as the caller sent it.
	URI  string
	Host string
	// Fields are the header lines to forward, each ended by CRLF.
	Fields []byte
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
}

// Response is a whole answer.
type Response struct {
	Status int
	// Fields are the header lines to forward, each ended by CRLF.
	Fields []byte
	Body   []byte
	// Bodyless answers (to HEAD, 204 and 304) carry no body whatever their length says.
	Bodyless bool
}

// Connection header fields, which are never forwarded.
var hopFields = map[string]bool{
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

// Filter decides which fields are left out besides those of the connection.
type Filter struct {
	drop map[string]bool
}

// NewFilter returns a filter that leaves out the named fields.
func NewFilter(names ...string) Filter {
	f := Filter{
		drop: map[string]bool{},
	}
	for _, n := range names {
		f.drop[strings.ToLower(n)] = true
	}
	return f
}

func (f Filter) keeps(name []byte, named string) bool {
	lower := string(bytes.ToLower(name))
	return !hopFields[lower] && !f.drop[lower] && !(named != "" && listed(named, lower))
}

// listed reports whether a Connection field names another field.
func listed(connection, name string) bool {
	for part := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(part), name) {
			return true
		}
	}
	return false
}

// RequestFields returns the header lines of a request that are forwarded.
func (f Filter) RequestFields(h *fasthttp.RequestHeader) []byte {
	named := string(h.Peek(fasthttp.HeaderConnection))
	out := make([]byte, 0, 256)
	for k, v := range h.All() {
		if f.keeps(k, named) {
			out = AppendField(out, k, v)
		}
	}
	return out
}

// ResponseFields returns the header lines of an answer that are forwarded.
func (f Filter) ResponseFields(h *fasthttp.ResponseHeader) []byte {
	named := string(h.Peek(fasthttp.HeaderConnection))
	out := make([]byte, 0, 256)
	for k, v := range h.All() {
		if f.keeps(k, named) {
			out = AppendField(out, k, v)
		}
	}
	return out
}

// AppendField appends a header line.
func AppendField[N, V ~string | ~[]byte](out []byte, name N, value V) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}

// AppendHead appends the request line, the host and the forwarded fields.
func (r *Request) AppendHead(out []byte) []byte {
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.URI...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = AppendField(out, "Host", r.Host)
	return append(out, r.Fields...)
}

// AppendBody appends the length, the end of the header and the body.
func (r *Request) AppendBody(out []byte) []byte {
	if r.HasBody {
		out = AppendField(out, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body...)
}

// Append encodes an answer; keep says whether the connection stays open.
func (r *Response) Append(out []byte, keep bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.Status), 10)
	out = append(out, ' ')
	out = append(out, fasthttp.StatusMessage(r.Status)...)
	out = append(out, "\r\n"...)
	out = append(out, r.Fields...)
	if !r.Bodyless {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(r.Body)), 10)
		out = append(out, "\r\n"...)
	}
	if !keep {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	if !r.Bodyless {
		out = append(out, r.Body...)
	}
	return out
}

// With returns a copy of the answer with one more header line.
func (r *Response) With(name, value string) *Response {
	copied := *r
	copied.Fields = AppendField(append([]byte{}, r.Fields...), name, value)
	return &copied
}

// Without returns a copy of the answer without the lines of a header field.
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

// Plain returns an answer of the node's own with a line of text.
func Plain(status int, text string) *Response {
	return &Response{
		Status: status,
		Fields: []byte("Content-Type: text/plain\r\n"),
		Body:   []byte(text + "\n"),
	}
}

// WithRetryAfter returns the answer with the time to come back after, in
// seconds with a fraction.
func (r *Response) WithRetryAfter(d time.Duration) *Response {
	return r.With("Retry-After", fmt.Sprintf("%.2f", d.Seconds()))
}
