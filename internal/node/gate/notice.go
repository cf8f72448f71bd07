package gate

import (
	"math"
	"strconv"
	"time"

	"fuchsiapier/internal/admit/limit"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/node/call"
	"fuchsiapier/internal/pipe/httpc"
	"fuchsiapier/internal/pipe/msg"
)

// notice is what a target says about itself in the header of a response.
type notice struct {
	// rateLimit is the number of requests per second that the target accepts, or 0 if it
	// names none.
	rateLimit float64
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
		leaving: string(a.Header.Peek(g.names.Leaving)) == msg.LeavingValue,
		signed:  len(a.Header.Peek(g.names.Signature)) > 0,
	}
	value := string(a.Header.Peek(g.names.RateLimit))
	if value == "" {
		return n
	}
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		n.malformed = value
		return n
	}
	n.rateLimit = max(rate, limit.MinRate)
	return n
}

// observe applies the notice in a response of the target to a call.
func (g *Gate) observe(c *call.Call, target Target, a *httpc.Answer) {
	n := g.parseNotice(a)
	g.mu.Lock()
	if target.sameStart(g.target) {
		g.observeRateLimit(c, n)
	}
	leaves := n.leaving && !g.starts.StartLeaving(target.ID, target.StartedAt)
	g.mu.Unlock()
	if leaves {
		g.targetLog.Info().Str("request", c.Attempt).Str("target", target.ID).Int64("born", target.StartedAt).
			Msg("target is leaving")
		g.withdrawStart(target.ID, target.StartedAt)
	}
}

// observeRateLimit takes over the rate limit that a response names. A signed response
// that names none lifts the limit; an unsigned one may come from a target that is too busy
// to name it. g.mu must be held.
func (g *Gate) observeRateLimit(c *call.Call, n notice) {
	if n.malformed != "" {
		g.targetLog.Warn().Str("request", c.Attempt).Str("target", g.target.ID).Str("value", n.malformed).
			Float64("rate-limit", g.rateLimit).Msg("malformed rate limit of the target ignored")
		return
	}
	if n.rateLimit == 0 && !n.signed {
		return
	}
	g.rateLimitKnown = true
	g.setRateLimit(c, n.rateLimit, "response")
}

// adoptRateLimit takes over the rate limit that the calling node has seen the target name,
// where this node's process has seen no response of the target yet.
func (g *Gate) adoptRateLimit(c *call.Call) {
	if c.TargetRateLimit == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.rateLimitKnown || g.rateLimit > 0 && g.rateLimit <= c.TargetRateLimit {
		return
	}
	g.setRateLimit(c, c.TargetRateLimit, "caller")
}

// setRateLimit limits the rate of requests to the target, or lifts the limit where it is 0.
// source says where the limit was learnt; g.mu must be held.
func (g *Gate) setRateLimit(c *call.Call, perSecond float64, source string) {
	if perSecond == g.rateLimit {
		return
	}
	g.targetLog.Info().Str("request", c.Attempt).Str("target", g.target.ID).Int64("born", g.target.StartedAt).
		Float64("rate-limit", perSecond).Float64("rate-limit-before", g.rateLimit).Str("source", source).
		Uint64("sent", g.sent).Msg("rate limit of the target changed")
	g.rateLimit = perSecond
	if perSecond == 0 {
		g.limiter.LiftRate()
		return
	}
	g.limiter.SetRate(timer.Now(), perSecond)
}

// scheduleStart calls startPaced once the rate limit lets the head of the queue start;
// g.mu must be held.
func (g *Gate) scheduleStart() {
	delay := g.limiter.StartDelay(timer.Now())
	if delay == 0 {
		return
	}
	if g.paced == nil {
		g.paced = time.AfterFunc(delay, g.startPaced)
		return
	}
	g.paced.Reset(delay)
}

// startPaced starts queued requests that the rate limit has held up.
func (g *Gate) startPaced() {
	g.mu.Lock()
	woken := g.startQueued()
	g.mu.Unlock()
	wake(woken)
}
