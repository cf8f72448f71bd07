package decay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestShare guards the share of requests that a target fails: it must rise with
// lost responses, fall with successes, and decay while there are no samples, so
// that old failures don't count against a target forever.
func TestShare(t *testing.T) {
	Convey("Failures raise the share; successes and time without samples lower it", t, func() {
		now := time.Now()
		s := Share{
			Weight:   0.1,
			HalfLife: 3 * time.Second,
		}
		for range 20 {
			s.Add(now, true)
		}
		So(s.Value(now), ShouldBeGreaterThan, 0.8)
		So(s.Value(now.Add(3*time.Second)), ShouldBeLessThan, 0.5)
		for range 20 {
			s.Add(now, false)
		}
		So(s.Value(now), ShouldBeLessThan, 0.2)
	})
}
