package gate

import (
	"slices"
	"time"

	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/pipe/httpc"
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
	// StartedAt is when the target started, in Unix milliseconds by a clock that may jump, or
	// 0 where the announcement doesn't say. With the ID it names the start.
	StartedAt int64
	// Seq is the sequence number of the announcement; it increases with each
	// announcement of the same start.
	Seq int64
}

// State is a snapshot of the target and its queue.
type State struct {
	Target
	// Open says that the gate takes requests for the target.
	Open bool
	// Wait is the expected queueing time of a new request.
	Wait time.Duration
	// Running and Waiting are the numbers of requests that hold a slot and that are
	// queued.
	Running int
	Waiting int
	// Limit is the concurrency limit, in requests.
	Limit int
	// RateLimit is the number of requests per second that the target accepts, 0 for no limit.
	RateLimit float64
	// Sent is the number of requests sent to targets since the node started.
	Sent uint64
	// ServiceTime is the moving average of the time that the target takes for a
	// request.
	ServiceTime time.Duration
	// CallersServiceTime is the same for callers' own requests, without nested calls.
	CallersServiceTime time.Duration
	// CallersFailureRate is the recent failure rate (0 to 1) of callers' own requests
	// at the target.
	CallersFailureRate float64
	// FailureRate is the recent failure rate (0 to 1) of all requests at the target.
	FailureRate float64
}

// report returns what an announcement says about the start of the target.
func (t Target) report() starts.Report {
	return starts.Report{
		ID:        t.ID,
		StartedAt: t.StartedAt,
		Seq:       t.Seq,
		Ready:     t.Ready,
	}
}

// Announce applies a target's announcement, if its start is the present one, and reports whether it
// did. Late announcements, and those of starts that have left, are ignored.
func (g *Gate) Announce(t Target) bool {
	g.mu.Lock()
	held := g.target
	verdict, departed := g.starts.Announce(time.Now(), t.report())
	before := g.stateLocked()
	var crashed crashReport
	var woken []chan bool
	if verdict == starts.Applied {
		if g.announced && g.target.StartedAt > 0 && !t.sameStart(g.target) {
			crashed = g.takeCrash(newStart)
		}
		g.setTarget(t)
		woken = g.startQueued()
	}
	after := g.stateLocked()
	departures := slices.Clone(g.starts.Departures())
	g.mu.Unlock()
	wake(woken)
	g.report(crashed)
	if before.Target.ID != after.Target.ID || before.Open != after.Open || before.Service != after.Service {
		g.onChange(after)
	}
	if departed {
		g.onDeparture(departures)
	}
	if verdict != starts.Applied {
		g.targetLog.Info().Str("target", t.ID).Int64("born", t.StartedAt).Int64("seq", t.Seq).Str("reason", string(verdict)).
			Str("held", held.ID).Int64("held-born", held.StartedAt).Int64("held-seq", held.Seq).Msg("announcement ignored")
	}
	return verdict == starts.Applied
}

// sameStart reports whether both announcements are of the same start of a target.
func (t Target) sameStart(o Target) bool {
	return t.ID == o.ID && t.StartedAt == o.StartedAt
}

// setTarget applies an announcement; g.mu must be held.
func (g *Gate) setTarget(t Target) {
	restarted := !t.sameStart(g.target)
	if g.pool == nil || g.pool.Address() != t.Address {
		if g.pool != nil {
			g.pool.Close()
		}
		g.pool, _ = httpc.New(t.Address,
			httpc.WithDialTimeout(dialTimeout),
			httpc.WithAttemptHeader(g.names.Attempt),
			httpc.WithFilter(g.filter),
			httpc.WithBodies(g.bodies),
			httpc.WithConnections(g.connections),
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
		g.failed, g.callersFailed = newFailureRate(), newFailureRate()
		g.rateLimit, g.rateLimitKnown = 0, false
		g.limiter.LiftRate()
		g.runs.restarted()
	}
	if restarted {
		g.reports = 0
	}
	g.reports++
	g.target = t
	g.announced = true
	g.downUntil = time.Time{}
	if g.cautious && g.reports >= cautiousReports {
		g.blocked, g.cautious = false, false
	}
}
