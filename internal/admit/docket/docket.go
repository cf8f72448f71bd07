// Package docket tracks the requests that crash targets, for all parts of a node. It
// records changes as events and sends the entries of crashes on this node to the peers.
package docket

import (
	"strconv"
	"sync"

	"fuchsiapier/internal/admit/crash"
	"fuchsiapier/internal/base/event"
	"fuchsiapier/internal/base/timer"
)

// Docket holds the standings of requests by the rules of package crash, at the current
// time. It is safe for concurrent use.
type Docket struct {
	mu        sync.Mutex
	tracker   *crash.Docket
	events    *event.Ring
	broadcast func([]crash.Entry)
}

// New returns an instance without entries that records its changes in events. broadcast
// is called with the entries to send to the peers.
func New(events *event.Ring, broadcast func([]crash.Entry)) *Docket {
	return &Docket{
		tracker:   crash.NewDocket(),
		events:    events,
		broadcast: broadcast,
	}
}

// Judge returns the standing of a request and its remaining time, in milliseconds.
func (d *Docket) Judge(f uint64) (crash.Standing, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, left := d.tracker.Judge(timer.Now(), crash.Fingerprint(f))
	return s, left.Milliseconds()
}

// Died records that a target crashed while the given requests ran on it. It sends the
// resulting entries to the peers and returns them.
func (d *Docket) Died(running []uint64) []crash.Entry {
	fingerprints := make([]crash.Fingerprint, 0, len(running))
	for _, f := range running {
		fingerprints = append(fingerprints, crash.Fingerprint(f))
	}
	d.mu.Lock()
	changed := d.tracker.Died(timer.Now(), fingerprints)
	d.mu.Unlock()
	d.record(changed)
	d.broadcast(changed)
	return changed
}

// Learn merges entries from a peer.
func (d *Docket) Learn(entries []crash.Entry) {
	d.mu.Lock()
	var changed []crash.Entry
	for _, e := range entries {
		before, _ := d.tracker.Judge(timer.Now(), e.Fingerprint)
		d.tracker.Learn(timer.Now(), e)
		after, _ := d.tracker.Judge(timer.Now(), e.Fingerprint)
		if before != after {
			changed = append(changed, e)
		}
	}
	d.mu.Unlock()
	d.record(changed)
}

// Cleared records that a request has run without a crash.
func (d *Docket) Cleared(f uint64) {
	d.mu.Lock()
	was := d.tracker.Cleared(timer.Now(), crash.Fingerprint(f))
	d.mu.Unlock()
	if was {
		d.events.Add(event.Event{
			Kind:   "suspect-cleared",
			Detail: hexString(crash.Fingerprint(f)),
		})
	}
}

// Quarantined returns at most limit quarantined requests.
func (d *Docket) Quarantined(limit int) []crash.Entry {
	var out []crash.Entry
	for _, e := range d.Entries() {
		if e.Standing == crash.Quarantined && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// Entries returns the suspected and quarantined requests.
func (d *Docket) Entries() []crash.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Entries(timer.Now())
}

// record adds an event for each entry.
func (d *Docket) record(changed []crash.Entry) {
	for _, e := range changed {
		d.events.Add(event.Event{
			Kind:   "request-" + string(e.Standing),
			Detail: hexString(e.Fingerprint),
		})
	}
}

// hexString returns the hexadecimal form of a fingerprint that events contain.
func hexString(f crash.Fingerprint) string {
	return strconv.FormatUint(uint64(f), 16)
}
