package test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"fuchsiapier/lab/load"
	"fuchsiapier/lab/plan"
	"fuchsiapier/lab/relay"
)

// TestCrossRegionBytes guards against nodes that together send more bytes between two
// regions than the preset allows. It comes about when a service has no target left in
// one region and all its requests go to other regions. The relay counts the bytes.
func TestCrossRegionBytes(t *testing.T) {
	const perSecond = 60_000
	f := newFleet(t, plan.Litoral(), withBytes(perSecond))
	for _, i := range f.domainVMs(0) {
		if f.plan.VMs[i].Service.Name == "quota" {
			f.kill(f.targetName(i))
		}
	}
	pairs := []relay.Direction{
		{From: f.plan.Network(0), To: f.plan.Network(1)},
		{From: f.plan.Network(0), To: f.plan.Network(2)},
		{From: f.plan.Network(1), To: f.plan.Network(0)},
		{From: f.plan.Network(2), To: f.plan.Network(0)},
	}
	// The allowance has a burst of one second's bytes, hence elapsed+1 below.
	before := map[relay.Direction]int64{}
	for _, p := range pairs {
		before[p] = f.relay.Bytes(p)
	}
	began := time.Now()
	var entries []string
	for _, i := range f.domainVMs(0) {
		entries = append(entries, f.entry(i))
	}
	results := f.drive(5*time.Second, []load.Caller{{
		Entries: entries,
		Method:  fasthttp.MethodGet,
		Path:    "/tide/windows",
		Rate:    600,
	}}, func() {})
	elapsed := time.Since(began).Seconds()
	reasons := map[string]int{}
	for _, r := range results {
		reasons[string(r.Outcome)+"/"+string(r.Reason)]++
	}
	t.Logf("%d requests: %v", len(results), reasons)
	Convey("Given a region in which all targets of a service have been killed", t, func() {
		Convey("some requests are served in other regions and the others are refused", func() {
			So(reasons["done/"], ShouldBeGreaterThan, 0)
			So(reasons["not-run/cross-region-bytes"], ShouldBeGreaterThan, 0)
		})
		Convey("no pair of regions exceeds its byte limit", func() {
			for _, p := range pairs {
				bytes := float64(f.relay.Bytes(p) - before[p])
				t.Logf("%s to %s: %.0f of %.0f bytes", p.From, p.To, bytes, perSecond*(elapsed+1))
				So(bytes, ShouldBeLessThanOrEqualTo, perSecond*(elapsed+1))
			}
		})
	})
}
