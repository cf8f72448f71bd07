package crash

import (
	"time"

	"fuchsiapier/internal/base/timer"
)

// sumCount is the number of parts into which evidence is divided to find out which of it
// another node lacks.
const sumCount = 32

// sumsPeriod is how long sums are used without regard to evidence that has expired meanwhile.
const sumsPeriod = 300 * time.Millisecond

// sums are checksums of the evidence. Those of two nodes are equal if their evidence is.
type sums struct {
	parts [sumCount]uint64
	at    timer.Instant
	// stale says that the evidence has changed since.
	stale bool
}

// Sums returns the checksums of the parts of the evidence, and that of all of it, which is 0
// if there is none.
func (t *Tracker) Sums(now timer.Instant) (parts []uint64, all uint64) {
	if t.sums.stale || now.Sub(t.sums.at) >= sumsPeriod {
		t.expire(now)
		t.computeSums(now)
	}
	for _, s := range t.sums.parts {
		all ^= s
	}
	return t.sums.parts[:], all
}

// computeSums computes the checksums of the evidence that nodes exchange. That a request is
// cleared counts from the crash on that would make it suspected: before, it makes no
// difference that would be worth a message.
func (t *Tracker) computeSums(now timer.Instant) {
	t.sums = sums{
		at: now,
	}
	for id, r := range t.records {
		if now.Sub(r.at) >= exchangeTime {
			continue
		}
		part := &t.sums.parts[uint64(id)%sumCount]
		*part ^= mix(uint64(id) + uint64(max(r.ran, len(r.cleared))))
		for f, cleared := range r.cleared {
			item := mix(uint64(id)) ^ uint64(f)
			if cleared && len(t.crashes[f]) >= t.suspectAfter {
				item = ^item
			}
			*part ^= mix(item)
		}
	}
}

// mix is the finalizer of MurmurHash3, which spreads all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Differing returns the evidence of the parts whose checksums differ from those of another
// node, in no particular order.
func (t *Tracker) Differing(now timer.Instant, theirs []uint64) []Crash {
	ours, _ := t.Sums(now)
	if len(theirs) != len(ours) {
		return nil
	}
	var out []Crash
	for id, r := range t.records {
		part := uint64(id) % sumCount
		if ours[part] == theirs[part] || now.Sub(r.at) >= exchangeTime {
			continue
		}
		c := Crash{
			ID:        id,
			AgeMillis: now.Sub(r.at).Milliseconds(),
			Ran:       max(r.ran, len(r.cleared)),
		}
		for f, cleared := range r.cleared {
			if cleared {
				c.Cleared = append(c.Cleared, f)
				continue
			}
			c.Running = append(c.Running, f)
		}
		out = append(out, c)
	}
	return out
}

// Split divides evidence into pieces that name at most n requests each.
func (c Crash) Split(n int) []Crash {
	var out []Crash
	for len(c.Running)+len(c.Cleared) > n {
		piece := c
		running := min(n, len(c.Running))
		cleared := n - running
		piece.Running, c.Running = c.Running[:running], c.Running[running:]
		piece.Cleared, c.Cleared = c.Cleared[:cleared], c.Cleared[cleared:]
		out = append(out, piece)
	}
	return append(out, c)
}
