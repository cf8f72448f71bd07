package watch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/conf/rules"
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

// startReader starts a reader and waits until it has read the versions 3 and 5.
func startReader(t *testing.T) (*fakeStore, *fakeFleet, *Watcher) {
	t.Helper()
	s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
	s.write("op", "config", config("3"))
	w := start(t, s, f)
	So(waitForVersion(w, 3), ShouldBeTrue)
	s.write("op", "config", config("5"))
	So(waitForVersion(w, 5), ShouldBeTrue)
	return s, f, w
}

// TestOffsetAfterRestore guards against a change that a reader never reads: the store was
// restored from a copy, and by the time that the reader polls again the log has grown to the
// reader's offset, so that the poll succeeds and returns later records only.
func TestOffsetAfterRestore(t *testing.T) {
	config3 := Record{Key: "config", Value: config("3")}
	config7 := Record{Key: "config", Value: config("7")}
	other := Record{Key: "other", Value: []byte("x")}
	Convey("Given a reader that has read two records", t, func() {
		s, f, w := startReader(t)
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
		s, f, w := startReader(t)
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
		s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
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
		s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
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
		s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
		s.epoch = 5
		w := start(t, s, f)
		So(eventually(func() bool { return w.Epoch() == 5 }), ShouldBeTrue)
		w.observeEpoch(4, 4, "poll")
		So(w.Epoch(), ShouldEqual, 5)
	})
}

// TestRestoreHeardFromAnotherNode guards against records that stay lost at nodes that don't read the
// store, and against writes without end where a node reports an epoch that the store does not have.
func TestRestoreHeardFromAnotherNode(t *testing.T) {
	Convey("Given a node that does not read the store", t, func() {
		s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n0", "n1"}}
		s.write("op", "config", config("3"))
		w := start(t, s, f)
		So(eventually(func() bool { return s.value("nodes", "n1") != nil && w.Epoch() == 0 }), ShouldBeTrue)
		Convey("it writes its records again when another node reports a restore", func() {
			s.restore("op")
			w.HearEpoch(1, "n0")
			So(eventually(func() bool { return s.value("nodes", "n1") != nil && w.Epoch() == 1 }), ShouldBeTrue)
		})
		Convey("a report that the store does not confirm makes it write once", func() {
			w.HearEpoch(7, "n0")
			So(eventually(func() bool { return w.Rewritten() == 1 }), ShouldBeTrue)
			w.HearEpoch(7, "n0")
			w.HearEpoch(6, "n0")
			So(w.Epoch(), ShouldEqual, 0)
			So(eventually(func() bool { return !w.rewriteDue.Load() }), ShouldBeTrue)
			So(len(w.restored), ShouldEqual, 0)
			So(w.Rewritten(), ShouldEqual, 1)
		})
	})
}

// TestManyNodesAfterRestore guards against hundreds of nodes that write their records at the same
// moment after a restore, so that the store rejects the operator's writes among them.
func TestManyNodesAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			nodes = 200
			// inWindow is how many writes the store can take in window.
			window   = 100 * time.Millisecond
			inWindow = 50
		)
		s := newFakeStore()
		var watchers []*Watcher
		var stops []func()
		for i := range nodes {
			f := &fakeFleet{
				readers: []string{"n0"},
				size:    nodes,
				heard:   AllHeard,
			}
			w, stop := New(fmt.Sprintf("n%d", i), []byte("record"), s, f, topics, parse)
			watchers, stops = append(watchers, w), append(stops, stop)
		}
		time.Sleep(time.Second)
		s.restore("op")
		s.withLock(func() { s.puts = nil })
		for _, w := range watchers {
			w.HearEpoch(1, "n0")
		}
		time.Sleep(10 * time.Second)
		for _, stop := range stops {
			stop()
		}
		// Goroutines of the bubble end only while its clock runs.
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.puts) != nodes {
			t.Fatalf("%d writes of %d nodes", len(s.puts), nodes)
		}
		for i, from := range s.puts {
			in := 0
			for _, at := range s.puts[i:] {
				if at.Sub(from) <= window {
					in++
				}
			}
			if in > inWindow {
				t.Fatalf("%d writes within %v, the store takes %d", in, window, inWindow)
			}
		}
	})
}

// TestStartWithOlderConfiguration guards against a node that serves with an older configuration than the
// others have, because it starts while the store holds that one.
func TestStartWithOlderConfiguration(t *testing.T) {
	Convey("Given a store with an older configuration than the other nodes", t, func() {
		s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
		s.write("op", "config", config("3"))
		applied := make(chan int64, 10)
		run := func() *Watcher {
			w, stop := New("n1", []byte("record"), s, f, topics, parse, WithOnApply(func(r *rules.Rules) { applied <- r.Version() }))
			t.Cleanup(stop)
			return w
		}
		Convey("a starting node applies only the one of the others", func() {
			f.inForce = 5
			w := run()
			So(eventually(func() bool { return w.Epoch() == 0 }), ShouldBeTrue)
			So(w.Offer(config("5"), FromPeer, "n2"), ShouldBeTrue)
			So(eventually(func() bool { return !w.needsNewest() }), ShouldBeTrue)
			So(<-applied, ShouldEqual, 5)
			So(len(applied), ShouldEqual, 0)
		})
		Convey("it applies the stored one if the others don't send theirs, or none is heard", func() {
			f.inForce = 5
			run()
			So(<-applied, ShouldEqual, 3)
			for _, heard := range []Heard{SomeSilent, NoneKnown} {
				f.inForce, f.heard = 0, heard
				run()
				So(<-applied, ShouldEqual, 3)
			}
		})
	})
	Convey("Nodes that start together don't wait for each other's configuration once all were heard", t, func() {
		synctest.Test(t, func(t *testing.T) {
			s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
			s.write("op", "config", config("3"))
			from := time.Now()
			applied := make(chan time.Time, 1)
			_, stop := New("n1", []byte("record"), s, f, topics, parse, WithOnApply(func(*rules.Rules) { applied <- time.Now() }))
			if at := <-applied; at != from {
				t.Errorf("applied after %v", at.Sub(from))
			}
			stop()
			time.Sleep(10 * time.Second)
		})
	})
}

// TestClockSetBackBeforeStart guards against a node that can't write its records after a restart, because
// its earlier process has written in sessions that are ahead of the clock now.
func TestClockSetBackBeforeStart(t *testing.T) {
	Convey("A node whose clock was set back registers all the same", t, func() {
		s, f := newFakeStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
		s.session = time.Now().Add(time.Hour).UnixMilli()
		order := newOrder("n1", time.Now())
		starts := 0
		for ; order.Session < s.session; starts++ {
			order.startSession(time.Now())
		}
		So(starts, ShouldBeLessThan, 13)
		s.session = time.Now().UnixMilli() + 2*minSessionStep
		start(t, s, f)
		So(eventually(func() bool { return s.value("nodes", "n1") != nil }), ShouldBeTrue)
	})
}
