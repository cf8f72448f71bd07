package wire

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// Header is one HTTP header field, its name in canonical form.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// reservedPrefix is the prefix of the header names that only nodes set.
const reservedPrefix = "Fuchsiapier-"

// notForwarded holds the fields, in canonical form, that are hop-by-hop (RFC 9110)
// or carry credentials, and those that the HTTP library sets itself.
var notForwarded = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Content-Type":        true,
	"Date":                true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Authenticate":  true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// forwards reports whether a field, named in canonical form, is forwarded.
func forwards(name string) bool {
	return !notForwarded[name] && !strings.HasPrefix(name, reservedPrefix)
}

// RequestHeaders returns the fields of a request that are forwarded to the target,
// repeated ones included.
func RequestHeaders(h *fasthttp.RequestHeader) []Header {
	var out []Header
	for name, value := range h.All() {
		if forwards(string(name)) {
			out = append(out, Header{
				Name:  string(name),
				Value: string(value),
			})
		}
	}
	return out
}

// ResponseHeaders returns the fields of a response that are forwarded to the
// caller, repeated ones included.
func ResponseHeaders(h *fasthttp.ResponseHeader) []Header {
	var out []Header
	for name, value := range h.All() {
		if forwards(string(name)) {
			out = append(out, Header{
				Name:  string(name),
				Value: string(value),
			})
		}
	}
	return out
}
