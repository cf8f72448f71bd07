package decay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

// TestSum guards the rates and demands that are estimated with a sum: the sum must
// decay with its window, must not change where the clock reading is older than the
// last one, and must settle at a steady rate.
func TestSum(t *testing.T) {
	const window = time.Second
	Convey("A sum decays to 1/e within its window and ignores an earlier time", t, func() {
		var s Sum
		now := timer.Instant(time.Hour)
		s.Add(now, window, 10)
		So(s.Value(now, window), ShouldEqual, 10)
		So(s.Value(now.Add(window), window), ShouldAlmostEqual, 3.679, 0.001)
		So(s.Value(now, window), ShouldAlmostEqual, 3.679, 0.001)
	})
	Convey("A steady rate of 50 per second is estimated to within 1", t, func() {
		var s Sum
		now := timer.Instant(time.Hour)
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			s.AddRate(now, window, 0.5)
		}
		So(s.Value(now, window), ShouldAlmostEqual, 50, 1)
	})
}
