package crash

import (
	"testing"
	"time"

	"fuchsiapier/internal/base/timer"
)

// BenchmarkFingerprint measures what each call costs at a gate.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 200)
	for b.Loop() {
		FingerprintOf("workspace", "POST", "ledger.example/landings/17", body)
	}
}

// BenchmarkSums measures the checksums of the evidence of 50 crashes of 100 requests each, which a node computes once in
// sumsPeriod at most.
func BenchmarkSums(b *testing.B) {
	t := NewTracker(WithTwoCrashes())
	for id := range ID(50) {
		running := make([]Fingerprint, 100)
		for i := range running {
			running[i] = Fingerprint(int(id)*100 + i)
		}
		t.RecordCrash(0, id+1, running)
	}
	now := timer.Instant(0)
	for b.Loop() {
		now = now.Add(time.Nanosecond)
		t.sums.stale = true
		t.Sums(now)
	}
}
