// Package pool limits each workspace to its rate and burst over all nodes
// together.
//
// Each failure domain owns an equal slice of the limit of every workspace. In a
// domain one node, the keeper, holds the tokens of the slice and grants them to
// the other nodes ahead of need. A keeper that runs short requests tokens from
// the keepers of other domains. A grant transfers tokens for good; they are not
// lent. So a lost grant wastes tokens, but no token is spent twice.
//
// A keeper counts only the fraction of the slice that belongs to the nodes it can
// reach, so that the parts of a partitioned domain together still spend one
// slice.
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
	// lookahead is the period of a node's demand that one request for tokens covers.
	lookahead = 250 * time.Millisecond
	// grantTTL is how long granted tokens may be spent.
	grantTTL = 1 * time.Second
	// takeTimeout bounds how long a request waits for tokens.
	takeTimeout = 250 * time.Millisecond
	// domainTimeout bounds requests to the keepers of other domains.
	domainTimeout = 180 * time.Millisecond
	// keeperTimeout bounds requests to the keeper of the node's own domain. It is
	// longer than domainTimeout, since the keeper may have to request tokens from
	// other domains.
	keeperTimeout = 220 * time.Millisecond
	// emptyBackoff is how long a node refuses without requesting tokens after a
	// request that got none.
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
	// initialLevel is the fraction of the burst that a new keeper starts with.
	// Its predecessor may have spent these tokens, so a change of keeper can let
	// the burst of one domain pass twice. After an outage of all nodes, the
	// tokens accrued meanwhile make up for it.
	initialLevel = 0.8
	// fallbackLevel is the fraction of the burst that the fallback bucket of a
	// node starts with, for limits with a rate.
	fallbackLevel = 0.25
	// reportTTL is how long the reported demand of a node counts.
	reportTTL = 2 * time.Second
	// maxRetryAfter bounds the retry delay returned for a refused call.
	maxRetryAfter = 2 * time.Second
)

// Limit is the slice of a workspace's limit that a failure domain owns.
type Limit struct {
	// Rate is in tokens per second. It is ignored if Window is set.
	Rate float64
	// Burst is in tokens.
	Burst float64
	// Window, if set, makes Burst the number of tokens for any window of that
	// length: each token becomes available again one window after the last moment
	// at which it may be spent.
	Window time.Duration
}

// Request is a request for tokens of one workspace. It is encoded as a CBOR array,
// so the order of the fields is part of the protocol.
type Request struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// From is the name of the requesting node.
	From string
	// Want is the requested number of tokens, at least 1.
	Want float64
	// Demand is the recent demand of the requesting node, in tokens per second.
	Demand float64
	// Remote is set if the requesting node is the keeper of another domain.
	Remote bool
}

// Grant transfers tokens. It is encoded as a CBOR array, so the order of the
// fields is part of the protocol.
type Grant struct {
	_ struct{} `cbor:",toarray"`
	// Amount is a whole number of tokens, 0 if there are none.
	Amount float64
	// RetryMillis is the time until more tokens are expected, in milliseconds, if
	// Amount is 0.
	RetryMillis uint32
}

// Peers is the view of the other nodes, and the transport to them, that a Pool
// needs.
type Peers interface {
	// Keeper returns the name of the keeper of this node's domain.
	Keeper() string
	// AttachedShare returns the fraction of the domain's nodes that this node can
	// reach, itself included, in (0, 1].
	AttachedShare() float64
	// NodeShare returns the fraction of the domain's nodes that a single node makes
	// up, in (0, 1].
	NodeShare() float64
	// Keepers returns the names of the keepers of the other domains.
	Keepers() []string
	// Request requests tokens from a node.
	Request(ctx context.Context, node string, req Request) (Grant, error)
}

// Pool holds one node's part of the limits of all workspaces. It is safe for
// concurrent use.
type Pool struct {
	self   string
	peers  Peers
	limits func(workspace string) (Limit, bool)
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
// for a workspace, and false for a workspace without a limit.
func New(self string, peers Peers, limits func(workspace string) (Limit, bool), options ...Option) *Pool {
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

// account is the state of one workspace on a node. mu guards its fields.
type account struct {
	mu     sync.Mutex
	demand decay.Sum
	// prefetched is the number of tokens granted ahead of need or returned by
	// callers, which can be spent before prefetchedUntil.
	prefetched      float64
	prefetchedUntil timer.Instant
	// backoffUntil is when the node may request tokens again after it got none.
	// Until then Take returns retryAfter to callers.
	backoffUntil timer.Instant
	retryAfter   time.Duration
	// inFlight is closed when the request for tokens that is in flight completes;
	// nil if there is none.
	inFlight chan struct{}
	// domainBucket holds the tokens of the domain while this node is its keeper.
	domainBucket bucket
	// fallback holds the tokens of this node's part of the slice, used while the
	// keeper does not answer.
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
		Rate:   l.Rate * factor,
		Burst:  l.Burst * factor,
		Window: l.Window,
	}
}

// account returns the account of a workspace and creates it if necessary.
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

// Take spends a token of a workspace and reports whether it did. It waits for
// tokens for a bounded time; if there are none, the returned duration is the time
// after which the caller should retry.
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
			wait := a.retryAfter
			a.mu.Unlock()
			return false, wait
		}
		round := a.inFlight
		if round == nil {
			round = make(chan struct{})
			a.inFlight = round
			go p.requestTokens(a, workspace, limit, keeper)
		}
		a.mu.Unlock()
		select {
		case <-round:
		case <-ctx.Done():
		}
	}
}

// Return returns a token that was taken for an operation that did not happen.
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

// spend takes a prefetched token or, on the keeper, one of the domain's slice, and
// reports whether there was one; a.mu must be held.
func (a *account) spend(now timer.Instant, l Limit, isKeeper bool, p *Pool) bool {
	if now < a.prefetchedUntil && a.prefetched >= 1 {
		a.prefetched--
		return true
	}
	if !isKeeper {
		return false
	}
	scaled := l.scale(p.peers.AttachedShare())
	a.domainBucket.fill(now, scaled, p.becameKeeperAt(), initialLevel)
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
func (p *Pool) requestTokens(a *account, workspace string, l Limit, keeper string) {
	ctx, cancel := context.WithTimeout(context.Background(), keeperTimeout)
	defer cancel()
	a.mu.Lock()
	now := p.now()
	demand := a.demand.Value(now, demandWindow)
	req := Request{
		Workspace: workspace,
		From:      p.self,
		Want:      math.Ceil(max(1, demand*lookahead.Seconds())),
		Demand:    demand,
	}
	a.mu.Unlock()
	var grant Grant
	var err error
	if keeper == p.self {
		p.requestFromDomains(ctx, a, l, req)
		grant = p.allocate(a, req, l)
	} else {
		grant, err = p.peers.Request(ctx, keeper, req)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now = p.now()
	if err != nil {
		grant = a.takeFallback(now, l, p.peers)
	}
	a.receive(now, grant)
	close(a.inFlight)
	a.inFlight = nil
}

// receive adds granted tokens, or backs off if there are none; a.mu must be held.
func (a *account) receive(now timer.Instant, g Grant) {
	if g.Amount >= 1 {
		if now >= a.prefetchedUntil {
			a.prefetched = 0
		}
		a.prefetched += g.Amount
		a.prefetchedUntil = now.Add(grantTTL)
		return
	}
	a.backoffUntil = now.Add(emptyBackoff)
	a.retryAfter = min(max(time.Duration(g.RetryMillis)*time.Millisecond, emptyBackoff), maxRetryAfter)
}

// takeFallback takes a token of this node's own part of the slice while the
// keeper does not answer; a.mu must be held.
func (a *account) takeFallback(now timer.Instant, l Limit, peers Peers) Grant {
	scaled := l.scale(peers.NodeShare())
	a.fallback.fill(now, scaled, a.fallback.ownedSinceOr(now), fallbackLevel)
	if a.fallback.level >= 1 {
		a.fallback.take(now, scaled, 1)
		return Grant{
			Amount: 1,
		}
	}
	return Grant{
		RetryMillis: retryMillis(1-a.fallback.level, scaled.Rate),
	}
}

// retryMillis estimates the time until the shortfall has accrued, in milliseconds, at
// most maxRetryAfter.
func retryMillis(shortfall, rate float64) uint32 {
	if rate <= 0 {
		return uint32(maxRetryAfter.Milliseconds())
	}
	return uint32(min(shortfall/rate*1000, float64(maxRetryAfter.Milliseconds())))
}

// Serve answers a request of another node for tokens; it grants nothing to an
// invalid request. A keeper that can't grant a token first requests some from other
// domains, unless the request itself came from another domain. A node that is not
// the keeper requests none and grants only from its own bucket of the slice.
func (p *Pool) Serve(ctx context.Context, req Request) Grant {
	l, limited := p.limits(req.Workspace)
	if !limited || !(req.Want >= 1) || math.IsInf(req.Want, 0) {
		return Grant{}
	}
	a := p.account(req.Workspace)
	if g := p.allocate(a, req, l); g.Amount >= 1 || req.Remote || p.peers.Keeper() != p.self {
		return g
	}
	p.requestFromDomains(ctx, a, l, req)
	return p.allocate(a, req, l)
}

// allocate grants whole tokens of the domain's slice and records the demand that
// a node of the domain reports with its request. Tokens that cover the domain's
// demand within reserveTime are not granted to other domains.
func (p *Pool) allocate(a *account, req Request, l Limit) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := p.now()
	scaled := l.scale(p.peers.AttachedShare())
	a.domainBucket.fill(now, scaled, p.becameKeeperAt(), initialLevel)
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
		return Grant{
			RetryMillis: retryMillis((1-a.domainBucket.level)*max(1, float64(len(a.reports))), scaled.Rate),
		}
	}
	a.domainBucket.take(now, scaled, amount)
	return Grant{
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
func (p *Pool) requestFromDomains(ctx context.Context, a *account, l Limit, req Request) {
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
		go p.runDomainRound(a, l, Request{
			Workspace: req.Workspace,
			From:      p.self,
			Want:      want,
			Remote:    true,
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
func (p *Pool) runDomainRound(a *account, l Limit, req Request) {
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
func (p *Pool) requestFromKeepers(req Request) float64 {
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
			grant, err := p.peers.Request(ctx, k, req)
			if err != nil || !(grant.Amount >= 0) || grant.Amount > req.Want {
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
