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
	Convey("A configuration of the own domain is fetched at once, one at a time", t, func() {
		var f fetching
		view := peers.NewView(member("a", "d1", true), []peers.Node{member("b", "d1", true)})
		So(f.may(now, member("b", "d1", true), view), ShouldBeTrue)
		So(f.may(now, member("b", "d1", true), view), ShouldBeFalse)
		f.done()
		So(f.may(now, member("b", "d1", true), view), ShouldBeTrue)
	})
	Convey("From another domain only if the own reader has not brought it", t, func() {
		var f fetching
		view := peers.NewView(member("a", "d1", true), nil)
		far := member("z", "d2", true)
		So(f.may(now, far, view), ShouldBeFalse)
		So(f.may(now.Add(500*time.Millisecond), far, view), ShouldBeFalse)
		So(f.may(now.Add(time.Second), far, view), ShouldBeTrue)
	})
	Convey("At once where nobody in the domain reaches the store", t, func() {
		var f fetching
		view := peers.NewView(member("a", "d1", false), nil)
		So(f.may(now, member("z", "d2", true), view), ShouldBeTrue)
	})
}
