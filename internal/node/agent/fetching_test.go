package agent

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/mesh/peers"
)

func member(name, domain string, store bool) peers.Node {
	return peers.Node{
		Name:   name,
		Domain: domain,
		Store:  store,
		Rules:  7,
	}
}

func TestBigConfigurationCrossesDomainsRarely(t *testing.T) {
	now := time.Now()
	begin := func(f *fetching, at time.Duration, from peers.Node, view *peers.View) bool {
		fetch, _ := f.begin(now.Add(at), from, view)
		return fetch
	}
	Convey("A configuration of the own domain is fetched at once, one at a time", t, func() {
		var f fetching
		view := peers.NewView(member("a", "d1", true), []peers.Node{member("b", "d1", true)})
		So(begin(&f, 0, member("b", "d1", true), view), ShouldBeTrue)
		So(begin(&f, 0, member("b", "d1", true), view), ShouldBeFalse)
		f.done()
		So(begin(&f, 0, member("b", "d1", true), view), ShouldBeTrue)
	})
	Convey("From another domain only if the own reader has not brought it, and without waiting for more news", t, func() {
		var f fetching
		view := peers.NewView(member("a", "d1", true), nil)
		far := member("z", "d2", true)
		fetch, again := f.begin(now, far, view)
		So(fetch, ShouldBeFalse)
		So(again, ShouldEqual, readerTime)
		fetch, again = f.begin(now.Add(readerTime/2), far, view)
		So(fetch, ShouldBeFalse)
		So(again, ShouldEqual, 0)
		f.due()
		So(begin(&f, readerTime, far, view), ShouldBeTrue)
	})
	Convey("At once where nobody in the domain reaches the store", t, func() {
		var f fetching
		view := peers.NewView(member("a", "d1", false), nil)
		So(begin(&f, 0, member("z", "d2", true), view), ShouldBeTrue)
	})
}
