package starts

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func report(id string, startedAt, seq int64, ready bool) Report {
	return Report{
		ID:        id,
		StartedAt: startedAt,
		Seq:       seq,
		Ready:     ready,
	}
}

// TestDrainingOutlivesRestart guards against a target whose draining was confirmed and that is used
// again after a restart of its node, because a report that it sent before arrives late.
func TestDrainingOutlivesRestart(t *testing.T) {
	now := time.Now()
	Convey("Given a target that drains", t, func() {
		var before, after Tracker
		before.Announce(now, report("a", 100, 6, true))
		verdict, departed := before.Announce(now, report("a", 100, 7, false))
		So(verdict, ShouldEqual, Applied)
		So(departed, ShouldBeTrue)
		after.Restore(now, before.Departures())
		Convey("later reports that it drains add nothing", func() {
			verdict, departed := before.Announce(now, report("a", 100, 8, false))
			So(verdict, ShouldEqual, Applied)
			So(departed, ShouldBeFalse)
		})
		Convey("reports that it was ready before are outdated after a restart of the node", func() {
			verdict, _ := after.Announce(now, report("a", 100, 5, true))
			So(verdict, ShouldEqual, Outdated)
		})
		Convey("one that it is ready again is not, and draining once more is a departure of its own", func() {
			verdict, _ := after.Announce(now, report("a", 100, 9, true))
			So(verdict, ShouldEqual, Applied)
			So(after.Usable(), ShouldBeTrue)
			_, departed := after.Announce(now, report("a", 100, 11, false))
			So(departed, ShouldBeTrue)
			So(after.Usable(), ShouldBeFalse)
		})
		Convey("its withdrawal outdates all of its reports", func() {
			So(before.Withdraw(now, "a"), ShouldBeTrue)
			So(before.Withdraw(now, "a"), ShouldBeTrue)
			So(before.Withdraw(now, "a"), ShouldBeFalse)
			So(before.StartLeaving("a", 100), ShouldBeTrue)
			verdict, _ := before.Announce(now, report("a", 100, 20, true))
			So(verdict, ShouldEqual, Outdated)
		})
	})
}

// TestNewsOfWithdrawals guards against a withdrawal that is confirmed although nobody was told of it,
// since the tracker does not call it news.
func TestNewsOfWithdrawals(t *testing.T) {
	now := time.Now()
	Convey("A withdrawal is news whenever it changes what is on record", t, func() {
		var unknown Tracker
		So(unknown.Withdraw(now, "a"), ShouldBeTrue)
		So(unknown.Departures(), ShouldHaveLength, 1)
		var drained Tracker
		drained.Restore(now, []Departure{
			{
				ID:        "a",
				StartedAt: 100,
				At:        now.UnixMilli(),
				LastSeq:   7,
			},
		})
		So(drained.Withdraw(now, "a"), ShouldBeTrue)
		So(drained.Departures(), ShouldHaveLength, 2)
	})
}

// TestManyDepartures guards against a departure that is forgotten because many targets that never
// announced themselves were withdrawn.
func TestManyDepartures(t *testing.T) {
	Convey("Departures of unknown starts are dropped first", t, func() {
		now := time.Now()
		var tr Tracker
		tr.Announce(now, report("a", 100, 6, true))
		tr.Withdraw(now, "a")
		for i := range 3 * maxDepartures {
			tr.Withdraw(now, fmt.Sprintf("other-%d", i))
		}
		So(tr.Departures(), ShouldHaveLength, maxDepartures)
		So(tr.Departed("a", 100), ShouldBeTrue)
	})
}
