package crash

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

func TestDocket(t *testing.T) {
	Convey("Given a target that died while three requests ran", t, func() {
		d := NewDocket()
		bad, one, two := Of("w", "POST", "/x", []byte("bad")), Of("w", "POST", "/x", []byte("1")), Of("w", "POST", "/x", []byte("2"))
		So(d.Died(0, []Fingerprint{bad, one, two}), ShouldHaveLength, 3)
		Convey("all are suspect, none is convicted", func() {
			for _, f := range []Fingerprint{bad, one, two} {
				s, _ := d.Judge(0, f)
				So(s, ShouldEqual, Suspected)
			}
		})
		Convey("a clean run clears the innocent", func() {
			So(d.Cleared(0, one), ShouldBeTrue)
			s, _ := d.Judge(0, one)
			So(s, ShouldEqual, Clear)
		})
		Convey("a crash alone convicts the suspect, for a stated time", func() {
			news := d.Died(1, []Fingerprint{bad})
			So(news[0].Standing, ShouldEqual, Quarantined)
			s, left := d.Judge(1, bad)
			So(s, ShouldEqual, Quarantined)
			So(left, ShouldEqual, QuarantineTime)
			So(d.Cleared(1, bad), ShouldBeFalse)
			s, _ = d.Judge(timer.Instant(QuarantineTime)+1, bad)
			So(s, ShouldEqual, Clear)
		})
		Convey("news that come back late do not extend the standing", func() {
			news := d.Died(1, []Fingerprint{bad})
			late := timer.Instant(5 * time.Second)
			d.Learn(late, news[0])
			_, left := d.Judge(late, bad)
			So(left, ShouldBeLessThan, QuarantineTime)
		})
		Convey("a peer's suspicion does not undo a conviction, and nonsense is ignored", func() {
			d.Died(1, []Fingerprint{bad})
			d.Learn(2, Entry{Fingerprint: bad, Standing: Suspected, LeftMillis: 1000})
			d.Learn(2, Entry{Fingerprint: one, Standing: "guilty", LeftMillis: 1000})
			s, _ := d.Judge(2, bad)
			So(s, ShouldEqual, Quarantined)
			s, _ = d.Judge(2, one)
			So(s, ShouldEqual, Suspected)
		})
	})
	Convey("An innocent request that is alone when a target dies is only suspect at first", t, func() {
		d := NewDocket()
		f := Of("w", "GET", "/y", nil)
		d.Died(0, []Fingerprint{f})
		s, left := d.Judge(0, f)
		So(s, ShouldEqual, Suspected)
		So(left, ShouldBeLessThanOrEqualTo, 10*time.Minute)
	})
}

func TestDocketWithNotes(t *testing.T) {
	Convey("Given targets that also die of other causes", t, func() {
		d := NewDocket(WithNotes())
		bad, one := Of("w", "POST", "/x", []byte("bad")), Of("w", "POST", "/x", []byte("1"))
		stands := func(f Fingerprint) Standing {
			s, _ := d.Judge(10, f)
			return s
		}
		d.Died(1, []Fingerprint{bad, one})
		Convey("what ran once when one died is noted, and told once only", func() {
			So(stands(bad), ShouldEqual, Noted)
			So(d.Entries(2), ShouldBeEmpty)
		})
		Convey("a clean run clears it", func() {
			So(d.Cleared(2, one), ShouldBeTrue)
			So(stands(one), ShouldEqual, Clear)
		})
		Convey("a second death makes it suspect, a third alone convicts it", func() {
			d.Died(2, []Fingerprint{bad})
			So(stands(bad), ShouldEqual, Suspected)
			So(stands(one), ShouldEqual, Noted)
			d.Died(3, []Fingerprint{bad})
			So(stands(bad), ShouldEqual, Quarantined)
			So(d.Entries(4), ShouldHaveLength, 1)
		})
		Convey("a peer's note counts", func() {
			d.Learn(2, Entry{Fingerprint: 7, Standing: Noted, LeftMillis: 60_000})
			d.Died(3, []Fingerprint{7})
			So(stands(7), ShouldEqual, Suspected)
		})
	})
}
