package starts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/lab/seeds"
)

// announced returns the verdict on a report at a time that does not matter.
func (t *Tracker) announced(r Report) Verdict {
	verdict, _ := t.Announce(time.Now(), r)
	return verdict
}

// present returns the ID and the start time of the present start.
func present(t *Tracker) string {
	return fmt.Sprintf("%s/%d", t.present.ID, t.present.StartedAt)
}

// TestStartsWhateverTheClock guards against a target that gets no work, or whose confirmed draining is
// ignored, because the time of day was set back between two of its starts.
func TestStartsWhateverTheClock(t *testing.T) {
	now := time.Now()
	Convey("A start by an earlier time of day, under its ID or another one, is present from its second report on", t, func() {
		for _, id := range []string{"a", "b"} {
			var tr Tracker
			tr.announced(report("a", 2000, 1, true))
			So(tr.announced(report(id, 1000, 1, true)), ShouldEqual, Unconfirmed)
			So(tr.announced(report(id, 1000, 2, true)), ShouldEqual, Applied)
			So(present(&tr), ShouldEqual, id+"/1000")
			verdict, departed := tr.Announce(now, report(id, 1000, 9, false))
			So(verdict, ShouldEqual, Applied)
			So(departed, ShouldBeTrue)
			So(tr.Usable(), ShouldBeFalse)
		}
	})
	Convey("So is one after the withdrawal of a start by a later time of day", t, func() {
		for _, seq := range []int64{1, 7} {
			var tr Tracker
			tr.announced(report("a", 2000, 5, true))
			tr.Withdraw(now, "a")
			So(tr.announced(report("a", 1000, seq, true)), ShouldEqual, Unconfirmed)
			So(tr.announced(report("a", 1000, seq+1, true)), ShouldEqual, Applied)
		}
		var tr Tracker
		tr.announced(report("a", 2000, 5, true))
		tr.Withdraw(now, "a")
		So(tr.announced(report("b", 1000, 1, true)), ShouldEqual, Applied)
	})
	Convey("And one after the withdrawal of a start that was not known, if its first reports are heard", t, func() {
		at := now.UnixMilli()
		var tr Tracker
		tr.Withdraw(now, "a")
		So(tr.announced(report("a", at-2000, 1, true)), ShouldEqual, Unconfirmed)
		So(tr.announced(report("a", at-2000, 2, true)), ShouldEqual, Applied)
		var left Tracker
		left.Withdraw(now, "a")
		for seq := int64(8); seq < 11; seq++ {
			So(left.announced(report("a", at-2000, seq, true)), ShouldEqual, Unconfirmed)
		}
		So(left.Usable(), ShouldBeFalse)
	})
	Convey("Draining binds from the first report on", t, func() {
		var same Tracker
		same.announced(report("a", 2000, 5, true))
		verdict, departed := same.Announce(now, report("a", 1000, 1, false))
		So(verdict, ShouldEqual, Applied)
		So(departed, ShouldBeTrue)
		So(same.Usable(), ShouldBeFalse)
		var other Tracker
		other.announced(report("a", 2000, 5, true))
		verdict, departed = other.Announce(now, report("b", 1000, 3, false))
		So(verdict, ShouldEqual, Unconfirmed)
		So(departed, ShouldBeTrue)
		So(other.announced(report("b", 1000, 2, true)), ShouldEqual, Outdated)
	})
}

// TestLateReports guards against late reports of an earlier start, or of another writer, that take the
// present target out of use for longer than two of its reports.
func TestLateReports(t *testing.T) {
	now := time.Now()
	Convey("Late reports of an earlier start change nothing while the present one reports", t, func() {
		var tr Tracker
		tr.announced(report("a", 1000, 5, true))
		So(tr.announced(report("b", 2000, 1, true)), ShouldEqual, Applied)
		So(tr.announced(report("a", 1000, 4, true)), ShouldEqual, Outdated)
		So(tr.announced(report("a", 1000, 6, true)), ShouldEqual, Unconfirmed)
		So(tr.announced(report("b", 2000, 2, true)), ShouldEqual, Applied)
		So(tr.announced(report("a", 1000, 7, true)), ShouldEqual, Unconfirmed)
		So(present(&tr), ShouldEqual, "b/2000")
	})
	Convey("A target that was replaced by mistake is back with its second report", t, func() {
		var tr Tracker
		tr.announced(report("a", 1000, 5, true))
		So(tr.announced(report("other", 9000, 1, true)), ShouldEqual, Applied)
		So(tr.announced(report("a", 1000, 6, true)), ShouldEqual, Unconfirmed)
		So(tr.announced(report("a", 1000, 7, true)), ShouldEqual, Applied)
	})
	Convey("So is one after a report of its own start with a sequence number that it never had", t, func() {
		var tr Tracker
		tr.announced(report("a", 1000, 5, true))
		So(tr.announced(report("a", 1000, 1<<53, true)), ShouldEqual, Applied)
		So(tr.announced(report("a", 1000, 6, true)), ShouldEqual, Unconfirmed)
		So(tr.announced(report("a", 1000, 7, true)), ShouldEqual, Applied)
		verdict, departed := tr.Announce(now, report("a", 1000, 8, false))
		So(verdict, ShouldEqual, Applied)
		So(departed, ShouldBeTrue)
	})
	Convey("Late reports in a row do not bring back a target that drains or has left", t, func() {
		var tr Tracker
		tr.announced(report("a", 1000, 3, true))
		tr.announced(report("a", 1000, 7, false))
		So(tr.announced(report("a", 1000, 5, true)), ShouldEqual, Outdated)
		So(tr.announced(report("a", 1000, 6, true)), ShouldEqual, Outdated)
		tr.Withdraw(now, "a")
		So(tr.announced(report("a", 1000, 8, true)), ShouldEqual, Outdated)
		So(tr.announced(report("a", 1000, 9, true)), ShouldEqual, Outdated)
		So(tr.Usable(), ShouldBeFalse)
	})
}

// TestLateWithdrawal guards against a target that gets no work until its next start, because the
// withdrawal of its earlier start under the same ID arrives after its first report.
func TestLateWithdrawal(t *testing.T) {
	now := time.Now()
	Convey("Given a target that has started again under its ID", t, func() {
		var tr Tracker
		tr.Announce(now, report("a", 1000, 9, true))
		tr.Announce(now, report("a", 1000, 10, false))
		tr.Announce(now, report("a", 2000, 1, true))
		Convey("a withdrawal soon after holds until it reports again, also if it is repeated", func() {
			So(tr.Withdraw(now, "a"), ShouldBeTrue)
			So(tr.Withdraw(now, "a"), ShouldBeFalse)
			So(tr.Usable(), ShouldBeFalse)
			So(tr.announced(report("a", 2000, 2, true)), ShouldEqual, Outdated)
			So(tr.announced(report("a", 2000, 3, true)), ShouldEqual, Applied)
			So(tr.Usable(), ShouldBeTrue)
			Convey("and the next one is its own", func() {
				So(tr.Withdraw(now, "a"), ShouldBeTrue)
				So(tr.announced(report("a", 2000, 9, true)), ShouldEqual, Outdated)
			})
		})
		Convey("a later one is its own", func() {
			So(tr.Withdraw(now.Add(lateWithdrawalTime), "a"), ShouldBeTrue)
			So(tr.announced(report("a", 2000, 9, true)), ShouldEqual, Outdated)
		})
		Convey("so is one after that of the earlier start", func() {
			var tr Tracker
			tr.Announce(now, report("a", 1000, 9, true))
			tr.Withdraw(now, "a")
			tr.Announce(now, report("a", 2000, 1, true))
			So(tr.Withdraw(now, "a"), ShouldBeTrue)
			So(tr.announced(report("a", 2000, 9, true)), ShouldEqual, Outdated)
		})
		Convey("a target without start times is withdrawn as well", func() {
			var tr Tracker
			tr.Announce(now, report("a", 0, 1, true))
			So(tr.Withdraw(now, "a"), ShouldBeTrue)
			So(tr.Usable(), ShouldBeFalse)
		})
	})
}

// machine simulates the targets on a VM, whose reports arrive late and more than once, and the node
// beside them, which restarts.
type machine struct {
	rng     *rand.Rand
	now     time.Time
	tracker Tracker
	// queue holds what is on its way.
	queue []arrival
	// current is the last report of the target that runs, skew the error of the clock, and arrived
	// how many of its reports have arrived in time since the node or the target started, or a withdrawal
	// came.
	current Report
	skew    int64
	arrived int
	// leaving holds the starts whose leaving was confirmed.
	leaving map[Report]bool
	broken  string
}

// arrival is a report or a withdrawal that arrives at a time.
type arrival struct {
	at       time.Time
	report   Report
	withdraw bool
	late     bool
}

const reportPeriod = 1500 * time.Millisecond

// key names a start.
func key(r Report) Report {
	return report(r.ID, r.StartedAt, 0, false)
}

// start starts a target, under the ID of the one before or another one. The clock has jumped.
func (m *machine) start() {
	id := m.current.ID
	if id == "" || m.rng.IntN(2) == 0 {
		id = fmt.Sprintf("t%d", m.rng.IntN(1000))
	}
	m.skew = m.rng.Int64N(4800) - 2400
	m.current = report(id, m.now.UnixMilli()+m.skew, 0, true)
	m.arrived = 0
}

// send sends a report of the current target, which is sometimes late, or repeated.
func (m *machine) send(ready bool) {
	m.current.Seq++
	m.current.Ready = ready
	if m.rng.IntN(8) == 0 {
		m.queue = append(m.queue, arrival{
			at:     m.now.Add(time.Duration(m.rng.IntN(3000)) * time.Millisecond),
			report: m.current,
			late:   true,
		})
		if m.rng.IntN(2) == 0 {
			return
		}
	}
	m.queue = append(m.queue, arrival{
		at:     m.now.Add(time.Millisecond),
		report: m.current,
	})
}

// deliver delivers what arrives until a time, and checks after each arrival.
func (m *machine) deliver(until time.Time) {
	slices.SortStableFunc(m.queue, func(a, b arrival) int { return a.at.Compare(b.at) })
	for len(m.queue) > 0 && !m.queue[0].at.After(until) {
		a := m.queue[0]
		m.queue = m.queue[1:]
		m.now = a.at
		m.arrive(a)
		m.check(a)
	}
	m.now = until
}

func (m *machine) arrive(a arrival) {
	if a.withdraw {
		m.tracker.Withdraw(m.now, a.report.ID)
		m.arrived = 0
		if m.current.sameStart(a.report) {
			m.leaving[key(a.report)] = true
		}
		return
	}
	m.tracker.Announce(m.now, a.report)
	current := m.current.sameStart(a.report)
	if current && !a.late {
		m.arrived++
	}
	if !a.report.Ready && m.tracker.Departed(a.report.ID, a.report.StartedAt) {
		m.leaving[key(a.report)] = true
	}
}

// open reports whether requests reach the current target: by its ID, which another start may have had.
func (m *machine) open() bool {
	return m.tracker.Usable() && m.tracker.present.ID == m.current.ID
}

// check looks for a target that gets requests although its leaving was confirmed, and one that gets none
// although three of its reports in time have arrived.
func (m *machine) check(a arrival) {
	leaving := m.leaving[key(m.current)]
	switch {
	case m.broken != "":
	case leaving && m.open():
		m.broken = fmt.Sprintf("%v is used after its leaving was confirmed, after %v", m.current, a)
	case !leaving && m.current.Ready && m.arrived >= 4 && !m.open():
		m.broken = fmt.Sprintf("%v is not used after %d reports, present is %v, after %v", m.current, m.arrived, m.tracker.present, a)
	}
}

// run lets targets start and end for a while and returns what was broken.
func (m *machine) run() string {
	for range 12 {
		m.start()
		for range 1 + m.rng.IntN(10) {
			m.send(true)
			if m.rng.IntN(12) == 0 {
				m.restartNode()
			}
			m.deliver(m.now.Add(reportPeriod))
		}
		m.end()
	}
	return m.broken
}

// restartNode replaces the node's process by one that knows the departures.
func (m *machine) restartNode() {
	departures := m.tracker.Departures()
	m.tracker = Tracker{}
	m.tracker.Restore(m.now, departures)
	m.arrived = 0
}

// end ends the current target: it crashes, drains, or withdraws itself without draining. Its node may
// restart then, and its withdrawal come late. A target whose first report has not been confirmed yet
// crashes.
func (m *machine) end() {
	how := m.rng.IntN(3)
	if how == 0 || m.current.Seq == 1 {
		m.deliver(m.now.Add(500 * time.Millisecond))
		return
	}
	if how == 1 {
		m.send(false)
		m.deliver(m.now.Add(reportPeriod / 2))
	}
	if m.rng.IntN(2) == 0 {
		m.restartNode()
	}
	delay := time.Millisecond
	if how == 1 && m.rng.IntN(3) == 0 {
		delay = 3 * time.Second
	}
	m.queue = append(m.queue, arrival{
		at:       m.now.Add(delay),
		report:   m.current,
		withdraw: true,
	})
	m.deliver(m.now.Add(reportPeriod / 2))
	if m.rng.IntN(2) == 0 {
		m.restartNode()
	}
	m.deliver(m.now.Add(time.Duration(m.rng.IntN(4000)) * time.Millisecond))
}

// TestStartsAmongDisturbances guards against sequences of starts, clock steps, late reports and restarts
// of the node after which a target that works gets no work, or one that has left does.
func TestStartsAmongDisturbances(t *testing.T) {
	first, last := seeds.Range(t, "FUCHSIAPIER_MODEL", 0, 9999)
	for seed := first; seed <= last; seed++ {
		m := &machine{
			rng:     rand.New(rand.NewPCG(seed, seed)),
			now:     time.Unix(1_700_000_000, 0),
			leaving: map[Report]bool{},
		}
		if broken := m.run(); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}
