package roster

import (
	"encoding/json"
	"fmt"
	"testing"
)

// rosterOf returns a roster of n nodes with targets, whose failure domains combine
// 6 regions and 22 domain numbers.
func rosterOf(n int) *Roster {
	r := New(entry("self", 1))
	for i := range n {
		e := entry(fmt.Sprintf("region-%d-domain-%d-vm-%d", i%6, i%22, i), int64(i))
		e.Domain = fmt.Sprintf("region-%d-domain-%d", i%6, i%22)
		e.Target = Target{
			Service: fmt.Sprint("service-", i%560),
			State:   Ready,
			Slots:   90,
		}
		r.Merge(0, []Entry{e})
	}
	return r
}

// BenchmarkExchange measures a gossip exchange between equal rosters, by number of
// nodes, and reports the bytes of its two messages.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rosterOf(n)
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				m := r.Message(1e12)
				body, err := json.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				reply := r.Answer(1e12, m)
				r.MergeReply(1e12, reply)
				bytes = 2 * len(body)
			}
			b.ReportMetric(float64(bytes), "bytes/op")
		})
	}
}

// BenchmarkDomainSync measures encoding the entries of one failure domain for a
// peer whose digest of it differs.
func BenchmarkDomainSync(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := rosterOf(n)
			_, digests := r.digests()
			digests["region-0-domain-0"]++
			bytes := 0
			for b.Loop() {
				body, err := json.Marshal(r.differing(digests))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(body)
			}
			b.ReportMetric(float64(bytes), "bytes/op")
		})
	}
}
