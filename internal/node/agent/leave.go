package agent

import (
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/leave"
)

// Leave shuts the node down gracefully, and returns when only the clean-up is left.
func (a *Agent) Leave() {
	leave.Run(shutdown{agent: a}, a.live.Load().Grace, a.log)
}

// shutdown implements leave.Node for an agent.
type shutdown struct {
	agent *Agent
}

// Enter begins a phase of the shutdown.
func (s shutdown) Enter(p leave.Phase) {
	a := s.agent
	switch p {
	case leave.CallersLeave:
		a.leaving.Store(true)
		a.callers.Drain()
	case leave.NodesLeave:
		a.gate.Leave()
		a.peers.Update(timer.Now(), true, func(n *peers.Node) { n.Leaving = true })
	case leave.Finish:
		a.callers.Quiesce()
	case leave.Refuse:
		a.entry.RefuseUnsent()
	case leave.Close:
		a.entry.Close()
		a.calls.Quiesce()
	}
}

// Load returns what the node still has to do.
func (s shutdown) Load() leave.Load {
	return leave.Load{
		Requests:    s.agent.callers.Pending(),
		Calls:       s.agent.calls.Pending(),
		Connections: s.agent.callers.Connections(),
	}
}
