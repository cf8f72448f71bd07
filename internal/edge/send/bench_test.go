package send

import (
	"fmt"
	"testing"

	"fuchsiapier/internal/base/timer"
	"fuchsiapier/internal/mesh/roster"
)

// BenchmarkPick measures the choice of a target by the number of targets of a service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{6, 60, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPicker("domain-0", "region-0")
			var entries []roster.Entry
			for i := range n {
				entries = append(entries, roster.Entry{
					Name:   fmt.Sprint("vm-", i),
					Domain: fmt.Sprint("domain-", i%22),
					Region: fmt.Sprint("region-", i%22%6),
					Health: roster.Alive,
					Target: roster.Target{
						Service: "web",
						State:   roster.Ready,
						Slots:   90,
					},
				})
			}
			p.rebuild(entries)
			all := func(*roster.Entry) bool { return true }
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := p.pick(timer.Now(), "web", all); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}
