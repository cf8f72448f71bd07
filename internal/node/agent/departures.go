package agent

import (
	"context"
	"time"

	"fuchsiapier/internal/node/depart"
	"fuchsiapier/internal/node/starts"
	"fuchsiapier/internal/node/watch"
)

const (
	// departuresPrefix precedes the name of a node in the key under which the store keeps the
	// departures of the targets on its VM.
	departuresPrefix = "withdrawn/"
	// confirmTimeout is how long a target waits for the confirmation that it leaves. It takes one
	// that arrives within a second.
	confirmTimeout = 900 * time.Millisecond
)

// startDepartures creates what makes the departures of the target durable, and holds those of other
// nodes.
func (a *Agent) startDepartures() {
	var stop func()
	a.departures, stop = depart.NewRecorder(a.deploy.Node, a.links, a.peers.View, a.domains, a.storeDepartures, depart.WithLog(a.log))
	a.tree.Cleanup(stop)
	a.held = depart.NewHolder(a.links, a.peers.View, depart.WithHolderLog(a.log))
}

// recallDepartures asks store and nodes for the departures that an earlier process of this node has
// recorded; the gate opens afterwards.
func (a *Agent) recallDepartures() {
	a.tree.Cleanup(depart.StartRecall(a.deploy.Node, a.links, a.peers.View, a.domains, a.storeListed, restart{agent: a}, depart.WithRecallLog(a.log)))
}

// departed makes departures durable.
func (a *Agent) departed(departures []starts.Departure) {
	last := departures[len(departures)-1]
	event := "target departs"
	if last.LastSeq == 0 {
		event = "target started after the withdrawal of another start"
	}
	a.log.Info().Str("target", last.ID).Int64("born", last.StartedAt).Int64("last-seq", last.LastSeq).
		Int("departures", len(departures)).Msg(event)
	a.departures.Record(departures)
}

// storeDepartures has the encoded departures stored.
func (a *Agent) storeDepartures(value []byte) {
	a.watcher.Store(watch.Record{
		Key:   departuresPrefix + a.deploy.Node,
		Value: value,
	})
}

// recordStored is called with each record of this node that the store has taken.
func (a *Agent) recordStored(r watch.Record) {
	if r.Key == departuresPrefix+a.deploy.Node {
		a.departures.Stored(r.Value)
	}
}

// restoreStored restores the departures that the store holds.
func (a *Agent) restoreStored(value []byte) {
	stored, err := depart.Decode(value)
	if err != nil {
		a.log.Warn().Err(err).Msg("stored departures skipped")
		return
	}
	a.departures.Restore(stored)
	a.gate.RestoreDepartures(stored)
	a.log.Info().Int("departures", len(stored)).Msg("stored departures restored")
}

// confirm waits until the departures recorded so far are durable and reports whether they are. A
// confirmation binds, also if this process, or its whole failure domain, ends right after it.
func (a *Agent) confirm(target string) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	basis := a.departures.Await(ctx)
	waited := time.Since(began)
	a.stats.RecordDeparture(string(basis), waited)
	line := a.log.Info()
	if basis == depart.Unconfirmed {
		line = a.log.Warn()
	}
	line.Str("target", target).Str("basis", string(basis)).Int64("waited-ms", waited.Milliseconds()).Msg("departure of the target")
	return basis != depart.Unconfirmed
}

// restart implements depart.Restart.
type restart struct {
	agent *Agent
}

// Restore applies departures that another node holds, and makes them durable again.
func (r restart) Restore(departures []starts.Departure, from string) {
	r.agent.log.Info().Str("from", from).Int("departures", len(departures)).Msg("departures recalled from a node")
	r.agent.gate.RestoreDepartures(departures)
	r.agent.departures.Record(departures)
}

// Done lets the gate open.
func (r restart) Done(complete bool) {
	r.agent.gate.Unblock(complete)
}
