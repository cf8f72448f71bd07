package agent

import (
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/leave"
)

// Leave shuts the node down gracefully, and returns when only the clean-up is left.
func (a *Agent) Leave() {
	leave.Run(leaving{agent: a}, a.live.Load().Grace, a.log)
}

// leaving implements leave.Node.
type leaving struct {
	agent *Agent
}

// Enter begins a phase of the shutdown.
func (l leaving) Enter(p leave.Phase) {
	a := l.agent
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
func (l leaving) Load() leave.Load {
	return leave.Load{
		Requests:    l.agent.callers.Pending(),
		Calls:       l.agent.calls.Pending(),
		Connections: l.agent.callers.Connections(),
	}
}
