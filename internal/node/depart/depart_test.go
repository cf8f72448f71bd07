package depart

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/mesh/peers"
	"fuchsiapier/internal/node/starts"
)

// fleet is a simulated fleet of three failure domains with four nodes each. It implements Links.
type fleet struct {
	nodes []peers.Node

	mu      sync.Mutex
	holders map[string]*Holder
	// down are the nodes that answer nothing.
	down  map[string]bool
	calls int
}

const linkDelay = 30 * time.Millisecond

func newFleet() *fleet {
	f := &fleet{
		holders: map[string]*Holder{},
		down:    map[string]bool{},
	}
	for d := range 3 {
		for i := range 4 {
			f.nodes = append(f.nodes, peers.Node{
				Name:   fmt.Sprintf("n%d-%d", d, i),
				Domain: fmt.Sprintf("d%d", d),
			})
		}
	}
	for _, n := range f.nodes {
		f.holders[n.Name] = NewHolder(f, func() *peers.View { return f.view(n.Name) })
	}
	return f
}

// view returns what a node knows: all nodes that are up.
func (f *fleet) view(self string) *peers.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	var own peers.Node
	var others []peers.Node
	for _, n := range f.nodes {
		switch {
		case n.Name == self:
			own = n
		case !f.down[n.Name]:
			others = append(others, n)
		}
	}
	return peers.NewView(own, others)
}

func (f *fleet) setDown(down bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range names {
		f.down[n] = down
	}
}

// restart replaces a node by one that holds nothing.
func (f *fleet) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.nodes {
		if f.nodes[i].Name == name {
			f.nodes[i].Incarnation++
		}
	}
	f.holders[name] = NewHolder(f, func() *peers.View { return f.view(name) })
}

var errDown = errors.New("down")

func (f *fleet) reach(ctx context.Context, name string) (*Holder, error) {
	sleep(ctx, linkDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down[name] || ctx.Err() != nil {
		return nil, errDown
	}
	return f.holders[name], nil
}

func (f *fleet) Hold(ctx context.Context, at peers.Node, r Record, reach Reach) error {
	h, err := f.reach(ctx, at.Name)
	if err != nil {
		return err
	}
	return h.Hold(ctx, r, reach)
}

func (f *fleet) Recall(ctx context.Context, from peers.Node, owner string, reach Reach) ([]starts.Departure, error) {
	h, err := f.reach(ctx, from.Name)
	if err != nil {
		return nil, err
	}
	return h.Recall(ctx, owner, reach), nil
}

// owner is the node whose target departs.
const owner = "n0-0"

func three() int { return 3 }

func (f *fleet) recorder(store func([]byte)) (*Recorder, func()) {
	return NewRecorder(owner, f, func() *peers.View { return f.view(owner) }, three, store)
}

func departure(id string) starts.Departure {
	return starts.Departure{
		ID:        id,
		StartedAt: 100,
		At:        200,
		LastSeq:   starts.ForGood,
	}
}

// await waits for a confirmation as a target does, and returns what it rests on and the time that it took.
func await(r *Recorder) (Basis, time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return r.Await(ctx), time.Since(began)
}

// restartSpy records what a recaller does.
type restartSpy struct {
	mu       sync.Mutex
	restored []starts.Departure
	done     []bool
	doneAt   time.Time
}

func (s *restartSpy) Restore(d []starts.Departure, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored, _ = starts.MergeAll(s.restored, d)
}

func (s *restartSpy) Done(complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = append(s.done, complete)
	s.doneAt = time.Now()
}

// recall recalls the departures of the owner as a process that starts, and returns what it did within a
// time.
func (f *fleet) recall(listed bool, wait time.Duration) (*restartSpy, time.Duration) {
	spy := &restartSpy{}
	store := make(chan struct{})
	if listed {
		close(store)
	}
	began := time.Now()
	stop := StartRecall(owner, f, func() *peers.View { return f.view(owner) }, three, store, spy)
	time.Sleep(wait)
	stop()
	synctest.Wait()
	spy.mu.Lock()
	defer spy.mu.Unlock()
	return spy, spy.doneAt.Sub(began)
}

// within runs a test on virtual time.
func within(t *testing.T, text string, f func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		Convey(text, t, f)
	})
}

// TestConfirmation guards against a departure that is confirmed while only the memory of one failure
// domain holds it, and against one that stays unconfirmed while others could hold it.
func TestConfirmation(t *testing.T) {
	within(t, "The store and nodes of as many domains as needed take a departure, and no more are asked", func() {
		f := newFleet()
		var r *Recorder
		r, stop := f.recorder(func(value []byte) { time.AfterFunc(90*time.Millisecond, func() { r.Stored(value) }) })
		defer stop()
		r.Record([]starts.Departure{departure("a")})
		basis, took := await(r)
		So(basis, ShouldEqual, ByBoth)
		So(took, ShouldEqual, 90*time.Millisecond)
		time.Sleep(20 * time.Second)
		So(f.calls, ShouldEqual, maxHolderDomains*replicaCount)
	})
	within(t, "A node that no other can be reached from confirms what the store has taken", func() {
		f := newFleet()
		var r *Recorder
		r, stop := f.recorder(func(value []byte) { time.AfterFunc(90*time.Millisecond, func() { r.Stored(value) }) })
		defer stop()
		f.setDown(true, "n1-0", "n1-1", "n1-2", "n1-3", "n2-0", "n2-1", "n2-2", "n2-3")
		r.Record([]starts.Departure{departure("a")})
		basis, took := await(r)
		So(basis, ShouldEqual, ByStore)
		So(took, ShouldEqual, bothTimeout)
	})
	within(t, "While the store takes nothing, nodes of two other domains must hold it", func() {
		f := newFleet()
		r, stop := f.recorder(func([]byte) {})
		defer stop()
		f.setDown(true, "n2-0", "n2-1", "n2-2", "n2-3")
		r.Record([]starts.Departure{departure("a")})
		basis, _ := await(r)
		So(basis, ShouldEqual, Unconfirmed)
		f.setDown(false, "n2-3")
		basis, took := await(r)
		So(basis, ShouldEqual, ByNodes)
		So(took, ShouldBeLessThan, holdTimeout+holdPeriod+4*linkDelay)
	})
	within(t, "A later departure waits for its own confirmation, one that is known for none", func() {
		f := newFleet()
		var stored func()
		var r *Recorder
		r, stop := f.recorder(func(value []byte) { stored = func() { r.Stored(value) } })
		defer stop()
		f.setDown(true, "n1-0", "n1-1", "n1-2", "n1-3", "n2-0", "n2-1", "n2-2", "n2-3")
		r.Record([]starts.Departure{departure("a")})
		first := stored
		r.Record([]starts.Departure{departure("a"), departure("b")})
		first()
		basis, _ := await(r)
		So(basis, ShouldEqual, Unconfirmed)
		stored()
		basis, _ = await(r)
		So(basis, ShouldEqual, ByStore)
		r.Record([]starts.Departure{departure("a")})
		basis, took := await(r)
		So(basis, ShouldEqual, ByStore)
		So(took, ShouldEqual, 0)
	})
	within(t, "Holders that restart before the store has taken the departure are replaced", func() {
		f := newFleet()
		r, stop := f.recorder(func([]byte) {})
		defer stop()
		r.Record([]starts.Departure{departure("a")})
		basis, _ := await(r)
		So(basis, ShouldEqual, ByNodes)
		for _, n := range f.nodes[4:] {
			f.restart(n.Name)
		}
		time.Sleep(time.Second)
		spy, _ := f.recall(true, 5*time.Second)
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
	})
}

// TestDrillWhileNodeIsAway guards against a departure that is forgotten because the store alone held it:
// the store comes back from an older copy, and the process that would write it again has ended.
func TestDrillWhileNodeIsAway(t *testing.T) {
	const writeTime = 60 * time.Millisecond
	storing := func(f *fleet) (*Recorder, func()) {
		var r *Recorder
		r, stop := f.recorder(func(value []byte) { time.AfterFunc(writeTime, func() { r.Stored(value) }) })
		return r, stop
	}
	within(t, "A departure that was confirmed is recalled though the store has lost it", func() {
		f := newFleet()
		r, stop := storing(f)
		r.Record([]starts.Departure{departure("a")})
		basis, _ := await(r)
		So(basis, ShouldEqual, ByBoth)
		stop()
		spy, _ := f.recall(true, time.Second)
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
	})
	within(t, "It is after a restart of all other nodes, one after the other", func() {
		f := newFleet()
		r, stop := storing(f)
		r.Record([]starts.Departure{departure("a")})
		for _, n := range f.nodes[1:] {
			f.setDown(true, n.Name)
			time.Sleep(2 * time.Second)
			f.setDown(false, n.Name)
			f.restart(n.Name)
			time.Sleep(2 * time.Second)
		}
		stop()
		spy, _ := f.recall(true, time.Second)
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
	})
	within(t, "It is if the departure was recorded by an earlier process and read from the store since", func() {
		f := newFleet()
		r, stop := storing(f)
		r.Restore([]starts.Departure{departure("a")})
		time.Sleep(2 * time.Second)
		stop()
		spy, _ := f.recall(true, time.Second)
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
	})
}

// TestRestoredDepartures guards against stored departures that are lost since a node that starts
// records one before it has read them.
func TestRestoredDepartures(t *testing.T) {
	within(t, "Departures that the store held are stored again with one that was recorded before they were read", func() {
		f := newFleet()
		var stored []byte
		r, stop := f.recorder(func(value []byte) { stored = value })
		defer stop()
		r.Record([]starts.Departure{departure("b")})
		r.Restore([]starts.Departure{departure("a")})
		departures, err := Decode(stored)
		So(err, ShouldBeNil)
		So(departures, ShouldResemble, []starts.Departure{departure("b"), departure("a")})
	})
	within(t, "Nothing is written if all was read before", func() {
		f := newFleet()
		writes := 0
		r, stop := f.recorder(func([]byte) { writes++ })
		defer stop()
		r.Restore([]starts.Departure{departure("a")})
		r.Record([]starts.Departure{departure("a")})
		So(writes, ShouldEqual, 0)
	})
}

// TestRecall guards against a node that uses its target after a restart although it has confirmed
// before that the target has left.
func TestRecall(t *testing.T) {
	confirmed := func() (*fleet, func()) {
		f := newFleet()
		r, stop := f.recorder(func([]byte) {})
		r.Record([]starts.Departure{departure("a")})
		basis, _ := await(r)
		So(basis, ShouldEqual, ByNodes)
		return f, stop
	}
	within(t, "The departure is known before the target is used, whichever domain has lost it", func() {
		for d := range 3 {
			f, stop := confirmed()
			stop()
			for i := range 4 {
				f.restart(fmt.Sprintf("n%d-%d", d, i))
			}
			spy, waited := f.recall(true, time.Second)
			So(spy.done, ShouldResemble, []bool{true})
			So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
			So(waited, ShouldBeLessThan, 10*linkDelay)
		}
	})
	within(t, "It is known by whichever node of a domain is asked, also after the first replica there is down", func() {
		f, stop := confirmed()
		stop()
		f.setDown(true, replicas(f.view("n1-0"))[0].Name, "n2-0", "n2-1", "n2-2", "n2-3")
		for _, n := range []string{"n1-0", "n1-1", "n1-2", "n1-3"} {
			if f.down[n] {
				continue
			}
			So(f.holders[n].Recall(context.Background(), owner, ItsDomain), ShouldResemble, []starts.Departure{departure("a")})
		}
		spy, _ := f.recall(true, time.Second)
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
	})
	within(t, "Without the store, or without enough domains, the target is used after a while; answers count later too", func() {
		f, stop := confirmed()
		stop()
		spy, waited := f.recall(false, 3*time.Second)
		So(spy.done, ShouldResemble, []bool{false})
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
		So(waited, ShouldBeBetween, recallTimeout, recallTimeout+holdTimeout+recallPeriod+time.Millisecond)
		f.setDown(true, "n1-0", "n1-1", "n1-2", "n1-3", "n2-0", "n2-1", "n2-2", "n2-3")
		time.AfterFunc(5*time.Second, func() { f.setDown(false, "n1-2") })
		spy, _ = f.recall(true, 8*time.Second)
		So(spy.done, ShouldResemble, []bool{false})
		So(spy.restored, ShouldResemble, []starts.Departure{departure("a")})
	})
}

// TestStoredFormat guards against withdrawals that an older node has stored and that are lost.
func TestStoredFormat(t *testing.T) {
	Convey("Values of the format before are decoded", t, func() {
		// [["a", 100, 200]]
		departures, err := Decode([]byte{0x81, 0x83, 0x61, 'a', 0x18, 100, 0x18, 200})
		So(err, ShouldBeNil)
		So(departures, ShouldResemble, []starts.Departure{departure("a")})
		_, err = Decode([]byte("nothing of the kind"))
		So(err, ShouldNotBeNil)
	})
}
