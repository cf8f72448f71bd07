package crash

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

// TestTracker guards against quarantining a request that only ran beside one that
// crashed a target, against a poison request that is never quarantined, and against
// entries from peers that wrongly extend or replace a standing.
func TestTracker(t *testing.T) {
	Convey("Given a target that crashed while three requests ran", t, func() {
		tracker := NewTracker()
		bad, one, two := FingerprintOf("w", "POST", "/x", []byte("bad")), FingerprintOf("w", "POST", "/x", []byte("1")), FingerprintOf("w", "POST", "/x", []byte("2"))
		So(tracker.RecordCrash(0, []Fingerprint{bad, one, two}), ShouldHaveLength, 3)
		Convey("all are suspected, none is quarantined", func() {
			for _, f := range []Fingerprint{bad, one, two} {
				s, _ := tracker.Lookup(0, f)
				So(s, ShouldEqual, Suspected)
			}
		})
		Convey("a run without a crash clears a request", func() {
			So(tracker.RecordSuccess(0, one), ShouldBeTrue)
			s, _ := tracker.Lookup(0, one)
			So(s, ShouldEqual, Clear)
		})
		Convey("a crash during an exclusive run quarantines the suspect, for a limited time", func() {
			changed := tracker.RecordCrash(1, []Fingerprint{bad})
			So(changed[0].Standing, ShouldEqual, Quarantined)
			s, left := tracker.Lookup(1, bad)
			So(s, ShouldEqual, Quarantined)
			So(left, ShouldEqual, QuarantineTime)
			So(tracker.RecordSuccess(1, bad), ShouldBeFalse)
			s, _ = tracker.Lookup(timer.Instant(QuarantineTime)+1, bad)
			So(s, ShouldEqual, Clear)
		})
		Convey("an entry that peers send back late does not extend the standing", func() {
			changed := tracker.RecordCrash(1, []Fingerprint{bad})
			late := timer.Instant(5 * time.Second)
			tracker.Learn(late, changed[0])
			_, left := tracker.Lookup(late, bad)
			So(left, ShouldBeLessThan, QuarantineTime)
		})
		Convey("a peer's suspicion does not replace a quarantine, and an unknown standing is ignored", func() {
			tracker.RecordCrash(1, []Fingerprint{bad})
			tracker.Learn(2, Entry{Fingerprint: bad, Standing: Suspected, LeftMillis: 1000})
			tracker.Learn(2, Entry{Fingerprint: one, Standing: "guilty", LeftMillis: 1000})
			s, _ := tracker.Lookup(2, bad)
			So(s, ShouldEqual, Quarantined)
			s, _ = tracker.Lookup(2, one)
			So(s, ShouldEqual, Suspected)
		})
	})
	Convey("A request is only suspected after its first crash, even if no other request ran on the target", t, func() {
		tracker := NewTracker()
		f := FingerprintOf("w", "GET", "/y", nil)
		tracker.RecordCrash(0, []Fingerprint{f})
		s, left := tracker.Lookup(0, f)
		So(s, ShouldEqual, Suspected)
		So(left, ShouldBeLessThanOrEqualTo, 10*time.Minute)
	})
}

// TestTrackerWithTwoCrashes guards against suspecting requests after a single crash
// where targets also crash for other causes.
func TestTrackerWithTwoCrashes(t *testing.T) {
	Convey("Given targets that also crash for other causes", t, func() {
		tracker := NewTracker(WithTwoCrashes())
		bad, one := FingerprintOf("w", "POST", "/x", []byte("bad")), FingerprintOf("w", "POST", "/x", []byte("1"))
		standingOf := func(f Fingerprint) Standing {
			s, _ := tracker.Lookup(10, f)
			return s
		}
		tracker.RecordCrash(1, []Fingerprint{bad, one})
		Convey("a request that ran during one crash is noted and not listed in Entries", func() {
			So(standingOf(bad), ShouldEqual, Noted)
			So(tracker.Entries(2), ShouldBeEmpty)
		})
		Convey("a run without a crash clears it", func() {
			So(tracker.RecordSuccess(2, one), ShouldBeTrue)
			So(standingOf(one), ShouldEqual, Clear)
		})
		Convey("a second crash makes it suspect, a third during an exclusive run quarantines it", func() {
			tracker.RecordCrash(2, []Fingerprint{bad})
			So(standingOf(bad), ShouldEqual, Suspected)
			So(standingOf(one), ShouldEqual, Noted)
			tracker.RecordCrash(3, []Fingerprint{bad})
			So(standingOf(bad), ShouldEqual, Quarantined)
			So(tracker.Entries(4), ShouldHaveLength, 1)
		})
		Convey("a noted entry from a peer counts as the first crash", func() {
			tracker.Learn(2, Entry{Fingerprint: 7, Standing: Noted, LeftMillis: 60_000})
			tracker.RecordCrash(3, []Fingerprint{7})
			So(standingOf(7), ShouldEqual, Suspected)
		})
	})
}
