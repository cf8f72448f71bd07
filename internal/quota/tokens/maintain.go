package tokens

import (
	"context"

	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/bucket"
)

// checkPause empties the buckets after a pause of the process: the VM may have
// been replaced during the pause, and its successor in the slot may be spending the
// same tokens.
func (l *Limiter) checkPause(now timer.Instant) {
	l.mu.RLock()
	paused := now.Sub(l.lastTick) > pauseThreshold
	l.mu.RUnlock()
	if !paused {
		return
	}
	l.mu.Lock()
	if now.Sub(l.lastTick) <= pauseThreshold {
		l.mu.Unlock()
		return
	}
	gap := now.Sub(l.lastTick)
	l.lastTick = now
	accounts := l.list()
	l.mu.Unlock()
	for _, a := range accounts {
		a.mu.Lock()
		a.bucket.Reset(now.Add(refillDelay))
		a.mu.Unlock()
	}
	l.events.Add(event.Event{
		Kind:   "budgets-reset-after-pause",
		Detail: gap.String(),
	})
}

// tick maintains all accounts. It runs once per tickPeriod.
func (l *Limiter) tick(now timer.Instant) {
	l.checkPause(now)
	l.mu.Lock()
	l.lastTick = now
	accounts := l.list()
	l.mu.Unlock()
	for _, a := range accounts {
		l.maintain(now, a)
	}
}

// maintain returns the borrowed tokens of an account that is idle or has little
// demand, borrows ahead of need for other accounts, and reports ended loans.
func (l *Limiter) maintain(now timer.Instant, a *account) {
	a.mu.Lock()
	idle := now.Sub(a.usedAt) > idleTime
	switch {
	case a.borrowing != nil || a.inFlight != nil:
	case idle || a.negligible(now):
		a.bucket.ReturnAll(now)
	default:
		a.bucket.ReturnExpiring(now, returnMargin)
	}
	needed := !idle && a.shortfall(now, 0) > 0 && a.inFlight == nil && now >= a.backoffUntil
	if needed {
		a.inFlight = make(chan struct{})
	}
	ended := a.bucket.Settlements(now)
	a.mu.Unlock()
	l.sendSettlements(a, ended)
	if needed {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
			defer cancel()
			l.borrow(ctx, a, 0)
		}()
	}
}

// sendSettlements reports ended loans to their lenders at once, since an
// outstanding loan keeps the lender's slice from refilling.
func (l *Limiter) sendSettlements(a *account, ended map[string][]bucket.Settlement) {
	for lender, s := range ended {
		l.mesh.Settle(lender, SettleRequest{
			Budget:      a.name,
			Settlements: s,
		})
	}
}
