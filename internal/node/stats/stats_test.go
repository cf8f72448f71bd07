package stats

import (
	"bytes"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLogIsBounded(t *testing.T) {
	Convey("Under load the lines about requests are bounded, and what is left out is counted", t, func() {
		s := New()
		var out bytes.Buffer
		log := zerolog.New(&out).Sample(s.Sampler())
		const lines = 5 * maxLines
		began := time.Now()
		for range lines {
			log.Info().Msg("x")
		}
		seconds := int(time.Since(began)/time.Second) + 2
		written := bytes.Count(out.Bytes(), []byte("\n"))
		So(written, ShouldBeLessThanOrEqualTo, seconds*maxLines)
		So(testutil.ToFloat64(s.dropped), ShouldEqual, lines-written)
	})
}

func TestCounters(t *testing.T) {
	Convey("Answers are counted by route, status and reason", t, func() {
		s := New()
		s.Answered("r", 503, "busy", time.Millisecond)
		s.Answered("r", 503, "busy", time.Millisecond)
		So(testutil.ToFloat64(s.answers.WithLabelValues("r", "503", "busy")), ShouldEqual, 2)
	})
}
