// Package bank runs a node's budgets: it spends from purses, borrows ahead of
// need through the broker of each budget, and as broker pools what the nodes of
// its failure domain and the brokers of others can spare. Brokers hold no
// authority: tokens are safe in purses whoever asks for them, so a broker that
// dies, is doubled or cut off costs efficiency only.
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
	// settleIn is how long a new VM waits for the loans of its predecessor.
	settleIn = Term + Term/2
	// tickPeriod is how often accounts are topped up.
	tickPeriod = 100 * time.Millisecond
	// pauseLimit is the gap between ticks that counts as a pause of the process.
	pauseLimit = 1 * time.Second
	// takeWait bounds how long a request waits for borrowed tokens.
	takeWait = 150 * time.Millisecond
	// memberWait bounds asking the nodes of the own domain.
	memberWait = 50 * time.Millisecond
	// domainWait bounds asking brokers of other domains.
	domainWait = 120 * time.Millisecond
	// maxDry bounds how long a node refuses without asking.
	maxDry = 250 * time.Millisecond
	// minDry is the least time between asks that were not met.
	minDry = 20 * time.Millisecond
)

// Mesh is what the bank needs of the other nodes.
type Mesh interface {
	// Broker names the broker of a budget in the own failure domain.
	Broker(budget string) string
	// Members names the other live nodes of the own failure domain.
	Members() []string
	// Brokers names the brokers of a budget in other failure domains.
	Brokers(budget string) []string
	Lend(ctx context.Context, node string, a Ask) (Answer, error)
	Settle(node string, r Report)
}

// Slices returns the slice of a budget that the node's slot owns, and whether
// the preset in force knows the budget.
type Slices func(budget string) (purse.Slice, bool)

// Bank is safe for concurrent use.
type Bank struct {
	self     string
	mesh     Mesh
	events   *event.Ring
	started  timer.Instant
	firstID  purse.LoanID
	mu       sync.RWMutex
	accounts map[string]*account
	slices   Slices
	since    timer.Instant
	lastTick timer.Instant
}

// Option configures a Bank.
type Option func(*Bank)

// WithEvents registers the ring for state changes.
func WithEvents(r *event.Ring) Option {
	return func(b *Bank) {
		b.events = r
	}
}

// WithIncarnation sets where loan IDs begin.
func WithIncarnation(n int64) Option {
	return func(b *Bank) {
		b.firstID = purse.LoanID(n)
	}
}

// New returns the bank of the named node and its clean-up.
func New(self string, mesh Mesh, timers *timer.Service, options ...Option) (*Bank, func()) {
	now := timer.Now()
	b := &Bank{
		self:     self,
		mesh:     mesh,
		events:   event.NewRing(self, 1),
		started:  now,
		accounts: map[string]*account{},
		slices:   func(string) (purse.Slice, bool) { return purse.Slice{}, false },
		lastTick: now,
	}
	for _, o := range options {
		o(b)
	}
	return b, timers.Every(tickPeriod, b.tick)
}

// Configure sets the slice of every budget, from the preset in force.
func (b *Bank) Configure(now timer.Instant, slices Slices) {
	b.mu.Lock()
	b.slices = slices
	if b.since == 0 {
		b.since = now
	}
	accounts := b.list()
	b.mu.Unlock()
	for _, a := range accounts {
		slice, _ := slices(a.name)
		a.mu.Lock()
		a.purse.SetSlice(now, slice)
		a.mu.Unlock()
	}
}

func (b *Bank) list() []*account {
	out := make([]*account, 0, len(b.accounts))
	for _, a := range b.accounts {
		out = append(out, a)
	}
	return out
}

// account returns a budget's account. The purse of a node that has just started
// stays empty until the loans of its predecessor in the slot have ended.
func (b *Bank) account(name string) *account {
	b.mu.RLock()
	a, ok := b.accounts[name]
	b.mu.RUnlock()
	if ok {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.accounts[name]; ok {
		return a
	}
	slice, known := b.slices(name)
	from := max(b.started.Add(settleIn), b.since)
	a = &account{
		name:    name,
		purse:   purse.New(slice, from, b.firstID),
		reports: map[string]report{},
	}
	if known {
		b.accounts[name] = a
	}
	return a
}

// Take spends n tokens of a budget. It waits a bounded time for borrowed tokens
// and otherwise says when to come back.
func (b *Bank) Take(ctx context.Context, budget string, n float64) (bool, time.Duration) {
	a := b.account(budget)
	now := timer.Now()
	b.checkPause(now)
	a.mu.Lock()
	a.demand.AddRate(now, demandWindow, n)
	a.usedAt = now
	if a.purse.Take(now, n) {
		ended := a.purse.Settlements(now)
		a.mu.Unlock()
		b.report(a, ended)
		return true, 0
	}
	dry := now < a.dryUntil && !a.within(now, len(b.mesh.Members())+1)
	a.mu.Unlock()
	if !dry {
		ctx, cancel := context.WithTimeout(ctx, takeWait)
		defer cancel()
		if b.borrowAndTake(ctx, a, n) {
			return true, 0
		}
	}
	return false, b.retryAfter(a, n)
}

// borrowAndTake asks the broker, sharing an ask that is under way, until the
// tokens are there, the budget is dry or the context ends.
func (b *Bank) borrowAndTake(ctx context.Context, a *account, n float64) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		now := timer.Now()
		if a.purse.Take(now, n) {
			a.mu.Unlock()
			return true
		}
		if left := a.dryUntil.Sub(now); left > 0 {
			within := a.within(now, len(b.mesh.Members())+1)
			a.mu.Unlock()
			if !within {
				return false
			}
			pause(ctx, left)
			continue
		}
		wait := a.asking
		if wait == nil {
			a.asking = make(chan struct{})
		}
		a.mu.Unlock()
		if wait == nil {
			b.ask(ctx, a, n)
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask borrows for an account through its broker; a.asking must be set.
func (b *Bank) ask(ctx context.Context, a *account, least float64) {
	asked := timer.Now()
	a.mu.Lock()
	q := Ask{
		Budget: a.name,
		From:   b.self,
		Scope:  FromFleet,
		Want:   a.want(asked, least),
		Demand: a.demand.Value(asked, demandWindow),
	}
	a.mu.Unlock()
	broker := b.mesh.Broker(a.name)
	var answer Answer
	var err error
	if broker == b.self {
		answer = b.collectFor(ctx, a, q)
	} else {
		answer, err = b.mesh.Lend(ctx, broker, q)
	}
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	got := a.purse.Borrow(now, asked, broker, answer.Loans)
	a.domain = answer.Demand
	if err != nil {
		a.dryUntil = now.Add(minDry)
	} else if broker != b.self && got < q.Want || answer.DryMillis > 0 {
		a.dryUntil = now.Add(dryTime(answer.DryMillis))
	}
	close(a.asking)
	a.asking = nil
}

func dryTime(millis int64) time.Duration {
	return min(max(time.Duration(millis)*time.Millisecond, minDry), maxDry)
}

// Refund returns a token taken for a request that did not run.
func (b *Bank) Refund(budget string, n float64) {
	a := b.account(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.purse.Refund(timer.Now(), n)
}

// Charge spends tokens that are used already.
func (b *Bank) Charge(budget string, n float64) {
	a := b.account(budget)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand.AddRate(now, demandWindow, n)
	a.usedAt = now
	a.purse.Charge(now, n)
}

// Settle ends loans as a borrower reports.
func (b *Bank) Settle(r Report) {
	a := b.account(r.Budget)
	now := timer.Now()
	a.mu.Lock()
	a.purse.Settle(now, r.Settlements)
	ended := a.purse.Settlements(now)
	a.mu.Unlock()
	b.report(a, ended)
}

// Demand returns the recent demand of the failure domain for a budget, in
// tokens a second.
func (b *Bank) Demand(budget string) float64 {
	a := b.account(budget)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.domain, a.demand.Value(now, demandWindow))
}

func (b *Bank) retryAfter(a *account, n float64) time.Duration {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.purse.Slice().Rate
	if rate <= 0 {
		return Term
	}
	lacking := n - a.purse.Holds(now)
	wait := time.Duration(lacking / rate * float64(time.Second))
	return min(max(wait, a.dryUntil.Sub(now), minDry), Term)
}
