// Package lease limits each workspace to its rate and burst over all nodes together.
//
// The token bucket of a workspace is held by one live node of the fleet, its owner. In
// each failure domain one live node, the broker of the workspace, leases tokens from
// the owner for the nodes of its domain, in batches that follow their demand. Both are
// chosen by rendezvous hashing, so that the workspaces are spread over all nodes; the
// owner is the broker of its own domain. A workspace whose rate is a fraction of a
// token per second in each domain thus has its tokens in one place.
//
// An owner uses only the fraction of the limit that belongs to the live nodes it
// knows of, so that the parts of a partitioned fleet together still spend one limit.
// While the owner does not respond, a broker spends the part of its own domain.
package lease

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/grant"
)

const (
	// lookahead is the period of demand that one batch of tokens covers. Batches that
	// are not spent yet can be spent on top of the burst, so it is far shorter than the
	// time in which a bucket fills.
	lookahead = 250 * time.Millisecond
	// refillDemand is the demand of a domain, in tokens per second, from which its broker
	// requests tokens ahead of need: with less, most would end unused.
	refillDemand = 4
	// refillPause is how long after a request that got no tokens none are requested ahead of
	// need: of a workspace at its limit they would be taken from others that need them now.
	refillPause = 1 * time.Second
	// leaseTerm is how long leased tokens may be spent after they were requested.
	leaseTerm = 1 * time.Second
	// takeTimeout bounds how long a request waits for tokens.
	takeTimeout = 300 * time.Millisecond
	// ownerTimeout bounds a request to the owner: a round trip to another region, and
	// the time that a busy node takes to respond.
	ownerTimeout = 130 * time.Millisecond
	// brokerTimeout bounds a request to the broker, which may have to ask the owner.
	brokerTimeout = 150 * time.Millisecond
	// emptyBackoff is how long a node refuses without another request after a request
	// that got no tokens.
	emptyBackoff = 100 * time.Millisecond
	// demandWindow is the time constant of the demand estimates.
	demandWindow = 1 * time.Second
	// initialLevel is the fraction of the burst that a new owner starts with. It does
	// not know how many tokens its predecessor has granted.
	initialLevel = 0.35
	// minInitial is the least number of tokens that a new owner of the whole fleet starts
	// with, so that a small workspace is served at once after a change of its owner.
	minInitial = 4
	// domainShare is the least fraction of the fleet with which a node starts with a whole
	// token. It is reached by a failure domain that has lost contact to the others, but not
	// by a single node.
	domainShare = 0.05
	// fallbackLevel is the fraction of a domain's part of the burst that a broker may
	// spend while the owner does not respond, beside an owner that is cut off and has not
	// noticed it yet. It may always collect one token.
	fallbackLevel = 0.1
	// pauseLimit is the time between two ticks after which the process was paused. Other
	// nodes may have granted tokens in its place meanwhile.
	pauseLimit = 1 * time.Second
	// maxRetryAfter bounds the retry delay returned for a refused call.
	maxRetryAfter = 2 * time.Second
	// idleTTL is how long the account of a workspace without requests is kept.
	idleTTL = 1 * time.Minute
)

// Limit is the limit of a workspace over the whole fleet.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// scale returns the given fraction of a limit, with a burst of at least minBurst.
func (l Limit) scale(fraction, minBurst float64) Limit {
	return Limit{
		Rate:  l.Rate * fraction,
		Burst: max(l.Burst*fraction, minBurst),
	}
}

// Owners names the nodes that hold the tokens of a workspace.
type Owners struct {
	// Owner holds the bucket of the workspace.
	Owner string
	// Broker leases tokens from the owner for the nodes of the local domain. It is the
	// owner if the owner belongs to that domain.
	Broker string
}

// Shares are the fractions of a limit that the live nodes stand for.
type Shares struct {
	// Fleet is the fraction of the known nodes, lost ones included, that are alive.
	Fleet float64
	// Domain is the fraction of the fleet's failure domains that the live nodes of the
	// local domain make up.
	Domain float64
	// Node is the fraction of the known nodes that a single node makes up.
	Node float64
}

// Peers is the view of the other nodes, and the transport to them, that Leases need.
type Peers interface {
	grant.Sender
	// Owners returns the owner and the local broker of a workspace.
	Owners(workspace string) Owners
	// Shares returns the fractions of each limit that may be used.
	Shares() Shares
}

// Leases holds one node's tokens of all workspaces. It is safe for concurrent use.
type Leases struct {
	self     string
	peers    Peers
	limits   func(workspace string) (Limit, bool)
	now      func() timer.Instant
	mu       sync.Mutex
	accounts map[string]*account
	// tickedAt is when this node last did anything, resumedAt when the last pause ended.
	tickedAt  timer.Instant
	resumedAt timer.Instant
}

// Option is an option of New.
type Option func(*Leases)

// WithClock sets the clock, for tests.
func WithClock(now func() timer.Instant) Option {
	return func(l *Leases) {
		l.now = now
	}
}

// New returns the Leases of the named node. limits returns the limit of a workspace,
// and false for a workspace without one.
func New(self string, peers Peers, limits func(workspace string) (Limit, bool), options ...Option) *Leases {
	l := &Leases{
		self:     self,
		peers:    peers,
		limits:   limits,
		now:      timer.Now,
		accounts: map[string]*account{},
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// account returns the account of a workspace and creates it if necessary.
func (l *Leases) account(workspace string) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[workspace]
	if !ok {
		a = &account{
			usedAt:  l.now(),
			changed: make(chan struct{}),
		}
		l.accounts[workspace] = a
	}
	return a
}

// Tick detects pauses of the process and drops the accounts of workspaces that have
// had no requests for a while. It must be called several times per second.
func (l *Leases) Tick() {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	for workspace, a := range l.accounts {
		if a.idleSince(now, idleTTL) {
			delete(l.accounts, workspace)
		}
	}
}

// lastPause returns when the last pause of the process ended, including one that ends
// with this call.
func (l *Leases) lastPause(now timer.Instant) timer.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	return l.resumedAt
}

// notePause records the end of a pause if the process has not run for pauseLimit; l.mu must
// be held.
func (l *Leases) notePause(now timer.Instant) {
	if l.tickedAt > 0 && now.Sub(l.tickedAt) > pauseLimit {
		l.resumedAt = now
	}
	l.tickedAt = now
}

// Take spends a token of a workspace and reports whether it did. It waits for tokens
// for a bounded time; if there are none, the returned duration is the time after which
// the caller should retry.
func (l *Leases) Take(ctx context.Context, workspace string) (bool, time.Duration) {
	limit, limited := l.limits(workspace)
	if !limited {
		return true, 0
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	reply := l.obtain(ctx, l.account(workspace), workspace, limit, 1)
	return reply.Amount >= 1, time.Duration(reply.RetryMillis) * time.Millisecond
}

// Owner names the node that holds the tokens of a workspace, as this node sees it.
func (l *Leases) Owner(workspace string) string {
	return l.peers.Owners(workspace).Owner
}

// Return gives back the token of a request that did not run, to the owner, since the
// next request of the workspace may arrive at any node.
func (l *Leases) Return(workspace string) {
	limit, limited := l.limits(workspace)
	if !limited {
		return
	}
	owner := l.peers.Owners(workspace).Owner
	if owner == l.self {
		l.putBack(l.account(workspace), limit, 1)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
		defer cancel()
		// The token of a lost message is wasted, which is safe.
		_, _ = l.peers.Request(ctx, owner, grant.Request{
			Budget:   workspace,
			From:     l.self,
			Remote:   true,
			Returned: 1,
		})
	}()
}

// Serve handles a request of another node. The reply to an invalid one, or for an unknown
// workspace, is empty. A request for a whole domain is granted from the bucket of the workspace, any other from
// the tokens leased for this domain.
func (l *Leases) Serve(ctx context.Context, req grant.Request) grant.Reply {
	limit, limited := l.limits(req.Budget)
	if !limited || !validAmount(req.Want) || !validAmount(req.Returned) {
		return grant.Reply{}
	}
	a := l.account(req.Budget)
	if req.Returned > 0 {
		l.putBack(a, limit, min(req.Returned, 1))
		return grant.Reply{}
	}
	want := math.Floor(req.Want)
	if want < 1 {
		return grant.Reply{}
	}
	if req.Remote {
		return l.draw(a, req.Budget, limit, want)
	}
	return l.obtain(ctx, a, req.Budget, limit, want)
}

// validAmount reports whether a number of tokens is finite and not negative.
func validAmount(n float64) bool {
	return n >= 0 && !math.IsInf(n, 0)
}

// draw takes up to want tokens from the workspace's bucket. A node that is not the
// owner grants what is left from the time when it was.
func (l *Leases) draw(a *account, workspace string, limit Limit, want float64) grant.Reply {
	isOwner := l.peers.Owners(workspace).Owner == l.self
	share := l.peers.Shares().Fleet
	now := l.now()
	pause := l.lastPause(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draw(now, limit, share, isOwner, pause, want)
}

// putBack adds returned tokens to the workspace's bucket.
func (l *Leases) putBack(a *account, limit Limit, tokens float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bucket.started {
		a.bucket.level = min(a.bucket.level+tokens, max(limit.Burst, 1))
	}
}

// obtain returns up to want tokens, at least one unless there are none, which it
// requests from the broker or the owner if the account holds none.
func (l *Leases) obtain(ctx context.Context, a *account, workspace string, limit Limit, want float64) grant.Reply {
	owners := l.peers.Owners(workspace)
	now := l.now()
	a.mu.Lock()
	a.demand.AddRate(now, demandWindow, want)
	a.usedAt = now
	a.mu.Unlock()
	if owners.Owner == l.self {
		return l.draw(a, workspace, limit, want)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting += want
	defer func() { a.waiting -= want }()
	for {
		now := l.now()
		if got := a.held.Spend(now, want); got >= 1 {
			if owners.Broker == l.self {
				l.refill(a, workspace, limit, now)
			}
			return grant.Reply{
				Amount: got,
			}
		}
		if now < a.backoffUntil || ctx.Err() != nil {
			return grant.Reply{
				RetryMillis: uint32(max(a.retryAfter, emptyBackoff).Milliseconds()),
			}
		}
		if a.requested < a.waiting {
			batch := a.waiting - a.requested + math.Floor(a.demand.Value(now, demandWindow)*lookahead.Seconds())
			a.requested += batch
			go l.lease(a, workspace, limit, batch)
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		a.mu.Lock()
	}
}

// refill requests the next batch of a broker before the last one is spent, so that requests
// do not wait for a round trip to another region; a.mu must be held.
func (l *Leases) refill(a *account, workspace string, limit Limit, now timer.Instant) {
	demand := a.demand.Value(now, demandWindow)
	if demand < refillDemand || a.requested > 0 || now < a.backoffUntil.Add(refillPause) {
		return
	}
	target := max(demand*lookahead.Seconds(), 1)
	left := a.held.Left(now)
	if left > target/2 {
		return
	}
	batch := math.Ceil(target - left)
	a.requested += batch
	go l.lease(a, workspace, limit, batch)
}

// lease requests a batch of tokens and adds them to the account, also after the call
// of obtain that caused it has ended. The batch must have been added to a.requested.
func (l *Leases) lease(a *account, workspace string, limit Limit, batch float64) {
	sentAt := l.now()
	reply, err := l.request(workspace, batch)
	now := l.now()
	share := 0.0
	if err != nil {
		share = l.fallbackShare(workspace)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		reply = a.drawFallback(now, limit, share, batch)
		sentAt = now
	}
	a.requested -= batch
	a.receive(sentAt, now, reply)
	close(a.changed)
	a.changed = make(chan struct{})
}

// fallbackShare returns the fraction of a limit that this node may spend while the owner
// does not respond: that of its domain if it is the broker, else its own.
func (l *Leases) fallbackShare(workspace string) float64 {
	shares := l.peers.Shares()
	if l.peers.Owners(workspace).Broker == l.self {
		return shares.Domain
	}
	return shares.Node
}

// request requests tokens from the broker or, if this node is the broker or the broker
// does not respond, from the owner. The second request may reach the same node: the first
// may have been lost on the way.
func (l *Leases) request(workspace string, batch float64) (grant.Reply, error) {
	req := grant.Request{
		Budget: workspace,
		From:   l.self,
		Want:   batch,
	}
	owners := l.peers.Owners(workspace)
	if owners.Broker != l.self {
		if reply, err := l.send(owners.Broker, brokerTimeout, req); err == nil {
			return reply, nil
		}
	}
	req.Remote = true
	return l.send(owners.Owner, ownerTimeout, req)
}

// errUnknownWorkspace is returned for the empty reply of a node that does not know the
// workspace, since it has not received the configuration yet.
var errUnknownWorkspace = errors.New("node does not know the workspace")

// errInvalidReply is returned for a reply that grants an amount that was not requested.
var errInvalidReply = errors.New("node granted an invalid number of tokens")

// send sends a request to a node and checks its reply.
func (l *Leases) send(node string, timeout time.Duration, req grant.Request) (grant.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := l.peers.Request(ctx, node, req)
	if err != nil {
		return grant.Reply{}, err
	}
	if reply == (grant.Reply{}) {
		return reply, errUnknownWorkspace
	}
	if !validAmount(reply.Amount) || reply.Amount > req.Want {
		return grant.Reply{}, errInvalidReply
	}
	return reply, nil
}
