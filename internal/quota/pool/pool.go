// Package pool limits the use of a budget, such as the retries to a service, within
// any window of time over all nodes together.
//
// Each failure domain owns an equal slice of the limit of every budget. In a
// domain one node, the keeper, holds the tokens of the slice and grants them to
// the other nodes ahead of need. A keeper that runs short requests tokens from
// the keepers of other domains. A grant transfers tokens for good; they are not
// lent. So a lost grant wastes tokens, but no token is spent twice.
//
// A keeper uses only the fraction of the slice that belongs to the live nodes that
// name it as their keeper, itself included, so that the parts of a partitioned
// domain together still spend one slice.
package pool

import (
	"context"
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/decay"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/grant"
)

const (
	// lookahead is the period of a node's demand that one request for tokens covers.
	lookahead = 250 * time.Millisecond
	// grantTTL is how long granted tokens may be spent.
	grantTTL = 1 * time.Second
	// takeTimeout bounds how long a request waits for tokens.
	takeTimeout = 250 * time.Millisecond
	// domainTimeout bounds requests to the keepers of other domains.
	domainTimeout = 180 * time.Millisecond
	// keeperTimeout bounds requests to the keeper of the local domain. It is longer
	// than domainTimeout, since the keeper may have to request tokens from other
	// domains.
	keeperTimeout = 220 * time.Millisecond
	// emptyBackoff is how long a node refuses without requesting tokens after a
	// request that got none, and the retry delay that it returns meanwhile.
	emptyBackoff = 100 * time.Millisecond
	// domainBackoff is how long a keeper sends no requests to other domains after
	// they granted nothing; traffic between domains is costly.
	domainBackoff = 1 * time.Second
	// reserveTime is the period of its domain's demand for which a keeper reserves
	// tokens when another domain requests some.
	reserveTime = 200 * time.Millisecond
	// demandWindow is the time constant of the demand estimates, which are
	// exponentially weighted moving averages.
	demandWindow = 500 * time.Millisecond
	// reportTTL is how long the reported demand of a node counts.
	reportTTL = 2 * time.Second
)

// Limit is the slice of a budget that a failure domain owns. Within any period of
// Window, at most Burst tokens are spent: each becomes available again one window after
// the last moment at which it may be spent.
type Limit struct {
	Burst  float64
	Window time.Duration
}

// Peers is the view of the other nodes, and the transport to them, that a Pool
// needs.
type Peers interface {
	grant.Sender
	// Keeper returns the name of the keeper of this node's domain.
	Keeper() string
	// AttachedShare returns the fraction of the known nodes of this node's domain,
	// lost ones included, that are alive and name this node as their keeper. This
	// node always counts as one of them, so the fraction is in (0, 1].
	AttachedShare() float64
	// NodeShare returns the fraction of the domain's nodes that a single node makes
	// up, in (0, 1].
	NodeShare() float64
	// Keepers returns the names of the keepers of the other domains.
	Keepers() []string
}

// Pool holds one node's part of the limits of all budgets. It is safe for
// concurrent use.
type Pool struct {
	self   string
	peers  Peers
	limits func(budget string) (Limit, bool)
	now    func() timer.Instant
	// mu guards the fields below.
	mu       sync.Mutex
	accounts map[string]*account
	// isKeeper is set if this node was the keeper at the last Tick; keeperSince is
	// when it last became the keeper.
	isKeeper    bool
	keeperSince timer.Instant
}

// Option is an option of New.
type Option func(*Pool)

// WithClock sets the clock, for tests.
func WithClock(now func() timer.Instant) Option {
	return func(p *Pool) {
		p.now = now
	}
}

// New returns the Pool of the named node. limits returns the slice of the domain
// for a budget, and false for a budget without a limit.
func New(self string, peers Peers, limits func(budget string) (Limit, bool), options ...Option) *Pool {
	p := &Pool{
		self:     self,
		peers:    peers,
		limits:   limits,
		now:      timer.Now,
		accounts: map[string]*account{},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// account is the state of one budget on a node. mu guards its fields.
type account struct {
	mu     sync.Mutex
	demand decay.Sum
	// prefetched are the tokens granted ahead of need or returned by callers.
	prefetched grant.Held
	// backoffUntil is when the node may request tokens again after it got none.
	backoffUntil timer.Instant
	// inFlight is closed when the request for tokens that is in flight completes;
	// nil if there is none.
	inFlight chan struct{}
	// domainBucket holds the tokens of the domain while this node is its keeper.
	domainBucket bucket
	// fallback holds the tokens of this node's part of the slice, used while the
	// keeper does not respond.
	fallback bucket
	// reports holds the latest demand of the nodes of the domain, by node.
	reports map[string]report
	// domainRound is closed when the round of requests to other domains that is
	// under way ends; nil if there is none.
	domainRound chan struct{}
	// domainBackoffUntil is when the keeper may request tokens from other domains
	// again.
	domainBackoffUntil timer.Instant
}

// report is the demand that a node reported.
type report struct {
	// rate is in tokens per second.
	rate float64
	at   timer.Instant
}

// scale returns the given fraction of a limit; the window stays the same.
func (l Limit) scale(factor float64) Limit {
	return Limit{
		Burst:  l.Burst * factor,
		Window: l.Window,
	}
}

// account returns the account of a budget and creates it if necessary.
func (p *Pool) account(budget string) *account {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.accounts[budget]
	if !ok {
		a = &account{
			reports: map[string]report{},
		}
		p.accounts[budget] = a
	}
	return a
}

// Tick records when this node becomes the keeper. It must be called periodically.
func (p *Pool) Tick() {
	isKeeper := p.peers.Keeper() == p.self
	p.mu.Lock()
	defer p.mu.Unlock()
	if isKeeper && !p.isKeeper {
		p.keeperSince = p.now()
	}
	p.isKeeper = isKeeper
}

// becameKeeperAt returns when this node last became the keeper.
func (p *Pool) becameKeeperAt() timer.Instant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeperSince
}

// Take spends a token of a budget and reports whether it did. It waits for
// tokens for a bounded time; if there are none, the returned duration is the time
// after which the caller should retry.
func (p *Pool) Take(ctx context.Context, budget string) (bool, time.Duration) {
	limit, limited := p.limits(budget)
	if !limited {
		return true, 0
	}
	a := p.account(budget)
	a.mu.Lock()
	now := p.now()
	a.demand.AddRate(now, demandWindow, 1)
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	for {
		a.mu.Lock()
		now := p.now()
		keeper := p.peers.Keeper()
		if a.spend(now, limit, keeper == p.self, p) {
			a.mu.Unlock()
			return true, 0
		}
		if now < a.backoffUntil || ctx.Err() != nil {
			a.mu.Unlock()
			return false, emptyBackoff
		}
		round := a.inFlight
		if round == nil {
			round = make(chan struct{})
			a.inFlight = round
			go p.requestTokens(a, budget, limit, keeper)
		}
		a.mu.Unlock()
		select {
		case <-round:
		case <-ctx.Done():
		}
	}
}

// Return returns a token that was taken for an operation that did not happen.
func (p *Pool) Return(budget string) {
	if _, limited := p.limits(budget); !limited {
		return
	}
	a := p.account(budget)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	a.receive(now, now, grant.Reply{
		Amount: 1,
	})
}

// spend takes a prefetched token or, on the keeper, one of the domain's slice, and
// reports whether there was one; a.mu must be held.
func (a *account) spend(now timer.Instant, l Limit, isKeeper bool, p *Pool) bool {
	if a.prefetched.Spend(now, 1) >= 1 {
		return true
	}
	if !isKeeper {
		return false
	}
	scaled := l.scale(p.peers.AttachedShare())
	a.domainBucket.fill(now, scaled, p.becameKeeperAt())
	if a.domainBucket.level < 1 {
		return false
	}
	a.domainBucket.take(now, scaled, 1)
	return true
}

// requestTokens requests tokens from the keeper, or as the keeper from other
// domains. The caller must have set a.inFlight. The request is not cancelled when
// the call of Take that caused it ends: tokens that are granted later serve the
// calls that follow.
func (p *Pool) requestTokens(a *account, budget string, l Limit, keeper string) {
	ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
	defer cancel()
	a.mu.Lock()
	sentAt := p.now()
	demand := a.demand.Value(sentAt, demandWindow)
	req := grant.Request{
		Budget: budget,
		From:   p.self,
		Want:   math.Ceil(max(1, demand*lookahead.Seconds())),
		Demand: demand,
	}
	a.mu.Unlock()
	var got grant.Reply
	var err error
	if keeper == p.self {
		p.requestFromDomains(ctx, a, l, req)
		got = p.allocate(a, req, l)
	} else {
		got, err = p.peers.Request(ctx, keeper, req)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	if err != nil {
		got = a.takeFallback(now, l, p.peers)
		sentAt = now
	}
	a.receive(sentAt, now, got)
	close(a.inFlight)
	a.inFlight = nil
}

// receive adds tokens that were requested at sentAt, or backs off if there are none;
// a.mu must be held.
func (a *account) receive(sentAt, now timer.Instant, g grant.Reply) {
	if g.Amount >= 1 {
		a.prefetched.Add(sentAt, now, grantTTL, g.Amount)
		return
	}
	a.backoffUntil = now.Add(emptyBackoff)
}

// takeFallback takes a token of this node's own part of the slice while the
// keeper does not respond; a.mu must be held.
func (a *account) takeFallback(now timer.Instant, l Limit, peers Peers) grant.Reply {
	scaled := l.scale(peers.NodeShare())
	a.fallback.fill(now, scaled, a.fallback.ownedSinceOr(now))
	if a.fallback.level >= 1 {
		a.fallback.take(now, scaled, 1)
		return grant.Reply{
			Amount: 1,
		}
	}
	return grant.Reply{}
}

// Serve handles a request of another node for tokens; it grants nothing to an
// invalid request. A keeper that can't grant a token first requests some from other
// domains, unless the request itself came from another domain. A node that is not
// the keeper requests none and grants only from its own bucket of the slice.
func (p *Pool) Serve(ctx context.Context, req grant.Request) grant.Reply {
	l, limited := p.limits(req.Budget)
	if !limited || !(req.Want >= 1) || math.IsInf(req.Want, 0) {
		return grant.Reply{}
	}
	a := p.account(req.Budget)
	if g := p.allocate(a, req, l); g.Amount >= 1 || req.Remote || p.peers.Keeper() != p.self {
		return g
	}
	p.requestFromDomains(ctx, a, l, req)
	return p.allocate(a, req, l)
}

// allocate grants whole tokens of the domain's slice and records the demand that
// a node of the domain reports with its request. Tokens that cover the domain's
// demand within reserveTime are not granted to other domains.
func (p *Pool) allocate(a *account, req grant.Request, l Limit) grant.Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	scaled := l.scale(p.peers.AttachedShare())
	a.domainBucket.fill(now, scaled, p.becameKeeperAt())
	spare := a.domainBucket.level
	if req.Remote {
		spare -= a.domainDemand(now) * reserveTime.Seconds()
	} else if req.From != p.self {
		a.reports[req.From] = report{
			rate: req.Demand,
			at:   now,
		}
	}
	amount := math.Floor(min(req.Want, spare))
	if amount < 1 {
		return grant.Reply{}
	}
	a.domainBucket.take(now, scaled, amount)
	return grant.Reply{
		Amount: amount,
	}
}

// domainDemand returns the sum of this node's demand and the demand reported by
// other nodes of the domain, in tokens per second; a.mu must be held.
func (a *account) domainDemand(now timer.Instant) float64 {
	sum := a.demand.Value(now, demandWindow)
	for node, r := range a.reports {
		if now.Sub(r.at) > reportTTL {
			delete(a.reports, node)
			continue
		}
		sum += r.rate
	}
	return sum
}

// requestFromDomains requests the tokens that the domain needs soon from the
// keepers of other domains and waits until the round ends or ctx does. Concurrent
// calls share a round, which continues after ctx ends, since grants in transit
// would be lost otherwise.
func (p *Pool) requestFromDomains(ctx context.Context, a *account, l Limit, req grant.Request) {
	a.mu.Lock()
	now := p.now()
	if now < a.domainBackoffUntil {
		a.mu.Unlock()
		return
	}
	round := a.domainRound
	if round == nil {
		round = make(chan struct{})
		a.domainRound = round
		want := math.Ceil(max(req.Want, a.domainDemand(now)*grantTTL.Seconds()/2))
		go p.runDomainRound(a, l, grant.Request{
			Budget: req.Budget,
			From:   p.self,
			Want:   want,
			Remote: true,
		})
	}
	a.mu.Unlock()
	select {
	case <-round:
	case <-ctx.Done():
	}
}

// runDomainRound performs one round of requests to other domains. The caller must
// have set a.domainRound.
func (p *Pool) runDomainRound(a *account, l Limit, req grant.Request) {
	got := p.requestFromKeepers(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	a.domainBucket.add(now, l, got)
	if got < 1 {
		a.domainBackoffUntil = now.Add(domainBackoff)
	}
	close(a.domainRound)
	a.domainRound = nil
}

// requestFromKeepers requests an equal part of the tokens from the keeper of each
// other domain, concurrently, and returns how many were granted. Failed requests
// and grants of an invalid amount count as 0.
func (p *Pool) requestFromKeepers(req grant.Request) float64 {
	keepers := p.peers.Keepers()
	if len(keepers) == 0 {
		return 0
	}
	req.Want = math.Ceil(req.Want / float64(len(keepers)))
	ctx, cancel := context.WithTimeout(context.Background(), domainTimeout)
	defer cancel()
	got := make(chan float64, len(keepers))
	for _, k := range keepers {
		go func() {
			reply, err := p.peers.Request(ctx, k, req)
			if err != nil || !(reply.Amount >= 0) || reply.Amount > req.Want {
				got <- 0
				return
			}
			got <- reply.Amount
		}()
	}
	sum := 0.0
	for range keepers {
		sum += <-got
	}
	return sum
}
