package watch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// outage makes the store reject all calls until the returned function is called, and waits until
// the node has noticed.
func outage(s *fakeStore, f *fakeFleet) (end func()) {
	s.withLock(func() { s.fail = ErrRefused })
	So(eventually(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.reachable) > 0 && !f.reachable[len(f.reachable)-1]
	}), ShouldBeTrue)
	return func() { s.withLock(func() { s.fail = nil }) }
}

// TestOffsetAfterRestore guards against a change that a reader never reads: the store was
// restored from a copy, and by the time that the reader polls again the log has grown to the
// reader's offset, so that the poll succeeds and returns later records only.
func TestOffsetAfterRestore(t *testing.T) {
	config3 := Record{Key: "config", Value: config("3")}
	config7 := Record{Key: "config", Value: config("7")}
	other := Record{Key: "other", Value: []byte("x")}
	Convey("Given a reader that has read two records", t, func() {
		s, f := newFakeStore(), &fakeFleet{readers: []string{"n1"}}
		s.write("op", "config", config("3"))
		w := start(t, s, f)
		So(waitForVersion(w, 3), ShouldBeTrue)
		s.write("op", "config", config("5"))
		So(waitForVersion(w, 5), ShouldBeTrue)
		end := outage(s, f)
		Convey("it reads a change below its offset in the restored log, which ends there", func() {
			s.restore("op", config3, config7)
			end()
			So(waitForVersion(w, 7), ShouldBeTrue)
			s.withLock(func() { So(s.firstWait[1], ShouldEqual, 0) })
		})
		Convey("it reads a change below its offset in a restored log that goes on", func() {
			s.restore("op", config7, other, other, other)
			end()
			So(waitForVersion(w, 7), ShouldBeTrue)
		})
		Convey("it keeps its version while the restored log has an older one, and reads the next change", func() {
			s.restore("op", config3)
			end()
			So(eventually(func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.reachable[len(f.reachable)-1]
			}), ShouldBeTrue)
			So(w.Current().Version(), ShouldEqual, 5)
			s.write("op", "config", config("7"))
			So(waitForVersion(w, 7), ShouldBeTrue)
		})
	})
	Convey("A node that was the reader before a restore, and is again after it, reads what it has missed", t, func() {
		s, f := newFakeStore(), &fakeFleet{readers: []string{"n1"}}
		s.write("op", "config", config("3"))
		w := start(t, s, f)
		So(waitForVersion(w, 3), ShouldBeTrue)
		s.write("op", "config", config("5"))
		So(waitForVersion(w, 5), ShouldBeTrue)
		f.setReaders("n0", "n1")
		So(eventually(func() bool { return s.idle() }), ShouldBeTrue)
		s.restore("op", config3, config7)
		f.setReaders("n1")
		So(waitForVersion(w, 7), ShouldBeTrue)
	})
}

// TestOwnRecordsAfterRestore guards against nodes that others can't find, and targets that are used
// again after they left: the store was restored from a copy without the records that this node
// has written.
func TestOwnRecordsAfterRestore(t *testing.T) {
	Convey("Records that a restore has lost are written again", t, func() {
		s, f := newFakeStore(), &fakeFleet{readers: []string{"n1"}}
		s.write("op", "config", config("3"))
		w := start(t, s, f)
		So(eventually(func() bool { return s.value("nodes", "n1") != nil }), ShouldBeTrue)
		w.Store(Record{
			Key:   "withdrawn/n1",
			Value: []byte("old"),
		})
		w.Store(Record{
			Key:   "withdrawn/n1",
			Value: []byte("new"),
		})
		So(eventually(func() bool { return string(s.value("nodes", "withdrawn/n1")) == "new" }), ShouldBeTrue)
		s.restore("op", Record{
			Key:   "config",
			Value: config("3"),
		})
		So(eventually(func() bool { return string(s.value("nodes", "n1")) == "record" }), ShouldBeTrue)
		So(eventually(func() bool { return string(s.value("nodes", "withdrawn/n1")) == "new" }), ShouldBeTrue)
	})
}

// TestImplausibleEpochs guards against changes that are missed, and against calls without end, at a
// store whose epoch goes back or is not named in all responses.
func TestImplausibleEpochs(t *testing.T) {
	Convey("Given a reader of a store of epoch 5", t, func() {
		s, f := newFakeStore(), &fakeFleet{readers: []string{"n1"}}
		s.epoch = 5
		s.write("op", "config", config("3"))
		w := start(t, s, f)
		So(waitForVersion(w, 3), ShouldBeTrue)
		var lists int
		s.withLock(func() { lists = s.lists })
		Convey("changes are applied after the epoch went back, and restores are noticed from there on", func() {
			s.withLock(func() { s.epoch = 2 })
			s.write("op", "config", config("4"))
			So(waitForVersion(w, 4), ShouldBeTrue)
			So(eventually(func() bool { return w.Epoch() == 2 }), ShouldBeTrue)
			s.restore("op", Record{
				Key:   "config",
				Value: config("7"),
			})
			So(waitForVersion(w, 7), ShouldBeTrue)
			So(w.Epoch(), ShouldEqual, 3)
		})
		Convey("changes are applied while no epoch is named, and the known one is kept", func() {
			s.withLock(func() { s.epoch = EpochUnknown })
			s.write("op", "config", config("4"))
			So(waitForVersion(w, 4), ShouldBeTrue)
			s.write("op", "config", config("5"))
			So(waitForVersion(w, 5), ShouldBeTrue)
			So(w.Epoch(), ShouldEqual, 5)
		})
		s.withLock(func() { So(s.lists-lists, ShouldBeLessThan, 10) })
	})
	Convey("A delayed response of an earlier epoch changes nothing", t, func() {
		s, f := newFakeStore(), &fakeFleet{readers: []string{"n1"}}
		s.epoch = 5
		w := start(t, s, f)
		So(eventually(func() bool { return w.Epoch() == 5 }), ShouldBeTrue)
		w.observeEpoch(4, 4, "poll")
		So(w.Epoch(), ShouldEqual, 5)
	})
}
