package agent

import "fuchsiapier/internal/node/watch"

// configuration implements fetch.Config.
type configuration struct {
	agent *Agent
}

// Version returns the version of the configuration in force, 0 before the first.
func (c configuration) Version() int64 {
	return c.agent.watcher.Freshness().Version
}

// Hear records that another node has a version in force.
func (c configuration) Hear(version int64, from string) {
	c.agent.watcher.Hear(version, from)
}

// Offer applies an encoded configuration of another node if it is newer, and reports whether it
// did.
func (c configuration) Offer(data []byte, from string) bool {
	return c.agent.watcher.Offer(data, watch.FromPeer, from)
}

// CheckStore has the newest configuration read from the store.
func (c configuration) CheckStore(reason string) {
	c.agent.watcher.CheckStore(reason)
}
