// Package pool keeps workspaces within their rate and burst over all nodes.
//
// Each failure domain owns an equal slice of every workspace's limit. In a
// domain one node, the keeper, holds the tokens of the slice and hands them to
// the other nodes ahead of need; a keeper that runs short asks those of other
// domains. A token is handed over, never lent: a lost grant wastes tokens and
// none is spent twice. A keeper counts only the part of the slice that belongs
// to the nodes attached to it, so a domain that falls apart still spends one
// slice in all.
package pool

import (
	"context"
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
)

const (
	// lookahead is how much of its demand a node asks for at a time.
	lookahead = 250 * time.Millisecond
	// stockLife is how long handed tokens may be spent.
	stockLife = 1 * time.Second
	// takeWait bounds how long a request waits for tokens.
	takeWait = 250 * time.Millisecond
	// domainWait bounds asking the keepers of other domains.
	domainWait = 180 * time.Millisecond
	// keeperWait bounds asking the keeper of the own domain; longer than domainWait,
	// since the keeper may have to ask others.
	keeperWait = 220 * time.Millisecond
	// dryTime is how long a node that got nothing refuses without asking.
	dryTime = 100 * time.Millisecond
	// domainDryTime is how long a keeper that got nothing from other domains does
	// not ask them; bytes between domains are dear.
	domainDryTime = 1 * time.Second
	// reserveTime is how much of its domain's demand a keeper keeps from others.
	reserveTime = 200 * time.Millisecond
	// demandWindow is the time constant of the demand estimates.
	demandWindow = 500 * time.Millisecond
	// firstLevel is the part of the burst that a new keeper starts with. Its
	// predecessor may have spent it, so a change of keepers lets a burst of one domain
	// pass twice; after a loss of all nodes the pause has made up for it.
	firstLevel = 0.8
	// aloneLevel is the same for a node whose keeper is silent.
	aloneLevel = 0.25
	// reportLife is how long a node's reported demand counts.
	reportLife = 2 * time.Second
	// maxRetryAfter bounds the time a refused caller is told.
	maxRetryAfter = 2 * time.Second
)

// Limit is the slice of a workspace's limit that a failure domain owns.
type Limit struct {
	// Rate is in tokens a second; it is not used where Window is set.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Window, where set, makes Burst the tokens of any window of that length: each
	// token comes back a window after it was handed out.
	Window time.Duration
}

// Ask is a request for tokens of one workspace.
type Ask struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	From      string
	Want      float64
	// Demand is the asker's recent demand, in tokens a second.
	Demand float64
	// Foreign says that the asker keeps the slice of another domain.
	Foreign bool
}

// Grant hands over tokens.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Amount float64
	// RetryMillis is when more tokens are expected, where Amount is 0.
	RetryMillis uint32
}

// Ring is what the pool needs of the other nodes.
type Ring interface {
	// Keeper names the keeper of the own domain.
	Keeper() string
	// Share is the part of the domain's nodes that are attached to this one, in
	// (0, 1], this node included.
	Share() float64
	// Alone is the part of the domain's nodes that one node is.
	Alone() float64
	// Keepers names the keepers of the other domains.
	Keepers() []string
	Ask(ctx context.Context, node string, a Ask) (Grant, error)
}

// Pool is safe for concurrent use.
type Pool struct {
	self     string
	ring     Ring
	limits   func(workspace string) (Limit, bool)
	now      func() timer.Instant
	mu       sync.Mutex
	accounts map[string]*account
	// keeping says that this node is the keeper, keptSince since when.
	keeping   bool
	keptSince timer.Instant
}

// Option configures a Pool.
type Option func(*Pool)

// WithClock sets the clock.
func WithClock(now func() timer.Instant) Option {
	return func(p *Pool) {
		p.now = now
	}
}

// New returns the pool of the named node. limits returns the domain's slice, and
// false for a workspace without a limit.
func New(self string, ring Ring, limits func(workspace string) (Limit, bool), options ...Option) *Pool {
	p := &Pool{
		self:     self,
		ring:     ring,
		limits:   limits,
		now:      timer.Now,
		accounts: map[string]*account{},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// account is what a node holds of one workspace.
type account struct {
	mu     sync.Mutex
	demand decay.Sum
	// stock holds tokens handed over by the keeper.
	stock      float64
	stockUntil timer.Instant
	dryUntil   timer.Instant
	retryAfter time.Duration
	asking     chan struct{}
	// kept is the bucket of the domain's slice, used while this node is keeper.
	kept bucket
	// alone is the bucket of this node's own part, used while the keeper is silent.
	alone     bucket
	reports   map[string]report
	borrowing chan struct{}
	domainDry timer.Instant
}

type report struct {
	rate float64
	at   timer.Instant
}

func (l Limit) times(part float64) Limit {
	return Limit{
		Rate:   l.Rate * part,
		Burst:  l.Burst * part,
		Window: l.Window,
	}
}

func (p *Pool) account(workspace string) *account {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.accounts[workspace]
	if !ok {
		a = &account{
			reports: map[string]report{},
		}
		p.accounts[workspace] = a
	}
	return a
}

// Tick notes when this node becomes the keeper; it is to be called often.
func (p *Pool) Tick() {
	keeping := p.ring.Keeper() == p.self
	p.mu.Lock()
	defer p.mu.Unlock()
	if keeping && !p.keeping {
		p.keptSince = p.now()
	}
	p.keeping = keeping
}

// since returns when this node became the keeper.
func (p *Pool) since() timer.Instant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keptSince
}

// Take spends a token of a workspace. It waits a bounded time for tokens and
// otherwise says when to come back.
func (p *Pool) Take(ctx context.Context, workspace string) (bool, time.Duration) {
	limit, limited := p.limits(workspace)
	if !limited {
		return true, 0
	}
	a := p.account(workspace)
	a.mu.Lock()
	now := p.now()
	a.demand.AddRate(now, demandWindow, 1)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, takeWait)
	defer cancel()
	for {
		a.mu.Lock()
		now := p.now()
		keeper := p.ring.Keeper()
		if a.spend(now, limit, keeper == p.self, p) {
			a.mu.Unlock()
			return true, 0
		}
		if now < a.dryUntil || ctx.Err() != nil {
			wait := a.retryAfter
			a.mu.Unlock()
			return false, wait
		}
		round := a.asking
		if round == nil {
			round = make(chan struct{})
			a.asking = round
			go p.refill(a, workspace, limit, keeper)
		}
		a.mu.Unlock()
		select {
		case <-round:
		case <-ctx.Done():
		}
	}
}

// Return gives back a token that was taken for something that did not happen.
func (p *Pool) Return(workspace string) {
	if _, limited := p.limits(workspace); !limited {
		return
	}
	a := p.account(workspace)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receive(p.now(), Grant{
		Amount: 1,
	})
}

// spend takes a token from what the node holds; a.mu must be held.
func (a *account) spend(now timer.Instant, l Limit, keeper bool, p *Pool) bool {
	if now < a.stockUntil && a.stock >= 1 {
		a.stock--
		return true
	}
	if !keeper {
		return false
	}
	part := l.times(p.ring.Share())
	a.kept.fill(now, part, p.since(), firstLevel)
	if a.kept.level < 1 {
		return false
	}
	a.kept.take(now, part, 1)
	return true
}

// refill asks for tokens; a.asking must be set by the caller. It does not end with
// the request that began it: what is granted on the way serves the next one.
func (p *Pool) refill(a *account, workspace string, l Limit, keeper string) {
	ctx, cancel := context.WithTimeout(context.Background(), keeperWait)
	defer cancel()
	a.mu.Lock()
	now := p.now()
	demand := a.demand.Value(now, demandWindow)
	ask := Ask{
		Workspace: workspace,
		From:      p.self,
		Want:      math.Ceil(max(1, demand*lookahead.Seconds())),
		Demand:    demand,
	}
	a.mu.Unlock()
	var grant Grant
	var err error
	if keeper == p.self {
		p.borrow(ctx, a, l, ask)
		grant = p.give(a, ask, l)
	} else {
		grant, err = p.ring.Ask(ctx, keeper, ask)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = p.now()
	if err != nil {
		grant = a.fallBack(now, l, p.ring)
	}
	a.receive(now, grant)
	close(a.asking)
	a.asking = nil
}

// receive adds handed tokens, or notes that there were none; a.mu must be held.
func (a *account) receive(now timer.Instant, g Grant) {
	if g.Amount >= 1 {
		if now >= a.stockUntil {
			a.stock = 0
		}
		a.stock += g.Amount
		a.stockUntil = now.Add(stockLife)
		return
	}
	a.dryUntil = now.Add(dryTime)
	a.retryAfter = min(max(time.Duration(g.RetryMillis)*time.Millisecond, dryTime), maxRetryAfter)
}

// fallBack serves from the node's own part while the keeper is silent; a.mu
// must be held.
func (a *account) fallBack(now timer.Instant, l Limit, ring Ring) Grant {
	part := l.times(ring.Alone())
	a.alone.fill(now, part, a.alone.start(now), aloneLevel)
	if a.alone.level >= 1 {
		a.alone.take(now, part, 1)
		return Grant{
			Amount: 1,
		}
	}
	return Grant{
		RetryMillis: retryMillis(1-a.alone.level, part.Rate),
	}
}

func retryMillis(lacking, rate float64) uint32 {
	if rate <= 0 {
		return uint32(maxRetryAfter.Milliseconds())
	}
	return uint32(min(lacking/rate*1000, float64(maxRetryAfter.Milliseconds())))
}

// Lend answers another node's ask.
func (p *Pool) Lend(ctx context.Context, ask Ask) Grant {
	l, limited := p.limits(ask.Workspace)
	if !limited || !(ask.Want >= 1) || math.IsInf(ask.Want, 0) {
		return Grant{}
	}
	a := p.account(ask.Workspace)
	if g := p.give(a, ask, l); g.Amount >= 1 || ask.Foreign || p.ring.Keeper() != p.self {
		return g
	}
	p.borrow(ctx, a, l, ask)
	return p.give(a, ask, l)
}

// give hands out whole tokens of the kept slice.
func (p *Pool) give(a *account, ask Ask, l Limit) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	part := l.times(p.ring.Share())
	a.kept.fill(now, part, p.since(), firstLevel)
	spare := a.kept.level
	if ask.Foreign {
		spare -= a.domainDemand(now) * reserveTime.Seconds()
	} else if ask.From != p.self {
		a.reports[ask.From] = report{
			rate: ask.Demand,
			at:   now,
		}
	}
	amount := math.Floor(min(ask.Want, spare))
	if amount < 1 {
		return Grant{
			RetryMillis: retryMillis((1-a.kept.level)*max(1, float64(len(a.reports))), part.Rate),
		}
	}
	a.kept.take(now, part, amount)
	return Grant{
		Amount: amount,
	}
}

// domainDemand adds up what the domain's nodes reported; a.mu must be held.
func (a *account) domainDemand(now timer.Instant) float64 {
	sum := a.demand.Value(now, demandWindow)
	for node, r := range a.reports {
		if now.Sub(r.at) > reportLife {
			delete(a.reports, node)
			continue
		}
		sum += r.rate
	}
	return sum
}

// borrow asks the keepers of other domains for what the domain needs soon, and
// waits for it while ctx lasts. Concurrent calls share a round, which goes on
// without them: grants under way would be lost otherwise.
func (p *Pool) borrow(ctx context.Context, a *account, l Limit, ask Ask) {
	a.mu.Lock()
	now := p.now()
	if now < a.domainDry {
		a.mu.Unlock()
		return
	}
	round := a.borrowing
	if round == nil {
		round = make(chan struct{})
		a.borrowing = round
		want := math.Ceil(max(ask.Want, a.domainDemand(now)*stockLife.Seconds()/2))
		go p.collect(a, l, Ask{
			Workspace: ask.Workspace,
			From:      p.self,
			Want:      want,
			Foreign:   true,
		})
	}
	a.mu.Unlock()
	select {
	case <-round:
	case <-ctx.Done():
	}
}

// collect is one round of asking the other domains; a.borrowing must be set.
func (p *Pool) collect(a *account, l Limit, ask Ask) {
	got := p.askKeepers(ask)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	a.kept.add(now, l, got)
	if got < 1 {
		a.domainDry = now.Add(domainDryTime)
	}
	close(a.borrowing)
	a.borrowing = nil
}

// askKeepers asks the keepers of the other domains at the same time, each for its part.
func (p *Pool) askKeepers(ask Ask) float64 {
	keepers := p.ring.Keepers()
	if len(keepers) == 0 {
		return 0
	}
	ask.Want = math.Ceil(ask.Want / float64(len(keepers)))
	ctx, cancel := context.WithTimeout(context.Background(), domainWait)
	defer cancel()
	got := make(chan float64, len(keepers))
	for _, k := range keepers {
		go func() {
			grant, err := p.ring.Ask(ctx, k, ask)
			if err != nil || !(grant.Amount >= 0) || grant.Amount > ask.Want {
				got <- 0
				return
			}
			got <- grant.Amount
		}()
	}
	sum := 0.0
	for range keepers {
		sum += <-got
	}
	return sum
}
