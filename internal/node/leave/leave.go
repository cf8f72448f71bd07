// Package leave runs the planned shutdown of a node. It is a series of phases. What becomes of a
// request follows from the phase and from where the request is (docs/design/13-shutdown.md); no phase
// takes a request that the phases after it can't answer.
package leave

import (
	"time"

	"github.com/rs/zerolog"
)

// Phase is a phase of a shutdown. Its values stand in log lines.
type Phase string

// The phases, in their order.
const (
	// CallersLeave is for the callers on the VM: the node reports that it is not ready, and each
	// connection closes with its next response. Everything else is as before.
	CallersLeave Phase = "callers-leave"
	// NodesLeave is for the other nodes: the gate refuses what was not sent to the target, and they
	// are told to send nothing more.
	NodesLeave Phase = "nodes-leave"
	// LastReads takes requests of callers that go on sending, until none is pending.
	LastReads Phase = "last-reads"
	// Finish reads no request of a caller any more. Those that were read wait for a target or run.
	Finish Phase = "finish"
	// Refuse refuses the requests that no target was offered, wherever they wait.
	Refuse Phase = "refuse"
	// Close gives the requests that are left their final answer, and ends the connections.
	Close Phase = "close"
)

const (
	// callersLeaveTime is the time of CallersLeave. The callers on the VM check readiness once a second
	// and stop using the node after two failed checks.
	callersLeaveTime = 2100 * time.Millisecond
	// nodesLeaveTime is the time of NodesLeave, in which the news reaches the other nodes.
	nodesLeaveTime = 300 * time.Millisecond
	// readTime is how long after its begin the shutdown reads requests of callers at most. Callers that
	// never pause would otherwise leave no time to finish what was read.
	readTime = 3 * time.Second
	// refuseTime is the time before Close in which requests that no target was offered are refused: what
	// other nodes say of those that wait there has to arrive, and what has just been sent may end.
	refuseTime = 1 * time.Second
	// closeTime is how long Close waits for the last responses to be written and for callers to close
	// their connections.
	closeTime = 300 * time.Millisecond
	// cleanUpTime is the part of the grace period that is reserved for Close and the clean-up.
	cleanUpTime = 1 * time.Second
	// runPart is the part of the grace period that running requests have in any case, however short it is.
	runPart = 5.0 / 6
	// checkPeriod is how often Idle is asked.
	checkPeriod = 20 * time.Millisecond
)

// Step is a phase of a schedule.
type Step struct {
	Phase Phase
	// Until is when the phase ends at the latest, from the begin of the shutdown.
	Until time.Duration
	// UntilIdle says that the phase ends as soon as the node is idle.
	UntilIdle bool
}

// Schedule returns the steps of a shutdown within a grace period. In a short one the first phases
// get less time than callers and nodes need.
func Schedule(grace time.Duration) []Step {
	end := max(grace-cleanUpTime, time.Duration(runPart*float64(grace)))
	callers := min(callersLeaveTime, end/2)
	nodes := callers + min(nodesLeaveTime, end/10)
	return []Step{
		{
			Phase: CallersLeave,
			Until: callers,
		},
		{
			Phase: NodesLeave,
			Until: nodes,
		},
		{
			Phase:     LastReads,
			Until:     min(readTime, 3*end/5),
			UntilIdle: true,
		},
		{
			Phase:     Finish,
			Until:     end - min(refuseTime, end/5),
			UntilIdle: true,
		},
		{
			Phase:     Refuse,
			Until:     end,
			UntilIdle: true,
		},
		{
			Phase:     Close,
			Until:     end + min(closeTime, (grace-end)/2),
			UntilIdle: true,
		},
	}
}

// Load is what a node still has to do.
type Load struct {
	// Requests of callers, and calls of other nodes, were read and not answered.
	Requests int
	Calls    int
	// Connections of callers are open. They matter once the node has nothing else to do.
	Connections int
}

// Node is what the shutdown needs of the node.
type Node interface {
	// Enter begins a phase.
	Enter(p Phase)
	// Load returns what is left to do.
	Load() Load
}

// Run shuts a node down within a grace period that began just now, and returns when only the clean-up
// is left. It logs each phase.
func Run(n Node, grace time.Duration, log zerolog.Logger) {
	began := time.Now()
	for _, s := range Schedule(grace) {
		n.Enter(s.Phase)
		l := n.Load()
		log.Info().Str("phase", string(s.Phase)).Int64("since-ms", time.Since(began).Milliseconds()).Int64("until-ms", s.Until.Milliseconds()).
			Int("requests", l.Requests).Int("calls", l.Calls).Int("connections", l.Connections).Msg("shutdown phase")
		for time.Since(began) < s.Until && !(s.UntilIdle && isIdle(s.Phase, n.Load())) {
			time.Sleep(min(checkPeriod, s.Until-time.Since(began)))
		}
	}
	if l := n.Load(); l.Requests+l.Calls > 0 {
		log.Warn().Int("requests", l.Requests).Int("calls", l.Calls).Msg("grace period expired with requests pending")
	}
}

// isIdle reports whether nothing is left to do in a phase.
func isIdle(p Phase, l Load) bool {
	if p == Close && l.Connections > 0 {
		return false
	}
	return l.Requests+l.Calls == 0
}
