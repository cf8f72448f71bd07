package gate

import (
	"slices"
	"time"
)

// Withdrawal says that a target has left for good. It outlives the node's process in the
// platform's store, since announcements that the target sent before may still arrive. It
// is encoded as a CBOR array, so the order of the fields is part of the format.
type Withdrawal struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// StartedAt is the start time of the target that was known under the ID, in Unix
	// milliseconds, 0 if none was.
	StartedAt int64
	// At is when the target was withdrawn, in Unix milliseconds.
	At int64
}

// outdates reports whether an announcement is of the withdrawn target or of an earlier
// start of it. Without a start time, this holds for the announcements of targets that were
// started before the withdrawal, for the time in which late ones may arrive.
func (w Withdrawal) outdates(t Target, now time.Time) bool {
	if t.ID != w.ID {
		return false
	}
	if w.StartedAt > 0 {
		return t.StartedAt <= w.StartedAt
	}
	return t.StartedAt <= w.At && now.Sub(time.UnixMilli(w.At)) < lateAnnouncementTime
}

// Withdraw records that a target was withdrawn. The gate sends it no further requests,
// and requests in flight continue. Later announcements of the withdrawn target are ignored.
func (g *Gate) Withdraw(id string) {
	g.mu.Lock()
	startedAt := int64(0)
	if id == g.target.ID {
		startedAt = g.target.StartedAt
	}
	g.mu.Unlock()
	g.withdraw(id, startedAt)
}

// withdraw records that the target with the given ID and start time (0 if unknown) was
// withdrawn.
func (g *Gate) withdraw(id string, startedAt int64) {
	g.mu.Lock()
	g.record(Withdrawal{
		ID:        id,
		StartedAt: startedAt,
		At:        time.Now().UnixMilli(),
	})
	state := g.stateLocked()
	withdrawals := slices.Clone(g.withdrawals)
	g.mu.Unlock()
	g.onChange(state)
	g.onWithdraw(withdrawals)
}

// isWithdrawn reports whether a withdrawal on record outdates an announcement; g.mu must be
// held.
func (g *Gate) isWithdrawn(t Target) bool {
	now := time.Now()
	return slices.ContainsFunc(g.withdrawals, func(w Withdrawal) bool { return w.outdates(t, now) })
}

// RestoreWithdrawals records the withdrawals that an earlier process of this node has
// stored.
func (g *Gate) RestoreWithdrawals(stored []Withdrawal) {
	g.mu.Lock()
	before := g.stateLocked()
	for _, w := range stored {
		g.record(w)
	}
	after := g.stateLocked()
	g.mu.Unlock()
	if before.Open != after.Open {
		g.onChange(after)
	}
}

// record adds a withdrawal, or replaces an earlier one of the same ID, and closes the gate
// if it is that of the current target; g.mu must be held.
func (g *Gate) record(w Withdrawal) {
	if i := slices.IndexFunc(g.withdrawals, func(o Withdrawal) bool { return o.ID == w.ID }); i >= 0 {
		if old := g.withdrawals[i]; w.StartedAt == 0 || old.StartedAt > w.StartedAt {
			w.StartedAt = old.StartedAt
		}
		w.At = max(w.At, g.withdrawals[i].At)
		g.withdrawals = slices.Delete(g.withdrawals, i, i+1)
	}
	g.withdrawals = append(g.withdrawals, w)
	if len(g.withdrawals) > maxWithdrawals {
		g.withdrawals = slices.Delete(g.withdrawals, 0, 1)
	}
	if w.outdates(g.target, time.Now()) {
		g.target.Ready = false
	}
}
