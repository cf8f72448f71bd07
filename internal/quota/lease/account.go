package lease

import (
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/grant"
)

// account is the state of one workspace on a node. mu guards its fields.
type account struct {
	mu sync.Mutex
	// demand is the rate of tokens asked for by this node and, at the broker, by the
	// nodes of its domain.
	demand decay.Sum
	// usedAt is when a token was last asked for.
	usedAt timer.Instant
	// held are the leased tokens.
	held grant.Held
	// waiting is the number of tokens that callers of obtain wait for; requested is the
	// number in requests that are under way.
	waiting   float64
	requested float64
	// changed is closed and replaced whenever a request has ended.
	changed chan struct{}
	// backoffUntil is when the node may request tokens again after it got none. Until
	// then callers are told to retry after retryAfter.
	backoffUntil timer.Instant
	retryAfter   time.Duration
	// bucket holds the tokens of the workspace while this node owns it; owned says
	// that it did at the last use.
	bucket bucket
	owned  bool
	// fallback holds the tokens of this domain's part, spent while the owner does not
	// respond.
	fallback bucket
}

// idleSince reports whether no token was asked for within ttl. An account in use counts
// as not idle.
func (a *account) idleSince(now timer.Instant, ttl time.Duration) bool {
	if !a.mu.TryLock() {
		return false
	}
	defer a.mu.Unlock()
	return a.waiting == 0 && a.requested == 0 && now.Sub(a.usedAt) > ttl
}

// receive adds tokens that were requested at sentAt, or backs off if there are none;
// a.mu must be held.
func (a *account) receive(sentAt, now timer.Instant, r grant.Reply) {
	if r.Amount >= 1 {
		a.held.Add(sentAt, now, leaseTerm, r.Amount)
		return
	}
	a.backoffUntil = now.Add(emptyBackoff)
	a.retryAfter = min(time.Duration(r.RetryMillis)*time.Millisecond, maxRetryAfter)
}

// draw takes up to want tokens, whole ones, from the bucket of the workspace, of which the
// given share of the limit accrues here; a.mu must be held. A bucket whose ownership is
// new, or was interrupted by a pause, starts with few tokens.
func (a *account) draw(now timer.Instant, l Limit, share float64, isOwner bool, pause timer.Instant, want float64) grant.Reply {
	a.usedAt = now
	scaled := l.scale(share, 1)
	switch {
	case !isOwner:
		a.owned = false
	case !a.owned || a.bucket.filledAt < pause:
		a.owned = true
		a.bucket.restart(now, initialTokens(l, share))
	default:
		a.bucket.fill(now, scaled)
	}
	return a.take(&a.bucket, scaled, want)
}

// initialTokens returns the number of tokens that the owner for a share of the fleet
// starts with.
func initialTokens(l Limit, share float64) float64 {
	tokens := share * max(initialLevel*l.Burst, minInitial)
	if share >= domainShare {
		tokens = max(tokens, 1)
	}
	return min(tokens, max(l.Burst, 1))
}

// drawFallback takes up to want tokens from the given share of the limit, which belongs to
// this node or, at the broker, to its domain; a.mu must be held.
func (a *account) drawFallback(now timer.Instant, l Limit, share, want float64) grant.Reply {
	scaled := l.scale(share, 0)
	scaled.Burst = max(fallbackLevel*scaled.Burst, 1)
	initial := share
	if share >= domainShare {
		initial = 1
	}
	if !a.fallback.started {
		a.fallback.restart(now, initial)
	}
	a.fallback.fill(now, scaled)
	return a.take(&a.fallback, scaled, want)
}

// take takes up to want whole tokens from a bucket. A refused caller is told when the
// bucket will have the next token; a.mu must be held.
func (a *account) take(b *bucket, l Limit, want float64) grant.Reply {
	got := math.Floor(min(want, b.level))
	if got >= 1 {
		b.level -= got
		return grant.Reply{
			Amount: got,
		}
	}
	return grant.Reply{
		RetryMillis: uint32(max(b.untilNext(l).Milliseconds(), 1)),
	}
}
