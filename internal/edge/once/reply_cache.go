package once

import (
	"context"
	"sync"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/edge/wire"
)

const (
	// maxCacheBytes bounds the memory of the replies kept for retries, in bytes.
	maxCacheBytes = 32 << 20
	// entryOverhead is the estimated memory of a reply besides its body, in bytes.
	entryOverhead = 256
)

// Run is a request that is in progress at this node or has ended, with its reply.
type Run struct {
	key         string
	fingerprint uint64
	done        chan struct{}
	// claimResolved is closed once it is known whether this node holds the claim
	// and runs the request itself; joining is set before if it does not.
	claimResolved chan struct{}
	joining       bool
	reply         wire.Reply
	finishedAt    timer.Instant
	// keep is set for non-idempotent requests, whose replies stay cached.
	keep bool
}

// replyCache holds runs by key, so that retries join a running request or
// receive its reply. Replies are kept for the claim retention; beyond
// maxCacheBytes the bodies of the oldest are dropped first. It is safe for
// concurrent use.
type replyCache struct {
	mu   sync.Mutex
	runs map[string]*Run
	// order lists the cached runs, the oldest first.
	order []*Run
	// size is the estimated memory of the cached replies, in bytes.
	size int
	// dropped is how many runs at the head of order have lost their bodies.
	dropped int
}

func newReplyCache() *replyCache {
	return &replyCache{
		runs: map[string]*Run{},
	}
}

// getOrCreate returns the run of a key and whether it was created, in which case
// the caller must run the request and call finish.
func (c *replyCache) getOrCreate(key string, fingerprint uint64, keep bool) (*Run, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.runs[key]; ok {
		return r, false
	}
	r := &Run{
		key:           key,
		fingerprint:   fingerprint,
		done:          make(chan struct{}),
		claimResolved: make(chan struct{}),
		keep:          keep,
	}
	c.runs[key] = r
	return r, true
}

func (c *replyCache) get(key string) (*Run, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.runs[key]
	return r, ok
}

// finish delivers the reply to all requests that joined the run. forget removes
// the run, so that the request may run again.
func (c *replyCache) finish(now timer.Instant, r *Run, reply wire.Reply, forget bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.reply = reply
	r.finishedAt = now
	close(r.done)
	if forget || !r.keep {
		delete(c.runs, r.key)
		return
	}
	c.order = append(c.order, r)
	c.size += entryOverhead + len(reply.Body)
	c.dropOldestBodies()
}

// dropOldestBodies drops bodies until the cache is within maxCacheBytes. The
// requests still count as done: their retries receive StatusGone.
func (c *replyCache) dropOldestBodies() {
	for i := c.dropped; i < len(c.order) && c.size > maxCacheBytes; i++ {
		old := c.order[i]
		c.size -= len(old.reply.Body)
		if old.reply.Outcome == wire.Done {
			old.reply = wire.Reply{
				Outcome: wire.Done,
				Status:  wire.StatusGone,
				Reason:  wire.ReasonAnswerGone,
				Final:   true,
			}
		}
		c.dropped = i + 1
	}
}

// expire removes replies older than the retention.
func (c *replyCache) expire(now timer.Instant, retention time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(c.order) && now.Sub(c.order[n].finishedAt) > retention {
		old := c.order[n]
		c.size -= entryOverhead + len(old.reply.Body)
		delete(c.runs, old.key)
		n++
	}
	c.order = append([]*Run(nil), c.order[n:]...)
	c.dropped = max(0, c.dropped-n)
}

// resolveClaim records whether the claim of a run was granted to this node;
// joining means that it was not.
func (c *replyCache) resolveClaim(r *Run, joining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.joining = joining
	close(r.claimResolved)
}

// waitAsHolder is wait on behalf of a peer. It refuses where this node does not
// hold the claim but waits for another holder itself, since two nodes could
// otherwise wait for each other until the deadline.
func (c *replyCache) waitAsHolder(ctx context.Context, r *Run, fingerprint uint64) wire.Reply {
	select {
	case <-r.claimResolved:
	case <-ctx.Done():
		return wire.UnknownOutcome(wire.ReasonDeadline)
	}
	c.mu.Lock()
	joining := r.joining
	c.mu.Unlock()
	if joining {
		return wire.Refuse(wire.ReasonClaimRace, notHeldRetryAfter)
	}
	return c.wait(ctx, r, fingerprint)
}

// wait returns the reply of the run that a request joins. A different fingerprint
// means that the ID was used for another request, which is refused.
func (c *replyCache) wait(ctx context.Context, r *Run, fingerprint uint64) wire.Reply {
	if r.fingerprint != fingerprint {
		return wire.Refuse(wire.ReasonReused, 0).AsFinal()
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		return wire.UnknownOutcome(wire.ReasonDeadline)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.reply
}
