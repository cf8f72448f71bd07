package decay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShare(t *testing.T) {
	Convey("Lost answers: the share rises with failures, falls with answers, and fades without either", t, func() {
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
