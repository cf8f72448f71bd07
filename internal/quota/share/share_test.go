package share

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
	_ = flag.Set("rapid.checks", "1000")
}

// TestTracker guards against a larger share that is used while other nodes may
// still use the shares of the old preset, and against one that a node keeps using
// while it has no contact to the log.
func TestTracker(t *testing.T) {
	Convey("Given a slot with a share of 0.25 that may become 0.5", t, func() {
		tracker := &Tracker{}
		tracker.Configure(0, 0.25, 0.25)
		So(tracker.Share(0, 0), ShouldEqual, 0.25)
		Convey("a larger share is used only after all nodes have learned of the change", func() {
			tracker.Configure(0, 0.5, 0.25)
			So(tracker.Share(timer.Instant(increaseDelay), 0), ShouldEqual, 0.25)
			So(tracker.Share(timer.Instant(increaseDelay)+1, 0), ShouldEqual, 0.5)
			Convey("and is reduced when the node has lost contact to the log", func() {
				So(tracker.Share(timer.Instant(increaseDelay)+2, contactTimeout+1), ShouldEqual, 0.25)
			})
		})
		Convey("a smaller share is in force at once", func() {
			tracker.Configure(0, 0.1, 0.1)
			So(tracker.Share(0, 0), ShouldEqual, 0.1)
		})
	})
}

// TestSharesNeverSumOverOne guards against budgets that are overspent during a
// change of presets. It switches between presets that give two failure domains
// different shares while either domain may have no contact to the log.
func TestSharesNeverSumOverOne(t *testing.T) {
	shares := [][2]float64{{0.5, 0.5}, {0.2, 0.8}, {0.9, 0.1}}
	minShares := [2]float64{0.2, 0.1}
	rapid.Check(t, func(t *rapid.T) {
		var domains [2]Tracker
		var contact [2]timer.Instant
		current := 0
		now := timer.Instant(0)
		for i := range domains {
			domains[i].Configure(now, shares[0][i], minShares[i])
		}
		for range 120 {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "switch") == 0 {
				current = rapid.IntRange(0, len(shares)-1).Draw(t, "preset")
			}
			for i := range domains {
				if rapid.Bool().Draw(t, "reads the log") {
					contact[i] = now
					domains[i].Configure(now, shares[current][i], minShares[i])
				}
			}
			sum := 0.0
			for i := range domains {
				sum += domains[i].Share(now, now.Sub(contact[i]))
			}
			if sum > 1+1e-9 {
				t.Fatalf("shares sum to %v, want at most 1", sum)
			}
		}
	})
}
