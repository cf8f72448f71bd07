package send

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/mesh/roster"
)

// TestPicker guards against calls that leave the failure domain or the region without
// need, and against calls to targets that are saturated, failing, draining or down
// while others can serve.
func TestPicker(t *testing.T) {
	Convey("Given targets in the local domain, the local region and another region", t, func() {
		p := newPicker("a", "north")
		var entries []roster.Entry
		for _, node := range [][3]string{{"near", "a", "north"}, {"next", "b", "north"}, {"far", "c", "south"}} {
			entries = append(entries, roster.Entry{
				Name:   node[0],
				Domain: node[1],
				Region: node[2],
				Health: roster.Alive,
				Target: roster.Target{
					Service: "web",
					State:   roster.Ready,
					Slots:   10,
				},
			})
		}
		p.rebuild(entries)
		pick := func(excluded string) string {
			e, _ := p.pick(0, "web", func(e *roster.Entry) bool { return e.Name != excluded })
			return e.Name
		}
		Convey("the local domain serves while it is not saturated", func() {
			So(pick(""), ShouldEqual, "near")
		})
		Convey("the load of a saturated target goes to the local region, not to another region", func() {
			p.report(0, "near", 3)
			So(pick(""), ShouldEqual, "next")
			p.report(0, "next", 3)
			So(pick("near"), ShouldEqual, "next")
		})
		Convey("a node to which a call failed is avoided while another in the region can serve", func() {
			p.avoid(0, "near")
			So(pick(""), ShouldEqual, "next")
			So(pick("next"), ShouldNotEqual, "next")
		})
		Convey("another region serves when the local region has no target", func() {
			p.rebuild(entries[2:])
			So(pick(""), ShouldEqual, "far")
		})
		Convey("draining targets and nodes that are down are not chosen", func() {
			entries[0].Target.State = roster.Draining
			entries[1].Health = roster.Down
			p.rebuild(entries[:2])
			_, ok := p.pick(0, "web", func(*roster.Entry) bool { return true })
			So(ok, ShouldBeFalse)
		})
	})
}
