package gate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/pipe/httpc"
)

// evidence is what showed that the target has crashed. Its values are metric labels and
// stand in log lines.
type evidence int

const (
	// refusedConnection means that the target refused a connection.
	refusedConnection evidence = iota
	// newStart means that the target announced a new start.
	newStart
	evidenceCount
)

var evidenceNames = [evidenceCount]string{"refused-connection", "new-start"}

// String returns the name of the evidence.
func (e evidence) String() string {
	return evidenceNames[e]
}

// crashCounts counts crashes of the target, and what was done with requests that are
// suspected of crashing targets.
type crashCounts struct {
	crashes   [evidenceCount]atomic.Uint64
	exclusive atomic.Uint64
	refused   atomic.Uint64
}

// CrashCount is a counter of crashes, or of decisions on requests suspected of causing them.
type CrashCount struct {
	// Name is target_crashes, exclusive_runs or crash_refusals. Evidence is set for the first
	// only: what showed the crash.
	Name     string
	Evidence string
	Read     func() uint64
}

// CrashCounts returns the counters.
func (g *Gate) CrashCounts() []CrashCount {
	out := []CrashCount{
		{
			Name: "exclusive_runs",
			Read: g.crashCounts.exclusive.Load,
		},
		{
			Name: "crash_refusals",
			Read: g.crashCounts.refused.Load,
		},
	}
	for e, name := range evidenceNames {
		out = append(out, CrashCount{
			Name:     "target_crashes",
			Evidence: name,
			Read:     g.crashCounts.crashes[e].Load,
		})
	}
	return out
}

// maxLoggedRequests bounds the requests that the log line of a crash names.
const maxLoggedRequests = 64

// crashReport is a crash of the target and what ran.
type crashReport struct {
	id      crash.ID
	running []crash.Fingerprint
}

// takeCrash returns the requests whose responses were lost when the target crashed, to be passed
// to report once g.mu, which must be held, is released.
func (g *Gate) takeCrash(e evidence) crashReport {
	id, lost := g.runs.takeLost(time.Now())
	if len(lost) == 0 {
		return crashReport{}
	}
	g.crashCounts.crashes[e].Add(1)
	r := crashReport{
		id: id,
	}
	var requests []string
	for _, l := range lost {
		r.running = append(r.running, l.fingerprint)
		if len(requests) < maxLoggedRequests {
			requests = append(requests, l.attempt+" "+l.fingerprint.String())
		}
	}
	g.targetLog.Warn().Str("target", g.target.ID).Int64("born", g.target.StartedAt).Str("evidence", e.String()).
		Str("crash", id.String()).Int64("lost-ms-ago", time.Since(lost[len(lost)-1].at).Milliseconds()).
		Int("ran", len(lost)).Strs("requests", requests).Msg("target crashed")
	return r
}

// report records a crash, if there was one.
func (g *Gate) report(r crashReport) {
	if len(r.running) > 0 {
		g.crashes.RecordCrash(r.id, r.running)
	}
}

// crashSettleTime is how long after a lost response the check for a crash begins, so that all
// responses that the crash loses are recorded by then.
const crashSettleTime = 5 * time.Millisecond

// checkCrash finds out, after a response was lost, whether the target has crashed, and records
// that. Calls at the same time share one check.
func (g *Gate) checkCrash(target Target, pool *httpc.Pool) {
	_, _, _ = g.checks.Do(pool.Address(), func() (any, error) {
		time.Sleep(crashSettleTime)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if err := pool.Probe(ctx); errors.Is(err, httpc.ErrRefused) {
			g.markDown(target)
		}
		return nil, nil
	})
}

// logSuspect logs that a request that is not clear is sent to the target.
func (g *Gate) logSuspect(attempt string, f crash.Fingerprint, s crash.Standing, left time.Duration, exclusive bool) {
	g.log.Info().Str("request", attempt).Str("fingerprint", f.String()).Str("standing", string(s)).
		Int64("left-ms", left.Milliseconds()).Bool("exclusive", exclusive).Msg("request that ran during crashes is sent to the target")
}
