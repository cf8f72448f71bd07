package gate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Load balancing avoids a target that is slow after a cold start. Without requests
// its average would never improve, and the target would stay avoided for good.
func TestServiceTimeDecays(t *testing.T) {
	Convey("The average decays while the target gets no requests", t, func() {
		now := time.Now()
		var s serviceTime
		for range 30 {
			now = now.Add(10 * time.Millisecond)
			s.add(now, 900*time.Millisecond)
		}
		So(s.value(now), ShouldAlmostEqual, 900*time.Millisecond, time.Millisecond)
		So(s.value(now.Add(time.Second)), ShouldAlmostEqual, 900*time.Millisecond, time.Millisecond)
		So(s.value(now.Add(7*time.Second)), ShouldBeLessThan, 120*time.Millisecond)
	})
	Convey("The average of a target in use follows its requests", t, func() {
		now := time.Now()
		var s serviceTime
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			s.add(now, 50*time.Millisecond)
		}
		So(s.value(now), ShouldAlmostEqual, 50*time.Millisecond, time.Millisecond)
	})
}
