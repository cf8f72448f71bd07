package crash

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

// TestDocket guards against quarantining a request that only ran beside one that crashed
// a target, against a crashing request that is never quarantined, and against entries
// from peers that wrongly extend or replace a standing.
func TestDocket(t *testing.T) {
	Convey("Given a target that crashed while three requests ran", t, func() {
		d := NewDocket()
		bad, one, two := Of("w", "POST", "/x", []byte("bad")), Of("w", "POST", "/x", []byte("1")), Of("w", "POST", "/x", []byte("2"))
		So(d.Died(0, []Fingerprint{bad, one, two}), ShouldHaveLength, 3)
		Convey("all are suspected, none is quarantined", func() {
			for _, f := range []Fingerprint{bad, one, two} {
				s, _ := d.Judge(0, f)
				So(s, ShouldEqual, Suspected)
			}
		})
		Convey("a run without a crash clears a request", func() {
			So(d.Cleared(0, one), ShouldBeTrue)
			s, _ := d.Judge(0, one)
			So(s, ShouldEqual, Clear)
		})
		Convey("a crash during an exclusive run quarantines the suspect, for a limited time", func() {
			changed := d.Died(1, []Fingerprint{bad})
			So(changed[0].Standing, ShouldEqual, Quarantined)
			s, left := d.Judge(1, bad)
			So(s, ShouldEqual, Quarantined)
			So(left, ShouldEqual, QuarantineTime)
			So(d.Cleared(1, bad), ShouldBeFalse)
			s, _ = d.Judge(timer.Instant(QuarantineTime)+1, bad)
			So(s, ShouldEqual, Clear)
		})
		Convey("an entry that returns late does not extend the standing", func() {
			changed := d.Died(1, []Fingerprint{bad})
			late := timer.Instant(5 * time.Second)
			d.Learn(late, changed[0])
			_, left := d.Judge(late, bad)
			So(left, ShouldBeLessThan, QuarantineTime)
		})
		Convey("a peer's suspicion does not replace a quarantine, and an unknown standing is ignored", func() {
			d.Died(1, []Fingerprint{bad})
			d.Learn(2, Entry{Fingerprint: bad, Standing: Suspected, LeftMillis: 1000})
			d.Learn(2, Entry{Fingerprint: one, Standing: "guilty", LeftMillis: 1000})
			s, _ := d.Judge(2, bad)
			So(s, ShouldEqual, Quarantined)
			s, _ = d.Judge(2, one)
			So(s, ShouldEqual, Suspected)
		})
	})
	Convey("A request that runs alone when a target crashes for the first time is only suspected", t, func() {
		d := NewDocket()
		f := Of("w", "GET", "/y", nil)
		d.Died(0, []Fingerprint{f})
		s, left := d.Judge(0, f)
		So(s, ShouldEqual, Suspected)
		So(left, ShouldBeLessThanOrEqualTo, 10*time.Minute)
	})
}

// TestDocketWithNotes guards against suspecting requests after a single crash where
// targets also crash for other causes.
func TestDocketWithNotes(t *testing.T) {
	Convey("Given targets that also crash for other causes", t, func() {
		d := NewDocket(WithNotes())
		bad, one := Of("w", "POST", "/x", []byte("bad")), Of("w", "POST", "/x", []byte("1"))
		standingOf := func(f Fingerprint) Standing {
			s, _ := d.Judge(10, f)
			return s
		}
		d.Died(1, []Fingerprint{bad, one})
		Convey("a request that ran during one crash is noted and not listed in Entries", func() {
			So(standingOf(bad), ShouldEqual, Noted)
			So(d.Entries(2), ShouldBeEmpty)
		})
		Convey("a run without a crash clears it", func() {
			So(d.Cleared(2, one), ShouldBeTrue)
			So(standingOf(one), ShouldEqual, Clear)
		})
		Convey("a second crash makes it suspect, a third during an exclusive run quarantines it", func() {
			d.Died(2, []Fingerprint{bad})
			So(standingOf(bad), ShouldEqual, Suspected)
			So(standingOf(one), ShouldEqual, Noted)
			d.Died(3, []Fingerprint{bad})
			So(standingOf(bad), ShouldEqual, Quarantined)
			So(d.Entries(4), ShouldHaveLength, 1)
		})
		Convey("a noted entry from a peer counts as the first crash", func() {
			d.Learn(2, Entry{Fingerprint: 7, Standing: Noted, LeftMillis: 60_000})
			d.Died(3, []Fingerprint{7})
			So(standingOf(7), ShouldEqual, Suspected)
		})
	})
}
