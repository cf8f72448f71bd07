package gate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowTargetIsTriedAgain(t *testing.T) {
	Convey("Cold starts: a target that was slow and gets no requests since is told as quick again", t, func() {
		now := time.Now()
		var m mean
		for range 30 {
			now = now.Add(10 * time.Millisecond)
			m.add(now, 900*time.Millisecond)
		}
		So(m.value(now), ShouldAlmostEqual, 900*time.Millisecond, time.Millisecond)
		So(m.value(now.Add(time.Second)), ShouldAlmostEqual, 900*time.Millisecond, time.Millisecond)
		So(m.value(now.Add(7*time.Second)), ShouldBeLessThan, 120*time.Millisecond)
	})
	Convey("A target in use tells what it takes now", t, func() {
		now := time.Now()
		var m mean
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			m.add(now, 50*time.Millisecond)
		}
		So(m.value(now), ShouldAlmostEqual, 50*time.Millisecond, time.Millisecond)
	})
}

func TestFailuresAreForgotten(t *testing.T) {
	Convey("Lost answers: the share rises with failures, falls with answers, and fades without either", t, func() {
		now := time.Now()
		var f failures
		for range 20 {
			f.add(now, true, true)
		}
		So(f.share(now), ShouldBeGreaterThan, 0.8)
		f.add(now, true, false)
		So(f.share(now.Add(failHalfLife)), ShouldBeLessThan, 0.5)
		for range 20 {
			f.add(now, false, true)
		}
		So(f.share(now), ShouldBeLessThan, 0.2)
	})
}
