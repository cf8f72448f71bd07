package bank

import (
	"context"

	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/purse"
)

// checkPause empties the purses after a pause: the VM may have been replaced
// meanwhile, and its successor in the slot may be spending.
func (b *Bank) checkPause(now timer.Instant) {
	b.mu.RLock()
	paused := now.Sub(b.lastTick) > pauseLimit
	b.mu.RUnlock()
	if !paused {
		return
	}
	b.mu.Lock()
	if now.Sub(b.lastTick) <= pauseLimit {
		b.mu.Unlock()
		return
	}
	gap := now.Sub(b.lastTick)
	b.lastTick = now
	accounts := b.list()
	b.mu.Unlock()
	for _, a := range accounts {
		a.mu.Lock()
		a.purse.Reset(now.Add(settleIn))
		a.mu.Unlock()
	}
	b.events.Add(event.Event{
		Kind:   "budgets-reset-after-pause",
		Detail: gap.String(),
	})
}

func (b *Bank) tick(now timer.Instant) {
	b.checkPause(now)
	b.mu.Lock()
	b.lastTick = now
	accounts := b.list()
	b.mu.Unlock()
	for _, a := range accounts {
		b.maintain(now, a)
	}
}

// maintain tops an active account up ahead of need, gives back what an idle one
// borrowed, and reports ended loans.
func (b *Bank) maintain(now timer.Instant, a *account) {
	a.mu.Lock()
	idle := now.Sub(a.usedAt) > idleTime
	switch {
	case a.collect != nil || a.asking != nil:
	case idle || a.small(now):
		a.purse.GiveUp(now)
	default:
		a.purse.GiveBack(now, giveBackMargin)
	}
	lacking := !idle && a.want(now, 0) > 0 && a.asking == nil && now >= a.dryUntil
	if lacking {
		a.asking = make(chan struct{})
	}
	ended := a.purse.Settlements(now)
	a.mu.Unlock()
	b.report(a, ended)
	if lacking {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeWait)
			defer cancel()
			b.ask(ctx, a, 0)
		}()
	}
}

// report tells lenders at once of loans that have ended, since a loan keeps
// the lender's slice from refilling.
func (b *Bank) report(a *account, ended map[string][]purse.Settlement) {
	for lender, s := range ended {
		b.mesh.Settle(lender, Report{
			Budget:      a.name,
			Settlements: s,
		})
	}
}
