package gate

import (
	"time"

	"fuchsiapier/internal/pipe/outlet"
)

// Target is a target's announcement of itself.
type Target struct {
	ID      string
	Service string
	// Address is the host:port at which the target takes requests.
	Address string
	// Slots is how many requests the target can run at once.
	Slots int
	// Ready is false for a target that is draining.
	Ready bool
	// ColdLeft is how much longer the target is slow after a cold start.
	ColdLeft time.Duration
	// Born is when the target started, in Unix milliseconds, or 0 where the
	// announcement doesn't say. It serves as the target's incarnation number.
	Born int64
	// Seq is the sequence number of the announcement; it increases with each
	// announcement of the same start.
	Seq int64
}

// State is a snapshot of the target and its queue.
type State struct {
	Target
	// Open says that the gate takes requests for the target.
	Open bool
	// Wait is the estimated time that a new request would wait in the queue.
	Wait time.Duration
	// Running and Waiting are the numbers of requests that hold a slot and that are
	// queued.
	Running int
	Waiting int
	// Limit is the concurrency limit, in requests.
	Limit int
	// ServiceTime is the moving average of the time that the target takes for a
	// request.
	ServiceTime time.Duration
	// CallersTime is the same for callers' own requests, without nested calls.
	CallersTime time.Duration
	// CallersFail is the recent share (0 to 1) of callers' own requests that the
	// target failed.
	CallersFail float64
	// FailShare is the recent share (0 to 1) of all requests that the target failed.
	FailShare float64
}

// Announce applies a target's announcement and reports whether it was newer than
// the one that the gate has. Late announcements of the same start, and those of
// earlier starts, are ignored.
func (g *Gate) Announce(t Target) bool {
	g.mu.Lock()
	if !g.newer(t) {
		g.mu.Unlock()
		return false
	}
	before := g.stateLocked()
	if g.announced && g.target.Born > 0 && t.Born > g.target.Born {
		g.reportCrash()
	}
	g.setTarget(t)
	after := g.stateLocked()
	woken := g.startQueued()
	g.mu.Unlock()
	wake(woken)
	if before.Target.ID != after.Target.ID || before.Open != after.Open || before.Service != after.Service {
		g.onChange(after)
	}
	return true
}

// newer reports whether an announcement supersedes the one that the gate has. The
// sequence number decides between those of one start, the start time between
// others; g.mu must be held.
func (g *Gate) newer(t Target) bool {
	if startedAt, withdrawn := g.tombstones[t.ID]; withdrawn && t.Born <= startedAt {
		return false
	}
	if !g.announced || g.target.ID == "" {
		return true
	}
	if t.ID == g.target.ID && t.Born == g.target.Born {
		return t.Seq > g.target.Seq
	}
	return t.Born > g.target.Born
}

// setTarget puts an announcement into effect; g.mu must be held.
func (g *Gate) setTarget(t Target) {
	restarted := t.ID != g.target.ID || t.Born != g.target.Born
	if g.pool == nil || g.pool.Address() != t.Address {
		if g.pool != nil {
			g.pool.Close()
		}
		g.pool, _ = outlet.New(t.Address,
			outlet.WithDialTimeout(dialTimeout),
			outlet.WithAttemptHeader(g.names.Attempt),
			outlet.WithFilter(g.filter),
		)
	}
	switch {
	case restarted && g.announced && t.ColdLeft > 0:
		g.limiter.Restart(t.Slots)
	case restarted:
		g.limiter.Warm(t.Slots)
	default:
		g.limiter.Resize(t.Slots)
	}
	if restarted {
		g.serviceTime, g.callersTime = serviceTime{}, serviceTime{}
		g.failed, g.callersFailed = newFailureShare(), newFailureShare()
	}
	g.target = t
	g.announced = true
	g.downUntil = time.Time{}
}

// Withdraw records that a target has left. The gate sends it no further requests,
// and requests in flight continue. Later announcements of the start that the gate
// knew under this ID, or of earlier ones, are ignored.
func (g *Gate) Withdraw(id string) {
	g.mu.Lock()
	startedAt := int64(0)
	if id == g.target.ID {
		startedAt = g.target.Born
		g.target.Ready = false
	}
	if _, known := g.tombstones[id]; !known {
		g.tombstoneOrder = append(g.tombstoneOrder, id)
	}
	g.tombstones[id] = max(startedAt, g.tombstones[id])
	if len(g.tombstoneOrder) > maxTombstones {
		delete(g.tombstones, g.tombstoneOrder[0])
		g.tombstoneOrder = g.tombstoneOrder[1:]
	}
	state := g.stateLocked()
	g.mu.Unlock()
	g.onChange(state)
}
