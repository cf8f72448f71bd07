package gate

import (
	"time"

	"fuchsiapier/internal/pipe/outlet"
)

// Target is what a target announces of itself.
type Target struct {
	ID      string
	Service string
	Address string
	Slots   int
	// Ready is false for a target that is leaving.
	Ready bool
	// ColdLeft is how much longer the target is slow after its start.
	ColdLeft time.Duration
	// Born is when the target started, in Unix milliseconds, 0 where it didn't say.
	Born int64
	// Seq grows with each announcement of one start.
	Seq int64
}

// State is what the gate tells others of its target.
type State struct {
	Target
	// Open says that the gate takes requests for the target.
	Open bool
	Wait time.Duration
	// Running and Waiting count requests.
	Running int
	Waiting int
	Limit   int
	// ServiceTime is the mean time that the target takes for a request.
	ServiceTime time.Duration
	// CallersTime is the same for callers' own requests, without nested calls.
	CallersTime time.Duration
	// CallersFail is the recent part of callers' own requests that the target failed.
	CallersFail float64
	// FailShare is the recent part of requests that the target failed.
	FailShare float64
}

// Announce takes a target's announcement and reports whether it is news: late
// ones of the same start and those of earlier starts are not.
func (g *Gate) Announce(t Target) bool {
	g.mu.Lock()
	if !g.newer(t) {
		g.mu.Unlock()
		return false
	}
	before := g.stateLocked()
	if g.known && g.target.Born > 0 && t.Born > g.target.Born {
		g.tellDeath()
	}
	g.setTarget(t)
	after := g.stateLocked()
	woken := g.next()
	g.mu.Unlock()
	wake(woken)
	if before.Target.ID != after.Target.ID || before.Open != after.Open || before.Service != after.Service {
		g.changed(after)
	}
	return true
}

// newer must be called with g.mu held.
func (g *Gate) newer(t Target) bool {
	if born, gone := g.left[t.ID]; gone && t.Born <= born {
		return false
	}
	if !g.known || g.target.ID == "" {
		return true
	}
	if t.ID == g.target.ID && t.Born == g.target.Born {
		return t.Seq > g.target.Seq
	}
	return t.Born > g.target.Born
}

// setTarget must be called with g.mu held.
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
	case restarted && g.known && t.ColdLeft > 0:
		g.limiter.Restart(t.Slots)
	case restarted:
		g.limiter.Warm(t.Slots)
	default:
		g.limiter.Resize(t.Slots)
	}
	if restarted {
		g.mean, g.callers = mean{}, mean{}
		g.failed, g.callersFailed = newFailed(), newFailed()
	}
	g.target = t
	g.known = true
	g.downUntil = time.Time{}
}

// Withdraw notes that a target has left; what it runs is let finish.
func (g *Gate) Withdraw(id string) {
	g.mu.Lock()
	born := int64(0)
	if id == g.target.ID {
		born = g.target.Born
		g.target.Ready = false
	}
	if _, known := g.left[id]; !known {
		g.leftOrder = append(g.leftOrder, id)
	}
	g.left[id] = max(born, g.left[id])
	if len(g.leftOrder) > tombstones {
		delete(g.left, g.leftOrder[0])
		g.leftOrder = g.leftOrder[1:]
	}
	state := g.stateLocked()
	g.mu.Unlock()
	g.changed(state)
}
