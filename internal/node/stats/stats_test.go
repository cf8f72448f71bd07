package stats

import (
	"bytes"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a node under load that writes a log line for every request, and
// against lines that are dropped without being counted.
func TestSamplerLimitsLogLines(t *testing.T) {
	Convey("Under load the lines about requests are limited, and dropped lines are counted", t, func() {
		s := New()
		var out bytes.Buffer
		log := zerolog.New(&out).Sample(s.Sampler())
		const lines = 5 * maxLinesPerSecond
		start := time.Now()
		for range lines {
			log.Info().Msg("x")
		}
		seconds := int(time.Since(start)/time.Second) + 2
		written := bytes.Count(out.Bytes(), []byte("\n"))
		So(written, ShouldBeLessThanOrEqualTo, seconds*maxLinesPerSecond)
		So(testutil.ToFloat64(s.dropped), ShouldEqual, lines-written)
	})
}

// Guards against responses that are lost from, or mixed up in, the counter that
// operators read.
func TestResponsesAreCounted(t *testing.T) {
	Convey("Responses are counted by route, status and reason", t, func() {
		s := New()
		s.RecordResponse("r", 503, "busy", time.Millisecond)
		s.RecordResponse("r", 503, "busy", time.Millisecond)
		So(testutil.ToFloat64(s.responses.WithLabelValues("r", "503", "busy")), ShouldEqual, 2)
	})
}
