// Package purse implements one node's token bucket for one budget, whose tokens
// can be lent to other nodes for a limited term. It does no I/O and takes the
// time as an argument.
//
// The bound on a budget over all nodes follows from one invariant: the level of a
// bucket plus its own tokens on loan never exceeds the burst of its slice, and
// the level refills only at the rate of the slice. A token is in at most one
// bucket at any moment, so over any window all nodes together spend at most
// rate*window + burst. After the burst of a slice was lowered, the invariant
// holds again once the loans made before have ended.
package purse

import (
	"math"
	"sort"
	"time"

	"fuchsiapier/internal/base/timer"
)

const (
	// driftMargin, together with 1% of the term, is how long a lender waits after
	// a loan's term before it counts the tokens as spent. It allows for clocks
	// that run at different rates.
	driftMargin = 100 * time.Millisecond
	// minAmount is the smallest amount that is lent, in tokens. A smaller
	// remainder counts as zero.
	minAmount = 1e-6
)

// Slice is the permanent share of a budget that a slot owns.
type Slice struct {
	// Rate is the refill rate, in tokens per second.
	Rate float64
	// Burst is the capacity, in tokens.
	Burst float64
}

// LoanID identifies a loan among those of one lender.
type LoanID uint64

// Loan is an amount of tokens that a lender transfers to a borrower for a limited
// term.
type Loan struct {
	ID LoanID `json:"id"`
	// Amount is in tokens.
	Amount float64 `json:"amount"`
	// TermMillis is how long the tokens may be spent, in milliseconds. The
	// borrower counts it from the moment before it sent its request.
	TermMillis int64 `json:"term-millis"`
}

// Settlement reports the end of a loan to its lender.
type Settlement struct {
	ID LoanID `json:"id"`
	// Rest is the amount that is returned, in tokens; the remainder was spent.
	Rest float64 `json:"rest"`
}

// lent is the lender's record of a loan.
type lent struct {
	amount float64
	// expires is when the tokens count as spent: the end of the term and a grace
	// period.
	expires timer.Instant
	// source is the borrowed loan that the tokens were taken from, nil for tokens
	// of this node's slice.
	source *borrowedLoan
}

// borrowedLoan is the borrower's record of a loan.
type borrowedLoan struct {
	lender string
	id     LoanID
	// left is the amount that can still be spent, in tokens.
	left float64
	// lentOn is the amount lent on to other nodes, in tokens.
	lentOn  float64
	expires timer.Instant
}

// Purse is a token bucket that lends and borrows. It is not safe for concurrent
// use.
type Purse struct {
	slice      Slice
	level      float64
	refilledAt timer.Instant
	lent       map[LoanID]lent
	// borrowed is sorted by expiry, the earliest first.
	borrowed []*borrowedLoan
	// unreported holds the settlements to send, by lender.
	unreported map[string][]Settlement
	lastID     LoanID
	// outstanding is the amount of this node's slice that is on loan, in tokens.
	outstanding float64
}

// New returns an empty bucket that begins to refill at start; after a VM was
// replaced, start is when the loans of its predecessor have ended. Loan IDs are
// counted up from idBase, which differs between incarnations, so that a
// settlement meant for a predecessor ends no loan of its successor.
func New(slice Slice, start timer.Instant, idBase LoanID) *Purse {
	return &Purse{
		slice:      slice,
		refilledAt: start,
		lastID:     idBase,
		lent:       map[LoanID]lent{},
		unreported: map[string][]Settlement{},
	}
}

// Fill sets the level to the whole burst, for a budget that is new on all nodes.
func (p *Purse) Fill() {
	p.level = p.slice.Burst
}

// SetSlice changes the slice. A smaller burst lowers the level at once.
func (p *Purse) SetSlice(now timer.Instant, s Slice) {
	p.refill(now)
	p.slice = s
	p.level = min(p.level, p.maxLevel())
}

// maxLevel returns the highest level allowed while loans are outstanding.
func (p *Purse) maxLevel() float64 {
	return max(0, p.slice.Burst-p.outstanding)
}

// refill ends the loans whose term and grace period have passed, as fully spent,
// and adds the tokens that have accrued since the last call.
func (p *Purse) refill(now timer.Instant) {
	for id, l := range p.lent {
		if now > l.expires {
			p.release(id, l, 0)
		}
	}
	elapsed := now.Sub(p.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	p.refilledAt = now
	if p.level < p.maxLevel() {
		p.level = min(p.maxLevel(), p.level+elapsed*p.slice.Rate)
	}
}

// release ends a loan and returns the unspent tokens to the slice or borrowed
// loan that they were taken from.
func (p *Purse) release(id LoanID, l lent, unspent float64) {
	delete(p.lent, id)
	unspent = min(max(unspent, 0), l.amount)
	if l.source != nil {
		l.source.lentOn -= l.amount
		l.source.left += unspent
		return
	}
	p.outstanding = max(0, p.outstanding-l.amount)
	if len(p.lent) == 0 {
		p.outstanding = 0
	}
	p.level = min(p.maxLevel(), p.level+unspent)
}

// expire drops borrowed loans whose term has passed and settles those that are
// used up.
func (p *Purse) expire(now timer.Instant) {
	kept := p.borrowed[:0]
	for _, b := range p.borrowed {
		switch {
		case now >= b.expires:
		case b.left < minAmount && b.lentOn < minAmount:
			p.queueSettlement(b, 0)
		default:
			kept = append(kept, b)
		}
	}
	p.borrowed = kept
}

// queueSettlement notes the end of a borrowed loan for the next report to its
// lender.
func (p *Purse) queueSettlement(b *borrowedLoan, unspent float64) {
	p.unreported[b.lender] = append(p.unreported[b.lender], Settlement{
		ID:   b.id,
		Rest: unspent,
	})
}

// Holds returns how many tokens can be spent now, borrowed ones included.
func (p *Purse) Holds(now timer.Instant) float64 {
	p.refill(now)
	p.expire(now)
	return p.level + p.borrowedTokens()
}

func (p *Purse) borrowedTokens() float64 {
	sum := 0.0
	for _, b := range p.borrowed {
		sum += b.left
	}
	return sum
}

// Take spends n tokens and reports whether the bucket held them. Borrowed tokens
// are spent first, those that expire earliest before others.
func (p *Purse) Take(now timer.Instant, n float64) bool {
	if p.Holds(now) < n {
		return false
	}
	for _, b := range p.borrowed {
		amount := min(n, b.left)
		b.left -= amount
		n -= amount
	}
	p.level -= n
	return true
}

// Charge spends n tokens that were used already. The level may become negative;
// later refills make up for that before tokens can be spent.
func (p *Purse) Charge(now timer.Instant, n float64) {
	p.refill(now)
	p.level -= n
}

// Refund returns n tokens that were taken for an operation that did not happen.
func (p *Purse) Refund(now timer.Instant, n float64) {
	p.refill(now)
	if p.level < p.maxLevel() {
		p.level = min(p.maxLevel(), p.level+n)
	}
}

// Lend lends up to want tokens for at most term and keeps at least reserve
// tokens. Borrowed tokens are lent on before owned ones, and for no longer than
// the rest of their own term.
func (p *Purse) Lend(now timer.Instant, want, reserve float64, term time.Duration) []Loan {
	spare := p.Holds(now) - reserve
	want = min(want, spare)
	var loans []Loan
	for _, b := range p.borrowed {
		amount := min(want, b.left)
		left := min(term, b.expires.Sub(now))
		if amount < minAmount || left <= 0 {
			continue
		}
		b.left -= amount
		b.lentOn += amount
		want -= amount
		loans = append(loans, p.recordLoan(now, amount, left, b))
	}
	amount := min(want, p.level)
	if amount >= minAmount {
		p.level -= amount
		p.outstanding += amount
		loans = append(loans, p.recordLoan(now, amount, term, nil))
	}
	return loans
}

// LendOwned is Lend restricted to tokens of this node's slice, so that brokers do
// not pass the same tokens round in a cycle.
func (p *Purse) LendOwned(now timer.Instant, want, reserve float64, term time.Duration) []Loan {
	p.refill(now)
	amount := min(want, p.level-reserve)
	if amount < minAmount {
		return nil
	}
	p.level -= amount
	p.outstanding += amount
	return []Loan{p.recordLoan(now, amount, term, nil)}
}

// recordLoan creates a loan and records it until it is settled or has ended.
func (p *Purse) recordLoan(now timer.Instant, amount float64, term time.Duration, source *borrowedLoan) Loan {
	p.lastID++
	p.lent[p.lastID] = lent{
		amount:  amount,
		expires: now.Add(term + term/100 + driftMargin),
		source:  source,
	}
	return Loan{
		ID:         p.lastID,
		Amount:     amount,
		TermMillis: term.Milliseconds(),
	}
}

// Borrow adds loans from a lender to which the request was sent at requestedAt,
// and returns the amount added, in tokens. Loans whose term has passed meanwhile
// and loans of an invalid amount are dropped.
func (p *Purse) Borrow(now, requestedAt timer.Instant, lender string, loans []Loan) float64 {
	got := 0.0
	for _, l := range loans {
		expires := requestedAt.Add(time.Duration(l.TermMillis) * time.Millisecond)
		if now >= expires || !(l.Amount > 0) || math.IsInf(l.Amount, 0) {
			continue
		}
		p.borrowed = append(p.borrowed, &borrowedLoan{
			lender:  lender,
			id:      l.ID,
			left:    l.Amount,
			expires: expires,
		})
		got += l.Amount
	}
	sort.SliceStable(p.borrowed, func(i, j int) bool {
		return p.borrowed[i].expires < p.borrowed[j].expires
	})
	return got
}

// Settle ends loans as reported by their borrower. It is idempotent: settlements
// of unknown or ended loans are ignored.
func (p *Purse) Settle(now timer.Instant, settlements []Settlement) {
	p.refill(now)
	for _, s := range settlements {
		if l, ok := p.lent[s.ID]; ok {
			p.release(s.ID, l, s.Rest)
		}
	}
}

// GiveUp returns the unspent tokens of all borrowed loans to their lenders, for a
// budget without further demand. Loans that are lent on in part are kept.
func (p *Purse) GiveUp(now timer.Instant) {
	p.GiveBack(now, math.MaxInt64)
}

// GiveBack returns borrowed loans that expire within margin and are not lent on,
// so that the unspent tokens are not lost at the end of the term.
func (p *Purse) GiveBack(now timer.Instant, margin time.Duration) {
	p.expire(now)
	kept := p.borrowed[:0]
	for _, b := range p.borrowed {
		if b.lentOn < minAmount && b.expires.Sub(now) < margin {
			p.queueSettlement(b, b.left)
			continue
		}
		kept = append(kept, b)
	}
	p.borrowed = kept
}

// Settlements returns the settlements to send to each lender and clears them.
func (p *Purse) Settlements(now timer.Instant) map[string][]Settlement {
	p.expire(now)
	if len(p.unreported) == 0 {
		return nil
	}
	out := p.unreported
	p.unreported = map[string][]Settlement{}
	return out
}

// Reset empties the bucket after a pause during which the node's VM may have been
// replaced: no token, owned or borrowed, can be spent before the bucket begins to
// refill at start.
func (p *Purse) Reset(start timer.Instant) {
	p.level = min(p.level, 0)
	p.borrowed = nil
	p.refilledAt = start
}

// Outstanding returns the amount of this node's slice that is on loan, in tokens.
func (p *Purse) Outstanding() float64 {
	return p.outstanding
}

// Slice returns the slice of the budget that the bucket owns.
func (p *Purse) Slice() Slice {
	return p.slice
}
