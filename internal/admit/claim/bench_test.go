package claim

import (
	"strconv"
	"testing"
	"time"

	"fuchsiapier/internal/base/timer"
)

// BenchmarkClaim measures the recording of claims at a replica, including the removal of
// claims after the retention.
func BenchmarkClaim(b *testing.B) {
	r := NewReplica(epoch)
	r.Configure(epoch, testRules())
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		at := time.Minute + time.Duration(i)*time.Millisecond
		r.Claim(timer.Instant(at), epoch.Add(at), Request{
			Key:     "workspace|domain-a.01890a5d-ac96-774b-bcce-" + strconv.Itoa(i),
			Created: epoch.Add(at),
			Holder:  "domain-a-vm-1",
			Layout:  "a",
		})
	}
}
