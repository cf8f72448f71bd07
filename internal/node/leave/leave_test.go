package leave

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// entered is when a phase began.
type entered struct {
	phase Phase
	at    time.Duration
}

// fakeNode has a load that follows from the time and the phases so far.
type fakeNode struct {
	began  time.Time
	phases []entered
	load   func(since time.Duration, p Phase) Load
}

func (n *fakeNode) Enter(p Phase) {
	n.phases = append(n.phases, entered{
		phase: p,
		at:    time.Since(n.began),
	})
}

func (n *fakeNode) Load() Load {
	return n.load(time.Since(n.began), n.phases[len(n.phases)-1].phase)
}

// shutDown runs a shutdown on virtual time and returns its phases and how long it took.
func shutDown(t *testing.T, grace time.Duration, load func(since time.Duration, p Phase) Load) (phases []entered, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		n := &fakeNode{
			began: time.Now(),
			load:  load,
		}
		Run(n, grace, zerolog.Nop())
		phases, took = n.phases, time.Since(n.began)
	})
	return phases, took
}

// TestPhases guards against a shutdown that leaves callers or nodes too little time, reads requests for
// too long, or ends before requests that are left have their final answer.
func TestPhases(t *testing.T) {
	Convey("A node without requests ends once callers and nodes have left", t, func() {
		phases, took := shutDown(t, 6*time.Second, func(time.Duration, Phase) Load { return Load{} })
		idle := callersLeaveTime + nodesLeaveTime
		So(phases, ShouldResemble, []entered{{CallersLeave, 0}, {NodesLeave, callersLeaveTime}, {LastReads, idle}, {Finish, idle}, {Refuse, idle}, {Close, idle}})
		So(took, ShouldEqual, idle)
	})
	Convey("Under callers that never pause each phase takes its full time, and the clean-up has some left", t, func() {
		busy := func(time.Duration, Phase) Load { return Load{Requests: 1} }
		phases, took := shutDown(t, 6*time.Second, busy)
		So(phases, ShouldResemble, []entered{{CallersLeave, 0}, {NodesLeave, 2100 * time.Millisecond}, {LastReads, 2400 * time.Millisecond},
			{Finish, 3 * time.Second}, {Refuse, 4 * time.Second}, {Close, 5 * time.Second}})
		So(took, ShouldEqual, 5300*time.Millisecond)
		phases, took = shutDown(t, 10*time.Second, busy)
		So(phases[3], ShouldResemble, entered{Finish, 3 * time.Second})
		So(phases[5], ShouldResemble, entered{Close, 9 * time.Second})
		So(took, ShouldBeLessThan, 10*time.Second)
	})
	Convey("Calls of other nodes are finished as well, and connections get time to close", t, func() {
		phases, took := shutDown(t, 6*time.Second, func(since time.Duration, p Phase) Load {
			switch {
			case since < 3500*time.Millisecond:
				return Load{Calls: 2, Connections: 1}
			case since < 3600*time.Millisecond:
				return Load{Connections: 1}
			}
			return Load{}
		})
		So(phases[3], ShouldResemble, entered{Finish, 3 * time.Second})
		So(phases[5].phase, ShouldEqual, Close)
		So(phases[5].at, ShouldBeBetweenOrEqual, 3500*time.Millisecond, 3500*time.Millisecond+checkPeriod)
		So(took, ShouldBeBetweenOrEqual, 3600*time.Millisecond, 3600*time.Millisecond+2*checkPeriod)
	})
}

// TestSchedule guards against phases that are out of order in a short grace period, and against requests
// that run and are cut before the last sixth of it, which callers count as lost.
func TestSchedule(t *testing.T) {
	Convey("For each grace period the phases follow each other and end within it", t, func() {
		for grace := 200 * time.Millisecond; grace <= 20*time.Second; grace += 200 * time.Millisecond {
			steps := Schedule(grace)
			before := time.Duration(0)
			for _, s := range steps {
				So(s.Until, ShouldBeGreaterThanOrEqualTo, before)
				before = s.Until
			}
			closed := steps[len(steps)-2].Until
			So(closed, ShouldBeGreaterThanOrEqualTo, grace*5/6-time.Microsecond)
			So(before, ShouldBeLessThan, grace)
			So(steps[2].Until, ShouldBeLessThanOrEqualTo, 3*time.Second)
		}
	})
}
