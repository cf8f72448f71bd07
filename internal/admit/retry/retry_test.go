package retry

import (
	"flag"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// init fixes the seed and the number of checks, so that every run tests the same
// cases. Flags on the command line override both.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

// runChain simulates a call and its nested calls, which retry at random, and returns
// the number of retries in the whole chain. Unused retries of a nested call are
// returned only if its response arrives.
func runChain(t *rapid.T, a *Allowance, depth int) int {
	used := 0
	for range rapid.IntRange(0, 3).Draw(t, "steps") {
		if rapid.Bool().Draw(t, "own") || depth == 0 {
			if a.Spend() {
				used++
			}
			continue
		}
		granted := a.Split()
		child := NewAllowance(granted)
		used += runChain(t, child, depth-1)
		if rapid.Bool().Draw(t, "answered") {
			a.Return(granted, child.Left())
		}
	}
	return used
}

// TestWholeChainStaysWithinAllowance guards against retry amplification: hops that each
// retry on their own multiply the calls along the chain.
func TestWholeChainStaysWithinAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "allowance")
		if used := runChain(t, NewAllowance(n), 4); used > n {
			t.Fatalf("chain used %d retries, want at most %d", used, n)
		}
	})
}

// TestRatioBudgetAndReturn guards against retries beyond the ratio of first tries, and
// against an allowance that grows when a nested call reports more unused retries than
// it got.
func TestRatioBudgetAndReturn(t *testing.T) {
	Convey("The retries of a service are bounded in proportion to its first tries", t, func() {
		b := NewRatioBudget()
		spent := 0
		for range 1000 {
			b.RecordRequest("quota")
			if b.Spend("quota") {
				spent++
			}
		}
		So(spent, ShouldBeLessThanOrEqualTo, 1000*retryRatio+maxTokens)
	})
	Convey("Retries returned never exceed the retries granted", t, func() {
		a := NewAllowance(4)
		granted := a.Split()
		a.Return(granted, 100)
		So(a.Left(), ShouldEqual, 4)
	})
}
