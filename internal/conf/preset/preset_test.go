package preset

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"fuchsiapier/internal/base/check"
)

const validTOML = `
name = "ordinary"
offline-limit = "10m"
claim-retention = "2m"
clock-margin = "1s"
[failure-domains.a]
region = "north"
share = 0.5
slots = 2
[failure-domains.b]
region = "south"
share = 0.5
slots = 4
[[routes]]
name = "all"
path = "/"
service = "web"
class = "normal"
deadline = "1s"
[[routes]]
name = "permits"
path = "/permits"
service = "permits"
class = "critical"
deadline = "2s"
[workspaces.one]
rate = 80
burst = 40
[[region-links]]
from = "north"
to = "south"
bytes-per-second = 1000
burst-bytes = 500
`

const invalidTOML = `
name = "Not Kebab"
offline-limit = "10m"
claim-retention = "2m"
clock-margin = "1s"
[failure-domains.a]
region = "north"
share = 0.7
slots = 0
[failure-domains.b]
region = "north"
share = 0.7
slots = 1
[[routes]]
name = "x"
path = "no-slash"
service = "web"
class = "vital"
deadline = "0s"
[workspaces.one]
rate = -1
burst = 0
`

// TestParse guards against invalid presets that pass validation, findings reported
// without their line, routes that match inside a path segment, and slot shares that
// don't sum to the whole budget.
func TestParse(t *testing.T) {
	Convey("A valid preset", t, func() {
		p, err := Parse("p.toml", []byte(validTOML))
		So(err, ShouldBeNil)
		Convey("matches routes by the longest prefix of whole path segments", func() {
			r, _ := p.Route("/permits/issue")
			So(r.Name, ShouldEqual, "permits")
			r, _ = p.Route("/permitsx")
			So(r.Name, ShouldEqual, "all")
		})
		Convey("has slices that sum to its budgets", func() {
			rate, burst, bytes := 0.0, 0.0, 0.0
			for domain, d := range p.Domains {
				for slot := range d.Slots {
					share := p.SlotShare(domain, slot)
					rate += p.WorkspaceSlice("one", share).Rate
					burst += p.WorkspaceSlice("one", share).Burst
					bytes += p.LinkSlice(d.Region, "south", p.LinkSlotShare(domain, slot)).Rate
				}
			}
			So(rate, ShouldAlmostEqual, 80)
			So(burst, ShouldAlmostEqual, 40)
			So(bytes, ShouldAlmostEqual, 1000)
			So(p.SlotShare("a", 2), ShouldEqual, 0)
			So(p.SlotShare("unknown", 0), ShouldEqual, 0)
		})
		Convey("forecasts the maximum bytes of a month from the limit", func() {
			So(p.Forecast()[0].Bytes, ShouldEqual, 1000*31*24*3600+500)
		})
	})
	Convey("All findings of an invalid preset are reported together, each with its line", t, func() {
		_, err := Parse("p.toml", []byte(invalidTOML))
		var findings check.Findings
		So(errors.As(err, &findings), ShouldBeTrue)
		So(len(findings), ShouldBeGreaterThanOrEqualTo, 8)
		lines := map[string]int{}
		for _, f := range findings {
			lines[f.Key] = f.Line
		}
		So(lines["name"], ShouldEqual, 2)
		So(lines["failure-domains.a.slots"], ShouldEqual, 9)
		So(lines["workspaces.one.rate"], ShouldEqual, 21)
	})
	Convey("Unknown keys, wrong types and malformed TOML are reported", t, func() {
		_, err := Parse("p.toml", []byte("name = \"a\"\nnaem = 1\n[workspaces.one]\nraet = 3\n"))
		So(err.Error(), ShouldContainSubstring, "p.toml:2: naem")
		So(err.Error(), ShouldContainSubstring, "p.toml:4: workspaces.one.raet")
		_, err = Parse("p.toml", []byte("name = 3\n"))
		So(err.Error(), ShouldContainSubstring, "p.toml:1")
		_, err = Parse("p.toml", []byte("name = "))
		So(err, ShouldNotBeNil)
	})
}

// FuzzParse checks that no input makes Parse, or the use of a preset that it accepts,
// panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validTOML))
	f.Add([]byte(invalidTOML))
	f.Fuzz(func(_ *testing.T, data []byte) {
		p, err := Parse("fuzz", data)
		if err == nil {
			_ = p.Forecast()
			_, _ = p.Route("/x")
		}
	})
}
