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
