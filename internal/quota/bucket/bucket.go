// Package bucket implements one node's token bucket for one budget, whose tokens
// can be lent to other nodes for a limited term. It does no I/O and takes the
// time as an argument.
//
// The bound on a budget over all nodes follows from one invariant: the level of a
// bucket plus its own tokens on loan never exceeds the burst of its slice, and
// the level refills only at the rate of the slice. A token is in at most one
// bucket at any moment, so over any window all nodes together spend at most
// rate*window + burst. After the burst of a slice was lowered, the invariant
// holds again once the loans made before have ended.
package bucket

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
	// Unspent is the amount that is returned, in tokens; the remainder was spent.
	Unspent float64 `json:"rest"`
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

// Bucket is a token bucket that lends and borrows. It is not safe for concurrent
// use.
type Bucket struct {
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
func New(slice Slice, start timer.Instant, idBase LoanID) *Bucket {
	return &Bucket{
		slice:      slice,
		refilledAt: start,
		lastID:     idBase,
		lent:       map[LoanID]lent{},
		unreported: map[string][]Settlement{},
	}
}

// Fill sets the level to the whole burst, for a budget that is new on all nodes.
func (b *Bucket) Fill() {
	b.level = b.slice.Burst
}

// SetSlice changes the slice. A smaller burst lowers the level at once.
func (b *Bucket) SetSlice(now timer.Instant, s Slice) {
	b.refill(now)
	b.slice = s
	b.level = min(b.level, b.maxLevel())
}

// maxLevel returns the highest level allowed while loans are outstanding.
func (b *Bucket) maxLevel() float64 {
	return max(0, b.slice.Burst-b.outstanding)
}

// refill ends the loans whose term and grace period have passed, as fully spent,
// and adds the tokens that have accrued since the last call.
func (b *Bucket) refill(now timer.Instant) {
	for id, l := range b.lent {
		if now > l.expires {
			b.release(id, l, 0)
		}
	}
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if b.level < b.maxLevel() {
		b.level = min(b.maxLevel(), b.level+elapsed*b.slice.Rate)
	}
}

// release ends a loan and returns the unspent tokens to the slice or borrowed
// loan that they were taken from.
func (b *Bucket) release(id LoanID, l lent, unspent float64) {
	delete(b.lent, id)
	unspent = min(max(unspent, 0), l.amount)
	if l.source != nil {
		l.source.lentOn -= l.amount
		l.source.left += unspent
		return
	}
	b.outstanding = max(0, b.outstanding-l.amount)
	if len(b.lent) == 0 {
		b.outstanding = 0
	}
	b.level = min(b.maxLevel(), b.level+unspent)
}

// expire drops borrowed loans whose term has passed and settles those that are
// used up.
func (b *Bucket) expire(now timer.Instant) {
	kept := b.borrowed[:0]
	for _, l := range b.borrowed {
		switch {
		case now >= l.expires:
		case l.left < minAmount && l.lentOn < minAmount:
			b.queueSettlement(l, 0)
		default:
			kept = append(kept, l)
		}
	}
	b.borrowed = kept
}

// queueSettlement queues the settlement of a borrowed loan for its lender; the
// next call of Settlements returns it.
func (b *Bucket) queueSettlement(l *borrowedLoan, unspent float64) {
	b.unreported[l.lender] = append(b.unreported[l.lender], Settlement{
		ID:      l.id,
		Unspent: unspent,
	})
}

// Available returns how many tokens can be spent now, borrowed ones included.
func (b *Bucket) Available(now timer.Instant) float64 {
	b.refill(now)
	b.expire(now)
	return b.level + b.borrowedTokens()
}

func (b *Bucket) borrowedTokens() float64 {
	sum := 0.0
	for _, l := range b.borrowed {
		sum += l.left
	}
	return sum
}

// Take spends n tokens and reports whether the bucket held them. Borrowed tokens
// are spent first, those that expire earliest before others.
func (b *Bucket) Take(now timer.Instant, n float64) bool {
	if b.Available(now) < n {
		return false
	}
	for _, l := range b.borrowed {
		amount := min(n, l.left)
		l.left -= amount
		n -= amount
	}
	b.level -= n
	return true
}

// Charge spends n tokens that were used already. The level may become negative;
// later refills make up for that before tokens can be spent.
func (b *Bucket) Charge(now timer.Instant, n float64) {
	b.refill(now)
	b.level -= n
}

// Refund returns n tokens that were taken for an operation that did not happen.
func (b *Bucket) Refund(now timer.Instant, n float64) {
	b.refill(now)
	if b.level < b.maxLevel() {
		b.level = min(b.maxLevel(), b.level+n)
	}
}

// Lend lends up to want tokens for at most term and keeps at least reserve
// tokens. Borrowed tokens are lent on before those of the slice, and for no longer
// than the remaining term of the loan that they came with.
func (b *Bucket) Lend(now timer.Instant, want, reserve float64, term time.Duration) []Loan {
	spare := b.Available(now) - reserve
	want = min(want, spare)
	var loans []Loan
	for _, l := range b.borrowed {
		amount := min(want, l.left)
		left := min(term, l.expires.Sub(now))
		if amount < minAmount || left <= 0 {
			continue
		}
		l.left -= amount
		l.lentOn += amount
		want -= amount
		loans = append(loans, b.recordLoan(now, amount, left, l))
	}
	amount := min(want, b.level)
	if amount >= minAmount {
		b.level -= amount
		b.outstanding += amount
		loans = append(loans, b.recordLoan(now, amount, term, nil))
	}
	return loans
}

// LendOwned is Lend restricted to tokens of this node's slice, so that brokers do
// not lend the same tokens to each other in a cycle.
func (b *Bucket) LendOwned(now timer.Instant, want, reserve float64, term time.Duration) []Loan {
	b.refill(now)
	amount := min(want, b.level-reserve)
	if amount < minAmount {
		return nil
	}
	b.level -= amount
	b.outstanding += amount
	return []Loan{b.recordLoan(now, amount, term, nil)}
}

// recordLoan creates a loan and records it until it is settled or has ended.
func (b *Bucket) recordLoan(now timer.Instant, amount float64, term time.Duration, source *borrowedLoan) Loan {
	b.lastID++
	b.lent[b.lastID] = lent{
		amount:  amount,
		expires: now.Add(term + term/100 + driftMargin),
		source:  source,
	}
	return Loan{
		ID:         b.lastID,
		Amount:     amount,
		TermMillis: term.Milliseconds(),
	}
}

// Borrow adds loans from a lender to which the request was sent at requestedAt,
// and returns the amount added, in tokens. Loans whose term has passed meanwhile
// and loans of an invalid amount are dropped.
func (b *Bucket) Borrow(now, requestedAt timer.Instant, lender string, loans []Loan) float64 {
	got := 0.0
	for _, l := range loans {
		expires := requestedAt.Add(time.Duration(l.TermMillis) * time.Millisecond)
		if now >= expires || !(l.Amount > 0) || math.IsInf(l.Amount, 0) {
			continue
		}
		b.borrowed = append(b.borrowed, &borrowedLoan{
			lender:  lender,
			id:      l.ID,
			left:    l.Amount,
			expires: expires,
		})
		got += l.Amount
	}
	sort.SliceStable(b.borrowed, func(i, j int) bool {
		return b.borrowed[i].expires < b.borrowed[j].expires
	})
	return got
}

// Settle ends loans as reported by their borrower. It is idempotent: settlements
// of unknown or ended loans are ignored.
func (b *Bucket) Settle(now timer.Instant, settlements []Settlement) {
	b.refill(now)
	for _, s := range settlements {
		if l, ok := b.lent[s.ID]; ok {
			b.release(s.ID, l, s.Unspent)
		}
	}
}

// ReturnAll returns the unspent tokens of all borrowed loans to their lenders, for
// a budget without further demand. Loans of which tokens are lent on are kept.
func (b *Bucket) ReturnAll(now timer.Instant) {
	b.ReturnExpiring(now, math.MaxInt64)
}

// ReturnExpiring returns borrowed loans that expire within margin and are not lent
// on, so that the unspent tokens are not lost at the end of the term.
func (b *Bucket) ReturnExpiring(now timer.Instant, margin time.Duration) {
	b.expire(now)
	kept := b.borrowed[:0]
	for _, l := range b.borrowed {
		if l.lentOn < minAmount && l.expires.Sub(now) < margin {
			b.queueSettlement(l, l.left)
			continue
		}
		kept = append(kept, l)
	}
	b.borrowed = kept
}

// Settlements returns the settlements to send to each lender and clears them.
func (b *Bucket) Settlements(now timer.Instant) map[string][]Settlement {
	b.expire(now)
	if len(b.unreported) == 0 {
		return nil
	}
	out := b.unreported
	b.unreported = map[string][]Settlement{}
	return out
}

// Reset empties the bucket after a pause during which the node's VM may have been
// replaced: no token of the slice or of a loan can be spent before the bucket
// begins to refill at start.
func (b *Bucket) Reset(start timer.Instant) {
	b.level = min(b.level, 0)
	b.borrowed = nil
	b.refilledAt = start
}

// Outstanding returns the amount of this node's slice that is on loan, in tokens.
func (b *Bucket) Outstanding() float64 {
	return b.outstanding
}

// Slice returns the slice of the budget that the bucket owns.
func (b *Bucket) Slice() Slice {
	return b.slice
}
