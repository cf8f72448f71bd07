package bucket

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"fuchsiapier/internal/base/timer"
)

// init fixes the seed and the number of checks, so that every run tests the same
// cases. Flags on the command line override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
}

const (
	fleetRate  = 30.0
	fleetBurst = 12.0
	buckets    = 4
	// tolerance absorbs floating-point error over some hundred steps, in tokens.
	tolerance = 1e-6
)

// message is a batch of loans or settlements in flight.
type message struct {
	from, to    int
	requestedAt timer.Instant
	loans       []Loan
	settlements []Settlement
}

// fleet is a set of buckets on one clock, and the messages between them, which may
// be lost, delayed or duplicated.
type fleet struct {
	now      timer.Instant
	buckets  []*Bucket
	inFlight []message
	spent    []spending
	// replacements counts replaced VMs.
	replacements LoanID
}

// spending is an amount of tokens spent at one instant.
type spending struct {
	at timer.Instant
	n  float64
}

func newFleet() *fleet {
	f := &fleet{}
	for range buckets {
		b := New(Slice{
			Rate:  fleetRate / buckets,
			Burst: fleetBurst / buckets,
		}, 0, 0)
		b.Fill()
		f.buckets = append(f.buckets, b)
	}
	return f
}

// step performs one random action on a random bucket and delivers at most one
// message.
func (f *fleet) step(t *rapid.T) {
	i := rapid.IntRange(0, buckets-1).Draw(t, "purse")
	j := rapid.IntRange(0, buckets-1).Draw(t, "other")
	b := f.buckets[i]
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		// Most pauses are short, so that spending reaches the bound; some outlast
		// loans.
		longest := 15
		if rapid.IntRange(0, 7).Draw(t, "pause") == 0 {
			longest = 1500
		}
		f.now = f.now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, "ms")) * time.Millisecond)
	case 1, 2, 3, 9:
		n := b.Available(f.now) * rapid.Float64Range(0.3, 1).Draw(t, "part")
		if b.Take(f.now, n) {
			f.spent = append(f.spent, spending{at: f.now, n: n})
		}
	case 4, 5:
		if i != j {
			want := rapid.Float64Range(0.1, 6).Draw(t, "want")
			f.inFlight = append(f.inFlight, message{from: i, to: j, requestedAt: f.now, loans: b.Lend(f.now, want, 0, time.Second)})
		}
	case 6:
		for lender, s := range b.Settlements(f.now) {
			f.inFlight = append(f.inFlight, message{from: i, to: int(lender[0] - '0'), settlements: s})
		}
	case 7:
		b.ReturnExpiring(f.now, time.Duration(rapid.IntRange(0, 1200).Draw(t, "margin"))*time.Millisecond)
	case 8:
		// Replaces a VM: its successor starts empty and refills after the longest
		// term.
		f.replacements++
		f.buckets[i] = New(b.Slice(), f.now.Add(2*time.Second), f.replacements<<32)
	}
	f.deliver(t)
}

// deliver picks a random message in flight and delays, drops or delivers it;
// delivered settlements may stay in flight to be delivered again.
func (f *fleet) deliver(t *rapid.T) {
	if len(f.inFlight) == 0 {
		return
	}
	k := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
	m := f.inFlight[k]
	outcome := rapid.IntRange(-2, 5).Draw(t, "fate")
	if outcome <= 0 {
		return
	}
	repeated := outcome == 2 && m.settlements != nil
	if !repeated {
		f.inFlight = append(f.inFlight[:k], f.inFlight[k+1:]...)
	}
	if outcome == 1 {
		return
	}
	b := f.buckets[m.to]
	b.Settle(f.now, m.settlements)
	b.Borrow(f.now, m.requestedAt, string(rune('0'+m.from)), m.loans)
}

// maxExcess returns by how much the tokens spent exceed rate*window + burst in
// the worst window; a negative result is the remaining margin.
func maxExcess(spent []spending, rate, burst float64) float64 {
	excess := -burst
	for i := range spent {
		sum := 0.0
		for _, s := range spent[i:] {
			sum += s.n
			excess = max(excess, sum-burst-rate*s.at.Sub(spent[i].at).Seconds())
		}
	}
	return excess
}

// TestFleetNeverExceedsRateAndBurst guards against overspending a budget over all
// nodes. That comes about when tokens are counted twice because messages were
// lost, delayed or duplicated, when loans outlive their term, or when a VM is
// replaced while its loans are outstanding.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			f.step(t)
		}
		if excess := maxExcess(f.spent, fleetRate, fleetBurst); excess > tolerance {
			t.Fatalf("spent %v tokens more than rate and burst allow", excess)
		}
	})
}

// TestLending guards the lending protocol between one lender and one borrower
// against tokens that are spent twice, spent after the end of their term, or lost
// although they were returned.
func TestLending(t *testing.T) {
	Convey("Given a lender with a full slice and a borrower", t, func() {
		slice := Slice{
			Rate:  10,
			Burst: 10,
		}
		lender := New(slice, 0, 0)
		lender.Fill()
		borrower := New(Slice{}, 0, 0)
		now := timer.Instant(0)

		Convey("a loan is deducted from the lender before the borrower receives it", func() {
			loans := lender.Lend(now, 4, 0, time.Second)
			So(lender.Available(now), ShouldEqual, 6)
			So(borrower.Borrow(now, now, "l", loans), ShouldEqual, 4)
			So(borrower.Take(now, 4), ShouldBeTrue)
		})
		Convey("a lost answer makes the tokens of the loan unusable until its term ends and never duplicates them", func() {
			lender.Lend(now, 10, 0, time.Second)
			So(lender.Available(now.Add(time.Second)), ShouldEqual, 0)
			So(lender.Available(now.Add(2*time.Second)), ShouldBeLessThanOrEqualTo, 10)
		})
		Convey("a borrower that was paused past the end of the term spends nothing", func() {
			borrower.Borrow(now, now, "l", lender.Lend(now, 4, 0, time.Second))
			So(borrower.Take(now.Add(time.Second), 1), ShouldBeFalse)
		})
		Convey("a borrower counts the term from before it sent its request", func() {
			requestedAt := now
			got := borrower.Borrow(now.Add(1500*time.Millisecond), requestedAt, "l", lender.Lend(now, 4, 0, time.Second))
			So(got, ShouldEqual, 0)
		})
		Convey("unspent tokens are returned once, however often the settlement is delivered", func() {
			borrower.Borrow(now, now, "l", lender.Lend(now, 4, 0, time.Second))
			So(borrower.Take(now, 1), ShouldBeTrue)
			borrower.ReturnAll(now)
			s := borrower.Settlements(now)["l"]
			lender.Settle(now, s)
			lender.Settle(now, s)
			So(lender.Available(now), ShouldEqual, 9)
			So(lender.Outstanding(), ShouldEqual, 0)
		})
		Convey("a token taken for a request that did not run is refunded", func() {
			So(lender.Take(now, 10), ShouldBeTrue)
			lender.Refund(now, 1)
			So(lender.Take(now, 1), ShouldBeTrue)
			So(lender.Take(now, 1), ShouldBeFalse)
		})
		Convey("a charge beyond the level is made up by refills before tokens can be spent", func() {
			lender.Charge(now, 15)
			So(lender.Take(now.Add(400*time.Millisecond), 1), ShouldBeFalse)
			So(lender.Take(now.Add(700*time.Millisecond), 1), ShouldBeTrue)
		})
	})
}
