package tokens

import (
	"context"
	"math"
	"time"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/bucket"
)

// borrowAsBroker borrows for the broker's own account. The loans of other nodes go
// directly into its bucket, so the answer carries none. Like the request of a
// member, req counts towards the demand of the failure domain.
func (l *Limiter) borrowAsBroker(ctx context.Context, a *account, req LendRequest) Answer {
	l.borrowFromPeers(ctx, a, req)
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[l.self] = report{
		rate: req.Demand,
		at:   now,
	}
	answer := Answer{
		Demand: a.domainDemand(now),
	}
	if shortfall := req.Want - a.bucket.Available(now); shortfall > 0 {
		answer.BackoffMillis = minBackoff.Milliseconds()
	}
	return answer
}

// Lend answers a request of another node for loans. An invalid amount counts as
// 0. A broker lends the tokens it holds and borrows the shortfall from other nodes,
// as far as the scope of the request allows.
func (l *Limiter) Lend(ctx context.Context, req LendRequest) Answer {
	if !(req.Want > 0) || math.IsInf(req.Want, 0) {
		req.Want = 0
	}
	a := l.account(req.Budget)
	l.checkPause(timer.Now())
	if req.Scope == ScopeMember {
		return l.lendOwned(a, req)
	}
	loans, lent := l.lendAny(a, req)
	if lent < req.Want {
		l.borrowFromPeers(ctx, a, req.derive(req.From, req.Scope, req.Want-lent))
		more, extra := l.lendAny(a, req.derive(req.From, req.Scope, req.Want-lent))
		loans = append(loans, more...)
		lent += extra
	}
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Scope == ScopeFleet {
		a.reports[req.From] = report{
			rate: req.Demand,
			at:   now,
		}
	}
	answer := Answer{
		Loans:  loans,
		Demand: a.domainDemand(now),
	}
	if lent < req.Want {
		answer.BackoffMillis = minBackoff.Milliseconds()
	}
	return answer
}

// lendOwned lends tokens of this node's slice only.
func (l *Limiter) lendOwned(a *account, req LendRequest) Answer {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return Answer{
		Loans: a.bucket.LendOwned(now, req.Want, a.reserve(now), LoanTerm),
	}
}

// lendAny lends any tokens that the node can spend, borrowed ones included, and
// returns the loans and the amount lent.
func (l *Limiter) lendAny(a *account, req LendRequest) (loans []bucket.Loan, lent float64) {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usedAt = now
	loans = a.bucket.Lend(now, req.Want, a.reserve(now), LoanTerm)
	for _, loan := range loans {
		lent += loan.Amount
	}
	return loans, lent
}

// borrowFromPeers borrows the requested amount from the members of the failure
// domain and, if the scope of the request includes them, from other failure
// domains. Each of their brokers is asked for twice an equal part of the shortfall.
// Concurrent calls for one budget share a round.
func (l *Limiter) borrowFromPeers(ctx context.Context, a *account, req LendRequest) {
	a.mu.Lock()
	if round := a.borrowing; round != nil {
		a.mu.Unlock()
		select {
		case <-round.done:
		case <-ctx.Done():
		}
		return
	}
	round := &borrowRound{
		done: make(chan struct{}),
	}
	a.borrowing = round
	a.mu.Unlock()
	got := l.borrowFromAll(ctx, a, l.mesh.Members(), req.derive(l.self, ScopeMember, req.Want), memberTimeout)
	if got < req.Want && req.Scope == ScopeFleet {
		brokers := l.mesh.Brokers(a.name)
		perBroker := 2 * (req.Want - got) / float64(max(len(brokers), 1))
		l.borrowFromAll(ctx, a, brokers, req.derive(l.self, ScopeDomain, perBroker), domainTimeout)
	}
	a.mu.Lock()
	a.borrowing = nil
	a.mu.Unlock()
	close(round.done)
}

// borrowFromAll sends a request to several nodes concurrently and returns the
// total amount borrowed.
func (l *Limiter) borrowFromAll(ctx context.Context, a *account, nodes []string, req LendRequest, timeout time.Duration) float64 {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	got := make(chan float64, len(nodes))
	sent := 0
	for _, node := range nodes {
		if node == req.From && node != l.self {
			continue
		}
		sent++
		go func() {
			got <- l.borrowFrom(ctx, a, node, req)
		}()
	}
	sum := 0.0
	for range sent {
		sum += <-got
	}
	return sum
}

// borrowFrom sends a request to one node and returns the amount borrowed, 0 if
// the request fails.
func (l *Limiter) borrowFrom(ctx context.Context, a *account, node string, req LendRequest) float64 {
	requestedAt := timer.Now()
	answer, err := l.mesh.Lend(ctx, node, req)
	if err != nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Borrow(timer.Now(), requestedAt, node, answer.Loans)
}
