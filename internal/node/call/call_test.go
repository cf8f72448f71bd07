package call

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	sent "fuchsiapier/internal/pipe/body"
	"fuchsiapier/internal/pipe/msg"
)

// TestHeaderFields guards against fields that one node writes and another reads
// differently, and against malformed values that are taken for a call or a delay.
func TestHeaderFields(t *testing.T) {
	Convey("FieldCall decodes to the call that was encoded", t, func() {
		now := time.Now()
		c := &Call{
			Service:    "quota",
			Priority:   2,
			Nested:     true,
			Idempotent: true,
			MaxWait:    120 * time.Millisecond,
			Deadline:   now.Add(800 * time.Millisecond),
			Due:        now.Add(-20 * time.Millisecond),
		}
		got, err := DecodeField(c.EncodeField(now), now)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, c)
		c.TargetRateLimit = 22.9
		got, err = DecodeField(c.EncodeField(now), now)
		So(err, ShouldBeNil)
		So(got, ShouldResemble, c)
	})
	Convey("A malformed FieldCall is an error", t, func() {
		for _, text := range []string{"", "quota", ",0,,1,1,1", "quota,x,,1,1,1", "quota,0,,1,1", "quota,0,,1,99999999999999,1", "quota,0,,1,1,1,2,3"} {
			_, err := DecodeField(text, time.Now())
			So(err, ShouldNotBeNil)
		}
	})
	Convey("FieldLoad and FieldRefused decode to what was encoded, and a malformed delay counts as 0", t, func() {
		load := Result{
			LoadKnown: true,
			Wait:      40 * time.Millisecond,
			Queued:    7 * time.Millisecond,
		}
		So(DecodeLoad(EncodeLoad(load)), ShouldResemble, load)
		load.RateLimit = 0.5
		So(DecodeLoad(EncodeLoad(load)), ShouldResemble, load)
		So(DecodeLoad("40,x,NaN").Queued, ShouldEqual, 0)
		So(DecodeLoad("40,x,NaN").RateLimit, ShouldEqual, 0)
		So(EncodeLoad(Result{}), ShouldBeEmpty)
		reason, after := DecodeRefused(EncodeRefused(Result{Reason: Busy, RetryAfter: 300 * time.Millisecond}))
		So(reason, ShouldEqual, Busy)
		So(after, ShouldEqual, 300*time.Millisecond)
		_, after = DecodeRefused("busy,soon")
		So(after, ShouldEqual, 0)
	})
}

// TestFingerprintWhereverARequestComesIn guards against a request that counts as another one, with crashes of its own, where
// it comes in beside another service, under another attempt or with more or less time left.
func TestFingerprintWhereverARequestComesIn(t *testing.T) {
	newCall := func(workspace, uri, body string) *Call {
		return &Call{
			Attempt:   "a" + workspace + uri,
			Workspace: workspace,
			Extra:     []byte("Caller: " + uri + "\r\n"),
			Deadline:  time.Now().Add(time.Duration(len(body)) * time.Second),
			Request: &msg.Request{
				Method: "POST",
				Host:   "ledger.example",
				URI:    uri,
				Body:   sent.Of([]byte(body)),
			},
		}
	}
	Convey("The fingerprint follows from workspace, method, host, URI and body alone", t, func() {
		first := newCall("acme", "/landings/1", "bad")
		second := newCall("acme", "/landings/1", "bad")
		second.Attempt, second.Extra, second.Deadline, second.Nested = "other", []byte("Caller: quota\r\n"), time.Now(), true
		So(second.Fingerprint(), ShouldEqual, first.Fingerprint())
		for _, other := range []*Call{newCall("other", "/landings/1", "bad"), newCall("acme", "/landings/2", "bad"), newCall("acme", "/landings/1", "good")} {
			So(other.Fingerprint(), ShouldNotEqual, first.Fingerprint())
		}
	})
}
