// Package bank limits the use of budgets by all nodes together, with one token
// bucket for each budget and node. A node spends from its own buckets and borrows
// tokens ahead of need through the broker of the budget, a node of its failure
// domain. The broker collects spare tokens from the nodes of its failure domain
// and from the brokers of other failure domains.
//
// Safety does not depend on brokers: the buckets enforce the budget whichever
// node asks for tokens. A broker that crashes, is cut off or exists twice only
// makes the use of the budget less efficient.
package bank

import (
	"context"
	"sync"
	"time"

	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/purse"
)

const (
	// Term is how long borrowed tokens may be spent.
	Term = 1 * time.Second
	// refillDelay is how long the buckets of a restarted or paused node stay
	// empty, until the loans of another process in the same slot have ended.
	refillDelay = Term + Term/2
	// tickPeriod is the time between rounds of maintenance, in which accounts are
	// topped up.
	tickPeriod = 100 * time.Millisecond
	// pauseThreshold is the gap between ticks from which the process counts as
	// paused.
	pauseThreshold = 1 * time.Second
	// takeTimeout bounds how long a request waits for borrowed tokens.
	takeTimeout = 150 * time.Millisecond
	// memberTimeout bounds requests to the other nodes of the failure domain.
	memberTimeout = 50 * time.Millisecond
	// domainTimeout bounds requests to the brokers of other failure domains.
	domainTimeout = 120 * time.Millisecond
	// maxBackoff bounds how long a node refuses without requesting tokens.
	maxBackoff = 250 * time.Millisecond
	// minBackoff is the shortest time between requests that were not met in full.
	minBackoff = 20 * time.Millisecond
)

// Mesh is the view of the other nodes, and the transport to them, that the
// package needs.
type Mesh interface {
	// Broker returns the name of the broker of a budget in this node's failure
	// domain.
	Broker(budget string) string
	// Members returns the names of the other live nodes of this node's failure
	// domain.
	Members() []string
	// Brokers returns the names of the brokers of a budget in the other failure
	// domains.
	Brokers(budget string) []string
	// Lend requests loans from a node.
	Lend(ctx context.Context, node string, req Ask) (Answer, error)
	// Settle sends settlements to a lender. Delivery is not guaranteed: the
	// tokens of a loan whose settlement is lost count as spent when its term
	// ends.
	Settle(node string, r Report)
}

// Slices returns the slice of a budget that the node's slot owns, and whether the
// budget exists in the preset in force.
type Slices func(budget string) (purse.Slice, bool)

// Bank holds one node's part of all budgets. It is safe for concurrent use.
type Bank struct {
	self     string
	mesh     Mesh
	events   *event.Ring
	started  timer.Instant
	firstID  purse.LoanID
	mu       sync.RWMutex
	accounts map[string]*account
	slices   Slices
	// configuredAt is when the first configuration was applied, 0 before.
	configuredAt timer.Instant
	lastTick     timer.Instant
}

// Option is an option of New.
type Option func(*Bank)

// WithEvents sets the ring that state changes are recorded in.
func WithEvents(r *event.Ring) Option {
	return func(l *Bank) {
		l.events = r
	}
}

// WithIncarnation sets the number that loan IDs are counted up from. It must
// differ between the incarnations of a slot's node.
func WithIncarnation(n int64) Option {
	return func(l *Bank) {
		l.firstID = purse.LoanID(n)
	}
}

// New returns the limiter of the named node, with its maintenance started, and
// the function that stops the maintenance.
func New(self string, mesh Mesh, timers *timer.Service, options ...Option) (*Bank, func()) {
	now := timer.Now()
	l := &Bank{
		self:     self,
		mesh:     mesh,
		events:   event.NewRing(self, 1),
		started:  now,
		accounts: map[string]*account{},
		slices:   func(string) (purse.Slice, bool) { return purse.Slice{}, false },
		lastTick: now,
	}
	for _, o := range options {
		o(l)
	}
	return l, timers.Every(tickPeriod, l.tick)
}

// Configure sets the slices of all budgets to those of the preset in force.
func (l *Bank) Configure(now timer.Instant, slices Slices) {
	l.mu.Lock()
	l.slices = slices
	if l.configuredAt == 0 {
		l.configuredAt = now
	}
	accounts := l.list()
	l.mu.Unlock()
	for _, a := range accounts {
		slice, _ := slices(a.name)
		a.mu.Lock()
		a.purse.SetSlice(now, slice)
		a.mu.Unlock()
	}
}

// list returns all accounts; l.mu must be held.
func (l *Bank) list() []*account {
	out := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		out = append(out, a)
	}
	return out
}

// account returns the account of a budget. It is kept only if the budget exists
// in the preset in force. The bucket of a node that has just started stays empty
// until the loans of its predecessor in the slot have ended.
func (l *Bank) account(name string) *account {
	l.mu.RLock()
	a, ok := l.accounts[name]
	l.mu.RUnlock()
	if ok {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[name]; ok {
		return a
	}
	slice, known := l.slices(name)
	from := max(l.started.Add(refillDelay), l.configuredAt)
	a = &account{
		name:    name,
		purse:   purse.New(slice, from, l.firstID),
		reports: map[string]report{},
	}
	if known {
		l.accounts[name] = a
	}
	return a
}

// Take spends n tokens of a budget and reports whether it did. It waits for
// borrowed tokens for a bounded time; if there are none, the returned duration is
// the time after which the caller should retry.
func (l *Bank) Take(ctx context.Context, budget string, n float64) (bool, time.Duration) {
	a := l.account(budget)
	now := timer.Now()
	l.checkPause(now)
	a.mu.Lock()
	a.demand.AddRate(now, demandWindow, n)
	a.usedAt = now
	if a.purse.Take(now, n) {
		ended := a.purse.Settlements(now)
		a.mu.Unlock()
		l.sendSettlements(a, ended)
		return true, 0
	}
	backingOff := now < a.backoffUntil && !a.withinRate(now, len(l.mesh.Members())+1)
	a.mu.Unlock()
	if !backingOff {
		ctx, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		if l.borrowAndTake(ctx, a, n) {
			return true, 0
		}
	}
	return false, l.retryAfter(a, n)
}

// borrowAndTake borrows until n tokens can be taken, the node has to back off, or
// the context ends. Concurrent calls share the request to the broker that is in
// flight.
func (l *Bank) borrowAndTake(ctx context.Context, a *account, n float64) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		now := timer.Now()
		if a.purse.Take(now, n) {
			a.mu.Unlock()
			return true
		}
		if left := a.backoffUntil.Sub(now); left > 0 {
			withinRate := a.withinRate(now, len(l.mesh.Members())+1)
			a.mu.Unlock()
			if !withinRate {
				return false
			}
			sleep(ctx, left)
			continue
		}
		done := a.inFlight
		if done == nil {
			a.inFlight = make(chan struct{})
		}
		a.mu.Unlock()
		if done == nil {
			l.borrow(ctx, a, n)
			continue
		}
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return false
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// borrow borrows for an account through the broker of its budget: the shortfall
// for the demand to come, and at least minimum tokens. The caller must have set
// a.inFlight; borrow closes and clears it.
func (l *Bank) borrow(ctx context.Context, a *account, minimum float64) {
	requestedAt := timer.Now()
	a.mu.Lock()
	req := Ask{
		Budget: a.name,
		From:   l.self,
		Scope:  FromFleet,
		Want:   a.shortfall(requestedAt, minimum),
		Demand: a.demand.Value(requestedAt, demandWindow),
	}
	a.mu.Unlock()
	broker := l.mesh.Broker(a.name)
	var answer Answer
	var err error
	if broker == l.self {
		answer = l.borrowAsBroker(ctx, a, req)
	} else {
		answer, err = l.mesh.Lend(ctx, broker, req)
	}
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	got := a.purse.Borrow(now, requestedAt, broker, answer.Loans)
	a.lastDomainDemand = answer.Demand
	if err != nil {
		a.backoffUntil = now.Add(minBackoff)
	} else if broker != l.self && got < req.Want || answer.DryMillis > 0 {
		a.backoffUntil = now.Add(backoffTime(answer.DryMillis))
	}
	close(a.inFlight)
	a.inFlight = nil
}

// backoffTime converts the time in an answer and limits it to minBackoff and
// maxBackoff.
func backoffTime(millis int64) time.Duration {
	return min(max(time.Duration(millis)*time.Millisecond, minBackoff), maxBackoff)
}

// Refund returns n tokens taken for a request that did not run.
func (l *Bank) Refund(budget string, n float64) {
	a := l.account(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.purse.Refund(timer.Now(), n)
}

// Charge spends n tokens that were used already, even if the budget has none
// left.
func (l *Bank) Charge(budget string, n float64) {
	a := l.account(budget)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand.AddRate(now, demandWindow, n)
	a.usedAt = now
	a.purse.Charge(now, n)
}

// Settle ends loans as reported by a borrower.
func (l *Bank) Settle(r Report) {
	a := l.account(r.Budget)
	now := timer.Now()
	a.mu.Lock()
	a.purse.Settle(now, r.Settlements)
	ended := a.purse.Settlements(now)
	a.mu.Unlock()
	l.sendSettlements(a, ended)
}

// Demand returns the recent demand of the failure domain for a budget, in tokens
// per second.
func (l *Bank) Demand(budget string) float64 {
	a := l.account(budget)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.lastDomainDemand, a.demand.Value(now, demandWindow))
}

// retryAfter estimates the time until n tokens can be taken, between minBackoff
// and Term.
func (l *Bank) retryAfter(a *account, n float64) time.Duration {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.purse.Slice().Rate
	if rate <= 0 {
		return Term
	}
	shortfall := n - a.purse.Holds(now)
	wait := time.Duration(shortfall / rate * float64(time.Second))
	return min(max(wait, a.backoffUntil.Sub(now), minBackoff), Term)
}
