package watch

import (
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// deafStore is a store that can lose calls: they get no response until their connections are
// closed or they time out.
type deafStore struct {
	*fakeStore
	deaf struct {
		sync.Mutex
		// lost says that polls which wait get no response.
		lost bool
		// closed is closed with the connections.
		closed chan struct{}
		// putLost says that the next write gets no response.
		putLost bool
		// waits are the waits that the polls have asked for.
		waits []time.Duration
	}
}

func newDeafStore() *deafStore {
	s := &deafStore{
		fakeStore: newFakeStore(),
	}
	s.deaf.closed = make(chan struct{})
	return s
}

func (s *deafStore) Read(topic string, position Position, wait, timeout time.Duration) ([]Record, Position, error) {
	s.deaf.Lock()
	lost, closed := s.deaf.lost && wait > 0, s.deaf.closed
	s.deaf.waits = append(s.deaf.waits, wait)
	s.deaf.Unlock()
	if !lost {
		return s.fakeStore.Read(topic, position, wait, timeout)
	}
	select {
	case <-closed:
	case <-time.After(timeout):
	}
	return nil, position, ErrUnknown
}

func (s *deafStore) Put(topic string, r Record, order Order) (int64, error) {
	s.deaf.Lock()
	lost, closed := s.deaf.putLost, s.deaf.closed
	s.deaf.putLost = false
	s.deaf.Unlock()
	if lost {
		<-closed
		return EpochUnknown, ErrUnknown
	}
	return s.fakeStore.Put(topic, r, order)
}

func (s *deafStore) Reconnect() {
	s.deaf.Lock()
	defer s.deaf.Unlock()
	close(s.deaf.closed)
	s.deaf.closed = make(chan struct{})
}

// waits returns the waits that the polls have asked for so far.
func (s *deafStore) waits() []time.Duration {
	s.deaf.Lock()
	defer s.deaf.Unlock()
	return slices.Clone(s.deaf.waits)
}

// losePolls makes the store lose the polls that wait.
func (s *deafStore) losePolls() {
	s.deaf.Lock()
	defer s.deaf.Unlock()
	s.deaf.lost = true
}

// startTicking starts a node with version 3 in force that is the reader of its failure domain or not,
// and whose Tick is called as node/agent does. stop ends both.
func startTicking(s *deafStore, f *fakeFleet) (w *Watcher, stop func()) {
	s.write("op", "config", config("3"))
	w, stopWatcher := New("n1", []byte("record"), s, f, topics, parse)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				w.Tick(f.now())
			}
		}
	}()
	time.Sleep(time.Second)
	return w, func() {
		close(done)
		stopWatcher()
		time.Sleep(time.Minute)
	}
}

// TestReadersTakeTurns guards against readers of all failure domains that poll at the same moment,
// so that one short disturbance of the store loses all polls.
func TestReadersTakeTurns(t *testing.T) {
	Convey("After a change the polls of the domains end one after the other, then once a period each", t, func() {
		for _, domains := range []int{1, 2, 6, 9, 22} {
			period := min(time.Duration(domains)*checkInterval, maxPollWait)
			for place := range domains {
				f := &fakeFleet{}
				f.setDomains(place, domains)
				w := &Watcher{fleet: f}
				So(w.nextWait(), ShouldEqual, 0)
				w.upToDate = true
				So(w.nextWait(), ShouldEqual, period*time.Duration(place+1)/time.Duration(domains))
				w.staggered = true
				So(w.nextWait(), ShouldEqual, period)
			}
		}
	})
	Convey("The poll that ends early for its turn is followed by one of a whole period", t, func() {
		var waits []time.Duration
		synctest.Test(t, func(*testing.T) {
			s, f := newDeafStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
			f.setDomains(1, 4)
			_, stop := startTicking(s, f)
			waits = s.waits()
			stop()
		})
		So(waits[:3], ShouldResemble, []time.Duration{checkInterval * 2, checkInterval * 4, checkInterval * 4})
	})
}

// TestLostPollEnds guards against a poll without a response that a node waits for although it has
// reason to doubt it.
func TestLostPollEnds(t *testing.T) {
	// versionAfter returns the version in force, a time after a change that a poll has lost, of the
	// only reader of a failure domain out of some; change is called with the node at the change.
	versionAfter := func(d time.Duration, domains int, change func(*Watcher, *fakeFleet)) (version int64, reachable []bool) {
		synctest.Test(t, func(*testing.T) {
			s, f := newDeafStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
			f.setDomains(domains-1, domains)
			w, stop := startTicking(s, f)
			s.losePolls()
			time.Sleep(maxPollWait / 4)
			s.write("op", "config", config("5"))
			change(w, f)
			time.Sleep(d)
			version, reachable = w.Current().Version(), f.reachableSoFar()
			stop()
		})
		return version, reachable
	}
	Convey("A reader ends a poll that has not brought a configuration which other nodes have", t, func() {
		version, reachable := versionAfter(2*pollDoubt, 12, func(w *Watcher, _ *fakeFleet) { w.Hear(5, "n2") })
		So(version, ShouldEqual, 5)
		So(reachable, ShouldResemble, []bool{true})
	})
	Convey("A write that ends with it is repeated, and the store does not count as unreachable", t, func() {
		var stored []byte
		var reachable []bool
		synctest.Test(t, func(*testing.T) {
			s, f := newDeafStore(), &fakeFleet{heard: AllHeard, readers: []string{"n1"}}
			f.setDomains(11, 12)
			w, stop := startTicking(s, f)
			s.losePolls()
			time.Sleep(maxPollWait / 4)
			s.deaf.Lock()
			s.deaf.putLost = true
			s.deaf.Unlock()
			w.Store(Record{
				Key:   "n1/x",
				Value: []byte("1"),
			})
			time.Sleep(time.Second)
			w.Hear(5, "n2")
			time.Sleep(2*pollDoubt + 2*minBackoff)
			stored, reachable = s.value("nodes", "n1/x"), f.reachableSoFar()
			stop()
		})
		So(string(stored), ShouldEqual, "1")
		So(reachable, ShouldResemble, []bool{true})
	})
	Convey("A reader ends a poll that began when more failure domains polled", t, func() {
		version, _ := versionAfter(checkInterval+minMargin, 12, func(_ *Watcher, f *fakeFleet) { f.setDomains(0, 1) })
		So(version, ShouldEqual, 5)
	})
	Convey("A node that was suspended reads the store at once, although its clock has stood still", t, func() {
		version, _ := versionAfter(2*pollDoubt, 12, func(_ *Watcher, f *fakeFleet) { f.suspend(suspendedAfter) })
		So(version, ShouldEqual, 5)
	})
	Convey("A reader that is alone notices a lost poll soon after its wait", t, func() {
		version, reachable := versionAfter(checkInterval+maxMargin+minBackoff, 1, func(*Watcher, *fakeFleet) {})
		So(version, ShouldEqual, 5)
		So(reachable[:2], ShouldResemble, []bool{true, false})
	})
}

// TestCheckStore guards against a node that knows of a newer configuration, can't get it from
// others, and does not read it from the store since another node is the reader.
func TestCheckStore(t *testing.T) {
	Convey("A node that is not the reader reads the newest configuration when it is told to", t, func() {
		var before, after int64
		var waits []time.Duration
		synctest.Test(t, func(*testing.T) {
			s, f := newDeafStore(), &fakeFleet{heard: AllHeard, readers: []string{"n0", "n1"}}
			w, stop := startTicking(s, f)
			s.write("op", "config", config("5"))
			time.Sleep(time.Minute)
			before = w.Current().Version()
			w.CheckStore("test")
			synctest.Wait()
			after, waits = w.Current().Version(), s.waits()
			stop()
		})
		So(before, ShouldEqual, 3)
		So(after, ShouldEqual, 5)
		So(waits, ShouldBeEmpty)
	})
}

// TestCheckStoreBesideWrites guards against a check of the store that gets lost since the store
// rejects the writes of the node meanwhile.
func TestCheckStoreBesideWrites(t *testing.T) {
	Convey("Each check reads the store while a write is repeated", t, func() {
		var checks, reads int
		synctest.Test(t, func(*testing.T) {
			s, f := newDeafStore(), &fakeFleet{heard: AllHeard, readers: []string{"n0", "n1"}}
			w, stop := startTicking(s, f)
			s.withLock(func() { s.session = math.MaxInt64 })
			w.Store(Record{
				Key:   "n1/x",
				Value: []byte("1"),
			})
			time.Sleep(10 * time.Second)
			before := 0
			s.withLock(func() { before = s.lists })
			for range 50 {
				w.CheckStore("test")
				checks++
				time.Sleep(time.Second + 37*time.Millisecond)
			}
			s.withLock(func() { reads = s.lists - before })
			stop()
		})
		So(reads, ShouldEqual, checks)
	})
}

// TestSecondReader guards against a failure domain that is late since the store does not respond to
// its readers, which find that out one after the other.
func TestSecondReader(t *testing.T) {
	Convey("The second reader reads the store while a node of the domain does not reach it", t, func() {
		for readers, want := range map[string]bool{"n1 n0 n2": true, "n0 n1 n2": true, "n0 n2 n1": false} {
			f := &fakeFleet{readers: strings.Fields(readers), inDoubt: true}
			w := &Watcher{self: "n1", fleet: f, reachable: true}
			So(w.isReader(), ShouldEqual, want)
			f.inDoubt = false
			So(w.isReader(), ShouldEqual, readers == "n1 n0 n2")
		}
	})
}
