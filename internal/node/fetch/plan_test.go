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
	local, remote := testNode("b", "d1", true), testNode("z", "d2", true)
	Convey("A configuration is fetched from the local domain at once, one fetch at a time from a node", t, func() {
		view := peers.NewView(testNode("a", "d1", true), []peers.Node{local})
		p := newPlan(now)
		from, ok, _ := p.source(now, []peers.Node{remote, local}, view)
		So(ok, ShouldBeTrue)
		So(from.Name, ShouldEqual, "b")
		p.ask(now, "b")
		_, ok, _ = p.source(now.Add(hedgeDelay), []peers.Node{local}, view)
		So(ok, ShouldBeFalse)
		p.responded(now, "b", false)
		_, ok, _ = p.source(now, []peers.Node{local}, view)
		So(ok, ShouldBeTrue)
	})
	Convey("From another domain only after the delay for the local reader, even if no further heartbeat arrives", t, func() {
		view := peers.NewView(testNode("a", "d1", true), nil)
		p := newPlan(now)
		_, ok, wait := p.source(now, []peers.Node{remote}, view)
		So(ok, ShouldBeFalse)
		So(wait, ShouldEqual, readerDelay)
		_, ok, wait = p.source(now.Add(readerDelay/2), []peers.Node{remote}, view)
		So(ok, ShouldBeFalse)
		So(wait, ShouldEqual, readerDelay/2)
		_, ok, _ = p.source(now.Add(readerDelay), []peers.Node{remote}, view)
		So(ok, ShouldBeTrue)
	})
	Convey("At once if no node of the local domain reaches the store", t, func() {
		p := newPlan(now)
		_, ok, _ := p.source(now, []peers.Node{remote}, peers.NewView(testNode("a", "d1", false), nil))
		So(ok, ShouldBeTrue)
	})
}

// Guards against a node that asks a silent one again and again although others have the
// configuration, and against many that are asked at once.
func TestConfigurationFetchTriesOtherNodes(t *testing.T) {
	now := time.Now()
	view := peers.NewView(testNode("a", "d1", true), nil)
	nodes := []peers.Node{testNode("b", "d1", true), testNode("c", "d1", true), testNode("d", "d1", true), testNode("e", "d1", true)}
	Convey("A further node is asked after the hedge delay, and no more than a few", t, func() {
		p := newPlan(now)
		at := now
		for i := range maxInFlight {
			from, ok, _ := p.source(at, nodes, view)
			So(ok, ShouldBeTrue)
			So(from.Name, ShouldEqual, nodes[i].Name)
			p.ask(at, from.Name)
			_, ok, wait := p.source(at, nodes, view)
			So(ok, ShouldBeFalse)
			So(wait, ShouldBeGreaterThan, 0)
			at = at.Add(hedgeDelay)
		}
		_, ok, _ := p.source(at, nodes, view)
		So(ok, ShouldBeFalse)
		So(len(p.inFlight), ShouldBeBetween, 1, len(nodes))
	})
	Convey("After a failure another node is asked at once, and the same one after a pause that grows", t, func() {
		p := newPlan(now)
		p.ask(now, "b")
		p.responded(now, "b", true)
		from, ok, _ := p.source(now, nodes, view)
		So(ok, ShouldBeTrue)
		So(from.Name, ShouldEqual, "c")
		_, ok, wait := p.source(now, nodes[:1], view)
		So(ok, ShouldBeFalse)
		So(wait, ShouldEqual, minPause)
		p.ask(now, "b")
		p.responded(now, "b", true)
		_, _, wait = p.source(now, nodes[:1], view)
		So(wait, ShouldEqual, 2*minPause)
	})
}

// Guards against a node that can't get a configuration from the others and never turns to the
// store, and against one that reads the store all the time.
func TestConfigurationIsReadFromTheStore(t *testing.T) {
	now := time.Now()
	Convey("The store is read after a delay, and again after pauses that grow", t, func() {
		p := newPlan(now)
		due, wait := p.store(now)
		So(due, ShouldBeFalse)
		So(wait, ShouldBeBetweenOrEqual, storeDelay, storeDelay+storeJitter)
		at := now.Add(wait)
		for pause := minStorePause; pause <= maxStorePause; pause *= 2 {
			due, _ = p.store(at)
			So(due, ShouldBeTrue)
			due, wait = p.store(at)
			So(due, ShouldBeFalse)
			So(wait, ShouldEqual, pause)
			at = at.Add(wait)
		}
	})
	Convey("The pauses begin again when a newer configuration is in force and a still newer one is known", t, func() {
		p := newPlan(now)
		at := now
		for range 4 {
			_, wait := p.store(at)
			at = at.Add(wait)
			p.store(at)
		}
		p.advanced(at)
		_, wait := p.store(at)
		So(wait, ShouldBeBetweenOrEqual, storeDelay, storeDelay+storeJitter)
	})
}
