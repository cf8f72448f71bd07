package gate

import (
	"strconv"
	"sync/atomic"
	"time"

	"fuchsiapier/internal/admit/crash"
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

// reportCrash reports the requests whose responses were lost when the target crashed; g.mu
// must be held.
func (g *Gate) reportCrash(e evidence) {
	lost := g.runs.takeLost()
	if len(lost) == 0 {
		return
	}
	g.crashCounts.crashes[e].Add(1)
	var fingerprints []crash.Fingerprint
	var requests []string
	for _, l := range lost {
		fingerprints = append(fingerprints, l.fingerprint)
		if len(requests) < maxLoggedRequests {
			requests = append(requests, l.attempt+" "+strconv.FormatUint(uint64(l.fingerprint), 16))
		}
	}
	g.targetLog.Warn().Str("target", g.target.ID).Int64("born", g.target.StartedAt).Str("evidence", e.String()).
		Int64("lost-ms-ago", time.Since(lost[len(lost)-1].at).Milliseconds()).Int("ran", len(lost)).
		Strs("requests", requests).Msg("target crashed")
	go g.crashes.RecordCrash(crash.NewID(), fingerprints)
}

// logSuspect logs that a request that is not clear is sent to the target.
func (g *Gate) logSuspect(attempt string, f crash.Fingerprint, s crash.Standing, left time.Duration, exclusive bool) {
	g.log.Info().Str("request", attempt).Str("fingerprint", strconv.FormatUint(uint64(f), 16)).Str("standing", string(s)).
		Int64("left-ms", left.Milliseconds()).Bool("exclusive", exclusive).Msg("request that ran during crashes is sent to the target")
}
