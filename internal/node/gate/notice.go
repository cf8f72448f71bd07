package gate

import (
	"math"
	"strconv"

	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/httpc"
)

// notice is what a target says about itself in the header of a response.
type notice struct {
	// rateLimit is the number of requests per second that the target accepts, or nil if it
	// names none.
	rateLimit *float64
	// malformed is the value of a rate limit that is no number of requests, or "".
	malformed string
	// leaving says that the target is about to stop.
	leaving bool
	// signed says that the response is signed, so that the target ran the request.
	signed bool
}

// parseNotice reads the notice in a response.
func (g *Gate) parseNotice(a *httpc.Answer) notice {
	n := notice{
		leaving: string(a.Header.Peek(g.names.Leaving)) == "1",
		signed:  len(a.Header.Peek(g.names.Signature)) > 0,
	}
	value := string(a.Header.Peek(g.names.RateLimit))
	if value == "" {
		return n
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		n.malformed = value
		return n
	}
	n.rateLimit = &limit
	return n
}

// observe applies the notice in a response of the target to a call.
func (g *Gate) observe(c *call.Call, target Target, a *httpc.Answer) {
	n := g.parseNotice(a)
	g.mu.Lock()
	defer g.mu.Unlock()
	if target.ID != g.target.ID || target.StartedAt != g.target.StartedAt {
		return
	}
	g.observeRateLimit(c, n)
	g.observeLeaving(c, n)
}

// observeRateLimit takes over the rate limit that a response names. A signed response
// that names none lifts the limit, a response in which it can't be read leaves it as it
// is; g.mu must be held.
func (g *Gate) observeRateLimit(c *call.Call, n notice) {
	if n.malformed != "" {
		g.targetLog.Warn().Str("request", c.Attempt).Str("target", g.target.ID).Str("value", n.malformed).
			Float64("rate-limit", g.rateLimit).Msg("malformed rate limit of the target ignored")
		return
	}
	limit := 0.0
	limited := n.rateLimit != nil
	if limited {
		limit = *n.rateLimit
	} else if !n.signed {
		return
	}
	if limited == g.limited && limit == g.rateLimit {
		return
	}
	g.targetLog.Info().Str("request", c.Attempt).Str("target", g.target.ID).Int64("born", g.target.StartedAt).
		Bool("limited", limited).Float64("rate-limit", limit).Bool("limited-before", g.limited).
		Float64("rate-limit-before", g.rateLimit).Uint64("sent", g.sent).Msg("rate limit of the target changed")
	g.limited, g.rateLimit = limited, limit
}

// observeLeaving records that the target is about to stop; g.mu must be held.
func (g *Gate) observeLeaving(c *call.Call, n notice) {
	if !n.leaving || g.targetLeaving {
		return
	}
	g.targetLeaving = true
	g.targetLog.Info().Str("request", c.Attempt).Str("target", g.target.ID).Int64("born", g.target.StartedAt).
		Uint64("sent", g.sent).Msg("target is leaving")
}
