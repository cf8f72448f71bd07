package gate

import (
	"slices"
	"time"

	"fuchsiapier/internal/node/starts"
)

// Withdraw records that a target has left for good. The gate sends it no further requests,
// and requests in flight continue. Later announcements of its start are ignored.
func (g *Gate) Withdraw(id string) {
	g.depart(func(now time.Time) bool { return g.starts.Withdraw(now, id) })
}

// withdrawStart is Withdraw for the start of a target that began at startedAt.
func (g *Gate) withdrawStart(id string, startedAt int64) {
	g.depart(func(now time.Time) bool { return g.starts.WithdrawStart(now, id, startedAt) })
}

// depart records a departure with the given function, which reports whether it was news.
func (g *Gate) depart(record func(now time.Time) bool) {
	g.mu.Lock()
	if !record(time.Now()) {
		g.mu.Unlock()
		return
	}
	g.closeIfLeaving()
	state := g.stateLocked()
	departures := slices.Clone(g.starts.Departures())
	g.mu.Unlock()
	g.onChange(state)
	g.onDeparture(departures)
}

// Departed reports whether the departure of the start of a target is on record.
func (g *Gate) Departed(t Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts.Departed(t.ID, t.StartedAt)
}

// RestoreDepartures records the departures that an earlier process of this node has
// recorded.
func (g *Gate) RestoreDepartures(departures []starts.Departure) {
	g.mu.Lock()
	before := g.stateLocked()
	g.starts.Restore(time.Now(), departures)
	g.closeIfLeaving()
	after := g.stateLocked()
	g.mu.Unlock()
	if before.Open != after.Open {
		g.onChange(after)
	}
}

// Unblock lets the gate open. It is to be called once the departures that an earlier process of this
// node has recorded are restored; complete is false if some may be missing, so that the target must
// report again first.
func (g *Gate) Unblock(complete bool) {
	g.mu.Lock()
	before := g.stateLocked()
	g.cautious = !complete && g.reports < cautiousReports
	g.blocked = g.cautious
	after := g.stateLocked()
	g.mu.Unlock()
	if before.Open != after.Open {
		g.onChange(after)
	}
}

// closeIfLeaving closes the gate if no start of the target may be used; g.mu must be held.
func (g *Gate) closeIfLeaving() {
	if !g.starts.Usable() {
		g.target.Ready = false
	}
}
