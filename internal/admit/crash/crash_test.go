package crash

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/timer"
)

// TestTracker guards against quarantining a request that only ran beside one that
// crashed a target, against a poison request that is never quarantined, and against
// evidence from peers that wrongly extends or replaces a standing.
func TestTracker(t *testing.T) {
	Convey("Given a target that crashed while three requests ran", t, func() {
		tracker := NewTracker()
		bad, one, two := FingerprintOf("w", "POST", "/x", []byte("bad")), FingerprintOf("w", "POST", "/x", []byte("1")), FingerprintOf("w", "POST", "/x", []byte("2"))
		So(tracker.RecordCrash(1, 1, []Fingerprint{bad, one, two}).Running, ShouldHaveLength, 3)
		Convey("all are suspected, none is quarantined", func() {
			for _, f := range []Fingerprint{bad, one, two} {
				s, _ := tracker.Lookup(1, f)
				So(s, ShouldEqual, Suspected)
			}
		})
		Convey("a run without a crash clears a request", func() {
			So(tracker.RecordSuccess(1, one), ShouldBeTrue)
			s, _ := tracker.Lookup(1, one)
			So(s, ShouldEqual, Clear)
		})
		Convey("a crash during an exclusive run quarantines the suspect, for a limited time", func() {
			tracker.RecordCrash(1, 2, []Fingerprint{bad})
			s, left := tracker.Lookup(1, bad)
			So(s, ShouldEqual, Quarantined)
			So(left, ShouldEqual, QuarantineTime)
			So(tracker.RecordSuccess(1, bad), ShouldBeFalse)
			s, _ = tracker.Lookup(timer.Instant(QuarantineTime)+1, bad)
			So(s, ShouldEqual, Clear)
		})
		Convey("evidence that peers send back late does not extend the standing", func() {
			c := tracker.RecordCrash(1, 2, []Fingerprint{bad})
			late := timer.Instant(5 * time.Second)
			tracker.Learn(late, c)
			_, left := tracker.Lookup(late, bad)
			So(left, ShouldBeLessThan, QuarantineTime)
		})
		Convey("evidence that has nearly expired does not come back", func() {
			late := timer.Instant(QuarantineTime) + 2
			So(tracker.Entries(late), ShouldBeEmpty)
			So(tracker.Learn(late, Crash{ID: 1, AgeMillis: exchangeTime.Milliseconds(), Ran: 3, Running: []Fingerprint{bad}}), ShouldBeFalse)
			So(tracker.Empty(), ShouldBeTrue)
		})
		Convey("a peer's evidence does not replace a quarantine, and evidence about nothing is ignored", func() {
			c := tracker.RecordCrash(1, 2, []Fingerprint{bad})
			c.AgeMillis, c.Ran = 1000, 1
			tracker.Learn(2, c)
			So(tracker.Learn(2, Crash{ID: 9, Ran: 1}), ShouldBeFalse)
			s, _ := tracker.Lookup(2, bad)
			So(s, ShouldEqual, Quarantined)
			s, _ = tracker.Lookup(2, one)
			So(s, ShouldEqual, Suspected)
		})
	})
	Convey("A request is only suspected after its first crash, even if no other request ran on the target", t, func() {
		tracker := NewTracker()
		f := FingerprintOf("w", "GET", "/y", nil)
		tracker.RecordCrash(0, 1, []Fingerprint{f})
		s, left := tracker.Lookup(0, f)
		So(s, ShouldEqual, Suspected)
		So(left, ShouldBeLessThanOrEqualTo, 10*time.Minute)
	})
	Convey("Reports of one crash in pieces count once, and a request isn't alone in a piece", t, func() {
		tracker := NewTracker()
		f := FingerprintOf("w", "GET", "/y", nil)
		tracker.RecordCrash(0, 1, []Fingerprint{f})
		tracker.RecordCrash(0, 1, []Fingerprint{f, 5})
		tracker.RecordCrash(0, 2, []Fingerprint{f, 6})
		s, _ := tracker.Lookup(0, f)
		So(s, ShouldEqual, Suspected)
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
		tracker.RecordCrash(1, 1, []Fingerprint{bad, one})
		Convey("a request that ran during one crash is noted and not listed in Entries", func() {
			So(standingOf(bad), ShouldEqual, Noted)
			So(tracker.Entries(2), ShouldBeEmpty)
		})
		Convey("a run without a crash clears it", func() {
			So(tracker.RecordSuccess(2, one), ShouldBeTrue)
			So(standingOf(one), ShouldEqual, Clear)
		})
		Convey("a second crash makes it suspect, a third during an exclusive run quarantines it", func() {
			tracker.RecordCrash(2, 2, []Fingerprint{bad})
			So(standingOf(bad), ShouldEqual, Suspected)
			So(standingOf(one), ShouldEqual, Noted)
			tracker.RecordCrash(3, 3, []Fingerprint{bad})
			So(standingOf(bad), ShouldEqual, Quarantined)
			So(tracker.Entries(4), ShouldHaveLength, 1)
		})
		Convey("crashes that peers tell of count, each once", func() {
			told := Crash{ID: 7, Ran: 2, Running: []Fingerprint{7}}
			tracker.Learn(2, told)
			tracker.Learn(3, told)
			So(standingOf(7), ShouldEqual, Noted)
			tracker.RecordCrash(3, 8, []Fingerprint{7})
			So(standingOf(7), ShouldEqual, Suspected)
		})
		Convey("a request that only ran beside others in many crashes is not quarantined", func() {
			for id := range ID(20) {
				tracker.RecordCrash(2, 10+id, []Fingerprint{one, Fingerprint(100 + id)})
			}
			So(standingOf(one), ShouldEqual, Suspected)
		})
	})
}

// TestEvidenceConverges guards against nodes that judge a request differently although they have heard of the
// same crashes: in another order, repeatedly, in pieces or by way of others.
func TestEvidenceConverges(t *testing.T) {
	Convey("Trackers that exchange what their checksums show them to lack have equal standings", t, func() {
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			trackers := make([]*Tracker, 4)
			for i := range trackers {
				trackers[i] = NewTracker(WithTwoCrashes())
			}
			now := timer.Instant(time.Hour)
			for range 30 {
				now += timer.Instant(time.Second)
				at := trackers[rng.IntN(len(trackers))]
				if rng.IntN(4) == 0 {
					at.RecordSuccess(now, Fingerprint(rng.IntN(5)))
					continue
				}
				running := make([]Fingerprint, 1+rng.IntN(3))
				for i := range running {
					running[i] = Fingerprint(rng.IntN(5))
				}
				c := at.RecordCrash(now, ID(rng.Uint64()), running)
				// A piece of it reaches one of the others.
				trackers[rng.IntN(len(trackers))].Learn(now, c.Split(1)[0])
			}
			for range 2 {
				for _, a := range trackers {
					for _, b := range trackers {
						parts, _ := a.Sums(now)
						missing := b.Differing(now, parts)
						rng.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
						for _, c := range missing {
							a.Learn(now, c)
						}
					}
				}
			}
			_, first := trackers[0].Sums(now)
			So(first, ShouldNotEqual, 0)
			for _, tr := range trackers[1:] {
				_, sum := tr.Sums(now)
				So(sum, ShouldEqual, first)
				for f := range Fingerprint(5) {
					// A clearing that makes no difference yet needs no message.
					mine, _ := tr.Lookup(now, f)
					theirs, _ := trackers[0].Lookup(now, f)
					if mine == Noted || mine == Clear {
						So(theirs, ShouldBeIn, Noted, Clear)
						continue
					}
					So(mine, ShouldEqual, theirs)
				}
			}
		}
	})
}

// TestFingerprintKeepsPartsApart guards against requests of two workspaces with one fingerprint, since a part of one
// continues in the next.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	Convey("Moving bytes from one part to the next changes the fingerprint", t, func() {
		prints := map[Fingerprint]bool{}
		for _, f := range []Fingerprint{
			FingerprintOf("ab", "c", "d", []byte("e")),
			FingerprintOf("a", "bc", "d", []byte("e")),
			FingerprintOf("ab", "c", "de", nil),
			FingerprintOf("ab", "cd", "", []byte("e")),
			FingerprintOf("ab\x00c", "", "d", []byte("e")),
		} {
			prints[f] = true
		}
		So(prints, ShouldHaveLength, 5)
	})
}
