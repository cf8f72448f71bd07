package gate

import (
	"bytes"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/head"
	"fuchsiapier/internal/pipe/httpc"
)

// Reasons, beside those of package head, why a response is not the target's answer. They are metric
// labels and stand in log lines.
const (
	// unsigned means that a success has no signature. Callers count none without it.
	unsigned = "unsigned"
	// encoded means that the body has a coding that the request does not accept.
	encoded = "content-coding"
)

// WithOnMalformed sets a function that is called with the reason for each response that is not the
// target's answer.
func WithOnMalformed(f func(reason string)) Option {
	return func(g *Gate) {
		g.onMalformed = f
	}
}

// malformation returns why a response, or the error in its place, is not the target's answer, "" if
// there is no such reason.
func (g *Gate) malformation(c *call.Call, answer *httpc.Answer, err error) string {
	var malformed *head.Error
	switch {
	case errors.As(err, &malformed):
		return string(malformed.Reason)
	case err != nil || answer.Status >= fasthttp.StatusMultipleChoices:
		return ""
	case g.names.Signature != "" && len(answer.Header.Peek(g.names.Signature)) == 0:
		return unsigned
	case !accepts(c.Request.Fields, string(answer.Header.Peek(fasthttp.HeaderContentEncoding))):
		return encoded
	}
	return ""
}

// accepts reports whether a request with the given header lines accepts a content coding.
func accepts(fields []byte, coding string) bool {
	if coding == "" || strings.EqualFold(coding, "identity") {
		return true
	}
	for line := range bytes.SplitSeq(fields, []byte("\r\n")) {
		name, value, _ := strings.Cut(string(line), ":")
		if !strings.EqualFold(name, fasthttp.HeaderAcceptEncoding) {
			continue
		}
		for accepted := range strings.SplitSeq(value, ",") {
			accepted, _, _ = strings.Cut(accepted, ";")
			if strings.EqualFold(strings.TrimSpace(accepted), coding) {
				return true
			}
		}
	}
	return false
}

// reportMalformed logs and counts a response that is not the target's answer.
func (g *Gate) reportMalformed(c *call.Call, target Target, reason string, answer *httpc.Answer, err error) {
	g.onMalformed(reason)
	line := g.log.Warn().Err(err).Str("request", c.Attempt).Str("target", target.ID).Int64("born", target.StartedAt).Str("reason", reason)
	if answer != nil {
		line = line.Int("status", answer.Status)
	}
	line.Msg("response is not the target's answer")
}
