package tokens

import (
	"context"
	"fmt"
	"testing"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/quota/bucket"
)

// noPeers is a mesh without other nodes.
type noPeers struct{}

func (noPeers) Broker(string) string                                      { return "self" }
func (noPeers) Members() []string                                         { return nil }
func (noPeers) Brokers(string) []string                                   { return nil }
func (noPeers) Lend(context.Context, string, LendRequest) (Answer, error) { return Answer{}, nil }
func (noPeers) Settle(string, SettleRequest)                              {}

// newLimiter returns a limiter with the given number of accounts. Their buckets
// refill from the start, without refillDelay.
func newLimiter(b *testing.B, accounts int) *Limiter {
	b.Helper()
	timers, stop := timer.New()
	b.Cleanup(stop)
	limiter, _ := New("self", noPeers{}, timers)
	limiter.started -= timer.Instant(refillDelay)
	limiter.Configure(timer.Now()-timer.Instant(refillDelay), func(string) (bucket.Slice, bool) {
		return bucket.Slice{
			Rate:  1e9,
			Burst: 1e9,
		}, true
	})
	for i := range accounts {
		limiter.Take(context.Background(), fmt.Sprint("workspace:", i), 1)
	}
	return limiter
}

// BenchmarkTick measures the maintenance of active accounts, which runs ten times
// per second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			limiter := newLimiter(b, n)
			b.ReportAllocs()
			for b.Loop() {
				limiter.tick(timer.Now())
			}
		})
	}
}

// BenchmarkTake measures taking a token that the node holds.
func BenchmarkTake(b *testing.B) {
	limiter := newLimiter(b, 1000)
	b.ReportAllocs()
	for b.Loop() {
		limiter.Take(context.Background(), "workspace:7", 1)
	}
}

// BenchmarkLend measures a loan and its settlement on the lender.
func BenchmarkLend(b *testing.B) {
	limiter := newLimiter(b, 1000)
	b.ReportAllocs()
	for b.Loop() {
		a := limiter.Lend(context.Background(), LendRequest{
			Budget: "workspace:7",
			From:   "peer",
			Scope:  ScopeMember,
			Want:   1,
		})
		for _, l := range a.Loans {
			limiter.Settle(SettleRequest{
				Budget:      "workspace:7",
				Settlements: []bucket.Settlement{{ID: l.ID}},
			})
		}
	}
}
