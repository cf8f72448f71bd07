// Package tokens limits the use of budgets by all nodes together, with one token
// bucket for each budget and node. A node spends from its own buckets and borrows
// tokens ahead of need through the broker of the budget, a node of its failure
// domain. The broker collects spare tokens from the nodes of its failure domain
// and from the brokers of other failure domains.
//
// Safety does not depend on brokers: the buckets enforce the budget whichever
// node requests tokens. If a broker crashes or is isolated, or if two nodes act as
// the broker at once, the budget is only used less efficiently.
package tokens

import (
	"context"
	"sync"
	"time"

	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/bucket"
)

const (
	// LoanTerm is how long borrowed tokens may be spent.
	LoanTerm = 1 * time.Second
	// refillDelay is how long the buckets of a restarted or paused node stay
	// empty, until the loans of another process in the same slot have ended.
	refillDelay = LoanTerm + LoanTerm/2
	// tickPeriod is the time between rounds of maintenance, in which accounts
	// borrow ahead of need.
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
	Lend(ctx context.Context, node string, req LendRequest) (Answer, error)
	// Settle sends settlements to a lender. Delivery is not guaranteed: the
	// tokens of a loan whose settlement is lost count as spent when its term
	// ends.
	Settle(node string, r SettleRequest)
}

// Slices returns the slice of a budget that the node's slot owns, and whether the
// budget exists in the preset in force.
type Slices func(budget string) (bucket.Slice, bool)

// Limiter holds one node's part of all budgets. It is safe for concurrent use.
type Limiter struct {
	self     string
	mesh     Mesh
	events   *event.Ring
	started  timer.Instant
	idBase   bucket.LoanID
	mu       sync.RWMutex
	accounts map[string]*account
	slices   Slices
	// configuredAt is when the first configuration was applied; 0 before that.
	configuredAt timer.Instant
	lastTick     timer.Instant
}

// Option is an option of New.
type Option func(*Limiter)

// WithEvents sets the ring that state changes are recorded in.
func WithEvents(r *event.Ring) Option {
	return func(l *Limiter) {
		l.events = r
	}
}

// WithIncarnation sets the number that loan IDs are counted up from. It must
// differ between the incarnations of a slot's node.
func WithIncarnation(n int64) Option {
	return func(l *Limiter) {
		l.idBase = bucket.LoanID(n)
	}
}

// New returns the limiter of the named node, starts its periodic maintenance, and
// returns the function that stops the maintenance.
func New(self string, mesh Mesh, timers *timer.Service, options ...Option) (*Limiter, func()) {
	now := timer.Now()
	l := &Limiter{
		self:     self,
		mesh:     mesh,
		events:   event.NewRing(self, 1),
		started:  now,
		accounts: map[string]*account{},
		slices:   func(string) (bucket.Slice, bool) { return bucket.Slice{}, false },
		lastTick: now,
	}
	for _, o := range options {
		o(l)
	}
	return l, timers.Every(tickPeriod, l.tick)
}

// Configure sets the slices of all budgets to those of the preset in force.
func (l *Limiter) Configure(now timer.Instant, slices Slices) {
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
		a.bucket.SetSlice(now, slice)
		a.mu.Unlock()
	}
}

// list returns all accounts; l.mu must be held.
func (l *Limiter) list() []*account {
	out := make([]*account, 0, len(l.accounts))
	for _, a := range l.accounts {
		out = append(out, a)
	}
	return out
}

// account returns the account of a budget. It is kept only if the budget exists
// in the preset in force. The bucket of a node that has just started stays empty
// until the loans of its predecessor in the slot have ended.
func (l *Limiter) account(name string) *account {
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
	start := max(l.started.Add(refillDelay), l.configuredAt)
	a = &account{
		name:    name,
		bucket:  bucket.New(slice, start, l.idBase),
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
func (l *Limiter) Take(ctx context.Context, budget string, n float64) (bool, time.Duration) {
	a := l.account(budget)
	now := timer.Now()
	l.checkPause(now)
	a.mu.Lock()
	a.demand.AddRate(now, demandWindow, n)
	a.usedAt = now
	if a.bucket.Take(now, n) {
		ended := a.bucket.Settlements(now)
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
func (l *Limiter) borrowAndTake(ctx context.Context, a *account, n float64) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		now := timer.Now()
		if a.bucket.Take(now, n) {
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

// borrow borrows the shortfall of an account, as defined by account.shortfall,
// through the broker of its budget. The caller must have set a.inFlight; borrow
// closes and clears it.
func (l *Limiter) borrow(ctx context.Context, a *account, minimum float64) {
	requestedAt := timer.Now()
	a.mu.Lock()
	req := LendRequest{
		Budget: a.name,
		From:   l.self,
		Scope:  ScopeFleet,
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
	got := a.bucket.Borrow(now, requestedAt, broker, answer.Loans)
	a.lastDomainDemand = answer.Demand
	if err != nil {
		a.backoffUntil = now.Add(minBackoff)
	} else if broker != l.self && got < req.Want || answer.BackoffMillis > 0 {
		a.backoffUntil = now.Add(backoffTime(answer.BackoffMillis))
	}
	close(a.inFlight)
	a.inFlight = nil
}

// backoffTime converts the time in an answer and limits it to minBackoff and
// maxBackoff.
func backoffTime(millis int64) time.Duration {
	return min(max(time.Duration(millis)*time.Millisecond, minBackoff), maxBackoff)
}

// Refund returns n tokens that were taken for a request that did not run.
func (l *Limiter) Refund(budget string, n float64) {
	a := l.account(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Refund(timer.Now(), n)
}

// Charge spends n tokens that were used already, even if the budget has none
// left.
func (l *Limiter) Charge(budget string, n float64) {
	a := l.account(budget)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand.AddRate(now, demandWindow, n)
	a.usedAt = now
	a.bucket.Charge(now, n)
}

// Settle ends loans as reported by a borrower.
func (l *Limiter) Settle(r SettleRequest) {
	a := l.account(r.Budget)
	now := timer.Now()
	a.mu.Lock()
	a.bucket.Settle(now, r.Settlements)
	ended := a.bucket.Settlements(now)
	a.mu.Unlock()
	l.sendSettlements(a, ended)
}

// Demand returns the recent demand of the failure domain for a budget, in tokens
// per second.
func (l *Limiter) Demand(budget string) float64 {
	a := l.account(budget)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.lastDomainDemand, a.demand.Value(now, demandWindow))
}

// retryAfter estimates the time until n tokens can be taken, between minBackoff
// and LoanTerm.
func (l *Limiter) retryAfter(a *account, n float64) time.Duration {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.bucket.Slice().Rate
	if rate <= 0 {
		return LoanTerm
	}
	shortfall := n - a.bucket.Available(now)
	wait := time.Duration(shortfall / rate * float64(time.Second))
	return min(max(wait, a.backoffUntil.Sub(now), minBackoff), LoanTerm)
}
