package fetch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/mesh/peers"
)

// testNode returns the record of a node that has version 7 of the configuration in
// force; store says that it reaches the store.
func testNode(name, domain string, store bool) peers.Node {
	return peers.Node{
		Name:   name,
		Domain: domain,
		Store:  store,
		Rules:  7,
	}
}

// Guards against a new configuration that every node fetches from another failure
// domain, where bytes are billed, although a node of the local domain is about to have
// it, and against one that is fetched late where no node of the local domain reaches the
// store.
func TestConfigurationFetchPrefersLocalDomain(t *testing.T) {
	now := time.Now()
	begin := func(f *schedule, at time.Duration, from peers.Node, view *peers.View) bool {
		fetch, _ := f.begin(now.Add(at), from, view)
		return fetch
	}
	Convey("A configuration is fetched from the local domain at once, one fetch at a time", t, func() {
		var f schedule
		view := peers.NewView(testNode("a", "d1", true), []peers.Node{testNode("b", "d1", true)})
		So(begin(&f, 0, testNode("b", "d1", true), view), ShouldBeTrue)
		So(begin(&f, 0, testNode("b", "d1", true), view), ShouldBeFalse)
		f.done()
		So(begin(&f, 0, testNode("b", "d1", true), view), ShouldBeTrue)
	})
	Convey("From another domain only after the delay for the local reader, even if no further heartbeat arrives", t, func() {
		var f schedule
		view := peers.NewView(testNode("a", "d1", true), nil)
		remote := testNode("z", "d2", true)
		fetch, retryIn := f.begin(now, remote, view)
		So(fetch, ShouldBeFalse)
		So(retryIn, ShouldEqual, readerDelay)
		fetch, retryIn = f.begin(now.Add(readerDelay/2), remote, view)
		So(fetch, ShouldBeFalse)
		So(retryIn, ShouldEqual, 0)
		f.startScheduled()
		So(begin(&f, readerDelay, remote, view), ShouldBeTrue)
	})
	Convey("At once if no node of the local domain reaches the store", t, func() {
		var f schedule
		view := peers.NewView(testNode("a", "d1", false), nil)
		So(begin(&f, 0, testNode("z", "d2", true), view), ShouldBeTrue)
	})
}
