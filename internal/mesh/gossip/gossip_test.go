package gossip

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/conf/state"
	"fuchsiapier/internal/mesh/roster"
)

// network implements Links by direct calls; calls to a node in cut fail.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Gossip
	cut   map[string]bool
}

func (n *network) Call(_ context.Context, address, method string, params, result any) error {
	n.mu.Lock()
	g, cut := n.nodes[address], n.cut[address]
	n.mu.Unlock()
	if g == nil || cut {
		return errors.New("node unreachable")
	}
	switch method {
	case MethodGossip:
		*result.(*Message) = g.Answer(params.(Message))
	case MethodProbe:
		*result.(*bool) = g.Probe(params.(Probe))
	case MethodConfiguration:
		*result.(*state.State) = g.feed.State()
	}
	return nil
}

func (n *network) Drop(string) {}

// fakeFeed holds one configuration and adopts any that is offered.
type fakeFeed struct {
	mu    sync.Mutex
	state state.State
}

func (f *fakeFeed) State() state.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeFeed) Offer(s state.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
}

func (f *fakeFeed) RecordContact(uint64, timer.Instant) {}

func (f *fakeFeed) ContactAge() time.Duration { return 0 }

// fakeTracker keeps all evidence by crash and never lets it expire.
type fakeTracker map[crash.ID]crash.Crash

func (f fakeTracker) Quarantined(int) []crash.Crash {
	var out []crash.Crash
	for _, c := range f {
		out = append(out, c)
	}
	return out
}

func (f fakeTracker) Learn(_ string, crashes []crash.Crash) (news []crash.Crash) {
	for _, c := range crashes {
		f[c.ID] = c
	}
	return nil
}

// add starts the Gossip of a node whose configuration has the given version.
func (n *network) add(t *testing.T, name string, version uint64) (*Gossip, *fakeFeed, fakeTracker) {
	t.Helper()
	// Stopped timers run no rounds, so that only the test starts exchanges.
	timers, stop := timer.New()
	stop()
	feed := &fakeFeed{
		state: state.State{
			Version: version,
		},
	}
	tracker := fakeTracker{}
	r := roster.New(roster.Entry{
		Name:        name,
		Domain:      "a",
		Peers:       name,
		Incarnation: 1,
	})
	g, _ := New(r, n, feed, tracker, event.NewRing(name, 16), timers)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name] = g
	return g, feed, tracker
}

// TestGossip guards against state that does not spread by exchanges (roster,
// configuration, and quarantined requests whose notification a node missed),
// against a failed node that is never suspected, and against a suspicion that
// stays after the node is reachable again.
func TestGossip(t *testing.T) {
	Convey("Given three nodes, of which two have exchanged messages", t, func() {
		n := &network{
			nodes: map[string]*Gossip{},
			cut:   map[string]bool{},
		}
		one, feedOne, trackerOne := n.add(t, "one", 1)
		two, feedTwo, trackerTwo := n.add(t, "two", 5)
		three, _, _ := n.add(t, "three", 1)
		So(one.exchange("two"), ShouldBeNil)
		Convey("both list each other, and the newer configuration replaces the older", func() {
			_, ok := two.roster.Get("one")
			So(ok, ShouldBeTrue)
			So(feedOne.State().Version, ShouldEqual, 5)
			So(feedTwo.State().Version, ShouldEqual, 5)
		})
		Convey("quarantined requests reach a node that missed the notification, by request and by response", func() {
			trackerTwo.Learn("three", []crash.Crash{{ID: 3, Ran: 1, Running: []crash.Fingerprint{7}}})
			So(one.exchange("two"), ShouldBeNil)
			So(trackerOne, ShouldHaveLength, 1)
			_, _, trackerFour := n.add(t, "four", 1)
			So(one.exchange("four"), ShouldBeNil)
			So(trackerFour, ShouldHaveLength, 1)
		})
		Convey("a node that neither the prober nor the helpers reach is suspected", func() {
			So(one.exchange("three"), ShouldBeNil)
			So(two.exchange("three"), ShouldBeNil)
			e := three.roster.Self()
			n.cut["three"] = true
			one.probe(e)
			got, _ := one.roster.Get("three")
			So(got.Health, ShouldEqual, roster.Suspect)
			Convey("and refutes the suspicion once it is reached again", func() {
				n.cut["three"] = false
				So(one.exchange("three"), ShouldBeNil)
				got, _ = one.roster.Get("three")
				So(got.Health, ShouldEqual, roster.Alive)
			})
		})
	})
}
